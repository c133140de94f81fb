//! Runs the share machine of this daemon, which enforces the teams' token rates over all hosts.
//!
//! The rate and burst of every team are split into share slots. The slot map, a row of the table,
//! assigns each slot to a daemon. Each team has a ledger on one host: the daemons lend it their
//! slots, and it grants the pooled tokens as credit to the daemons whose callers spend them. It can
//! recall credit that was not spent. The host with the role of the rebalancer moves slots when the
//! members change.
//!
//! The caller of [`start_shares`] must ensure that
//!
//! - [`ShareParts::append`] commits the transaction together with a log entry that carries the
//!   number of the slot change, so that a daemon is fresh only if it knows every slot change in
//!   force; [`ShareStatus::slots_known`] is the newest change that this daemon has applied;
//! - [`ShareStatus::slots_in_force`] reaches a change only once every fresh daemon knows it;
//! - [`ShareParts::status`] computes the status when it is called, without caching, and does not
//!   call into the shares.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::rendezvous::{role_holder, role_weight};
use dotterellane_decisions::shares::machine::ShareRefusal;
use dotterellane_decisions::shares::{
    ShareAction, ShareMachine, ShareStatus, ShareTimings, SlotMap,
};
use dotterellane_platform::{
    CommitOutcome, PlatformTable, RowCondition, RowWrite, TableError, TableTransaction,
};
use dotterellane_protocol::{MemberId, PeerMessage};
use dotterellane_units::{ClockSource, HostId, RequestId, RowVersion, TeamId, TokenCount};
use futures::future::BoxFuture;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    ChargeReceipt, ChargeRefusal, ChargeRequest, ConfigurationFeed, MemberFeed, MemberView,
    PeerInbox, PeerSender, TimerService, TimerSubscription,
};

/// Key of the table row that holds the slot map.
pub const SLOTS_KEY: &str = "shares/slots";

/// Role of the one host that moves slots between daemons.
const REBALANCER_ROLE: &str = "slot-keeper";

/// Time between two ticks of the share machine.
const TICK_PERIOD: Duration = Duration::from_millis(25);

/// Time between two checks whether the slot map must be read or changed.
const SLOT_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Time after which the slot map is read again although no change of it is known.
const SLOT_READ_PERIOD: Duration = Duration::from_secs(60);

/// How long the slot map must have been out of balance with the members before slots are moved.
const REBALANCE_DELAY: Duration = Duration::from_secs(5);

type StatusCall = dyn Fn() -> ShareStatus + Send + Sync;
type AppendCall = dyn Fn(SlotChange) -> BoxFuture<'static, Result<bool, String>> + Send + Sync;

/// A change of the slot map to be committed.
#[derive(Clone, Debug)]
pub struct SlotChange {
    /// Number of the change; the log entry must carry it to every daemon.
    pub number: u64,
    /// Writes the new map on condition that its row has not changed since it was read.
    pub transaction: TableTransaction,
}

/// Dependencies of the share machine.
pub struct ShareParts {
    /// Host and incarnation of this daemon, as the owner of slots.
    pub owner: MemberId,
    /// How long loans and credits last, and how often they are renewed.
    pub timings: ShareTimings,
    /// Clock that deadlines refer to.
    pub clock: ClockSource,
    /// Configuration with the teams' rates.
    pub configuration: ConfigurationFeed,
    /// Members of the fleet, this host included.
    pub members: MemberFeed,
    /// Table that holds the slot map.
    pub table: PlatformTable,
    /// Sends messages to peers.
    pub sender: PeerSender,
    /// Share messages from peers.
    pub inbox: PeerInbox,
    /// Timer service of the daemon.
    pub timers: TimerService,
    /// Returns whether this daemon is fresh and which slot changes are known and in force.
    pub status: Arc<StatusCall>,
    /// Commits a change of the slot map; returns whether it was committed, or the error as text.
    pub append: Arc<AppendCall>,
    /// Registry of the daemon's metrics.
    pub registry: Registry,
}

impl fmt::Debug for ShareParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShareParts").field("owner", &self.owner).finish_non_exhaustive()
    }
}

