//! Acquires, renews and releases the leader lease.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::leader_candidates::{
    LeaderCandidate, candidate_rank, has_much_larger_candidate,
};
use dotterellane_decisions::leader_lease::{LAST_FENCE, LeaseRow, LeaseStep, last_fence_before};
use dotterellane_platform::{CommitOutcome, RowCondition, RowWrite, TableRow, TableTransaction};
use dotterellane_units::{ClockInstant, FenceNumber, HostIncarnation, RowVersion};
use tokio::time::sleep;

use super::{LEADER_TIMEOUT, set_profiles};
use crate::messages::LeaseMark;
use crate::peers::send_heartbeat;
use crate::state::{Host, HostState, KnownLeader};

/// Key of the lease's row.
const LEASE_KEY: &str = "keeper/lease";

/// Additional election delay per candidate with a better rank.
const CANDIDATE_BACKOFF: Duration = Duration::from_millis(300);

/// Time after the start in which a host only listens for a leader.
const START_GRACE: Duration = Duration::from_millis(350);

/// Minimum time for which a new leader keeps the lease before it yields.
const MIN_LEASE_HOLD: Duration = Duration::from_millis(500);

/// Interval at which the next step for the lease is decided.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after reading the lease failed.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Holds the lease or watches it, until the daemon ends.
pub async fn run_election(host: Arc<Host>) {
    let started = host.now();
    loop {
        if let Some(cause) = cause_to_yield(&host) {
            yield_lease(&host, cause).await;
        }
        let step = lease_step(&host, started);
        match step {
            None => sleep(LEASE_POLL_INTERVAL).await,
            Some(LeaseStep::Wait(span)) => sleep(span.min(LEASE_POLL_INTERVAL)).await,
            Some(LeaseStep::Read) => read_lease(&host).await,
            Some(LeaseStep::Write { expected, row }) => {
                write_lease(&host, expected, row).await;
            }
        }
    }
}

/// Returns the next step for the lease; `None` if this host should not act now.
fn lease_step(host: &Host, started: ClockInstant) -> Option<LeaseStep> {
    let now = host.now();
    if host.leaving.is_cancelled() {
        return None;
    }
    let mut leadership = host.leadership.lock();
    let holds = leadership.lease.held(now).is_some();
    if !holds && leadership.is_leader {
        spdlog::warn!("leader lease expired", kv: { host = host.settings.host.as_str() });
        leadership.is_leader = false;
        leadership.plans.clear();
        leadership.updates.clear();
    }
    if !holds {
        let state = host.state();
        // Its orders would reach nobody.
        if state.bypasses {
            return None;
        }
        let silence = match &state.leader {
            Some(leader) if leader.host != host.settings.host => now.since(leader.heard),
            _ => {
                let leaderless =
                    state.leader_resigned_at.map_or(started + START_GRACE, |at| at.max(started));
                now.since(leaderless) + LEADER_TIMEOUT
            }
        };
        let rank = candidate_rank(live_candidates(&state, now), own_candidate(host));
        if silence < LEADER_TIMEOUT + CANDIDATE_BACKOFF.saturating_mul(rank)
            || now.since(started) < START_GRACE
        {
            return None;
        }
    }
    Some(leadership.lease.next_step(now))
}

fn own_candidate(host: &Host) -> LeaderCandidate<'_> {
    LeaderCandidate {
        host: &host.settings.host,
        incarnation: host.incarnation,
        processor: host.settings.processor,
    }
}

/// Returns the other hosts that could be the leader now.
fn live_candidates(
    state: &HostState,
    now: ClockInstant,
) -> impl Iterator<Item = LeaderCandidate<'_>> {
    let silence = HeartbeatPace::of(state.peers.len()).silence_timeout;
    let live = state
        .peers
        .iter()
        .filter(move |(_, peer)| now.since(peer.heard) < silence && !peer.leaving && peer.fresh)
        .filter(|(_, peer)| !peer.reach.cut_off);
    live.map(|(host, peer)| LeaderCandidate {
        host,
        incarnation: peer.incarnation,
        processor: peer.processor,
    })
}

/// Returns why this host should not be the leader although it is: it is cut off from the runners, or a
/// much larger host could be, of which it did not know when it acquired the lease.
fn cause_to_yield(host: &Host) -> Option<&'static str> {
    let now = host.now();
    let may_yield = {
        let leadership = host.leadership.lock();
        leadership.is_leader && now.since(leadership.acquired_at) > MIN_LEASE_HOLD
    };
    let state = host.state();
    if !may_yield {
        return None;
    }
    if state.bypasses && live_candidates(&state, now).next().is_some() {
        return Some("it reaches no upstream");
    }
    let has_larger = has_much_larger_candidate(live_candidates(&state, now), own_candidate(host));
    has_larger.then_some("there is a larger host")
}

