//! A second software version of the model runners comes; two machines are killed and start again while
//! reads of the store are behind. Do streams go on at another version than the one that began them?

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use dotterellane_standins::site::{EngineCapacity, SiteEngine};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::{
    DaemonSettings, Events, MODELS, Place, Record, configuration, eventually, read_stream,
};
use crate::store::{RowWriter, TimedStore};
use crate::{Held, Outcome};

const KEY: &str = "key-of-partner-a";

/// How far reads of the store are behind.
const LAG: Duration = Duration::from_millis(5_500);

/// From the first row of the new version to the kill, and how long the machines are down.
const KILL_AFTER: Duration = Duration::from_millis(5_000);
const DOWN_SPAN: Duration = Duration::from_millis(500);

/// Pause between two streams that begin at a machine.
const STREAM_PAUSE: Duration = Duration::from_millis(70);

/// When a client whose stream broke off asks again.
const RETRY_DELAYS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(550), Duration::from_millis(300)];

/// Streams that may be joined before the rule is broken.
const ALLOWED_STREAMS: usize = 2;

/// What a client got of its stream, over all its tries.
struct ClientStream {
    id: String,
    began: Instant,
    tries: Vec<(Instant, String, u16)>,
    events: Events,
}

pub async fn run(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let place = Place::new()?;
    let store = TimedStore::start().await?;
    store.vary_delay();
    let mut engines = Vec::new();
    for (name, version, models) in
        [("i-old-1", "v1", &["m1"][..]), ("i-old-2", "v1", &["m1"]), ("i-new-1", "v2", &[])]
    {
        let engine = SiteEngine::start(name, models, models).await?;
        engine.set_zone("dub-north");
        engine.set_version(version);
        engine.set_stream(60, Duration::from_millis(50));
        engine.set_capacity(EngineCapacity { models: 3, adapters: 8 }, Duration::from_secs(1));
        engines.push(Arc::new(engine));
    }
    store.put("op", "config", &configuration(7, &[KEY], 4));
    let settings = |number, bootstrap| DaemonSettings {
        number,
        store: store.address(),
        processor: 0.25,
        bootstrap,
    };
    let ended = Arc::new(AtomicBool::new(false));
    let mut beats = JoinSet::new();
    for engine in &engines[..2] {
        beats.spawn(write_rows(store.writer(), engine.clone(), ended.clone()));
    }
    let mut daemons = Vec::new();
    for number in 1..=4 {
        daemons.push(place.start(&settings(number, true))?);
    }
    let ready = async || {
        let mut ready = true;
        for daemon in &daemons {
            ready &= daemon.is_ready().await;
        }
        ready
    };
    if !eventually(Duration::from_secs(15), ready).await {
        record.note("the daemons did not start");
        return Ok(Outcome::CouldNotRun);
    }
    sleep(Duration::from_secs(3)).await;
    // Requests that wait for an adapter, so that the machines tell the leader what they are asked for.
    let headers = format!("Authorization: Bearer {KEY}\r\nX-Model: m1/a1\r\n");
    let call = |index: usize| {
        let daemon = &daemons[index];
        daemon.call("/draft/plan", if index == 0 { "first-0" } else { "first-1" }, &headers)
    };
    tokio::join!(call(0), call(1));
    record.note("i-new-1 of version v2 comes, without models");
    let come = Instant::now();
    beats.spawn(write_rows(store.writer(), engines[2].clone(), ended.clone()));

    // Clients at the first two machines, whose retries reach the other one of these.
    let streams = Arc::new(std::sync::Mutex::new(Vec::new()));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for (first, second) in [(0, 1), (1, 0)] {
        let ips = (daemons[first].ip.clone(), daemons[second].ip.clone());
        clients.spawn(begin_streams(first, ips, streams.clone(), stopped.clone()));
    }
    sleep((KILL_AFTER - Duration::from_millis(200)).saturating_sub(come.elapsed())).await;
    if trouble {
        record.note("the store forgets its history; its reads are 5.5 s behind from now on");
        store.fall_behind(LAG);
        sleep(KILL_AFTER.saturating_sub(come.elapsed())).await;
        record.note("SIGKILL to front-1 and front-2");
        daemons[0].kill();
        daemons[1].kill();
        stopped.store(true, Ordering::Relaxed);
        sleep(DOWN_SPAN).await;
        for number in [1, 2] {
            daemons[usize::from(number) - 1] = place.start(&settings(number, false))?;
        }
        record.note("front-1 and front-2 start again");
    }
    stopped.store(true, Ordering::Relaxed);
    clients.join_all().await;
    ended.store(true, Ordering::Relaxed);
    beats.join_all().await;
    let streams = streams.lock().expect("no panic");
    let (mut joined, mut resumed) = (0, 0);
    for stream in streams.iter() {
        for (at, host, status) in &stream.tries {
            record
                .note_at(*at, &format!("{} is sent to {host}, which answers {status}", stream.id));
        }
        let versions: BTreeSet<&str> = stream.events.iter().map(|(_, of)| of.as_str()).collect();
        resumed += usize::from(stream.tries.len() > 1 && stream.tries[0].2 == 200);
        joined += usize::from(versions.len() > 1);
        record.note_at(
            stream.began,
            &format!("{} got {} events of {versions:?}", stream.id, stream.events.len()),
        );
    }
    for engine in &engines {
        for seen in engine.seen().iter().filter(|seen| seen.ran) {
            let after = seen.headers.get("last-event-id").and_then(|value| value.to_str().ok());
            record.note_at(seen.at, &format!("{} runs {} after {after:?}", engine.name, seen.id));
        }
    }
    record.note(&format!(
        "{} streams, {resumed} taken up again, {joined} hold events of two versions",
        streams.len()
    ));
    let newer = streams.iter().flat_map(|stream| &stream.events).any(|(_, of)| of == "v2");
    if !newer {
        record.note("no stream began at v2");
        return Ok(Outcome::CouldNotRun);
    }
    Ok(Outcome::Judged(if joined > ALLOWED_STREAMS { Held::No } else { Held::Yes }))
}

