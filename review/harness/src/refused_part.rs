//! A caller's sound requests come again after a quiet time in which requests with a guilty part, which
//! share their first part, crashed runners.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::time::{interval, sleep, sleep_until};

use crate::Verdict;
use crate::client::Connection;
use crate::crash_part::{CONTACT_SPAN, COUNTED_CRASHES, Callers, GUILTY_PART, Pool};
use crate::fleet::{HOST_NAME, KEY, OTHER_KEY};
use crate::record::Record;

const HOSTS: u32 = 3;
/// Interval between two sound requests of the caller while it is busy.
const SOUND_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two requests with the guilty part.
const GUILTY_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which the caller sends sound requests at first.
const BUSY_SPAN: Duration = Duration::from_secs(12);
/// Time for which the caller sends nothing.
const QUIET_SPAN: Duration = Duration::from_secs(12);
/// Time from the first request with the guilty part until the caller's sound requests come again.
const GUILTY_LEAD: Duration = Duration::from_secs(4);
/// Time for which these go on.
const SECOND_SPAN: Duration = Duration::from_secs(24);
/// Requests of each kind from which on the rule compares.
const COMPARED: usize = 20;

/// A request of the caller: when it was sent, and whether its answer began at the first attempt.
#[derive(Clone, Debug)]
struct SoundCall {
    at: Instant,
    begun: bool,
}

type SoundCalls = Arc<Mutex<Vec<SoundCall>>>;

pub async fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let pool = Pool::start(record.clone()).await?;
    let hosts = pool.fleet.start_hosts(HOSTS).await?;
    let callers: Callers = Arc::new(hosts.iter().map(|host| host.callers).collect());
    let replacing = tokio::spawn({
        let pool = pool.clone();
        async move { pool.replace_crashed().await }
    });
    let calls: SoundCalls = Arc::default();
    // Requests of another tenant with other parts go on all the while, on the same route.
    let others: SoundCalls = Arc::default();
    let other = spawn(&callers, "o", SOUND_INTERVAL, &record, Some(others.clone()));
    let busy = spawn(&callers, "s1-", SOUND_INTERVAL, &record, Some(calls.clone()));
    sleep(BUSY_SPAN).await;
    busy.abort();
    record.line("caller: a quiet time");
    sleep(QUIET_SPAN).await;
    let guilty_start = Instant::now();
    let guilty = trouble.then(|| {
        record.line("caller: requests with a part that crashes runners begin to come");
        spawn(&callers, "g", GUILTY_INTERVAL, &record, None)
    });
    sleep(GUILTY_LEAD).await;
    record.line("caller: sound requests come again");
    let again = spawn(&callers, "s2-", SOUND_INTERVAL, &record, Some(calls.clone()));
    sleep_until((guilty_start + GUILTY_LEAD + SECOND_SPAN).into()).await;
    let end = Instant::now();
    again.abort();
    guilty.inspect(tokio::task::JoinHandle::abort);
    other.abort();
    sleep(Duration::from_millis(500)).await;
    replacing.abort();

    let crashes = pool.crashes();
    for (index, at) in crashes.iter().enumerate() {
        record.line_at(*at, &format!("crash {} of a runner", index + 1));
    }
    if trouble && crashes.is_empty() {
        return None;
    }
    // The fifth crash, or the last one if there are fewer.
    let counted = crashes.get(COUNTED_CRASHES - 1).or(crashes.last()).copied();
    let from = counted.unwrap_or(guilty_start) + CONTACT_SPAN * 2;
    let share = |calls: &SoundCalls, from: Instant, until: Instant, what: &str| {
        let calls = calls.lock().expect("no panic");
        let calls: Vec<_> =
            calls.iter().filter(|call| call.at >= from && call.at < until).collect();
        let begun = calls.iter().filter(|call| call.begun).count();
        record.line(&format!("{what}: {begun} of {} sound requests began", calls.len()));
        (begun, calls.len())
    };
    let start = guilty_start - BUSY_SPAN - QUIET_SPAN - Duration::from_secs(5);
    let (begun_before, before) = share(&calls, start, guilty_start, "caller, before");
    let (begun_after, after) = share(&calls, from, end, "caller, from 2 x contact_ms on");
    share(&others, from, end, "others, from 2 x contact_ms on");
    if before < COMPARED || after < COMPARED {
        return None;
    }
    // Less than half as often: begun_after / after < begun_before / before / 2.
    Some(2 * begun_after * before >= begun_before * after)
}

fn spawn(
    callers: &Callers,
    name: &'static str,
    every: Duration,
    record: &Arc<Record>,
    calls: Option<SoundCalls>,
) -> tokio::task::JoinHandle<()> {
    let (callers, record) = (callers.clone(), record.clone());
    tokio::spawn(async move {
        let mut ticks = interval(every);
        for number in 0_usize.. {
            ticks.tick().await;
            let host = callers[number % callers.len()];
            let (record, calls) = (record.clone(), calls.clone());
            tokio::spawn(async move {
                let at = Instant::now();
                let begun = call(host, &format!("{name}{number}"), name, &record).await;
                if let Some(calls) = calls {
                    calls.lock().expect("no panic").push(SoundCall { at, begun });
                }
            });
        }
    })
}

/// Sends a stream request; returns whether its answer began.
async fn call(host: SocketAddr, id: &str, name: &str, record: &Record) -> bool {
    let (first, second) = match name {
        "o" => ("77aa0001", "77aa0002"),
        "g" => ("5c1e07a2", GUILTY_PART),
        _ => ("5c1e07a2", "91bd3f06"),
    };
    let own: u64 = id.bytes().fold(7, |sum, byte| sum * 131 % 0xffff_fff1 + u64::from(byte));
    let prompt = format!("{first}:210,{second}:140,{own:x}:1110");
    let key = format!("Bearer {}", if name == "o" { OTHER_KEY } else { KEY });
    let headers = [
        ("Host", HOST_NAME),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "15000"),
        ("X-Model", "m1"),
        ("X-Token-Count", "1460,80"),
        ("X-Prompt-Prefix", prompt.as_str()),
        ("Authorization", key.as_str()),
    ];
    let (at, path) = (Instant::now(), format!("/draft/{id}"));
    let answered = async {
        let mut connection = Connection::open(host).await?;
        connection.send("POST", &path, &headers, id.as_bytes()).await?;
        connection.reply().await
    };
    let answered = answered.await;
    let text = match &answered {
        Ok(reply) => {
            let body =
                if reply.status == 200 { "".into() } else { String::from_utf8_lossy(&reply.body) };
            format!("{} complete={} {}", reply.status, reply.complete, body.trim())
        }
        Err(error) => error.to_string(),
    };
    record.line_at(at, &format!("client: {id} at {host}: {text}"));
    answered.is_ok_and(|reply| reply.status == 200)
}
