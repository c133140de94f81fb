//! One version of the configuration adds a model with a long name and takes a key away.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::{interval, sleep};

use crate::Verdict;
use crate::client::Connection;
use crate::fleet::{BOOKINGS, Fleet, HOST_NAME, KEY, MODELS, OTHER_KEY, Runner};
use crate::record::Record;

/// Name of the model that is added: 71 bytes.
const LONG_NAME: &str = "qwen3-235b-a22b-instruct-2507-fp8-dynamic-rail-replacement-rosters-v12a";
/// Name of the model that is added without the disruption.
const SHORT_NAME: &str = "qwen3-235b-v12a";
/// Interval between two requests with each of the keys.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// `revoke_ms`.
const REVOKE_SPAN: Duration = Duration::from_secs(5);
/// Time for which requests go on after the change.
const WATCH_SPAN: Duration = Duration::from_secs(15);

#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Instant,
}

pub async fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let fleet = Fleet::start(record.clone()).await.ok()?;
    let mut runners = Vec::new();
    for number in 0..4 {
        let name = format!("b-{number}");
        runners.push(Runner::start(&fleet, &name, BOOKINGS, &[], &[]).await.ok()?);
    }
    let _models = Runner::start(&fleet, "i-0", MODELS, &["m1"], &["m1"]).await.ok()?;
    let first = fleet.put_configuration(1);
    let hosts = fleet.start_hosts(3).await?;
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let load = tokio::spawn(send_requests(callers, sent.clone(), record.clone()));
    sleep(Duration::from_secs(2)).await;

    let name = if trouble { LONG_NAME } else { SHORT_NAME };
    let mut next: Value = serde_json::from_slice(&first).ok()?;
    next["revision"] = json!(next["revision"].as_u64()? + 2);
    for service in next["services"].as_array_mut()? {
        if service["name"] == MODELS {
            let model = json!({"name": name, "weights_mb": 72700.0, "load_s": 6.0, "adapters": 0,
                "adapter_mb": 66.0, "warm_s": 1.2, "disk_s": 1.6});
            service["engine"]["models"].as_array_mut()?.push(model);
        }
    }
    next["tenants"][1]["api_keys"] = json!(["another-key-of-team-b"]);
    fleet.store.put("op", "config", next.to_string().as_bytes());
    let acked = Instant::now();
    record.line(&format!(
        "operator: a version adds the model {name} and takes a key of team-b away; acked"
    ));
    sleep(WATCH_SPAN).await;
    load.abort();
    let mut ready = 0;
    for host in &hosts {
        ready += usize::from(host.is_ready().await);
    }
    record.line(&format!("{ready} of {} daemons are ready", hosts.len()));

    let sent = sent.lock().expect("no panic").clone();
    let mut broken = 0;
    for runner in &runners {
        for seen in runner.engine.seen().iter().filter(|seen| seen.ran) {
            let tenant = seen.headers.get("x-tenant").and_then(|value| value.to_str().ok());
            let text = format!("runner {} runs {} of {tenant:?}", runner.engine.name, seen.id);
            record.line_at(seen.at, &text);
            let request = sent.iter().find(|sent| sent.id == seen.id);
            let is_late = request.is_some_and(|sent| sent.at > acked + REVOKE_SPAN);
            broken += usize::from(seen.id.starts_with('w') && is_late);
        }
    }
    record.line(&format!(
        "{broken} requests ran that were sent later than revoke_ms after the ack of the version \
        that took their key away"
    ));
    Some(broken == 0)
}

/// Sends bookings to each daemon in turn: those with `w` have the key that is taken away, those with
/// `k` the other one.
async fn send_requests(hosts: Vec<SocketAddr>, sent: Arc<Mutex<Vec<Sent>>>, record: Arc<Record>) {
    let mut ticks = interval(REQUEST_INTERVAL);
    for number in 0_usize.. {
        ticks.tick().await;
        for (name, key) in [("w", OTHER_KEY), ("k", KEY)] {
            let host = hosts[number % hosts.len()];
            let (sent, record) = (sent.clone(), record.clone());
            tokio::spawn(async move {
                let (id, key) = (format!("{name}{number}"), format!("Bearer {key}"));
                let at = Instant::now();
                sent.lock().expect("no panic").push(Sent { id: id.clone(), at });
                let headers = [
                    ("Host", HOST_NAME),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "4000"),
                    ("Authorization", key.as_str()),
                ];
                let call = async {
                    let mut connection = Connection::open(host).await?;
                    connection.send("POST", "/book/1", &headers, b"booking").await?;
                    connection.reply().await
                };
                let answer = match call.await {
                    Ok(reply) => reply.status.to_string(),
                    Err(error) => error.to_string(),
                };
                record.line_at(at, &format!("client: {id} at {host}: {answer}"));
            });
        }
    }
}
