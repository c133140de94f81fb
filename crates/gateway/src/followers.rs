//! Follows the operators' configuration and the directory of upstreams in the store.
//!
//! The leader polls the store all the time. Its heartbeats tell the other hosts what it saw and
//! when, by the store's clock, and it forwards the rows of the directory that affect routing. The
//! others poll the store themselves when what the leader saw differs from what they know, or when
//! nothing has confirmed their knowledge for a while.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_platform::{FeedBatch, FeedError, FeedRow, RowFeed, TableError};
use dotterellane_units::{ClockInstant, RegionId, RowVersion, UpstreamId};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::configuration_row::RowFault;
use crate::document::RoutingDocument;
use crate::evacuations;
use crate::leader;
use crate::messages::{ConfigurationMark, DirectoryRow, PeerMessage, StoreObservation};
use crate::notices;
use crate::peers::send_to_all;
use crate::settings::HostTuning;
use crate::state::{Host, HostState};

/// Age at which a host polls the store itself, as a fraction of the time in which changes must take
/// effect.
const POLL_AGE_FRACTION: f64 = 0.6;

/// Upper limit of that age: a poll may fail twice before the change is seen.
const MAX_POLL_AGE: Duration = Duration::from_millis(1_200);

/// Maximum number of directory rows in one datagram.
const ROWS_PER_DATAGRAM: usize = 8;

/// Minimum time between the starts of two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Poll interval of the leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(600);

/// Poll interval of the leader for the directory while it waits for a load to complete.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(180);

/// Minimum interval between two snapshots that are read because changes were answered from behind.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a failed call to the store.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of faults of one version of the configuration that are logged.
const MAX_LOGGED_FAULTS: usize = 8;

/// Follows one feed: reads a snapshot at first and after the store lost its history, then changes.
struct FeedFollower {
    name: &'static str,
    feed: RowFeed,
    after: Option<RowVersion>,
    failing: bool,
    /// Start of the last poll, successful or not.
    last_poll: ClockInstant,
    /// Start of the last snapshot, successful or not.
    last_snapshot: ClockInstant,
    /// Whether the next poll reads a snapshot although the position is known.
    wants_snapshot: bool,
}

/// Result of a successful poll.
struct FeedPoll {
    started: ClockInstant,
    batch: FeedBatch,
    /// Whether the batch is a snapshot of all rows.
    is_snapshot: bool,
}

impl FeedFollower {
    fn new(name: &'static str, feed: RowFeed) -> Self {
        Self {
            name,
            feed,
            after: None,
            failing: false,
            last_poll: ClockInstant::default(),
            last_snapshot: ClockInstant::default(),
            wants_snapshot: false,
        }
    }

    /// Waits until the time that `due` returns for the last poll, or until `wanted` is notified.
    /// What `due` returns may move later meanwhile.
    async fn wait_until_due<D>(&self, host: &Host, wanted: &Notify, due: D)
    where
        D: Fn(ClockInstant) -> ClockInstant,
    {
        // Nothing was read yet, or the store lost the history: read a snapshot right away.
        if self.after.is_none() {
            return;
        }
        loop {
            let left = due(self.last_poll).since(host.now());
            if left.is_zero() || timeout(left, wanted.notified()).await.is_ok() {
                break;
            }
        }
        sleep((self.last_poll + MIN_POLL_INTERVAL).since(host.now())).await;
    }

