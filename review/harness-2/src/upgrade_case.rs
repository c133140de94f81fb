//! The runners of a service are upgraded in place, one after the other, while one machine is cut off from
//! the store and the other machines. Do its streams go on at another version than the one that began
//! them?

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use dotterellane_standins::site::{
    EngineCapacity, LinkMode, MeshMode, SiteEngine, SiteLink, SiteMesh,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::{
    DaemonSettings, Events, MODELS, Place, Record, configuration, eventually, read_stream,
};
use crate::store::{RowWriter, TimedStore};
use crate::{Held, Outcome};

/// How long the machine is cut off.
const CUT_SPAN: Duration = Duration::from_millis(5_500);

/// From the beginning of the cut to the first upgrade.
const FIRST_UPGRADE: Duration = Duration::from_millis(300);

/// From the load of the model at the first upgraded runner to the second upgrade.
const NEXT_UPGRADE: Duration = Duration::from_millis(1_000);

/// Pause between two streams that begin at a machine.
const STREAM_PAUSE: Duration = Duration::from_millis(150);

/// Streams that may be joined before the rule is broken.
const ALLOWED_STREAMS: usize = 2;

struct ClientStream {
    id: String,
    host: String,
    began: Instant,
    status: u16,
    whole: bool,
    events: Events,
}

pub async fn run(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let place = Place::new()?;
    let store = TimedStore::start().await?;
    store.vary_delay();
    let mut engines = Vec::new();
    for name in ["i-runner-1", "i-runner-2", "i-runner-3", "i-runner-4"] {
        let engine = SiteEngine::start(name, &["m1"], &["m1"]).await?;
        engine.set_zone("dub-north");
        engine.set_version("v1");
        engine.set_stream(100, Duration::from_millis(50));
        engine.set_capacity(EngineCapacity { models: 3, adapters: 8 }, Duration::from_secs(1));
        engines.push(Arc::new(engine));
    }
    store.put("op", "config", &configuration(7, &["key-of-partner-a"], 4));
    let peers: Vec<_> = (1..=3).map(|number| place.peer_address(number)).collect();
    let mesh = SiteMesh::start(&peers, 1).await?;
    for peer in &peers {
        store.set_alias(&peer.to_string(), &mesh.address_of(*peer).to_string());
    }
    let link = SiteLink::start(store.address()).await?;
    let ended = Arc::new(AtomicBool::new(false));
    let mut beats = JoinSet::new();
    for engine in &engines {
        beats.spawn(write_rows(store.writer(), engine.clone(), ended.clone()));
    }
    let mut daemons = Vec::new();
    for number in 1..=3 {
        let store = if number == 3 { link.address } else { store.address() };
        // The first one leads, as it has most processor.
        let processor = if number == 1 { 1.0 } else { 0.25 };
        daemons.push(place.start(&DaemonSettings { number, store, processor, bootstrap: true })?);
    }
    let ready = async || {
        let mut ready = true;
        for daemon in &daemons {
            let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
            ready &= daemon.is_ready().await && log.matches("peer appeared").count() >= 2;
        }
        ready
    };
    if !eventually(Duration::from_secs(15), ready).await {
        record.note("the daemons did not start");
        return Ok(Outcome::CouldNotRun);
    }
    // A request that waits for an adapter, so that the machines tell the leader what they are asked for.
    sleep(Duration::from_secs(2)).await;
    let (first, second) = (&daemons[0], &daemons[1]);
    tokio::join!(
        first.call("/notice/plan", "first-1", "X-Model: m1/a1\r\n"),
        second.call("/notice/plan", "first-2", "X-Model: m1/a1\r\n"),
    );
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for daemon in &daemons {
        clients.spawn(begin_streams(daemon.name.clone(), daemon.ip.clone(), stopped.clone()));
    }
    sleep(Duration::from_secs(3)).await;

    let cut_at = Instant::now();
    if trouble {
        record.note("front-3 is cut off from the store and from the other machines");
        link.set_mode(LinkMode::Silent);
        mesh.set_mode(place.peer_address(3), MeshMode::Isolated);
    }
    sleep(FIRST_UPGRADE).await;
    upgrade(record, &store.writer(), &engines[1]);
    let loaded = async || holds(&engines[1]);
    if !eventually(Duration::from_secs(8), loaded).await {
        record.note("nobody loaded the model at i-runner-2");
        return Ok(Outcome::CouldNotRun);
    }
    record.note("i-runner-2 holds m1 again, as the leader ordered");
    sleep(NEXT_UPGRADE).await;
    upgrade(record, &store.writer(), &engines[0]);
    sleep(CUT_SPAN.saturating_sub(cut_at.elapsed())).await;
    if trouble {
        record.note("the cut ends");
        link.set_mode(LinkMode::Open);
        mesh.set_mode(place.peer_address(3), MeshMode::Open);
    }
    stopped.store(true, Ordering::Relaxed);
    let streams: Vec<ClientStream> = clients.join_all().await.into_iter().flatten().collect();
    ended.store(true, Ordering::Relaxed);
    beats.join_all().await;
    let mut joined = 0;
    for stream in &streams {
        let versions: BTreeSet<&str> = stream.events.iter().map(|(_, of)| of.as_str()).collect();
        joined += usize::from(versions.len() > 1);
        record.note_at(
            stream.began,
            &format!(
                "{} at {} gets {}, {} events of {versions:?}, {}",
                stream.id,
                stream.host,
                stream.status,
                stream.events.len(),
                if stream.whole { "whole" } else { "broken off" }
            ),
        );
    }
    for engine in &engines {
        for seen in engine.seen().iter().filter(|seen| seen.ran) {
            let after = seen.headers.get("last-event-id").and_then(|value| value.to_str().ok());
            record.note_at(seen.at, &format!("{} runs {} after {after:?}", engine.name, seen.id));
        }
    }
    record.note(&format!("{} streams, {joined} hold events of two versions", streams.len()));
    Ok(Outcome::Judged(if joined > ALLOWED_STREAMS { Held::No } else { Held::Yes }))
}

/// Restarts a runner with version v2 under its id; it writes its row at once.
fn upgrade(record: &Record, store: &RowWriter, engine: &SiteEngine) {
    record.note(&format!(
        "{} is upgraded: it starts again as v2, under its id, and empty",
        engine.name
    ));
    engine.restart_as("v2");
    store.put("servers", &engine.name, &engine.row(MODELS, 1, false));
}

fn holds(engine: &SiteEngine) -> bool {
    let row = String::from_utf8(engine.row(MODELS, 0, false)).unwrap_or_default();
    let row: serde_json::Value = serde_json::from_str(&row).unwrap_or_default();
    row["models"].as_array().is_some_and(|models| !models.is_empty())
}

async fn begin_streams(host: String, ip: String, stopped: Arc<AtomicBool>) -> Vec<ClientStream> {
    let mut open = JoinSet::new();
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        open.spawn(follow_stream(host.clone(), ip.clone(), format!("{host}-{number}")));
        sleep(STREAM_PAUSE).await;
    }
    open.join_all().await
}

async fn follow_stream(host: String, ip: String, id: String) -> ClientStream {
    let headers = "X-Model: m1\r\nX-Token-Count: 100,100\r\n";
    let began = Instant::now();
    let mut events = Events::new();
    let (status, whole) = read_stream(&ip, "notice", &id, headers, &mut events).await;
    ClientStream { id, host, began, status, whole, events }
}

async fn write_rows(store: RowWriter, engine: Arc<SiteEngine>, ended: Arc<AtomicBool>) {
    let mut sequence = 1;
    while !ended.load(Ordering::Relaxed) {
        sequence += 1;
        store.put("servers", &engine.name, &engine.row(MODELS, sequence, false));
        sleep(Duration::from_millis(1_200)).await;
    }
}