async fn begin_streams(
    place: usize,
    ips: (String, String),
    streams: Arc<std::sync::Mutex<Vec<ClientStream>>>,
    stopped: Arc<AtomicBool>,
) {
    let mut open = JoinSet::new();
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        open.spawn(follow_stream(format!("c{place}-{number}"), ips.clone()));
        sleep(STREAM_PAUSE).await;
    }
    let all = open.join_all().await;
    streams.lock().expect("no panic").extend(all);
}

/// Reads one stream; a client that loses it takes it up again at the other machine.
async fn follow_stream(id: String, (first, second): (String, String)) -> ClientStream {
    let headers = format!(
        "Authorization: Bearer {KEY}\r\nX-Model: m1\r\nX-Token-Count: 100,60\r\n\
         X-Prompt-Prefix: {}:100\r\n",
        id.replace('-', "")
    );
    let began = Instant::now();
    let mut events = Events::new();
    let (mut status, mut whole) = read_stream(&first, "closure", &id, &headers, &mut events).await;
    let mut tries = vec![(began, first, status)];
    // A new request that was refused is not of interest here.
    if status == 200 && !events.is_empty() {
        for (index, delay) in RETRY_DELAYS.iter().enumerate() {
            if whole {
                break;
            }
            sleep(*delay).await;
            let last = events.last().map_or(0, |(number, _)| *number);
            let more = format!("{headers}Last-Event-Id: {last}\r\nResumes: {id}\r\n");
            let at = Instant::now();
            (status, whole) =
                read_stream(&second, "closure", &format!("{id}-r{index}"), &more, &mut events)
                    .await;
            tries.push((at, second.clone(), status));
        }
    }
    ClientStream { id, began, tries, events }
}

async fn write_rows(store: RowWriter, engine: Arc<SiteEngine>, ended: Arc<AtomicBool>) {
    let mut sequence = 0;
    while !ended.load(Ordering::Relaxed) {
        sequence += 1;
        store.put("servers", &engine.name, &engine.row(MODELS, sequence, false));
        sleep(Duration::from_millis(1_200)).await;
    }
}
