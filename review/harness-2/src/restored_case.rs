//! A key is taken away; the store comes back from an older copy, and one machine starts again just then.
//! Does a request with that key run that was sent later than `revoke_ms` after the change?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use dotterellane_standins::site::SiteEngine;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::{BOOKINGS, DaemonSettings, Place, Record, call_at, configuration, eventually};
use crate::store::{RowWriter, TimedStore};
use crate::{Held, Outcome};

const KEPT: &str = "key-that-stays";
const TAKEN: &str = "key-that-is-taken-away";

/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Age of the copy, and for how long the store is away.
const COPY_AGE: Duration = Duration::from_millis(5_600);
const AWAY_SPAN: Duration = Duration::from_millis(400);

/// From the return of the store until the operator writes again.
const REWRITE_AFTER: Duration = Duration::from_millis(1_500);

/// Pause between two requests with the key.
const CALL_PAUSE: Duration = Duration::from_millis(10);

pub async fn run(record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let place = Place::new()?;
    let store = TimedStore::start().await?;
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
    store.put("op", "config", &configuration(9, &[KEPT], 4));
    let acked = Instant::now();
    record.note(&format!("the store acknowledges revision 9, which takes away {TAKEN}"));
    let back_at = REVOKE + Duration::from_millis(350);
    if trouble {
        sleep((back_at - Duration::from_millis(500)).saturating_sub(acked.elapsed())).await;
        record.note("SIGKILL to front-1");
        daemons[0].kill();
        sleep((back_at - AWAY_SPAN).saturating_sub(acked.elapsed())).await;
        record.note("the store is away");
        store.leave();
        sleep(back_at.saturating_sub(acked.elapsed())).await;
        store.come_back(COPY_AGE);
        record.note("the store is back from a copy that is 5.6 s old; front-1 starts again");
        daemons[0] = place.start(&settings(1, false))?;
    } else {
        sleep(back_at.saturating_sub(acked.elapsed())).await;
    }
    let back = Instant::now();
    let mut calls = JoinSet::new();
    let mut rewritten = false;
    while back.elapsed() < REWRITE_AFTER + Duration::from_millis(500) {
        if !rewritten && back.elapsed() >= REWRITE_AFTER {
            store.put("op", "config", &configuration(9, &[KEPT], 4));
            record.note("the operator writes revision 9 again");
            rewritten = true;
        }
        let (ip, id) = (daemons[0].ip.clone(), format!("late-{}", calls.len()));
        calls.spawn(async move {
            let sent = Instant::now();
            let header = format!("Authorization: Bearer {TAKEN}\r\n");
            (sent, call_at(&ip, "/roster/after", &id, &header).await.status, id)
        });
        sleep(CALL_PAUSE).await;
    }
    let mut late = Vec::new();
    for (sent, status, id) in calls.join_all().await {
        let after = sent.duration_since(acked).as_millis();
        record.note_at(sent, &format!("request {id} sent {after} ms after the ack: {status}"));
        late.push(id);
    }
    ended.store(true, Ordering::Relaxed);
    let _ = beats.await;
    let mut ran = 0;
    for engine in &engines {
        for seen in engine.seen().iter().filter(|seen| seen.ran) {
            record.note_at(seen.at, &format!("{} runs {}", engine.name, seen.id));
            ran += usize::from(late.contains(&seen.id));
        }
    }
    record.note(&format!("{ran} of {} late requests ran", late.len()));
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