/// Why the slot map could not be read or changed.
#[derive(Debug)]
#[derive(Error)]
enum SlotError {
    #[error("{step}: {cause}")]
    Table { step: &'static str, cause: TableError },
    #[error("decode slot map of version {version}: {cause}")]
    Malformed { version: RowVersion, cause: postcard::Error },
    #[error("append slot change {change}: {cause}")]
    Append { change: u64, cause: String },
    #[error("encode slot map: {cause}")]
    Encode { cause: postcard::Error },
}

struct ShareMetrics {
    charges: IntCounterVec,
    refunded: IntCounter,
    messages: IntCounterVec,
    granted: IntGauge,
    recalls: IntGauge,
    slots: IntGauge,
    waiting: IntGauge,
    slot_moves: IntCounterVec,
}

struct ShareState {
    machine: ShareMachine,
    /// Channels to the waiting callers, by the number of their charge.
    answers: HashMap<RequestId, oneshot::Sender<Result<ChargeReceipt, ChargeRefusal>>>,
    /// Number of the newest charge.
    next_charge: u128,
}

/// The share machine under its lock, with what its actions need.
struct ShareCore {
    owner: MemberId,
    clock: ClockSource,
    sender: PeerSender,
    status: Arc<StatusCall>,
    state: Mutex<ShareState>,
    metrics: ShareMetrics,
}

/// Handle of the running share machine; it stops when the last clone is dropped.
#[derive(Clone)]
pub struct RunningShares {
    core: Arc<ShareCore>,
    _tasks: Arc<ShareTasks>,
}

struct ShareTasks {
    _stopped: DropGuard,
    _ticks: TimerSubscription,
}

/// Starts the share machine of this daemon.
///
/// # Errors
/// Fails if a metric of the same name is registered already.
///
/// # Panics
/// Panics if called outside a `tokio` runtime.
pub fn start_shares(parts: ShareParts) -> Result<RunningShares, prometheus::Error> {
    let state = ShareState {
        machine: ShareMachine::new(parts.owner.clone(), parts.timings),
        answers: HashMap::new(),
        next_charge: 0,
    };
    let core = Arc::new(ShareCore {
        owner: parts.owner,
        clock: parts.clock,
        sender: parts.sender,
        status: parts.status,
        state: Mutex::new(state),
        metrics: ShareMetrics::registered(&parts.registry)?,
    });
    core.update_members(&parts.members.borrow().clone());
    core.update_teams(&parts.configuration);
    let ticker = core.clone();
    let ticks = parts.timers.subscribe(TICK_PERIOD, move || ticker.tick());
    let stopped = CancellationToken::new();
    spawn_until(&stopped, receive_messages(core.clone(), parts.inbox));
    spawn_until(&stopped, watch_configuration(core.clone(), parts.configuration));
    spawn_until(&stopped, watch_members(core.clone(), parts.members.clone()));
    let rebalancer = SlotRebalancer {
        core: core.clone(),
        table: parts.table,
        members: parts.members,
        append: parts.append,
        version: RowVersion::ABSENT,
        map: None,
        wanted_for: Duration::ZERO,
        since_last_read: SLOT_READ_PERIOD,
    };
    spawn_until(&stopped, rebalancer.run());
    let tasks = ShareTasks { _stopped: stopped.drop_guard(), _ticks: ticks };
    Ok(RunningShares { core, _tasks: Arc::new(tasks) })
}

/// Returns [`ShareParts::status`] and [`ShareParts::append`] for a fleet of one daemon, where every
/// committed change is in force at once.
pub fn single_daemon_calls(table: PlatformTable) -> (Arc<StatusCall>, Arc<AppendCall>) {
    let status = ShareStatus { fresh: true, slots_known: 0, slots_in_force: u64::MAX };
    let append = move |change: SlotChange| -> BoxFuture<'static, Result<bool, String>> {
        let table = table.clone();
        Box::pin(async move {
            let outcome = table.commit(change.transaction).await;
            let outcome = outcome.map_err(|error| error.to_string())?;
            Ok(matches!(outcome, CommitOutcome::Committed(_)))
        })
    };
    (Arc::new(move || status), Arc::new(append))
}

/// Spawns `task`, which ends when `stopped` is cancelled.
fn spawn_until<F>(stopped: &CancellationToken, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let stopped = stopped.clone();
    tokio::spawn(async move { stopped.run_until_cancelled(task).await });
}

