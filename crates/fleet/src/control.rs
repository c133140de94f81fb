//! State shared by gossip, membership and configuration of one daemon, and the code that applies
//! and appends entries of the log of changes.
//!
//! The log holds every change of replicated state (configuration, member list, share slots) in one
//! order. It is stored in the platform's table; daemons also pass entries on to each other by gossip.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use dotterellane_decisions::freshness::FreshnessEvidence;
use dotterellane_decisions::gossip::GossipMachine;
use dotterellane_decisions::membership::AbsenceTracker;
use dotterellane_platform::{HostList, TableError, TableTransaction};
use dotterellane_protocol::{
    GossipMessage, LogBody, LogEntry, LogHeads, LogPosition, MemberRecord, PeerMessage,
};
use dotterellane_units::{ClockInstant, ClockSource, HostId, RequestId};
use thiserror::Error;
use tokio::sync::watch;

use crate::control_metrics::ControlMetrics;
use crate::log_state::{LogSnapshot, LogState};
use crate::log_store::{HeadReading, LogError, LogHead, LogStore, SNAPSHOT_INTERVAL};
use crate::transport::PeerTransport;
use crate::{ConfigurationFeed, FreshnessState, MemberView};

/// Attempts to append an entry while other appends win the race or answers are lost.
const APPEND_ATTEMPTS: usize = 16;

/// Most entries that are read one by one to catch up; a daemon further behind loads a snapshot.
const MAX_REPLAYED_ENTRIES: u64 = 2 * SNAPSHOT_INTERVAL;

/// Why an entry was not appended.
#[derive(Debug)]
#[derive(Error)]
pub enum AppendError<R> {
    /// The caller's check rejected the change against the state at the head of the log.
    #[error("the change was refused")]
    Refused(R),
    /// Nothing was appended: the platform failed, or other appends came first too often.
    #[error("{0}")]
    Down(LogError),
    /// It is not known whether the entry was appended.
    #[error("{0}")]
    Unknown(LogError),
}

/// Mutable state of [`FleetControl`], behind its lock.
pub(crate) struct ControlState {
    pub(crate) gossip: GossipMachine,
    pub(crate) log: LogState,
    pub(crate) absence: AbsenceTracker,
    /// Whether this daemon is shutting down.
    pub(crate) leaving: bool,
    /// Evidence of freshness when it was last logged.
    pub(crate) evidence: FreshnessEvidence,
}

/// Shared state of gossip, membership and configuration of one daemon.
pub(crate) struct FleetControl {
    pub(crate) record: MemberRecord,
    pub(crate) clock: ClockSource,
    pub(crate) transport: PeerTransport,
    pub(crate) store: LogStore,
    pub(crate) hosts: HostList,
    pub(crate) configuration: ConfigurationFeed,
    pub(crate) members: watch::Sender<Arc<MemberView>>,
    pub(crate) heads: watch::Sender<LogHeads>,
    pub(crate) metrics: ControlMetrics,
    pub(crate) reading: TaskLock,
    pub(crate) fetching: TaskLock,
    pub(crate) joining: TaskLock,
    pub(crate) removing: TaskLock,
    state: Mutex<ControlState>,
}

/// Ensures that at most one background task of a kind runs at a time.
#[derive(Default)]
pub(crate) struct TaskLock(AtomicBool);

impl TaskLock {
    /// Takes the lock; returns whether it was free.
    pub(crate) fn try_take(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }

    /// Releases the lock once the task has ended.
    pub(crate) fn release(&self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Dependencies of [`FleetControl`].
pub(crate) struct ControlServices {
    pub(crate) clock: ClockSource,
    pub(crate) transport: PeerTransport,
    pub(crate) store: LogStore,
    pub(crate) hosts: HostList,
    pub(crate) configuration: ConfigurationFeed,
    pub(crate) metrics: ControlMetrics,
}

impl FleetControl {
    pub(crate) fn new(record: MemberRecord, services: ControlServices, seed: u64) -> Self {
        let state = ControlState {
            gossip: GossipMachine::new(record.id.clone(), seed),
            log: LogState::default(),
            absence: AbsenceTracker::default(),
            leaving: false,
            evidence: FreshnessEvidence::Nothing,
        };
        Self {
            record,
            clock: services.clock,
            transport: services.transport,
            store: services.store,
            hosts: services.hosts,
            configuration: services.configuration,
            members: watch::Sender::default(),
            heads: watch::Sender::default(),
            metrics: services.metrics,
            reading: TaskLock::default(),
            fetching: TaskLock::default(),
            joining: TaskLock::default(),
            removing: TaskLock::default(),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn freshness(&self) -> FreshnessState {
        // The clock is read while the lock is held, so that no evidence is newer than the reading.
        let state = self.state();
        match state.gossip.freshness.evidence(self.clock.now()).is_fresh() {
            true => FreshnessState::Fresh,
            false => FreshnessState::Stale,
        }
    }

    pub(crate) fn send(&self, host: &HostId, message: GossipMessage) {
        self.transport.send(host, PeerMessage::Gossip(message));
    }

    /// Records the head of the log as the table returned it to a read that started at `asked_at`.
    pub(crate) fn note_table_read(&self, asked_at: ClockInstant, head: LogHead) {
        let mut state = self.state();
        state.gossip.freshness.learn_table(asked_at, head.newest, head.in_force);
        self.publish_heads(&state);
    }

    pub(crate) fn publish_heads(&self, state: &ControlState) {
        let heads = state.gossip.freshness.heads();
        self.heads.send_if_modified(|known| {
            let changed = *known != heads;
            *known = heads;
            changed
        });
    }

    /// Applies `entry` if it is the next one, and passes it on to peers.
    pub(crate) fn apply_entry(self: &Arc<Self>, entry: &LogEntry) {
        let now = self.clock.now();
        let mut guard = self.state();
        let state = &mut *guard;
        if entry.position != state.log.snapshot.position.next() {
            return;
        }
        let changed = match state.log.apply(entry) {
            Ok(changed) => changed,
            Err(error) => {
                spdlog::error!("{error}");
                return;
            }
        };
        if changed {
            self.configuration.publish_if_newer(state.log.snapshot.configuration.clone());
        }
        let actions = state.gossip.on_followed(entry, &state.log.snapshot.lists, now);
        self.publish_state(state);
        let snapshot = self.due_snapshot(entry, state);
        drop(guard);
        self.perform(actions);
        if let Some(snapshot) = snapshot {
            let store = self.store.clone();
            tokio::spawn(async move { store.put_snapshot(&snapshot).await });
        }
    }

    /// Replaces the replicated state with `log` if `log` is further ahead.
    pub(crate) fn install(&self, log: LogState) {
        let now = self.clock.now();
        let mut guard = self.state();
        let state = &mut *guard;
        if log.snapshot.position <= state.log.snapshot.position {
            return;
        }
        self.configuration.publish_if_newer(log.snapshot.configuration.clone());
        state.log = log;
        let snapshot = &state.log.snapshot;
        state.gossip.freshness.follow(snapshot.position, &snapshot.lists, now);
        self.publish_state(state);
    }

    /// Publishes peer addresses, log heads and members after the replicated state has changed.
    fn publish_state(&self, state: &ControlState) {
        for record in &state.log.snapshot.lists.current().records {
            self.transport.suggest_address(&record.id, record.address);
        }
        self.publish_heads(state);
        self.publish_members(state);
    }

    /// Returns the snapshot to write after `entry`, if one is due and this daemon appended `entry`.
    fn due_snapshot(&self, entry: &LogEntry, state: &ControlState) -> Option<LogSnapshot> {
        let due = entry.position.0.is_multiple_of(SNAPSHOT_INTERVAL);
        (due && entry.author == self.record.id.host).then(|| state.log.snapshot.clone())
    }

    /// Reads and applies the log up to `position`.
    ///
    /// # Errors
    /// Fails if the platform does not answer or an entry cannot be applied.
    pub(crate) async fn catch_up(self: &Arc<Self>, position: LogPosition) -> Result<(), LogError> {
        loop {
            let applied = self.state().log.snapshot.position;
            if applied >= position {
                return Ok(());
            }
            if position.0 - applied.0 > MAX_REPLAYED_ENTRIES {
                self.install(self.store.load(position).await?);
            } else {
                for entry in self.store.read_entries(applied.next(), position).await? {
                    self.apply_entry(&entry);
                }
            }
            if self.state().log.snapshot.position == applied {
                return Err(LogError::Entry(format!("cannot apply log entry {}", applied.next())));
            }
        }
    }

    /// Appends the entry that `build` returns for the state at the head of the log.
    ///
    /// `build` runs again whenever another append comes first. A change is appended only once: if
    /// `change` is in the log already, its entry is returned.
    ///
    /// # Errors
    /// Fails if `build` refuses, the platform does not answer or too many attempts lose the race.
    pub(crate) async fn append<B, R>(
        self: &Arc<Self>,
        change: RequestId,
        build: B,
    ) -> Result<LogEntry, AppendError<R>>
    where
        B: Fn(&LogSnapshot) -> Result<(LogBody, TableTransaction), R> + Send + Sync,
    {
        let mut lost = None;
        for _ in 0..APPEND_ATTEMPTS {
            let reading = match self.read_log(change).await {
                Ok(reading) => reading,
                Err(error) => return Err(append_error(lost, error)),
            };
            if let Some(position) = reading.accepted {
                let entries = self.store.read_entries(position, position).await;
                let mut entries = entries.map_err(AppendError::Unknown)?;
                return Ok(entries.remove(0));
            }
            let Some((entry, in_force, extra)) = self.next_entry(&reading, change, &build)? else {
                continue;
            };
            match self.store.commit(&reading, &entry, in_force, extra).await {
                Ok(true) => {
                    self.apply_entry(&entry);
                    return Ok(entry);
                }
                Ok(false) => {}
                Err(error @ LogError::Table(TableError::AnswerLost { .. })) => lost = Some(error),
                Err(error) => return Err(append_error(lost, error)),
            }
        }
        let error = LogError::Entry("append: lost the race to other appends too often".to_owned());
        Err(append_error(lost, error))
    }

    /// Reads the head of the log and catches up with it.
    async fn read_log(self: &Arc<Self>, change: RequestId) -> Result<HeadReading, LogError> {
        let asked_at = self.clock.now();
        let reading = self.store.read_head(Some(change)).await?;
        self.note_table_read(asked_at, reading.head);
        self.catch_up(reading.head.newest).await?;
        Ok(reading)
    }

    /// Builds the entry to append after `reading`; returns `None` if this daemon's state is not
    /// at that head.
    fn next_entry<B, R>(
        &self,
        reading: &HeadReading,
        change: RequestId,
        build: &B,
    ) -> Result<Option<(LogEntry, LogPosition, TableTransaction)>, AppendError<R>>
    where
        B: Fn(&LogSnapshot) -> Result<(LogBody, TableTransaction), R>,
    {
        let state = self.state();
        if state.log.snapshot.position != reading.head.newest {
            return Ok(None);
        }
        let (body, extra) = build(&state.log.snapshot).map_err(AppendError::Refused)?;
        let entry = LogEntry {
            position: reading.head.newest.next(),
            change,
            author: self.record.id.host.clone(),
            accepted_at: epoch_seconds(),
            body,
        };
        Ok(Some((entry, state.gossip.freshness.heads().in_force, extra)))
    }
}

/// Returns the error of an append: unknown if the answer of an earlier commit was lost.
fn append_error<R>(lost: Option<LogError>, error: LogError) -> AppendError<R> {
    match lost {
        Some(lost) => AppendError::Unknown(lost),
        None => AppendError::Down(error),
    }
}

/// Returns the seconds since the Unix epoch on this host's clock; 0 if it is set before the epoch.
pub(crate) fn epoch_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
