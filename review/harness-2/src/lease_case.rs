//! The leader is stopped as planned while the store is slow; then its successor is cut off from the
//! store and the other machines. Do both order the same runner within `lease_ms`?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use dotterellane_standins::site::{
    EngineCapacity, LinkMode, MeshMode, SiteEngine, SiteLink, SiteMesh,
};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::{
    Daemon, DaemonSettings, MODELS, Place, Record, call_at, configuration, eventually,
};
use crate::store::{RowWriter, TimedStore};
use crate::{Held, Outcome};

const KEY: &str = "key-of-partner-a";

/// `lease_ms` of the settings.
const LEASE: Duration = Duration::from_millis(3_000);

/// An answer of the store: 4 ms, and 50 times as long while it is slow.
const ANSWER: Duration = Duration::from_millis(4);
const SLOW_FACTOR: u32 = 50;

/// How long the store is slow, at most.
const SLOW_SPAN: Duration = Duration::from_millis(4_500);

/// How long the machine is cut off.
const CUT_SPAN: Duration = Duration::from_millis(5_500);

const ADAPTERS: u32 = 60;

/// Time between two calls at each machine; each names the next adapter.
const CALL_PAUSE: Duration = Duration::from_millis(200);

/// Calls of the model itself at the leader between two of these.
const PLAIN_CALLS: u32 = 4;

/// From a renewal of the lease to the cut: a heartbeat has told the others of it.
const CUT_AFTER: Duration = Duration::from_millis(160);

struct SeenOrder {
    at: Instant,
    holder: String,
    fence: u64,
    text: String,
}

pub async fn run(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let place = Place::new()?;
    let store = TimedStore::start().await?;
    store.set_delay(ANSWER);
    let engine = Arc::new(SiteEngine::start("i-runner-1", &["m1"], &["m1"]).await?);
    engine.set_zone("dub-north");
    engine.set_capacity(EngineCapacity { models: 3, adapters: 8 }, Duration::from_secs(6));
    engine.set_stream(3, Duration::from_millis(10));
    store.put("op", "config", &configuration(7, &[KEY], ADAPTERS));
    store.put("servers", &engine.name, &engine.row(MODELS, 1, false));

    let peers: Vec<_> = (1..=3).map(|number| place.peer_address(number)).collect();
    let mesh = SiteMesh::start(&peers, 1).await?;
    for peer in &peers {
        store.set_alias(&peer.to_string(), &mesh.address_of(*peer).to_string());
    }
    let link = SiteLink::start(store.address()).await?;
    let settings = |number, processor, store| DaemonSettings {
        number,
        store,
        processor,
        bootstrap: number != 2,
    };
    // The first one leads, as it has most processor. The second starts last and so succeeds it.
    let first = place.start(&settings(1, 1.0, store.address()))?;
    let third = place.start(&settings(3, 0.25, store.address()))?;
    sleep(Duration::from_millis(4_200)).await;
    let second = place.start(&settings(2, 0.25, link.address))?;
    let daemons = [&first, &second, &third];
    let met = async || {
        let mut met = true;
        for daemon in daemons {
            met &= daemon.is_ready().await && has_met_all(daemon);
        }
        met && first.has_logged("leader lease taken")
    };
    if !eventually(Duration::from_secs(15), met).await {
        record.note("the daemons did not start, or the first one does not lead");
        return Ok(Outcome::CouldNotRun);
    }
    let ended = Arc::new(AtomicBool::new(false));
    let beats = tokio::spawn(write_rows(store.writer(), engine.clone(), ended.clone()));
    sleep(Duration::from_secs(3)).await;

    let slow_since = Instant::now();
    if trouble {
        record.note("the store takes 200 ms for each answer from now on (50 times as long)");
        store.set_delay(ANSWER * SLOW_FACTOR);
        sleep(Duration::from_millis(700)).await;
        wait_for_renewal(&store).await;
    }
    record.note("SIGTERM to front-1, the leader");
    first.signal(Signal::TERM);
    let taken =
        async || second.has_logged("leader lease taken") || third.has_logged("leader lease taken");
    if !eventually(Duration::from_secs(8), taken).await {
        record.note("nobody took the lease over");
        return Ok(Outcome::CouldNotRun);
    }
    sleep(Duration::from_millis(900).min(SLOW_SPAN.saturating_sub(slow_since.elapsed()))).await;
    store.set_delay(ANSWER);
    record.note("the store answers in 4 ms again");
    let (leader, other) =
        if second.has_logged("leader lease taken") { (&second, &third) } else { (&third, &second) };
    record.note(&format!("{} leads", leader.name));

    // Clients ask for adapters that are not loaded, at both machines.
    let calls = [leader, other];
    let orders = Arc::new(std::sync::Mutex::new(Vec::<SeenOrder>::new()));
    let watching = watch_orders(&engine, &orders, &ended);
    let calling = async {
        let mut number = 0;
        let mut calls_open = JoinSet::new();
        while !ended.load(Ordering::Relaxed) {
            number += 1;
            let round = calls.iter().map(|daemon| {
                let adapter = number % ADAPTERS + 1;
                let id = format!("{}-{number}", daemon.name);
                let more = format!("Authorization: Bearer {KEY}\r\nX-Model: m1/a{adapter}\r\nX-Token-Count: 100,20\r\nX-Prompt-Prefix: {number:x}:100\r\n");
                (*daemon, id, more)
            });
            for (daemon, id, more) in round {
                calls_open.spawn(call(daemon.ip.clone(), id, more));
            }
            for plain in 0..PLAIN_CALLS {
                let id = format!("{}-{number}-{plain}", leader.name);
                let more = format!(
                    "Authorization: Bearer {KEY}\r\nX-Model: m1\r\nX-Token-Count: 100,20\r\n"
                );
                calls_open.spawn(call(leader.ip.clone(), id, more));
                sleep(CALL_PAUSE / PLAIN_CALLS).await;
            }
        }
        calls_open.join_all().await
    };
    let acting = async {
        sleep(Duration::from_millis(7_000)).await;
        if trouble && leader.name == second.name {
            wait_for_renewal(&store).await;
            sleep(CUT_AFTER).await;
            record.note("front-2 is cut off from the store and from the other machines");
            link.set_mode(LinkMode::Silent);
            mesh.set_mode(place.peer_address(2), MeshMode::Isolated);
            sleep(CUT_SPAN).await;
            record.note("the cut ends");
            link.set_mode(LinkMode::Open);
            mesh.set_mode(place.peer_address(2), MeshMode::Open);
            sleep(Duration::from_millis(1_500)).await;
        } else {
            sleep(CUT_SPAN + Duration::from_millis(1_500)).await;
        }
        ended.store(true, Ordering::Relaxed);
    };
    let ((), answered, ()) = tokio::join!(watching, calling, acting);
    let _ = beats.await;
    for (sent, id, status) in answered {
        record.note_at(sent, &format!("request {id} is sent and gets {status}"));
    }
    for write in store.commits("keeper/lease") {
        record.note_at(write.at, &format!("the store commits keeper/lease = {}", write.value));
    }
    let orders = orders.lock().expect("no panic");
    for order in orders.iter() {
        record.note_at(order.at, &format!("i-runner-1 gets {}", order.text));
    }
    if orders.is_empty() {
        record.note("no orders were given");
        return Ok(Outcome::CouldNotRun);
    }
    let mut held = Held::Yes;
    for pair in orders.windows(2) {
        let gap = pair[1].at - pair[0].at;
        if pair[0].holder != pair[1].holder {
            record.note(&format!(
                "the holder changes from {} (epoch {}) to {} (epoch {}) within {} ms",
                pair[0].holder,
                pair[0].fence,
                pair[1].holder,
                pair[1].fence,
                gap.as_millis()
            ));
            if gap < LEASE || pair[1].fence <= pair[0].fence {
                held = Held::No;
            }
        }
    }
    Ok(Outcome::Judged(held))
}