    /// Polls the store once; `None` after a failure.
    async fn poll(&mut self, host: &Host) -> Option<FeedPoll> {
        let started = host.now();
        self.last_poll = started;
        let wants_snapshot = std::mem::take(&mut self.wants_snapshot);
        let after = self.after.filter(|_| !wants_snapshot);
        let is_snapshot = after.is_none();
        if is_snapshot {
            self.last_snapshot = started;
        }
        let announced = host.state().leader.as_ref().map(|leader| leader.mark.row);
        let polled = match after {
            None => self.feed.snapshot().await.map_err(FeedError::Table),
            Some(after) => self.feed.changes(after).await,
        };
        let polled = polled.and_then(|batch| reject_outdated(batch, announced));
        let label = match &polled {
            Ok(_) => "ok",
            Err(FeedError::HistoryLost { .. }) => "history_lost",
            Err(FeedError::Outdated { .. }) => "outdated",
            Err(FeedError::Table(TableError::Unavailable { .. })) => "unavailable",
            Err(FeedError::Table(TableError::AnswerLost { .. })) => "lost",
        };
        host.metrics.store_calls.with_label_values(&[self.name, label]).inc();
        match polled {
            Ok(batch) => {
                if std::mem::take(&mut self.failing) {
                    spdlog::info!("store answers again", kv: { step = self.name });
                }
                self.after = Some(batch.version);
                let now = host.now();
                let mut state = host.state();
                note_era(host, &mut state, now, batch.version);
                state.store_answered_at = Some(now);
                if !state.store_clock.add_reading(started, now, batch.answered_at) {
                    spdlog::warn!("store clock jumped", kv: {
                        step = self.name,
                        shown_ms = batch.answered_at.0,
                    });
                }
                Some(FeedPoll { started, batch, is_snapshot })
            }
            Err(FeedError::HistoryLost { after }) => {
                spdlog::warn!("store lost its history; reading a snapshot", kv: {
                    step = self.name,
                    after = after.to_string().as_str(),
                });
                self.after = None;
                None
            }
            Err(error) => {
                // The position may be on a replica that is behind; a snapshot gives a newer one.
                self.wants_snapshot = matches!(error, FeedError::Outdated { .. })
                    && started.since(self.last_snapshot) >= SNAPSHOT_INTERVAL;
                if !std::mem::replace(&mut self.failing, true) {
                    let cause = error.to_string();
                    spdlog::warn!("store call failed", kv: {
                        step = self.name,
                        cause = cause.as_str(),
                    });
                }
                host.state().store_failed_at = Some(host.now());
                sleep(FAILURE_RETRY_DELAY).await;
                None
            }
        }
    }
}

/// Notes the era of an answer of the store. In a new one, rows may be missing that come back soon.
fn note_era(host: &Host, state: &mut HostState, now: ClockInstant, version: RowVersion) {
    let known = state.store_era;
    state.store_era = known.max(Some(version.era));
    host.metrics.store_era.set(version.era.0.try_into().unwrap_or(i64::MAX));
    if known.is_some_and(|known| known < version.era) {
        spdlog::warn!("store came back from an older copy", kv: {
            version = version.to_string().as_str(),
            known_configuration = state.document_version.to_string().as_str(),
        });
        state.store_failed_at = Some(now);
        host.store_restored.notify_one();
    }
}

/// Rejects a batch older than the version that the leader had announced before the poll. A host that
/// rarely reads the store itself could not tell.
fn reject_outdated(
    batch: FeedBatch,
    announced: Option<RowVersion>,
) -> Result<FeedBatch, FeedError> {
    match announced {
        Some(known) if batch.version < known => {
            Err(FeedError::Outdated { version: batch.version, known })
        }
        _ => Ok(batch),
    }
}

/// Follows the configuration until the daemon ends.
pub async fn follow_configuration(host: Arc<Host>) {
    let mut follower = FeedFollower::new("configuration", host.platform.configuration.clone());
    loop {
        if !follower.failing {
            let due = |last_poll| next_configuration_poll(&host, last_poll);
            follower.wait_until_due(&host, &host.configuration_wanted, due).await;
        }
        let Some(FeedPoll { started, batch, is_snapshot }) = follower.poll(&host).await else {
            host.state().configuration_fails = follower.failing;
            continue;
        };
        evacuations::adopt_batch(&host, &batch, is_snapshot);
        let newest = batch.rows.iter().rev().find(|row| row.key == host.wire.document_key);
        match newest {
            // An answer from behind shows nothing about the newest version.
            _ if batch.version < host.state().configuration_row.version => {}
            Some(row) => adopt_version(&host, started, row.version, row.value.as_deref()),
            None if is_snapshot => {
                // Its last version, so that all hosts know the same one.
                let version = host.state().configuration_row.version;
                adopt_version(&host, started, version, None);
            }
            None => {}
        }
        let mut state = host.state();
        state.configuration_fails = false;
        if state.configuration_row.version <= batch.version {
            state.configuration_shown_at = state.configuration_shown_at.max(Some(started));
        }
        if state.uses_restored_document() {
            if state.document_confirmed_at.take().is_some() {
                spdlog::warn!("configuration comes from an older copy; a host used a newer one", kv: {
                    known = state.newest_configuration.revision,
                });
            }
        } else if state.configuration_row.confirms(state.document_version, batch.version) {
            state.confirm_document(Some(started));
        }
    }
}

