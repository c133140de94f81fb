//! Knows which software versions serve: as the leader writes them to the store and announces them.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::stream_versions::{
    HISTORY_FRESHNESS, HISTORY_WRITE_TIMEOUT, VersionHistory, VersionMap,
};
use dotterellane_platform::{CommitOutcome, RowCondition, RowWrite, TableRow, TableTransaction};
use dotterellane_units::{
    ClockInstant, RowVersion, ServiceId, SoftwareVersion, StoreEra, StoreInstant,
};
use tokio::time::{sleep, timeout};

use crate::leader;
use crate::messages::{PeerMessage, VersionsReport};
use crate::peers::send_to_all;
use crate::state::{Host, HostState};

use super::origins::tell_origins;

/// Key of the history's row.
const HISTORY_KEY: &str = "versions/history";

/// Interval at which the leader announces the history, changed or not.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(700);

/// Age of the last confirmation at which a host that needs the history reads it itself.
const READ_AGE: Duration = Duration::from_millis(1_200);

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Interval at which a new leader looks whether the directory was read.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// A reading of the store's clock, exact or slightly too early.
#[derive(Clone, Copy, Debug)]
pub struct StoreReading {
    /// Era of the store to which the clock belongs.
    pub era: StoreEra,
    /// The time; `None` if it is not known.
    pub time: Option<StoreInstant>,
}

impl StoreReading {
    /// Returns the time if it can be compared with those of `era`.
    fn in_era(self, era: StoreEra) -> Option<StoreInstant> {
        self.time.filter(|_| self.era == era)
    }
}

/// When a history was the newest, by this host's clock and the store's.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HistoryConfirmation {
    at: ClockInstant,
    store_time: StoreInstant,
}

/// The newest known history.
#[derive(Clone, Debug, Default)]
pub struct KnownVersions {
    history: Option<VersionHistory>,
    row: RowVersion,
    /// When it was last confirmed as the newest, by the store or the leader.
    confirmed: Option<HistoryConfirmation>,
    /// Whether a leader announced this row, so that its versions have settled when it says so.
    is_announced: bool,
    /// Whether a request waits until the history is fresh.
    is_wanted: bool,
}

impl KnownVersions {
    /// Returns whether a stream of `service` may begin at `version`.
    pub fn is_usable(
        &self,
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
        clock: StoreReading,
    ) -> bool {
        let Some(history) = &self.history else { return false };
        match clock.in_era(history.era) {
            Some(now) => history.is_usable(service, version, now, self.is_announced),
            None => history.is_usable(service, version, StoreInstant(0), true),
        }
    }

    /// Returns whether it is certain that no upstream of `service` runs `version` any more.
    pub fn is_gone(
        &self,
        now: ClockInstant,
        service: &ServiceId,
        version: &SoftwareVersion,
    ) -> bool {
        let known = self.history.as_ref().filter(|_| self.is_fresh(now));
        known.is_some_and(|history| history.is_gone(service, version))
    }

    /// Returns the version that began all streams of `service` that may still be resumed; `None` if
    /// several may have.
    pub fn sole_version(
        &self,
        now: ClockInstant,
        service: &ServiceId,
        clock: StoreReading,
    ) -> Option<&SoftwareVersion> {
        let history = self.history.as_ref().filter(|_| self.is_fresh(now))?;
        history.sole_version(service, clock.in_era(history.era)?)
    }

    /// Returns whether streams of `service` may be at several versions, or at one that is unknown.
    pub fn may_be_several(&self, service: &ServiceId, clock: StoreReading) -> bool {
        let known = self.history.as_ref().and_then(|history| {
            let now = clock.in_era(history.era)?;
            history.sole_version(service, now)
        });
        known.is_none()
    }

    /// Notes that a request waits until the history is fresh.
    pub fn want(&mut self) {
        self.is_wanted = true;
    }

    /// Returns whether the history has to be read; what is wanted counts as satisfied from now on.
    fn take_need(&mut self, now: ClockInstant) -> bool {
        let is_wanted = std::mem::take(&mut self.is_wanted);
        let is_old = |confirmed: HistoryConfirmation| now.since(confirmed.at) >= READ_AGE;
        self.history.is_none() || (is_wanted && self.confirmed.is_none_or(is_old))
    }