fn has_met_all(daemon: &Daemon) -> bool {
    let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
    log.matches("peer appeared").count() >= 2
}

/// Calls a machine; returns when, the request's id and the status.
async fn call(ip: String, id: String, more: String) -> (Instant, String, u16) {
    let sent = Instant::now();
    let answer = call_at(&ip, "/draft/plan", &id, &more).await;
    (sent, id, answer.status)
}

/// Writes the runner's row each 1.2 s, as runners do.
async fn write_rows(store: RowWriter, engine: Arc<SiteEngine>, ended: Arc<AtomicBool>) {
    let mut sequence = 1;
    while !ended.load(Ordering::Relaxed) {
        sequence += 1;
        store.put("servers", &engine.name, &engine.row(MODELS, sequence, false));
        sleep(Duration::from_millis(1_200)).await;
    }
}

async fn watch_orders(
    engine: &SiteEngine,
    orders: &std::sync::Mutex<Vec<SeenOrder>>,
    ended: &AtomicBool,
) {
    while !ended.load(Ordering::Relaxed) {
        let all = engine.orders();
        let mut seen = orders.lock().expect("no panic");
        for order in all.iter().skip(seen.len()) {
            seen.push(SeenOrder {
                at: Instant::now(),
                holder: order["holder"].as_str().unwrap_or("").to_owned(),
                fence: order["fence"].as_u64().unwrap_or(0),
                text: order.to_string(),
            });
        }
        drop(seen);
        sleep(Duration::from_millis(4)).await;
    }
}

async fn wait_for_renewal(store: &TimedStore) {
    let known = store.commits("keeper/lease").len();
    while store.commits("keeper/lease").len() == known {
        sleep(Duration::from_millis(3)).await;
    }
}
