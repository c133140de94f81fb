//! A burst of users whose requests have the largest bodies that the configuration allows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterellane_standins::site::EngineFault;
use tokio::time::{interval, sleep};

use crate::Verdict;
use crate::client::Connection;
use crate::fleet::{BOOKINGS, Fleet, HOST_NAME, KEY, MODELS, Runner};
use crate::record::Record;

/// Daemons of the fleet; all clients of this case are forwarded to the first one.
const HOSTS: u32 = 3;
/// Runners of the small site, with 64 slots each.
const RUNNERS: usize = 9;
/// Interval between two users: 6 a second. In the zone `cork` of the site 7.87 requests a second come for
/// two machines, of which three in four are streams; the largest burst there is 2.4 times as many.
const USER_INTERVAL: Duration = Duration::from_millis(165);
/// Time for which users come.
const BURST_SPAN: Duration = Duration::from_secs(20);
/// `max_body_bytes` of the site's configuration.
const LARGEST_BODY: usize = 4_194_304;
/// Largest body of a request on the site's sheet, used without the disruption.
const USUAL_BODY: usize = 17_000;
/// `memory_mb` of a machine, in KiB.
const MEMORY_KIB: u64 = 260 * 1024;
/// Interval at which the platform looks at the memory of the process.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// Events of a stream (the sheet's 57) and the pause before each; 300 ms are in time.
const EVENTS: u64 = 57;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Time until a runner begins to answer.
const FIRST_EVENT_MILLIS: u64 = 1_150;
/// Requests on kept connections that the rule allows to be lost.
const ALLOWED: usize = 3;

pub async fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let fleet = Fleet::start(record.clone()).await.ok()?;
    let _bookings = Runner::start(&fleet, "b-0", BOOKINGS, &[], &[]).await.ok()?;
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let name = format!("i-{number}");
        let runner = Runner::start(&fleet, &name, MODELS, &["m1"], &["m1"]).await.ok()?;
        runner.engine.set_stream(EVENTS, EVENT_PAUSE);
        for _ in 0..200 {
            runner.engine.push_fault(EngineFault::Slow(FIRST_EVENT_MILLIS));
        }
        runners.push(runner);
    }
    fleet.put_configuration(1);
    let mut hosts = fleet.start_hosts(HOSTS).await?;
    let callers = hosts[0].callers;
    record.line(&format!("daemon 1 uses {} KiB at first", hosts[0].resident_kib()));
    let unanswered: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let size = if trouble { LARGEST_BODY } else { USUAL_BODY };
    record.line(&format!("clients: 6 users a second with bodies of {size} bytes"));
    let burst = tokio::spawn(send_burst(callers, size, record.clone(), unanswered.clone()));
    let mut peak = 0;
    let end = Instant::now() + BURST_SPAN;
    while Instant::now() < end {
        let resident = hosts[0].resident_kib();
        peak = peak.max(resident);
        if resident > MEMORY_KIB {
            record.line(&format!("platform: daemon 1 uses {resident} KiB and is killed"));
            hosts[0].kill();
            break;
        }
        sleep(LOOK_INTERVAL).await;
    }
    burst.abort();
    // Connections that end with the process are noticed at once.
    sleep(Duration::from_millis(300)).await;
    let mut ran = BTreeSet::new();
    for runner in &runners {
        for seen in runner.engine.seen().iter().filter(|seen| seen.ran) {
            ran.insert(seen.id.clone());
            let (name, bytes) = (&runner.engine.name, seen.body.len());
            record.line_at(seen.at, &format!("runner {name} runs {}, {bytes} bytes", seen.id));
        }
    }
    let unanswered = unanswered.lock().expect("no panic").clone();
    let lost = unanswered.intersection(&ran).count();
    record.line(&format!(
        "peak {peak} KiB of {MEMORY_KIB}; {lost} requests of kept connections had reached a sound \
        runner and got no answer, {} more were not passed on; {ALLOWED} are allowed",
        unanswered.len() - lost
    ));
    Some(lost <= ALLOWED)
}

/// Lets users come, each with a connection of its own that it keeps for two requests.
async fn send_burst(
    callers: SocketAddr,
    size: usize,
    record: Arc<Record>,
    unanswered: Arc<Mutex<BTreeSet<String>>>,
) {
    let mut ticks = interval(USER_INTERVAL);
    for number in 0_u64.. {
        ticks.tick().await;
        let (record, unanswered) = (record.clone(), unanswered.clone());
        tokio::spawn(async move {
            let Ok(mut connection) = Connection::open(callers).await else { return };
            let first = format!("a{number}");
            if !call(&mut connection, "GET", "/read/1", &first, 0, &record).await {
                return;
            }
            let id = format!("b{number}");
            if !call(&mut connection, "POST", "/draft/1", &id, size, &record).await {
                unanswered.lock().expect("no panic").insert(id);
            }
        });
    }
}

/// Sends a request and waits for its response; returns whether its head came.
async fn call(
    connection: &mut Connection,
    method: &str,
    path: &str,
    id: &str,
    size: usize,
    record: &Record,
) -> bool {
    let key = format!("Bearer {KEY}");
    let own: u64 = id.bytes().fold(7, |sum, byte| sum * 131 % 0xffff_fff1 + u64::from(byte));
    let prompt = format!("5c1e07a2:210,91bd3f06:140,{own:x}:1110");
    let mut headers = vec![
        ("Host", HOST_NAME),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "15000"),
        ("Authorization", key.as_str()),
    ];
    if method == "POST" {
        headers.extend([
            ("X-Model", "m1"),
            ("X-Token-Count", "1460,171"),
            ("X-Prompt-Prefix", prompt.as_str()),
        ]);
    }
    let at = Instant::now();
    let answered = async {
        connection.send(method, path, &headers, &vec![b'x'; size]).await?;
        connection.reply().await
    };
    let answered = answered.await;
    let text = match &answered {
        Ok(reply) => format!("{} complete={}", reply.status, reply.complete),
        Err(error) => format!("no answer: {error}"),
    };
    record.line_at(at, &format!("client: {id} {method} {path} with {size} bytes: {text}"));
    answered.is_ok()
}
