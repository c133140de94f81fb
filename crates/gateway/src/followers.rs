//! Following the operators' configuration and the directory of upstreams.
//!
//! The keeper looks at the store all the time and tells the others what it saw and when, by the
//! store's clock, and passes on the rows of the directory that change who may get requests. The others
//! look themselves when what it saw differs from what they know, and when they have heard nothing for a
//! while.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_platform::{FeedBatch, FeedError, FeedRow, RowFeed, TableError};
use dotterellane_units::{ClockInstant, RowVersion, UpstreamId};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::keeper;
use crate::messages::{DirectoryRow, PeerNote, StoreSighting};
use crate::peers::send_to_all;
use crate::settings::HostTuning;
use crate::state::{Host, HostState};

/// Part of the time within which changes must be heeded after which a host looks at the store itself.
const LOOK_PART: f64 = 0.6;

/// Longest such time: a look may fail twice before the change is seen.
const LONGEST_LOOK_AGE: Duration = Duration::from_millis(1_200);

/// Rows of the directory that go into one datagram.
const ROWS_A_DATAGRAM: usize = 8;

/// Least time between the starts of two looks.
const LEAST_LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Time between two looks of the keeper.
const KEEPER_PAUSE: Duration = Duration::from_millis(600);

/// Time between two looks while the keeper waits for a load to end.
const LOADING_PAUSE: Duration = Duration::from_millis(180);

/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Follows one feed: all rows at first and after its history was lost, then changes.
struct FeedFollower {
    name: &'static str,
    feed: RowFeed,
    after: Option<RowVersion>,
    failing: bool,
    /// Start of the last look, whatever came of it.
    looked: ClockInstant,
}

/// What one look showed.
struct FeedLook {
    started: ClockInstant,
    batch: FeedBatch,
    /// Whether the batch holds all rows.
    whole: bool,
}

impl FeedFollower {
    fn new(name: &'static str, feed: RowFeed) -> Self {
        Self { name, feed, after: None, failing: false, looked: ClockInstant::default() }
    }

    /// Waits until `due` is over, or until `wanted` is told. What `due` returns may grow meanwhile.
    async fn pause<D>(&self, host: &Host, wanted: &Notify, due: D)
    where
        D: Fn(ClockInstant) -> ClockInstant,
    {
        // Nothing was read yet, or the history was lost.
        if self.after.is_none() {
            return;
        }
        loop {
            let left = due(self.looked).since(host.now());
            if left.is_zero() || timeout(left, wanted.notified()).await.is_ok() {
                break;
            }
        }
        sleep((self.looked + LEAST_LOOK_PAUSE).since(host.now())).await;
    }

    /// Looks once; `None` after a failure.
    async fn look(&mut self, host: &Host) -> Option<FeedLook> {
        let started = host.now();
        self.looked = started;
        let whole = self.after.is_none();
        let looked = match self.after {
            None => self.feed.snapshot().await.map_err(FeedError::Table),
            Some(after) => self.feed.changes(after).await,
        };
        let label = match &looked {
            Ok(_) => "ok",
            Err(FeedError::HistoryLost { .. }) => "history_lost",
            Err(FeedError::Table(TableError::Unavailable { .. })) => "unavailable",
            Err(FeedError::Table(TableError::AnswerLost { .. })) => "lost",
        };
        host.metrics.store_calls.with_label_values(&[self.name, label]).inc();
        match looked {
            Ok(batch) => {
                if std::mem::take(&mut self.failing) {
                    spdlog::info!("store answers again", kv: { step = self.name });
                }
                self.after = Some(batch.version);
                let now = host.now();
                let mut state = host.state();
                state.store_answered = Some(now);
                if !state.store_clock.note(started, now, batch.answered) {
                    spdlog::warn!("store's clock jumped", kv: {
                        step = self.name,
                        shown_ms = batch.answered.0,
                    });
                }
                Some(FeedLook { started, batch, whole })
            }
            Err(FeedError::HistoryLost { after }) => {
                spdlog::warn!("store forgot its history", kv: { step = self.name, after = after.0 });
                self.after = None;
                None
            }
            Err(FeedError::Table(error)) => {
                if !std::mem::replace(&mut self.failing, true) {
                    let cause = error.to_string();
                    spdlog::warn!("store does not answer", kv: {
                        step = self.name,
                        cause = cause.as_str(),
                    });
                }
                host.state().store_trouble = Some(host.now());
                sleep(FAILURE_PAUSE).await;
                None
            }
        }
    }
}

