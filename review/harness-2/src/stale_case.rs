//! A key is taken away; one machine is killed and starts again while reads of the store are behind.
//! Does a request with that key run that was sent later than `revoke_ms` after the change?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use dotterellane_standins::site::SiteEngine;
use tokio::time::sleep;

use crate::fleet::{BOOKINGS, DaemonSettings, Place, Record, configuration, eventually};
use crate::store::{RowWriter, TimedStore};
use crate::{Held, Outcome};

const KEPT: &str = "key-that-stays";
const TAKEN: &str = "key-that-is-taken-away";

/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// How far reads of the store are behind.
const LAG: Duration = Duration::from_millis(5_500);

/// From the acknowledgement of the change to the kill, and how long the machine is down.
const KILL_AFTER: Duration = Duration::from_millis(4_300);
const DOWN_SPAN: Duration = Duration::from_millis(500);

pub async fn run(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let place = Place::new()?;
    let store = TimedStore::start().await?;
    store.vary_delay();
    let mut engines = Vec::new();
    for name in ["i-booking-1", "i-booking-2"] {
        let engine = SiteEngine::start(name, &[], &[]).await?;
        engine.set_zone("dub-north");
        engines.push(Arc::new(engine));
    }
    store.put("op", "config", &configuration(7, &[KEPT, TAKEN], 4));
    let settings = |number, bootstrap| DaemonSettings {
        number,
        store: store.address(),
        processor: 0.25,
        bootstrap,
    };
    let mut daemons = Vec::new();
    for number in 1..=3 {
        daemons.push(place.start(&settings(number, true))?);
    }
    let ended = Arc::new(AtomicBool::new(false));
    let beats = tokio::spawn(write_rows(store.writer(), engines.clone(), ended.clone()));
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
    sleep(Duration::from_secs(8)).await;
    let header = |key: &str| format!("Authorization: Bearer {key}\r\n");
    let sound = daemons[0].call("/roster/before", "before", &header(TAKEN)).await;
    record.note(&format!("request before (roster-read, key {TAKEN}) at front-1: {}", sound.status));
    if sound.status != 200 {
        return Ok(Outcome::CouldNotRun);
    }
    if trouble {
        record.note("the store forgets its history; its reads are 5.5 s behind from now on");
        store.fall_behind(LAG);
    }
    sleep(Duration::from_millis(300)).await;
    store.put("op", "config", &configuration(9, &[KEPT], 4));
    let acked = Instant::now();
    record.note(&format!("the store acknowledges revision 9, which takes away {TAKEN}"));
    if trouble {
        sleep(KILL_AFTER.saturating_sub(acked.elapsed())).await;
        record.note("SIGKILL to front-1");
        daemons[0].kill();
        sleep(DOWN_SPAN).await;
        daemons[0] = place.start(&settings(1, false))?;
        record.note("front-1 starts again");
    }
    sleep((REVOKE + Duration::from_millis(50)).saturating_sub(acked.elapsed())).await;
    let mut late = Vec::new();
    while acked.elapsed() < REVOKE + Duration::from_millis(2_500) {
        let (id, sent) = (format!("late-{}", late.len()), acked.elapsed());
        let answer = daemons[0].call("/roster/after", &id, &header(TAKEN)).await;
        record.note(&format!(
            "request {id} sent {} ms after the ack: {}",
            sent.as_millis(),
            answer.status
        ));
        late.push(id);
        sleep(Duration::from_millis(50)).await;
    }
    let others = daemons[1].call("/roster/after", "other", &header(TAKEN)).await;
    record.note(&format!("the same at front-2: {}", others.status));
    ended.store(true, Ordering::Relaxed);
    let _ = beats.await;
    let mut ran = 0;
    for engine in &engines {
        for seen in engine.seen() {
            if seen.ran {
                record.note_at(seen.at, &format!("{} runs {}", engine.name, seen.id));
                ran += usize::from(late.contains(&seen.id));
            }
        }
    }
    record.note(&format!(
        "{ran} of {} requests ran that were sent later than revoke_ms after the ack",
        late.len()
    ));
    Ok(Outcome::Judged(if ran > 0 { Held::No } else { Held::Yes }))
}

async fn write_rows(store: RowWriter, engines: Vec<Arc<SiteEngine>>, ended: Arc<AtomicBool>) {
    let mut sequence = 0;
    while !ended.load(Ordering::Relaxed) {
        sequence += 1;
        for engine in &engines {
            store.put("servers", &engine.name, &engine.row(BOOKINGS, sequence, false));
        }
        sleep(Duration::from_millis(1_200)).await;
    }
}
