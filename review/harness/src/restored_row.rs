//! A runner that left without a word is in the copy from which the store comes back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterellane_standins::site::StoreFault;
use tokio::time::{interval, sleep, sleep_until};

use crate::Verdict;
use crate::client::Connection;
use crate::fleet::{BOOKINGS, Fleet, HEARTBEAT, HOST_NAME, KEY, Runner};
use crate::record::Record;

/// Time between two requests: the site's 7.8 a second to this service, times its largest burst.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Age of the copy when the runner leaves.
const COPY_LEAD: Duration = Duration::from_millis(500);
/// Time from the runner's leaving until the store is away.
const LEFT_SPAN: Duration = Duration::from_millis(4_200);
/// Time for which the store is away.
const AWAY_SPAN: Duration = Duration::from_millis(300);
/// `drain_ms`.
const DRAIN_SPAN: Duration = Duration::from_secs(2);
/// `contact_ms`.
const CONTACT_SPAN: Duration = Duration::from_secs(3);
/// Status reports after whose absence the platform removes an entry.
const MISSED_REPORTS: u32 = 3;

#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Instant,
}

pub async fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let fleet = Fleet::start(record.clone()).await.ok()?;
    let mut runners = Vec::new();
    for number in 0..4 {
        let name = format!("i-{number}");
        runners.push(Runner::start(&fleet, &name, BOOKINGS, &[], &[]).await.ok()?);
    }
    let configuration = fleet.put_configuration(1);
    let hosts = fleet.start_hosts(3).await?;
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let load = tokio::spawn(send_requests(addresses, sent.clone(), record.clone()));
    sleep(Duration::from_secs(2)).await;

    let copy = fleet.store.copy();
    record.line("store: the copy is made");
    sleep(COPY_LEAD).await;
    let leaver = &runners[0];
    leaver.fall_silent();
    fleet.store.remove("servers", &leaver.engine.name);
    let left = Instant::now();
    record.line(
        "runner i-0 leaves without reporting draining: its entry is removed; it goes on serving",
    );
    sleep_until((left + LEFT_SPAN).into()).await;
    let mut returned = Instant::now();
    if trouble {
        fleet.store.set_fault(StoreFault::Busy);
        record.line("store: away (503)");
        sleep(AWAY_SPAN).await;
        fleet.store.restore(copy);
        fleet.store.set_fault(StoreFault::None);
        returned = Instant::now();
        record.line("store: back from the copy, Store-Era one higher");
        // The operator writes again what it wrote; the other runners do so with their next reports.
        fleet.store.put("op", "config", &configuration);
        sleep_until((returned + HEARTBEAT * MISSED_REPORTS).into()).await;
        fleet.store.remove("servers", &leaver.engine.name);
        record.line("platform: entry i-0 removed after three status report intervals of silence");
    }
    sleep_until((returned + CONTACT_SPAN + DRAIN_SPAN).into()).await;
    load.abort();

    let sent = sent.lock().expect("no panic").clone();
    let mut broken = 0;
    let mut out_of_touch = 0;
    for seen in leaver.engine.seen() {
        record.line_at(seen.at, &format!("runner i-0 runs {} {}", seen.id, seen.target));
        let Some(request) = sent.iter().find(|sent| sent.id == seen.id) else { continue };
        if request.at <= left + DRAIN_SPAN {
            continue;
        }
        // Machines count as in touch once the store has been without impairment for contact_ms.
        let in_touch =
            !trouble || request.at <= left + LEFT_SPAN || request.at > returned + CONTACT_SPAN;
        if in_touch {
            broken += 1;
        } else {
            out_of_touch += 1;
        }
    }
    record.line(&format!(
        "{broken} requests that were sent later than drain_ms after the runner had gone reached it \
        from machines in touch; {out_of_touch} more within contact_ms after the store's return"
    ));
    Some(broken == 0)
}

async fn send_requests(hosts: Vec<SocketAddr>, sent: Arc<Mutex<Vec<Sent>>>, record: Arc<Record>) {
    let mut ticks = interval(REQUEST_INTERVAL);
    for number in 0_u64.. {
        ticks.tick().await;
        let host = hosts[usize::try_from(number).unwrap_or(0) % hosts.len()];
        let (sent, record) = (sent.clone(), record.clone());
        tokio::spawn(async move {
            let (id, key) = (format!("q{number}"), format!("Bearer {KEY}"));
            let at = Instant::now();
            sent.lock().expect("no panic").push(Sent { id: id.clone(), at });
            let headers = [
                ("Host", HOST_NAME),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "4000"),
                ("Authorization", key.as_str()),
            ];
            let unsafe_one = number % 5 < 3;
            let (method, path) = if unsafe_one { ("POST", "/book/1") } else { ("GET", "/read/1") };
            let call = async {
                let mut connection = Connection::open(host).await?;
                connection.send(method, path, &headers, b"booking").await?;
                connection.reply().await
            };
            let answer = match call.await {
                Ok(reply) => format!("{} complete={}", reply.status, reply.complete),
                Err(error) => error.to_string(),
            };
            record.line_at(at, &format!("client: {id} {method} {path} at {host}: {answer}"));
        });
    }
}