/// Releases the lease while the daemon keeps running.
async fn yield_lease(host: &Host, cause: &str) {
    spdlog::info!("leader yields", kv: {
        host = host.settings.host.as_str(),
        cause = cause,
    });
    {
        let mut state = host.state();
        state.leader = None;
        state.leader_resigned_at = Some(host.now());
    }
    release_lease(host).await;
    host.leadership.lock().lease.require_read();
    send_heartbeat(host, false);
}

async fn read_lease(host: &Host) {
    let started = host.now();
    let read = host.platform.table.read(vec![LEASE_KEY.to_owned()]).await;
    let label = if read.is_ok() { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["read_lease", label]).inc();
    match read {
        Ok(rows) => {
            let row = rows.first();
            let era = host.state().store_era.unwrap_or_default();
            let version = row.map_or(RowVersion { era, number: 0 }, |row| row.version);
            let content = row.map(|row| read_lease_row(host, row));
            host.leadership.lock().lease.on_row(started, version, content);
        }
        Err(error) => {
            spdlog::warn!("leader lease cannot be read", kv: {
                cause = error.to_string().as_str(),
            });
            sleep(LEASE_RETRY_DELAY).await;
        }
    }
}

/// Parses the lease's row. An invalid row counts as held by an unknown host, with a fencing number
/// that no holder can have reached.
fn read_lease_row(host: &Host, row: &TableRow) -> LeaseRow {
    let cause = match postcard::from_bytes::<LeaseRow>(&row.value) {
        Ok(lease) if lease.fence <= LAST_FENCE => return lease,
        Ok(lease) => format!("fencing number {} is above {LAST_FENCE}", lease.fence),
        Err(error) => error.to_string(),
    };
    spdlog::error!("row of the leader lease cannot be read", kv: {
        version = row.version.to_string().as_str(),
        cause = cause.as_str(),
    });
    let fence = last_fence_before(row.version.era).0.saturating_add(row.version.number);
    LeaseRow {
        holder: host.settings.host.clone(),
        incarnation: HostIncarnation(0),
        fence: FenceNumber(fence).min(LAST_FENCE),
        released: false,
    }
}

async fn write_lease(host: &Arc<Host>, expected: RowVersion, row: LeaseRow) {
    let started = host.now();
    match commit_lease(host, expected, &row).await {
        Ok(Some(version)) => {
            let first = {
                let mut leadership = host.leadership.lock();
                leadership.lease.on_written(started, version, row.clone());
                let first = !std::mem::replace(&mut leadership.is_leader, true);
                if first {
                    leadership.acquired_at = host.now();
                }
                first
            };
            if first {
                start_leading(host, &row, version);
            }
        }
        Ok(None) => host.leadership.lock().lease.require_read(),
        Err(cause) => {
            host.leadership.lock().lease.require_read();
            spdlog::warn!("leader lease cannot be written", kv: { cause = cause.as_str() });
            sleep(LEASE_POLL_INTERVAL).await;
        }
    }
}

/// Writes the lease's row; `None` if its version is not `expected`.
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

fn start_leading(host: &Arc<Host>, row: &LeaseRow, version: RowVersion) {
    spdlog::info!("leader lease taken", kv: {
        fence = row.fence.0,
        version = version.to_string().as_str(),
    });
    let now = host.now();
    let document = {
        let mut state = host.state();
        let mark = LeaseMark { fence: row.fence, row: version };
        state.leader = Some(KnownLeader { host: host.settings.host.clone(), mark, heard: now });
        state.document.clone()
    };
    if let Some(document) = document {
        set_profiles(&mut host.leadership.lock(), &document, now);
    }
    // Plans must start from rows read from now on, as those known here may be outdated.
    host.configuration_wanted.notify_one();
    host.directory_wanted.notify_one();
    host.versions_wanted.notify_one();
    send_heartbeat(host, false);
    host.demand_changed.notify_one();
}

/// Releases the lease if this host holds it.
pub async fn release_lease(host: &Host) {
    let released = {
        let mut leadership = host.leadership.lock();
        leadership.is_leader = false;
        leadership.plans.clear();
        leadership.lease.release()
    };
    if let Some((version, row)) = released {
        match commit_lease(host, version, &row).await {
            Ok(_) => spdlog::info!("leader lease released", kv: { fence = row.fence.0 }),
            Err(cause) => spdlog::warn!("leader lease cannot be released", kv: {
                cause = cause.as_str(),
            }),
        }
    }
}