/// Adopts the newest version of the configuration's row, or records why it cannot be used; `value`
/// is `None` if the row is missing.
fn adopt_version(
    host: &Arc<Host>,
    started: ClockInstant,
    version: RowVersion,
    value: Option<&[u8]>,
) {
    let adopted = match value {
        Some(value) => adopt_document(host, started, version, value),
        None => Err(RowFault::Missing),
    };
    let mut state = host.state();
    let fault = adopted.err();
    host.metrics.configuration_unusable.set(fault.is_some().into());
    let cause = fault.as_ref().map(RowFault::to_string).unwrap_or_default();
    if state.configuration_row.note(version, fault) {
        spdlog::error!("newest configuration cannot be used", kv: {
            version = version.to_string().as_str(),
            cause = cause.as_str(),
            in_use = state.document_version.to_string().as_str(),
        });
        drop(state);
        // Hosts that read only what the leader announces learn that there is a newer version.
        host.heartbeat_wanted.notify_one();
    }
}

/// Returns when the configuration has to be polled next.
fn next_configuration_poll(host: &Host, last_poll: ClockInstant) -> ClockInstant {
    if leader::is_leader(host) {
        return last_poll + LEADER_POLL_INTERVAL;
    }
    let state = host.state();
    state.document_confirmed_at.map_or(last_poll, |seen| seen.max(last_poll)) + max_poll_age(&state)
}

/// Returns the age of the last confirmation at which a host polls the store itself.
fn max_poll_age(state: &HostState) -> Duration {
    let HostTuning { change_bound, leaving_bound, evacuation_bound, .. } = state.tuning;
    change_bound
        .min(leaving_bound)
        .min(evacuation_bound)
        .mul_f64(POLL_AGE_FRACTION)
        .min(MAX_POLL_AGE)
}

/// Uses a version of the configuration from now on.
///
/// # Errors
/// Fails if the version cannot be used; the configuration in use stays.
fn adopt_document(
    host: &Arc<Host>,
    started: ClockInstant,
    version: RowVersion,
    value: &[u8],
) -> Result<(), RowFault> {
    {
        let state = host.state();
        if state.document.is_some() && version == state.document_version {
            return Ok(());
        }
        let row = &state.configuration_row;
        // The same content was judged before, unless the row was missing meanwhile.
        let is_known = |fault: &&RowFault| row.version == version && **fault != RowFault::Missing;
        if let Some(fault) = row.fault.as_ref().filter(is_known) {
            return Err(fault.clone());
        }
    }
    let document = match (host.wire.parse_document)(value) {
        Ok(document) => Arc::new(document),
        Err(error) => {
            // An older copy of the store must not count as the newest after this.
            if let Some(revision) = (host.wire.parse_revision)(value) {
                host.state().note_revision(ConfigurationMark { revision, version });
            }
            return Err(RowFault::Unreadable(error.to_string()));
        }
    };
    let now = host.now();
    let mut state = host.state();
    let is_restored = state.document_version.era < version.era;
    let is_older = version < state.document_version
        || (is_restored && document.revision < state.newest_configuration.revision);
    if is_older {
        return Err(RowFault::Older(document.revision));
    }
    let mark = ConfigurationMark { revision: document.revision, version };
    state.note_revision(mark);
    state.document = Some(document.clone());
    state.document_version = version;
    state.set_limits(now);
    state.directory.set_cold_limits(document.cold_limits());
    drop(state);
    spdlog::info!("configuration in use", kv: {
        revision = document.revision,
        version = version.to_string().as_str(),
        hosts = document.routes.len(),
        teams = document.teams.len(),
        after_ms = now.since(started).as_millis() as u64,
    });
    note_faults(host, version, &document);
    leader::on_document(host, &document);
    host.holdings_changed.notify_waiters();
    host.heartbeat_wanted.notify_one();
    Ok(())
}