impl RunningShares {
    /// Returns a function that charges a team, for [`crate::FleetPorts::with_shares`].
    pub fn charge_call(
        &self,
    ) -> impl Fn(ChargeRequest) -> BoxFuture<'static, Result<ChargeReceipt, ChargeRefusal>>
    + Send
    + Sync
    + use<> {
        let shares = self.clone();
        move |request| {
            let shares = shares.clone();
            Box::pin(async move { shares.charge(request).await })
        }
    }

    /// Returns a function that refunds a charge, for [`crate::FleetPorts::with_shares`].
    pub fn refund_call(&self) -> impl Fn(ChargeReceipt, TokenCount) + Send + Sync + use<> {
        let shares = self.clone();
        move |receipt, unused| shares.core.refund(&receipt.team, unused.min(receipt.tokens))
    }

    /// Charges a team, waiting for tokens as long as they are expected before the deadline.
    ///
    /// Dropping the future withdraws the charge.
    ///
    /// # Errors
    /// Fails if the tokens are not available before the deadline, are more than the team's burst,
    /// or the team's share cannot be reached.
    pub async fn charge(&self, request: ChargeRequest) -> Result<ChargeReceipt, ChargeRefusal> {
        let mut pending = self.core.charge(&request);
        let answer = (&mut pending.answer).await;
        answer.unwrap_or(Err(ChargeRefusal::Unreachable))
    }
}

impl fmt::Debug for RunningShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RunningShares")
    }
}

/// A charge in progress; dropping it before its answer is read withdraws or refunds the charge.
struct PendingCharge {
    core: Arc<ShareCore>,
    charge: RequestId,
    team: TeamId,
    answer: oneshot::Receiver<Result<ChargeReceipt, ChargeRefusal>>,
}

impl Drop for PendingCharge {
    fn drop(&mut self) {
        let mut state = self.core.state();
        if state.answers.remove(&self.charge).is_some() {
            state.machine.withdraw(self.charge, &self.team);
            return;
        }
        drop(state);
        if let Ok(Ok(receipt)) = self.answer.try_recv() {
            self.core.refund(&receipt.team, receipt.tokens);
        }
    }
}

impl ShareCore {
    fn state(&self) -> MutexGuard<'_, ShareState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `step` on the machine with the current time and status, and performs the actions.
    fn run<S>(&self, step: S)
    where
        S: FnOnce(&mut ShareMachine, dotterellane_units::ClockInstant) -> Vec<ShareAction>,
    {
        let mut state = self.state();
        let now = self.clock.now();
        let mut actions = state.machine.set_status((self.status)(), now);
        actions.extend(step(&mut state.machine, now));
        let sends = self.answer(&mut state, actions);
        drop(state);
        for (to, message) in sends {
            self.metrics.messages.with_label_values(&["sent"]).inc();
            self.sender.send(&to, message);
        }
    }

    /// Answers the charges that were decided, and returns the messages to send.
    fn answer(
        &self,
        state: &mut ShareState,
        actions: Vec<ShareAction>,
    ) -> Vec<(HostId, PeerMessage)> {
        let mut sends = Vec::new();
        for action in actions {
            match action {
                ShareAction::Send { to, message } => {
                    sends.push((to, PeerMessage::Shares(message)));
                }
                ShareAction::Admit { request, team, tokens } => {
                    self.metrics.charges.with_label_values(&["made"]).inc();
                    if let Some(answer) = state.answers.remove(&request) {
                        // A caller that is gone refunds in `PendingCharge::drop`.
                        let _gone = answer.send(Ok(ChargeReceipt { team, tokens }));
                    }
                }
                ShareAction::Refuse { request, refusal } => {
                    self.metrics.charges.with_label_values(&[refusal_label(&refusal)]).inc();
                    if let Some(answer) = state.answers.remove(&request) {
                        let _gone = answer.send(Err(charge_refusal(refusal)));
                    }
                }
            }
        }
        sends
    }

    /// Starts a charge under a number of its own, so that two charges of one request stay apart.
    fn charge(self: &Arc<Self>, request: &ChargeRequest) -> PendingCharge {
        let (sender, answer) = oneshot::channel();
        let charge = {
            let mut state = self.state();
            state.next_charge += 1;
            let charge = RequestId(state.next_charge);
            state.answers.insert(charge, sender);
            charge
        };
        let ChargeRequest { team, tokens, deadline, .. } = request;
        self.run(|machine, now| machine.charge(charge, team, *tokens, *deadline, now));
        PendingCharge { core: self.clone(), charge, team: team.clone(), answer }
    }