    /// Formats what is known, for logs.
    pub fn describe(&self, now: ClockInstant) -> String {
        let Some(history) = &self.history else { return "unknown".to_owned() };
        let age = self.confirmed.map(|confirmed| now.since(confirmed.at));
        let since = history.complete_since;
        format!("{}, since {since}, confirmed {age:?} ago", describe(history))
    }

    /// Returns whether the history was the newest a short while ago.
    pub fn is_fresh(&self, now: ClockInstant) -> bool {
        self.confirmed.is_some_and(|confirmed| now.since(confirmed.at) < HISTORY_FRESHNESS)
    }

    /// Adopts a row of the history that was the newest when `confirmed`; returns whether it changed.
    fn adopt(
        &mut self,
        row: RowVersion,
        confirmed: Option<HistoryConfirmation>,
        history: &VersionHistory,
        is_announced: bool,
    ) -> bool {
        // The history of an older copy of the store is incomplete until the leader has written it
        // again.
        if row < self.row || history.era < row.era {
            return false;
        }
        self.confirmed = self.confirmed.max(confirmed);
        self.is_announced = is_announced || (self.is_announced && row == self.row);
        self.row = row;
        let changed = self.history.as_ref() != Some(history);
        if changed {
            self.history = Some(history.clone());
        }
        changed
    }
}

/// Handles the leader's announcement.
pub fn on_report(host: &Arc<Host>, report: &VersionsReport) {
    let now = host.now();
    let mut state = host.state();
    if state.leader.as_ref().is_some_and(|leader| leader.mark.fence > report.fence) {
        return;
    }
    let seen = state.store_clock.to_local(now, report.at);
    let confirmed = seen.map(|at| HistoryConfirmation { at, store_time: report.at });
    let changed = state.versions.adopt(report.row, confirmed, &report.history, true);
    drop(state);
    after_change(host, changed);
}

fn after_change(host: &Arc<Host>, changed: bool) {
    host.versions_known.notify_waiters();
    if changed {
        tell_origins(host);
        host.holdings_changed.notify_waiters();
    }
}

/// What this host wrote last as the leader.
struct WrittenHistory {
    /// When it had become the leader.
    acquired_at: ClockInstant,
    row: RowVersion,
    history: VersionHistory,
}

/// Keeps the history: writes and announces it while this host is the leader, and reads it when no
/// leader has confirmed it for a while. Runs until the daemon ends.
pub async fn keep_history(host: Arc<Host>) {
    let mut written = None;
    loop {
        let result = match leader::lease_mark(&host) {
            Some(_) if leader::is_leader(&host) => lead(&host, &mut written).await,
            _ => {
                written = None;
                follow(&host).await
            }
        };
        if let Err(cause) = result {
            written = None;
            spdlog::warn!("history of software versions is not available", kv: {
                cause = cause.as_str(),
            });
            sleep(RETRY_DELAY).await;
            continue;
        }
        let _woken = timeout(ANNOUNCE_INTERVAL, host.versions_wanted.notified()).await;
    }
}

fn confirmation(state: &HostState, at: ClockInstant) -> Option<HistoryConfirmation> {
    state.store_now(at).map(|store_time| HistoryConfirmation { at, store_time })
}

/// Reads the history if it is not known, or a request needs it and no leader has confirmed it for a
/// while.
async fn follow(host: &Arc<Host>) -> Result<(), String> {
    let now = host.now();
    if !host.state().versions.take_need(now) {
        return Ok(());
    }
    match read_history(host).await? {
        Some((row, Some(history))) => {
            let mut state = host.state();
            let confirmed = confirmation(&state, now);
            let changed = state.versions.adopt(row, confirmed, &history, false);
            drop(state);
            after_change(host, changed);
        }
        None if is_first_start(host, &host.state()) => create_history(host).await?,
        Some((_, None)) | None => {}
    }
    Ok(())
}

