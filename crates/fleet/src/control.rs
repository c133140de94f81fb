//! What the parts of one daemon's control share: the state under its lock, and how entries of the
//! log are followed and appended.

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
use crate::log_store::{HeadReading, LogError, LogHead, LogStore, SNAPSHOT_EVERY};
use crate::transport::PeerTransport;
use crate::{ConfigurationFeed, FreshnessState, MemberView};

/// How often an append is tried while others come first or answers are lost.
const APPEND_ATTEMPTS: usize = 16;

/// Entries behind which a daemon starts again from a snapshot.
const SNAPSHOT_DISTANCE: u64 = 2 * SNAPSHOT_EVERY;

/// Why an entry was not appended.
#[derive(Debug)]
#[derive(Error)]
pub enum AppendError<R> {
    /// The change does not fit the state at the head of the log.
    #[error("the change was refused")]
    Refused(R),
    /// The table is down: nothing was appended.
    #[error("{0}")]
    Down(LogError),
    /// It is not known whether the entry was appended.
    #[error("{0}")]
    Unknown(LogError),
}

/// The state of one daemon's control.
pub(crate) struct ControlState {
    pub(crate) gossip: GossipMachine,
    pub(crate) log: LogState,
    pub(crate) absence: AbsenceTracker,
    pub(crate) leaving: bool,
    pub(crate) evidence: FreshnessEvidence,
}

/// What the parts of one daemon's control share.
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
    pub(crate) reading: Flag,
    pub(crate) fetching: Flag,
    pub(crate) joining: Flag,
    pub(crate) tending: Flag,
    state: Mutex<ControlState>,
}

/// Lets one task at a time do something.
#[derive(Default)]
pub(crate) struct Flag(AtomicBool);

impl Flag {
    /// Raises the flag; tells whether it was down.
    pub(crate) fn raise(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }

    /// Lowers the flag.
    pub(crate) fn lower(&self) {
        self.0.store(false, Ordering::Release);
    }
}

/// The services that the control of a daemon uses.
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
            reading: Flag::default(),
            fetching: Flag::default(),
            joining: Flag::default(),
            tending: Flag::default(),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn freshness(&self) -> FreshnessState {
        // The clock is read under the lock: evidence that came meanwhile is not younger than it.
        let state = self.state();
        match state.gossip.freshness.evidence(self.clock.now()).is_fresh() {
            true => FreshnessState::Fresh,
            false => FreshnessState::Stale,
        }
    }

    pub(crate) fn send(&self, host: &HostId, message: GossipMessage) {
        self.transport.send(host, PeerMessage::Gossip(message));
    }

    pub(crate) fn learn_table(&self, asked_at: ClockInstant, head: LogHead) {
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

    /// Follows `entry` if it is the next one, and carries it on.
    pub(crate) fn take_entry(self: &Arc<Self>, entry: &LogEntry) {
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
            self.configuration.follow(state.log.snapshot.configuration.clone());
        }
        let actions = state.gossip.on_followed(entry, &state.log.snapshot.lists, now);
        self.after_follow(state);
        let snapshot = self.due_snapshot(entry, state);
        drop(guard);
        self.carry_out(actions);
        if let Some(snapshot) = snapshot {
            let store = self.store.clone();
            tokio::spawn(async move { store.put_snapshot(&snapshot).await });
        }
    }

    /// Takes the place of the state that is followed, if `log` is further.
    pub(crate) fn install(&self, log: LogState) {
        let now = self.clock.now();
        let mut guard = self.state();
        let state = &mut *guard;
        if log.snapshot.position <= state.log.snapshot.position {
            return;
        }
        self.configuration.follow(log.snapshot.configuration.clone());
        state.log = log;
        let snapshot = &state.log.snapshot;
        state.gossip.freshness.follow(snapshot.position, &snapshot.lists, now);
        self.after_follow(state);
    }

    fn after_follow(&self, state: &ControlState) {
        for record in &state.log.snapshot.lists.current().records {
            self.transport.suggest_address(&record.id, record.address);
        }
        self.publish_heads(state);
        self.publish_members(state);
    }

    fn due_snapshot(&self, entry: &LogEntry, state: &ControlState) -> Option<LogSnapshot> {
        let due = entry.position.0.is_multiple_of(SNAPSHOT_EVERY);
        (due && entry.author == self.record.id.host).then(|| state.log.snapshot.clone())
    }

    /// Follows the log up to `position` from the table.
    ///
    /// # Errors
    /// Fails if the platform does not answer or an entry is not understood.
    pub(crate) async fn catch_up(self: &Arc<Self>, position: LogPosition) -> Result<(), LogError> {
        loop {
            let followed = self.state().log.snapshot.position;
            if followed >= position {
                return Ok(());
            }
            if position.0 - followed.0 > SNAPSHOT_DISTANCE {
                self.install(self.store.load(position).await?);
            } else {
                for entry in self.store.read_entries(followed.next(), position).await? {
                    self.take_entry(&entry);
                }
            }
            if self.state().log.snapshot.position == followed {
                return Err(LogError::Entry(format!("entry {} is not followed", followed.next())));
            }
        }
    }

    /// Appends what `build` makes of the state at the head of the log; once, also if repeated
    /// with the same `change`.
    ///
    /// # Errors
    /// Fails if `build` refuses or the table does not answer.
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
                Err(error) => return Err(failed(lost, error)),
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
                    self.take_entry(&entry);
                    return Ok(entry);
                }
                Ok(false) => {}
                Err(error @ LogError::Table(TableError::AnswerLost { .. })) => lost = Some(error),
                Err(error) => return Err(failed(lost, error)),
            }
        }
        let error = LogError::Entry("append: other changes came first too often".to_owned());
        Err(failed(lost, error))
    }

    async fn read_log(self: &Arc<Self>, change: RequestId) -> Result<HeadReading, LogError> {
        let asked_at = self.clock.now();
        let reading = self.store.read_head(Some(change)).await?;
        self.learn_table(asked_at, reading.head);
        self.catch_up(reading.head.newest).await?;
        Ok(reading)
    }

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

fn failed<R>(lost: Option<LogError>, error: LogError) -> AppendError<R> {
    match lost {
        Some(lost) => AppendError::Unknown(lost),
        None => AppendError::Down(error),
    }
}

/// Returns the seconds since the Unix epoch on this host's clock.
pub(crate) fn epoch_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