    fn refund(&self, team: &TeamId, unused: TokenCount) {
        self.metrics.refunded.inc_by(unused.0);
        self.run(|machine, now| machine.refund(team, unused, now));
    }

    /// Ticks the machine and updates the gauges.
    fn tick(&self) {
        self.run(ShareMachine::tick);
        let state = self.state();
        let counters = state.machine.ledger_counters();
        self.metrics.granted.set(gauge(counters.granted));
        self.metrics.recalls.set(gauge(counters.recalls));
        self.metrics.slots.set(gauge(state.machine.usable_slots() as u64));
        self.metrics.waiting.set(gauge(state.machine.waiting_charges() as u64));
    }

    fn update_members(&self, view: &MemberView) {
        let serving = view.serving().map(|member| member.host.clone()).collect();
        self.state().machine.set_members(serving);
    }

    fn update_teams(&self, configuration: &ConfigurationFeed) {
        let snapshot = configuration.current();
        self.run(|machine, now| {
            machine.set_teams(&snapshot.document.teams, now);
            Vec::new()
        });
    }
}

/// Converts a count to the type of Prometheus gauges.
fn gauge(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn refusal_label(refusal: &ShareRefusal) -> &'static str {
    match refusal {
        ShareRefusal::OverRate { .. } => "over_rate",
        ShareRefusal::OverBurst { .. } => "over_burst",
        ShareRefusal::Unreachable => "unreachable",
    }
}

fn charge_refusal(refusal: ShareRefusal) -> ChargeRefusal {
    match refusal {
        ShareRefusal::OverRate { retry_after } => ChargeRefusal::OverRate { retry_after },
        ShareRefusal::OverBurst { tokens, burst } => ChargeRefusal::OverBurst { tokens, burst },
        ShareRefusal::Unreachable => ChargeRefusal::Unreachable,
    }
}

async fn receive_messages(core: Arc<ShareCore>, mut inbox: PeerInbox) {
    while let Some(delivery) = inbox.recv().await {
        let PeerMessage::Shares(message) = delivery.message else { continue };
        core.metrics.messages.with_label_values(&["received"]).inc();
        let from = MemberId { host: delivery.from, incarnation: delivery.incarnation };
        core.run(|machine, now| machine.deliver(&from, &message, now));
    }
}

async fn watch_configuration(core: Arc<ShareCore>, configuration: ConfigurationFeed) {
    let mut changes = configuration.subscribe();
    // Picks up a change made between the start of the shares and the subscription.
    core.update_teams(&configuration);
    while changes.changed().await.is_ok() {
        core.update_teams(&configuration);
    }
}

async fn watch_members(core: Arc<ShareCore>, mut members: MemberFeed) {
    while members.changed().await.is_ok() {
        let view = members.borrow_and_update().clone();
        core.update_members(&view);
    }
}

/// Keeps the slot map up to date; on the host that holds the role, rebalances it over the members.
struct SlotRebalancer {
    core: Arc<ShareCore>,
    table: PlatformTable,
    members: MemberFeed,
    append: Arc<AppendCall>,
    /// Version of the row that `map` was read from.
    version: RowVersion,
    /// Newest map; `None` if it must be read again.
    map: Option<SlotMap>,
    /// How long this host has wanted to change the map.
    wanted_for: Duration,
    since_last_read: Duration,
}

impl SlotRebalancer {
    async fn run(mut self) {
        loop {
            if let Err(error) = self.check().await {
                self.core.metrics.slot_moves.with_label_values(&["failed"]).inc();
                spdlog::debug!("share slots: {error}");
            }
            tokio::time::sleep(self.jittered(SLOT_CHECK_PERIOD)).await;
            self.since_last_read += SLOT_CHECK_PERIOD;
        }
    }

    /// Returns 0.75 to 1.25 times `period`, depending on the host, so that the hosts do not all
    /// read at the same time.
    fn jittered(&self, period: Duration) -> Duration {
        let weight = role_weight("jitter", SLOTS_KEY, &self.core.owner.host);
        let thousandths = u32::try_from(weight % 500).unwrap_or(0);
        period * (750 + thousandths) / 1_000
    }

