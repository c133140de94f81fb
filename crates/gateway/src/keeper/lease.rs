//! Taking the keeper's lease, renewing it and giving it back.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::leader_candidates::{
    LeaderCandidate, candidate_rank, has_much_larger_candidate,
};
use dotterellane_decisions::leader_lease::{LeaseRow, LeaseStep};
use dotterellane_platform::{CommitOutcome, RowCondition, RowWrite, TableRow, TableTransaction};
use dotterellane_units::{ClockInstant, FenceNumber, HostIncarnation, RowVersion};
use tokio::time::sleep;

use super::{KEEPER_SILENCE, set_facts};
use crate::messages::KeeperMark;
use crate::peers::send_beat;
use crate::state::{Host, HostState, KnownKeeper};

/// Key of the lease's row.
const LEASE_KEY: &str = "keeper/lease";

/// Further silence for each candidate that comes before.
const CANDIDATE_STEP: Duration = Duration::from_millis(300);

/// Time after the start in which a host only listens for a keeper.
const START_SILENCE: Duration = Duration::from_millis(350);

/// Time for which a host that took the lease keeps it at least.
const LEAST_KEEPING: Duration = Duration::from_millis(500);

/// Pause between two looks at what to do about the lease.
const LEASE_LOOK: Duration = Duration::from_millis(100);

/// Pause after the lease could not be read.
const LEASE_RETRY: Duration = Duration::from_millis(300);

/// Holds the lease or watches it, until the daemon ends.
pub async fn keep_lease(host: Arc<Host>) {
    let began = host.now();
    loop {
        if gives_way(&host) {
            give_way(&host).await;
        }
        let step = lease_step(&host, began);
        match step {
            None => sleep(LEASE_LOOK).await,
            Some(LeaseStep::Wait(span)) => sleep(span.min(LEASE_LOOK)).await,
            Some(LeaseStep::Read) => read_lease(&host).await,
            Some(LeaseStep::Write { expected, row }) => {
                write_lease(&host, expected, row).await;
            }
        }
    }
}

/// Returns what to do about the lease, `None` if this host is not the one to do anything now.
fn lease_step(host: &Host, began: ClockInstant) -> Option<LeaseStep> {
    let now = host.now();
    if host.leaving.is_cancelled() {
        return None;
    }
    let mut desk = host.desk.lock();
    let holds = desk.lease.held(now).is_some();
    if !holds && desk.keeping {
        spdlog::warn!("keeper's lease ran out", kv: { host = host.settings.host.as_str() });
        desk.keeping = false;
        desk.plans.clear();
        desk.news.clear();
    }
    if !holds {
        let state = host.state();
        let silence = match &state.keeper {
            Some(keeper) if keeper.host != host.settings.host => now.since(keeper.heard),
            _ => {
                let alone = state.keeper_left.map_or(began + START_SILENCE, |left| left.max(began));
                now.since(alone) + KEEPER_SILENCE
            }
        };
        let rank = candidate_rank(live_candidates(&state, now), own_candidate(host));
        if silence < KEEPER_SILENCE + CANDIDATE_STEP.saturating_mul(rank)
            || now.since(began) < START_SILENCE
        {
            return None;
        }
    }
    Some(desk.lease.next_step(now))
}

fn own_candidate(host: &Host) -> LeaderCandidate<'_> {
    LeaderCandidate {
        host: &host.settings.host,
        incarnation: host.incarnation,
        processor: host.settings.processor,
    }
}

/// Returns the other hosts that could keep now.
fn live_candidates(
    state: &HostState,
    now: ClockInstant,
) -> impl Iterator<Item = LeaderCandidate<'_>> {
    let silence = HeartbeatPace::of(state.peers.len()).silence_timeout;
    let live = state
        .peers
        .iter()
        .filter(move |(_, peer)| now.since(peer.heard) < silence && !peer.leaving && peer.fresh);
    live.map(|(host, peer)| LeaderCandidate {
        host,
        incarnation: peer.incarnation,
        processor: peer.processor,
    })
}

/// Tells whether this host keeps although a much larger one could: it took the lease before it knew.
fn gives_way(host: &Host) -> bool {
    let now = host.now();
    let kept = {
        let desk = host.desk.lock();
        desk.keeping && now.since(desk.taken) > LEAST_KEEPING
    };
    let state = host.state();
    kept && has_much_larger_candidate(live_candidates(&state, now), own_candidate(host))
}