/// Reports what cannot be read of the configuration in use, and the regions that it allows and no
/// failure domain has.
fn note_faults(host: &Host, version: RowVersion, document: &RoutingDocument) {
    let is_known = |region: &RegionId| host.settings.regions.values().any(|known| known == region);
    let (faults, regions) = (&document.faults, document.unknown_regions(is_known));
    let count = faults.len() + regions.len();
    host.metrics.configuration_faults.set(count.try_into().unwrap_or(i64::MAX));
    for (owner, region) in regions.iter().take(MAX_LOGGED_FAULTS) {
        spdlog::error!("configuration allows a region that no failure domain has", kv: {
            version = version.to_string().as_str(),
            owner = owner.as_str(),
            region = region.as_str(),
            faults = regions.len(),
        });
    }
    for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
        spdlog::error!("part of the configuration cannot be read and is left out", kv: {
            version = version.to_string().as_str(),
            cause = fault.to_string().as_str(),
            faults = faults.len(),
        });
    }
}

/// Follows the directory until the daemon ends.
pub async fn follow_directory(host: Arc<Host>) {
    let mut follower = FeedFollower::new("directory", host.platform.directory.clone());
    loop {
        if !follower.failing {
            let due = |last_poll| next_directory_poll(&host, last_poll);
            follower.wait_until_due(&host, &host.directory_wanted, due).await;
        }
        if let Some(poll) = follower.poll(&host).await {
            adopt_entries(&host, poll);
        }
    }
}

/// Returns when the directory has to be polled next.
fn next_directory_poll(host: &Host, last_poll: ClockInstant) -> ClockInstant {
    if leader::has_pending_load(host) {
        return last_poll + LOADING_POLL_INTERVAL;
    }
    if leader::is_leader(host) {
        return last_poll + LEADER_POLL_INTERVAL;
    }
    let state = host.state();
    // An upstream that this host could not connect to is only seen to be back by its own polls, as
    // the leader forwards no rows whose routing fields are unchanged.
    let unreachable = !state.directory.unreachable(host.now()).is_empty();
    let known = if unreachable {
        last_poll
    } else {
        state.directory_confirmed_at.map_or(last_poll, |at| at.max(last_poll))
    };
    known + max_poll_age(&state)
}

/// Handles what the leader saw in the store; `state` is that of `host`.
pub fn adopt_observation(host: &Host, state: &mut HostState, observation: &StoreObservation) {
    let now = host.now();
    let StoreObservation { era, configuration, configuration_at, directory, directory_at } =
        *observation;
    if Some(era) != state.store_era {
        if Some(era) > state.store_era {
            host.configuration_wanted.notify_one();
            host.directory_wanted.notify_one();
        }
        return;
    }
    if configuration > state.configuration_row.version {
        host.configuration_wanted.notify_one();
    } else if state.configuration_row.confirms(state.document_version, configuration) {
        let seen = state.store_clock.to_local(now, configuration_at);
        state.confirm_document(seen);
    }
    let seen = state.store_clock.to_local(now, directory_at);
    if seen > state.directory_confirmed_at {
        if state.directory.digest() == directory {
            state.directory_confirmed_at = seen;
        } else {
            host.directory_wanted.notify_one();
        }
    }
}

