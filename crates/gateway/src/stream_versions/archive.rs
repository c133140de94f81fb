//! Keeps in the store where streams began, while several software versions serve: after all hosts
//! were killed, nobody else knows.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::stream_versions::{OriginReport, STREAM_LIFETIME};
use dotterellane_platform::{RowWrite, TableRow, TableTransaction};
use dotterellane_units::{ClockInstant, StoreInstant};
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use crate::state::{Host, HostState};

/// Key prefix of the rows with streams.
const ARCHIVE_PREFIX: &str = "streams/";

/// Minimum interval between two writes of a host.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two writes of a host, for each host of the fleet: all together make 20 writes a
/// second at most.
const WRITE_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);

/// Number of streams in a row after which a host starts the next one.
const FULL_ROW_STREAMS: usize = 64;

/// Maximum number of streams that are added in one write.
const STREAMS_PER_WRITE: usize = 1_000;

/// Maximum number of expired rows that are removed at a time.
const REMOVED_PER_WRITE: usize = 50;

/// Minimum interval between the starts of two reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that requests wait for a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Content of a row: streams that began at one host.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
struct ArchiveRow {
    /// When it was last written, by the store's clock.
    written_at: StoreInstant,
    reports: Vec<OriginReport>,
}

impl ArchiveRow {
    fn streams(&self) -> usize {
        self.reports.iter().map(|report| report.streams.len()).sum()
    }

    fn is_expired(&self, now: StoreInstant) -> bool {
        let age = now.0.saturating_sub(self.written_at.0);
        Duration::from_millis(age) > STREAM_LIFETIME
    }
}

/// The last read of the archive; the lock is held while it is read.
#[derive(Debug, Default)]
pub struct ArchiveReading(Mutex<Option<ArchiveRead>>);

/// A read of the archive.
#[derive(Clone, Copy, Debug)]
struct ArchiveRead {
    started: ClockInstant,
    /// Whether the store answered.
    answered: bool,
}

/// Writes the streams that began here, until the daemon ends.
pub async fn write_archive(host: Arc<Host>) {
    let mut row = ArchiveRow::default();
    let mut number = 0_u64;
    loop {
        host.archive_wanted.notified().await;
        while let Some(added) = take_unwritten(&host) {
            if row.streams() >= FULL_ROW_STREAMS {
                row = ArchiveRow::default();
                number += 1;
            }
            let written = write_row(&host, number, &mut row, added).await;
            sleep(if written { write_interval(&host) } else { RETRY_DELAY }).await;
        }
    }
}

fn write_interval(host: &Host) -> Duration {
    let hosts = u32::try_from(host.state().peers.len() + 1).unwrap_or(u32::MAX);
    WRITE_INTERVAL_PER_HOST.saturating_mul(hosts).max(MIN_WRITE_INTERVAL)
}

fn take_unwritten(host: &Host) -> Option<Vec<OriginReport>> {
    let mut state = host.state();
    let clock = state.store_reading(host.now());
    let HostState { origins, versions, .. } = &mut *state;
    let is_wanted = |service: &_| versions.may_be_several(service, clock);
    let taken = origins.take_unwritten(STREAMS_PER_WRITE, is_wanted);
    (!taken.is_empty()).then_some(taken)
}

/// Adds streams to the row with this number; returns whether the store took it.
async fn write_row(
    host: &Host,
    number: u64,
    row: &mut ArchiveRow,
    added: Vec<OriginReport>,
) -> bool {
    let mut next = row.clone();
    next.reports.extend(added.iter().cloned());
    next.written_at = host.state().store_now(host.now()).unwrap_or_default();
    let key = format!("{ARCHIVE_PREFIX}{}/{}/{number:08}", host.settings.host, host.incarnation);
    let written = match postcard::to_stdvec(&next) {
        Ok(value) => commit(host, vec![RowWrite { key, value: Some(value) }]).await,
        Err(error) => Err(error.to_string()),
    };
    match written {
        Ok(()) => {
            *row = next;
            true
        }
        Err(cause) => {
            spdlog::warn!("origins of streams cannot be written", kv: { cause = cause.as_str() });
            host.state().origins.put_back_unwritten(&added);
            false
        }
    }
}

async fn commit(host: &Host, writes: Vec<RowWrite>) -> Result<(), String> {
    let transaction = TableTransaction { conditions: Vec::new(), writes };
    let committed = host.platform.table.commit(transaction).await;
    let label = if committed.is_ok() { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["write_streams", label]).inc();
    committed.map(|_| ()).map_err(|error| error.to_string())
}

/// Reads where streams began from the store, unless that was tried after `asked_at`; returns whether
/// the store answered.
pub async fn load_archive(host: &Arc<Host>, asked_at: ClockInstant) -> bool {
    let mut last = host.archive_reading.0.lock().await;
    if let Some(read) = last.filter(|read| read.started >= asked_at) {
        return read.answered;
    }
    if let Some(read) = *last {
        sleep((read.started + MIN_READ_INTERVAL).since(host.now())).await;
    }
    let started = host.now();
    let answered = read_archive(host).await;
    *last = Some(ArchiveRead { started, answered });
    answered
}

async fn read_archive(host: &Arc<Host>) -> bool {
    let scan = host.platform.table.scan(ARCHIVE_PREFIX);
    let scanned = timeout(READ_TIMEOUT, scan).await;
    let label = if matches!(scanned, Ok(Ok(_))) { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["read_streams", label]).inc();
    let cause = match scanned {
        Ok(Ok(rows)) => {
            let expired = adopt_rows(host, &rows);
            if !expired.is_empty() {
                remove_rows(host.clone(), expired);
            }
            return true;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_elapsed) => "no answer in time".to_owned(),
    };
    spdlog::warn!("origins of streams cannot be read", kv: { cause = cause.as_str() });
    false
}

/// Notes the streams of the rows; returns the keys of expired ones.
fn adopt_rows(host: &Host, rows: &[TableRow]) -> Vec<String> {
    let now = host.now();
    let mut state = host.state();
    let store_now = state.store_now(now);
    let mut expired = Vec::new();
    for row in rows {
        match postcard::from_bytes::<ArchiveRow>(&row.value) {
            Ok(content) if store_now.is_some_and(|now| content.is_expired(now)) => {
                expired.push(row.key.clone());
            }
            Ok(content) => {
                for report in &content.reports {
                    state.origins.absorb(now, report);
                }
            }
            Err(error) => spdlog::warn!("row with origins of streams cannot be read", kv: {
                row = row.key.as_str(),
                cause = error.to_string().as_str(),
            }),
        }
    }
    expired.truncate(REMOVED_PER_WRITE);
    expired
}

fn remove_rows(host: Arc<Host>, keys: Vec<String>) {
    tokio::spawn(async move {
        let writes = keys.into_iter().map(|key| RowWrite { key, value: None }).collect();
        if let Err(cause) = commit(&host, writes).await {
            spdlog::warn!("expired origins of streams stay in the store", kv: {
                cause = cause.as_str(),
            });
        }
    });
}