/// Follows the configuration until the daemon ends.
pub async fn follow_configuration(host: Arc<Host>) {
    let mut follower = FeedFollower::new("configuration", host.platform.configuration.clone());
    loop {
        if !follower.failing {
            let due = |looked| configuration_due(&host, looked);
            follower.pause(&host, &host.configuration_wanted, due).await;
        }
        let Some(FeedLook { started, batch, whole }) = follower.look(&host).await else { continue };
        let newest = batch.rows.iter().rev().find(|row| row.key == host.wire.document_key);
        match newest {
            // What is in force is not known until a version can be read.
            Some(FeedRow { version, value: Some(value), .. })
                if !adopt_document(&host, started, *version, value) =>
            {
                continue;
            }
            Some(FeedRow { value: Some(_), .. }) => {}
            Some(FeedRow { value: None, .. }) => {
                spdlog::error!("configuration was removed", kv: { version = batch.version.0 });
                continue;
            }
            None if whole && host.state().document.is_some() => continue,
            None => {}
        }
        let mut state = host.state();
        if state.document.is_some() {
            state.evidence = state.evidence.max(Some(started));
        }
    }
}

/// Returns when the configuration has to be looked at next.
fn configuration_due(host: &Host, looked: ClockInstant) -> ClockInstant {
    if keeper::is_keeping(host) {
        return looked + KEEPER_PAUSE;
    }
    let state = host.state();
    state.evidence.map_or(looked, |seen| seen.max(looked)) + look_age(&state)
}

/// Returns the age of what is known from which a host looks at the store itself.
fn look_age(state: &HostState) -> Duration {
    let HostTuning { change_bound, leaving_bound, .. } = state.tuning;
    change_bound.min(leaving_bound).mul_f64(LOOK_PART).min(LONGEST_LOOK_AGE)
}

/// Takes in a version; tells whether what is known is now the newest.
fn adopt_document(
    host: &Arc<Host>,
    started: ClockInstant,
    version: RowVersion,
    value: &[u8],
) -> bool {
    if version < host.state().document_version {
        return false;
    }
    if version == host.state().document_version {
        return true;
    }
    let document = match (host.wire.parse_document)(value) {
        Ok(document) => Arc::new(document),
        Err(error) => {
            let cause = error.to_string();
            spdlog::error!("configuration cannot be read; the last one stays", kv: {
                version = version.0,
                cause = cause.as_str(),
            });
            return false;
        }
    };
    let now = host.now();
    let mut state = host.state();
    state.document = Some(document.clone());
    state.document_version = version;
    state.set_limits(now);
    drop(state);
    spdlog::info!("configuration in use", kv: {
        revision = document.revision,
        version = version.0,
        hosts = document.routes.len(),
        teams = document.teams.len(),
        after_ms = now.since(started).as_millis() as u64,
    });
    keeper::on_document(host, &document);
    host.holdings_changed.notify_waiters();
    host.spending_changed.notify_one();
    true
}

/// Follows the directory until the daemon ends.
pub async fn follow_directory(host: Arc<Host>) {
    let mut follower = FeedFollower::new("directory", host.platform.directory.clone());
    loop {
        if !follower.failing {
            let due = |looked| directory_due(&host, looked);
            follower.pause(&host, &host.directory_wanted, due).await;
        }
        if let Some(looked) = follower.look(&host).await {
            adopt_entries(&host, looked);
        }
    }
}

/// Returns when the directory has to be looked at next.
fn directory_due(host: &Host, looked: ClockInstant) -> ClockInstant {
    if keeper::is_loading(host) {
        return looked + LOADING_PAUSE;
    }
    if keeper::is_keeping(host) {
        return looked + KEEPER_PAUSE;
    }
    let state = host.state();
    // Only a host's own looks show that an upstream that it does not reach is back.
    let alone = !state.directory.unreachable(host.now()).is_empty();
    let known =
        if alone { looked } else { state.directory_seen.map_or(looked, |at| at.max(looked)) };
    known + look_age(&state)
}