/// Writes the first history of all, in the first start of the whole fleet: no stream may begin
/// before.
async fn create_history(host: &Arc<Host>) -> Result<(), String> {
    let (present, now) = (present_versions(host, ClockInstant::default()), store_now(host));
    let (Some(present), Some(now)) = (present, now) else {
        sleep(DIRECTORY_POLL_INTERVAL).await;
        host.versions_wanted.notify_one();
        return Ok(());
    };
    let era = host.state().store_era.unwrap_or_default();
    let empty = VersionHistory::new(era, StoreInstant(0));
    let first = empty.updated(now, &present).unwrap_or(empty);
    if write_history(host, RowVersion { era, number: 0 }, &first).await?.is_none() {
        host.versions_wanted.notify_one();
    }
    Ok(())
}

/// Returns whether nothing was served before: the fleet starts for the first time, and the store has
/// never come back from an older copy.
fn is_first_start(host: &Host, state: &HostState) -> bool {
    host.settings.first_start && state.store_era == Some(StoreEra(0))
}

fn store_now(host: &Host) -> Option<StoreInstant> {
    host.state().store_now(host.now())
}

/// Writes the history if versions have changed, or if this host has not written it since it became
/// the leader, and announces it.
async fn lead(host: &Arc<Host>, written: &mut Option<WrittenHistory>) -> Result<(), String> {
    let acquired_at = leader::acquired_at(host);
    let Some(present) = present_versions(host, acquired_at) else {
        sleep(DIRECTORY_POLL_INTERVAL).await;
        host.versions_wanted.notify_one();
        return Ok(());
    };
    let era = host.state().store_era.unwrap_or_default();
    let current =
        written.take_if(|written| written.acquired_at == acquired_at && written.row.era == era);
    let is_current = current.is_some();
    let (expected, history) = match current {
        Some(current) => (current.row, current.history),
        None => take_over(host).await?,
    };
    let Some(now) = store_now(host) else { return Ok(()) };
    let updated = history.updated(now, &present);
    let mut row = expected;
    if updated.is_some() || !is_current {
        let next = updated.as_ref().unwrap_or(&history);
        let Some(committed) = write_history(host, expected, next).await? else {
            host.versions_wanted.notify_one();
            return Ok(());
        };
        row = committed;
    }
    let history = updated.unwrap_or(history);
    announce(host, row, &history);
    *written = Some(WrittenHistory { acquired_at, row, history });
    Ok(())
}

/// Reads the history as a new leader, or after the store came back from an older copy; what this
/// host knows from before a restore counts more than the copy.
async fn take_over(host: &Host) -> Result<(RowVersion, VersionHistory), String> {
    let read = read_history(host).await?;
    let at = host.now();
    let state = host.state();
    let era = state.store_era.unwrap_or_default();
    if read.as_ref().is_some_and(|(row, _)| row.era != era) {
        return Err("the store has just come back from an older copy".to_owned());
    }
    let now = state.store_now(at).ok_or("the store's clock is not known")?;
    let expected = read.as_ref().map_or(RowVersion { era, number: 0 }, |(row, _)| *row);
    let known = &state.versions;
    let before = known.history.as_ref().zip(known.confirmed).filter(|(known, _)| known.era < era);
    let history = match (read, before) {
        (Some((_, Some(history))), _) if history.era == era => history,
        (_, Some((history, confirmed))) => {
            let since = u64::try_from(at.since(confirmed.at).as_millis()).unwrap_or(u64::MAX);
            let before = StoreInstant(confirmed.store_time.0.saturating_add(since));
            let mut history = history.carried_over(era, before, now);
            if !known.is_fresh(at) {
                // Versions that others have added since may be missing.
                history.complete_since = now;
            }
            history
        }
        (Some((_, copy)), None) => {
            let services = copy.map(|copy| copy.services).unwrap_or_default();
            VersionHistory { era, complete_since: now, services }
        }
        (None, None) if is_first_start(host, &state) => VersionHistory::new(era, StoreInstant(0)),
        (None, None) => VersionHistory::new(era, now),
    };
    if known.is_announced && known.row == expected {
        // It was written in time.
        return Ok((expected, history));
    }
    Ok((expected, history.settled_again(now)))
}

/// Returns the versions of all upstreams in the directory; `None` if it was not read since `since`.
fn present_versions(host: &Host, since: ClockInstant) -> Option<VersionMap> {
    let state = host.state();
    state.directory_confirmed_at.filter(|at| *at >= since)?;
    let mut present = VersionMap::new();
    for (_, known) in state.directory.iter() {
        let versions = present.entry(known.entry.service.clone()).or_default();
        versions.insert(known.entry.version.clone());
    }
    Some(present)
}