fn adopt_entries(host: &Arc<Host>, poll: FeedPoll) {
    let FeedPoll { started, batch, is_snapshot } = poll;
    let now = host.now();
    let mut state = host.state();
    let mut changed = false;
    if is_snapshot {
        let listed: BTreeSet<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
        let gone = state.directory.iter().map(|(name, _)| name.clone());
        let gone: Vec<UpstreamId> = gone.filter(|name| !listed.contains(name.as_str())).collect();
        let store_failed_at = state.store_failed_at;
        for name in gone {
            state.directory.note_version(now, &name, batch.version);
            state.directory.remove(now, &name, store_failed_at);
            changed = true;
        }
    }
    let mut changed_rows = Vec::new();
    for FeedRow { key, version, value } in batch.rows {
        let row = DirectoryRow { key, version, value };
        if adopt_row(host, &mut state, now, &row) {
            changed_rows.push(row);
        }
    }
    state.directory.sweep(now);
    state.paces.sweep(now);
    state.directory_confirmed_at = state.directory_confirmed_at.max(Some(started));
    drop(state);
    if !is_snapshot && leader::is_leader(host) {
        for part in changed_rows.chunks(ROWS_PER_DATAGRAM) {
            send_to_all(host, &PeerMessage::DirectoryRows(part.to_vec()));
        }
    }
    on_directory_polled(host, changed || !changed_rows.is_empty());
}

/// Adopts rows that the leader forwarded. When it saw them comes with its heartbeats.
pub fn adopt_forwarded_rows(host: &Arc<Host>, rows: Vec<DirectoryRow>) {
    let now = host.now();
    let mut state = host.state();
    let mut changed = false;
    // What the leader saw before the store was restored no longer holds.
    let era = state.store_era;
    for row in rows.into_iter().filter(|row| Some(row.version.era) >= era) {
        changed |= adopt_row(host, &mut state, now, &row);
    }
    drop(state);
    on_directory_polled(host, changed);
}

fn on_directory_polled(host: &Arc<Host>, changed: bool) {
    leader::on_directory(host);
    host.holdings_changed.notify_waiters();
    if changed && leader::is_leader(host) {
        // The next heartbeat tells the other hosts.
        host.heartbeat_wanted.notify_one();
    }
}

/// Adopts one row; `state` is that of `host`. Returns whether the row affects routing.
fn adopt_row(host: &Host, state: &mut HostState, now: ClockInstant, row: &DirectoryRow) -> bool {
    let Ok(name) = row.key.parse::<UpstreamId>() else {
        log_invalid_row(&row.key, "the key is not a valid upstream name");
        return false;
    };
    let is_newer = state.directory.is_newer(&name, row.version);
    if !state.directory.note_version(now, &name, row.version) {
        return false;
    }
    let known_start = state.directory.get(&name).map(|known| known.entry.report.started_at);
    let mut states_cold = false;
    let before = state.directory.routing_summary(&name);
    let store_failed_at = state.store_failed_at;
    match row.value.as_deref().map(host.wire.parse_entry) {
        None => {
            state.directory.remove(now, &name, store_failed_at);
            spdlog::info!("upstream removed from the directory", kv: {
                upstream = name.as_str(),
                used_on = state.directory.get(&name).is_some(),
            });
        }
        Some(Err(error)) => {
            log_invalid_row(&row.key, &error.to_string());
            state.directory.remove(now, &name, None);
        }
        Some(Ok(entry)) => {
            let (draining, started_at) = (entry.report.draining, entry.report.started_at);
            let service = entry.service.clone();
            let used = state.directory.put(now, name.clone(), entry);
            // Heartbeats also reach hosts that cannot reach the store, and work without a leader.
            if draining && state.directory.note_leaving(now, &name, started_at) {
                host.heartbeat_wanted.notify_one();
            }
            // What was there when this host began to look started before.
            let appeared = state.directory_confirmed_at.is_some()
                && known_start.is_none_or(|known| known < started_at);
            if used && is_newer {
                if state.directory.note_cold_row(now, &name, appeared) {
                    notices::announce_cold(host, state, now, &name, "its row");
                }
                // Passed on, so that no host reads it late and takes what is left for still left.
                states_cold = state.directory.states_cold(&name);
            }
            if used && state.directory.routing_summary(&name) != before {
                spdlog::info!("upstream added or changed", kv: {
                    upstream = name.as_str(),
                    service = service.as_str(),
                    draining = draining,
                    born = started_at,
                });
            }
        }
    }
    states_cold || state.directory.routing_summary(&name) != before
}

fn log_invalid_row(key: &str, cause: &str) {
    spdlog::warn!("invalid directory row", kv: { row = key, cause = cause });
}