/// Gives the lease back while the daemon runs on.
async fn give_way(host: &Host) {
    spdlog::info!("keeper gives way to a larger host", kv: {
        host = host.settings.host.as_str(),
    });
    {
        let mut state = host.state();
        state.keeper = None;
        state.keeper_left = Some(host.now());
    }
    release(host).await;
    host.desk.lock().lease.require_read();
    send_beat(host, false);
}

async fn read_lease(host: &Host) {
    let started = host.now();
    let read = host.platform.table.read(vec![LEASE_KEY.to_owned()]).await;
    let label = if read.is_ok() { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["read_lease", label]).inc();
    match read {
        Ok(rows) => {
            let row = rows.first();
            let version = row.map_or(RowVersion(0), |row| row.version);
            let content = row.map(|row| read_lease_row(host, row));
            host.desk.lock().lease.on_row(started, version, content);
        }
        Err(error) => {
            spdlog::warn!("keeper's lease cannot be read", kv: {
                cause = error.to_string().as_str(),
            });
            sleep(LEASE_RETRY).await;
        }
    }
}

/// Reads the lease's row. One that cannot be read counts as held by an unknown host, with a fencing
/// number that no holder can have reached.
fn read_lease_row(host: &Host, row: &TableRow) -> LeaseRow {
    postcard::from_bytes(&row.value).unwrap_or_else(|error| {
        spdlog::error!("row of the keeper's lease cannot be read", kv: {
            version = row.version.0,
            cause = error.to_string().as_str(),
        });
        LeaseRow {
            holder: host.settings.host.clone(),
            incarnation: HostIncarnation(0),
            fence: FenceNumber(row.version.0),
            released: false,
        }
    })
}

async fn write_lease(host: &Arc<Host>, expected: RowVersion, row: LeaseRow) {
    let started = host.now();
    match commit_lease(host, expected, &row).await {
        Ok(Some(version)) => {
            let first = {
                let mut desk = host.desk.lock();
                desk.lease.on_written(started, version, row.clone());
                let first = !std::mem::replace(&mut desk.keeping, true);
                if first {
                    desk.taken = host.now();
                }
                first
            };
            if first {
                take_over(host, &row, version);
            }
        }
        Ok(None) => host.desk.lock().lease.require_read(),
        Err(cause) => {
            host.desk.lock().lease.require_read();
            spdlog::warn!("keeper's lease cannot be written", kv: { cause = cause.as_str() });
            sleep(LEASE_LOOK).await;
        }
    }
}

/// Writes the lease's row; `None` if another version is there.
async fn commit_lease(
    host: &Host,
    expected: RowVersion,
    row: &LeaseRow,
) -> Result<Option<RowVersion>, String> {
    let value = postcard::to_stdvec(row).map_err(|error| error.to_string())?;
    let transaction = TableTransaction {
        conditions: vec![RowCondition { key: LEASE_KEY.to_owned(), version: expected }],
        writes: vec![RowWrite { key: LEASE_KEY.to_owned(), value: Some(value) }],
    };
    let committed = host.platform.table.commit(transaction).await;
    let label = if committed.is_ok() { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["write_lease", label]).inc();
    match committed {
        Ok(CommitOutcome::Committed(versions)) => Ok(versions.first().copied()),
        Ok(CommitOutcome::Conflict(_)) => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

fn take_over(host: &Arc<Host>, row: &LeaseRow, version: RowVersion) {
    spdlog::info!("keeper's lease taken", kv: { fence = row.fence.0, version = version.0 });
    let now = host.now();
    let document = {
        let mut state = host.state();
        let mark = KeeperMark { fence: row.fence, row: version };
        state.keeper = Some(KnownKeeper { host: host.settings.host.clone(), mark, heard: now });
        state.document.clone()
    };
    if let Some(document) = document {
        set_facts(&mut host.desk.lock(), &document, now);
    }
    // Plans start from rows that are read from now on; those known here may be old.
    host.configuration_wanted.notify_one();
    host.directory_wanted.notify_one();
    send_beat(host, false);
    host.demand_changed.notify_one();
}

/// Gives the lease back when the daemon leaves.
pub async fn release(host: &Host) {
    let released = {
        let mut desk = host.desk.lock();
        desk.keeping = false;
        desk.plans.clear();
        desk.lease.release()
    };
    if let Some((version, row)) = released {
        match commit_lease(host, version, &row).await {
            Ok(_) => spdlog::info!("keeper's lease given back", kv: { fence = row.fence.0 }),
            Err(cause) => spdlog::warn!("keeper's lease cannot be given back", kv: {
                cause = cause.as_str(),
            }),
        }
    }
}