/// Reads the history's row; `None` if there is none. Its content is `None` if it cannot be read.
async fn read_history(host: &Host) -> Result<Option<(RowVersion, Option<VersionHistory>)>, String> {
    let read = host.platform.table.read(vec![HISTORY_KEY.to_owned()]).await;
    let label = if read.is_ok() { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["read_versions", label]).inc();
    let rows = read.map_err(|error| error.to_string())?;
    Ok(rows.first().map(|row| (row.version, parse_history(row))))
}

fn parse_history(row: &TableRow) -> Option<VersionHistory> {
    match postcard::from_bytes(&row.value) {
        Ok(history) => Some(history),
        Err(error) => {
            spdlog::error!("history of software versions cannot be read", kv: {
                version = row.version.to_string().as_str(),
                cause = error.to_string().as_str(),
            });
            None
        }
    }
}

/// Writes the history and adopts it; `None` if the version of its row is not `expected`.
async fn write_history(
    host: &Arc<Host>,
    expected: RowVersion,
    history: &VersionHistory,
) -> Result<Option<RowVersion>, String> {
    let value = postcard::to_stdvec(history).map_err(|error| error.to_string())?;
    let transaction = TableTransaction {
        conditions: vec![RowCondition { key: HISTORY_KEY.to_owned(), version: expected }],
        writes: vec![RowWrite { key: HISTORY_KEY.to_owned(), value: Some(value) }],
    };
    let started = host.now();
    let commit = host.platform.table.commit(transaction);
    let committed = timeout(HISTORY_WRITE_TIMEOUT, commit).await;
    let label = if matches!(committed, Ok(Ok(_))) { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["write_versions", label]).inc();
    // A host that stood still meanwhile may see the answer before the timeout.
    let committed = committed.ok().filter(|_| host.now().since(started) <= HISTORY_WRITE_TIMEOUT);
    let committed = committed.ok_or("no answer in time")?;
    let row = match committed.map_err(|error| error.to_string())? {
        CommitOutcome::Committed(versions) => versions.first().copied().ok_or("no version")?,
        CommitOutcome::Conflict(_) => return Ok(None),
    };
    spdlog::info!("software versions written", kv: {
        row = row.to_string().as_str(),
        versions = describe(history).as_str(),
    });
    let mut state = host.state();
    let confirmed = confirmation(&state, started);
    let changed = state.versions.adopt(row, confirmed, history, true);
    drop(state);
    after_change(host, changed);
    Ok(Some(row))
}

/// Has the history read if it is not fresh: a new version may serve.
pub fn want_history(host: &Host) {
    let mut state = host.state();
    if !state.versions.is_fresh(host.now()) {
        state.versions.want();
        host.versions_wanted.notify_one();
    }
}

/// Formats a history for logs, with versions that serve no more in parentheses.
fn describe(history: &VersionHistory) -> String {
    let services = history.services.iter().map(|(service, versions)| {
        let versions = versions.iter().map(|served| {
            let name = served.version.as_ref().map_or("unknown", SoftwareVersion::as_str);
            if served.gone_since.is_some() { format!("({name})") } else { name.to_owned() }
        });
        format!("{service}: {}", versions.collect::<Vec<_>>().join(" "))
    });
    services.collect::<Vec<_>>().join("; ")
}

/// Confirms the history for this host and tells all others, if this host still is the leader.
fn announce(host: &Arc<Host>, row: RowVersion, history: &VersionHistory) {
    // Read before the lease is checked, which then was held at that time.
    let at = host.now();
    let Some(mark) = leader::lease_mark(host) else { return };
    let mut state = host.state();
    let Some(confirmed) = confirmation(&state, at) else { return };
    state.versions.adopt(row, Some(confirmed), history, true);
    drop(state);
    host.versions_known.notify_waiters();
    let store_time = confirmed.store_time;
    let report =
        VersionsReport { fence: mark.fence, row, at: store_time, history: history.clone() };
    send_to_all(host, &PeerMessage::Versions(report));
}