/// Takes in what another host saw at the store; `state` is that of `host`.
pub fn adopt_sighting(host: &Host, state: &mut HostState, sighting: &StoreSighting) {
    let now = host.now();
    let StoreSighting { configuration, configuration_at, directory, directory_at } = *sighting;
    if configuration > state.document_version {
        host.configuration_wanted.notify_one();
    } else if configuration == state.document_version && state.document.is_some() {
        let seen = state.store_clock.to_own(now, configuration_at);
        state.evidence = state.evidence.max(seen);
    }
    let seen = state.store_clock.to_own(now, directory_at);
    if seen > state.directory_seen {
        if state.directory.digest() == directory {
            state.directory_seen = seen;
        } else {
            host.directory_wanted.notify_one();
        }
    }
}

fn adopt_entries(host: &Arc<Host>, looked: FeedLook) {
    let FeedLook { started, batch, whole } = looked;
    let now = host.now();
    let mut state = host.state();
    let mut changed = false;
    if whole {
        let listed: BTreeSet<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
        let gone = state.directory.iter().map(|(name, _)| name.clone());
        let gone: Vec<UpstreamId> = gone.filter(|name| !listed.contains(name.as_str())).collect();
        let trouble = state.store_trouble;
        for name in gone {
            state.directory.note_version(now, &name, batch.version);
            state.directory.remove(now, &name, trouble);
            changed = true;
        }
    }
    let mut news = Vec::new();
    for FeedRow { key, version, value } in batch.rows {
        let row = DirectoryRow { key, version, value };
        if adopt_row(host, &mut state, now, &row) {
            news.push(row);
        }
    }
    state.directory.sweep(now);
    state.directory_seen = state.directory_seen.max(Some(started));
    drop(state);
    if !whole && keeper::is_keeping(host) {
        for part in news.chunks(ROWS_A_DATAGRAM) {
            send_to_all(host, &PeerNote::DirectoryRows(part.to_vec()));
        }
    }
    on_directory(host, changed || !news.is_empty());
}

/// Takes in rows that the keeper saw. What it saw when comes with its beats.
pub fn adopt_passed_rows(host: &Arc<Host>, rows: Vec<DirectoryRow>) {
    let now = host.now();
    let mut state = host.state();
    let mut changed = false;
    for row in rows {
        changed |= adopt_row(host, &mut state, now, &row);
    }
    drop(state);
    on_directory(host, changed);
}

fn on_directory(host: &Arc<Host>, changed: bool) {
    keeper::on_directory(host);
    host.holdings_changed.notify_waiters();
    if changed && keeper::is_keeping(host) {
        // The next beat tells the others.
        host.spending_changed.notify_one();
    }
}

/// Takes in one row; `state` is that of `host`. Tells whether it changes who may get requests.
fn adopt_row(host: &Host, state: &mut HostState, now: ClockInstant, row: &DirectoryRow) -> bool {
    let Ok(name) = row.key.parse::<UpstreamId>() else {
        log_entry(&row.key, "its key is not an upstream's name");
        return false;
    };
    if !state.directory.note_version(now, &name, row.version) {
        return false;
    }
    let before = state.directory.standing(&name);
    let trouble = state.store_trouble;
    match row.value.as_deref().map(host.wire.parse_entry) {
        None => {
            state.directory.remove(now, &name, trouble);
            spdlog::info!("upstream left the directory", kv: {
                upstream = name.as_str(),
                used_on = state.directory.get(&name).is_some(),
            });
        }
        Some(Err(error)) => {
            log_entry(&row.key, &error.to_string());
            state.directory.remove(now, &name, None);
        }
        Some(Ok(entry)) => {
            let (draining, born) = (entry.report.draining, entry.report.born);
            let service = entry.service.clone();
            let used = state.directory.put(now, name.clone(), entry);
            // Beats tell hosts that the store turns away, also while no keeper passes rows on.
            if draining && state.directory.note_leaving(now, &name, born) {
                host.spending_changed.notify_one();
            }
            if used && state.directory.standing(&name) != before {
                spdlog::info!("upstream in the directory", kv: {
                    upstream = name.as_str(),
                    service = service.as_str(),
                    draining = draining,
                    born = born,
                });
            }
        }
    }
    state.directory.standing(&name) != before
}

fn log_entry(key: &str, cause: &str) {
    spdlog::warn!("directory row names no upstream", kv: { row = key, cause = cause });
}