    /// Reads the map if it is outdated or its read is due, and moves slots if need be.
    async fn check(&mut self) -> Result<(), SlotError> {
        let known = (self.core.status)().slots_known;
        let outdated = self.map.as_ref().is_none_or(|map| map.change < known);
        if outdated || self.since_last_read >= self.jittered(SLOT_READ_PERIOD) {
            self.read().await?;
            self.since_last_read = Duration::ZERO;
        }
        self.move_slots().await
    }

    /// Reads the map and passes it to the share machine; no row means that no slot is assigned yet.
    async fn read(&mut self) -> Result<(), SlotError> {
        let rows = self.table.read(vec![SLOTS_KEY.to_owned()]).await;
        let rows = rows.map_err(|cause| SlotError::Table { step: "read slot map", cause })?;
        let Some(row) = rows.first() else {
            self.map.get_or_insert_default();
            return Ok(());
        };
        let map: SlotMap = postcard::from_bytes(&row.value)
            .map_err(|cause| SlotError::Malformed { version: row.version, cause })?;
        self.core.run(|machine, now| {
            machine.set_slots(&map, now);
            Vec::new()
        });
        self.version = row.version;
        self.map = Some(map);
        Ok(())
    }

    /// Commits a rebalanced map once it has been wanted for [`REBALANCE_DELAY`]; the first map is
    /// committed at once.
    async fn move_slots(&mut self) -> Result<(), SlotError> {
        let Some(moved) = self.wanted_map() else {
            self.wanted_for = Duration::ZERO;
            return Ok(());
        };
        self.wanted_for += SLOT_CHECK_PERIOD;
        if moved.change > 1 && self.wanted_for < REBALANCE_DELAY {
            return Ok(());
        }
        self.wanted_for = Duration::ZERO;
        let value = postcard::to_stdvec(&moved).map_err(|cause| SlotError::Encode { cause })?;
        let key = SLOTS_KEY.to_owned();
        let transaction = TableTransaction {
            conditions: vec![RowCondition { key: key.clone(), version: self.version }],
            writes: vec![RowWrite { key, value: Some(value) }],
        };
        let appended = (self.append)(SlotChange { number: moved.change, transaction }).await;
        // The map is read again in any case: without an answer, it may have been committed.
        self.map = None;
        let made = appended.map_err(|cause| SlotError::Append { change: moved.change, cause })?;
        let outcome = if made { "made" } else { "raced" };
        self.core.metrics.slot_moves.with_label_values(&[outcome]).inc();
        if made {
            spdlog::info!("share slots: committed change {} of the slot map", moved.change);
        }
        self.read().await
    }

    /// Returns the rebalanced map; `None` if this host does not hold the role, the map is not known
    /// or it is balanced.
    fn wanted_map(&self) -> Option<SlotMap> {
        let view = self.members.borrow().clone();
        let serving: Vec<MemberId> = view
            .serving()
            .map(|m| MemberId { host: m.host.clone(), incarnation: m.incarnation })
            .collect();
        let hosts = serving.iter().map(|owner| &owner.host);
        let holder = role_holder(REBALANCER_ROLE, SLOTS_KEY, hosts)?;
        if *holder != self.core.owner.host {
            return None;
        }
        self.map.as_ref()?.rebalanced(&serving)
    }
}

impl ShareMetrics {
    fn registered(registry: &Registry) -> Result<Self, prometheus::Error> {
        let vector = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let refunded = IntCounter::new("share_refunded_tokens_total", "Tokens refunded")?;
        registry.register(Box::new(refunded.clone()))?;
        Ok(Self {
            charges: vector("share_charges_total", "Charges by outcome", "outcome")?,
            refunded,
            messages: vector("share_messages_total", "Share messages", "direction")?,
            granted: gauge("share_granted_tokens", "Tokens granted by ledgers on this host")?,
            recalls: gauge("share_recalls", "Recalls sent by ledgers on this host")?,
            slots: gauge("share_slots", "Share slots in use on this host")?,
            waiting: gauge("share_waiting_charges", "Charges waiting for tokens")?,
            slot_moves: vector("share_slot_moves_total", "Slot moves by outcome", "outcome")?,
        })
    }
}
