//! Runs the dispatchers and keepers that this daemon is responsible for.
//!
//! A model has a number of slots, each on a different runner; a replica of the model is only ever
//! loaded into a slot. The host of the model's dispatcher decides the slots and stores them in the
//! table. The dispatcher queues requests for the model and grants permits to run on its replicas.
//! The keeper of a runner, the daemon that holds the runner's lease, orders it to load and unload
//! replicas.
//!
//! A single task owns all state of both; callers, peers, timers and I/O tasks send it events.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dotterellane_decisions::placement::{PlacementRow, RunnerOffer, SlotState, decide_slots};
use dotterellane_decisions::rendezvous::{role_holder, role_order};
use dotterellane_platform::{
    CommitOutcome, PlatformTable, RowCondition, RowWrite, TableError, TableRow, TableTransaction,
};
use dotterellane_protocol::placement::CacheTier;
use dotterellane_protocol::{PeerMessage, PlacementMessage};
use dotterellane_settings::document::{ConfigurationDocument, UpstreamRole};
use dotterellane_units::{
    ByteSize, ClockInstant, ClockSource, HostId, HostIncarnation, ModelId, RowVersion, UpstreamId,
};
use dotterellane_upstream::orders::RunnerOrders;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::dispatch::{DispatchService, PermitAnswer};
use crate::keepers::{KeeperEvent, KeeperService};
use crate::{
    CallOutcome, ConfigurationFeed, ConfigurationSnapshot, DispatchPermit, FleetPorts, MemberFeed,
    MemberView, PeerDelivery, PeerInbox, PeerSender, PermitRefusal, PermitRequest, TimerService,
    TimerSubscription,
};

/// Time between two ticks of the state machines.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Longest time between two reads of the table.
const TABLE_READ_PERIOD: Duration = Duration::from_secs(1);
/// Hosts per runner, in order of preference, that read its lease and can take it over.
const KEEPER_CANDIDATES: usize = 3;
/// Least time between two checks of slots while all are as wanted and neither the members nor the
/// configuration change.
const SETTLED_PLACEMENT_PERIOD: Duration = Duration::from_secs(60);
/// Least time between two checks whether the models have the wanted slots.
const PLACEMENT_PERIOD: Duration = Duration::from_secs(2);

/// Creates the client of a runner's control interface from the runner's name and address.
pub type OrdersFactory = Arc<dyn Fn(&UpstreamId, SocketAddr) -> RunnerOrders + Send + Sync>;

/// Dependencies of [`PlacementRuntime`].
pub struct PlacementParts {
    /// Host that this daemon runs on.
    pub host: HostId,
    /// Incarnation of this daemon.
    pub incarnation: HostIncarnation,
    /// Clock that deadlines refer to.
    pub clock: ClockSource,
    /// Timer service of the daemon.
    pub timers: TimerService,
    /// Newest configuration that this daemon has applied.
    pub configuration: ConfigurationFeed,
    /// Members of the fleet, this host included.
    pub members: MemberFeed,
    /// Table that holds the rows of slots and leases.
    pub table: PlatformTable,
    /// Sends messages to the other daemons.
    pub peers: PeerSender,
    /// Messages of other daemons about permits.
    pub dispatch_inbox: PeerInbox,
    /// Messages of other daemons to keepers and the load queue, and reports of replicas.
    pub placement_inbox: PeerInbox,
    /// Creates the client of a runner's control interface.
    pub orders: OrdersFactory,
}

/// Handle of the running dispatchers and keepers of one daemon; dropping it stops them.
pub struct PlacementRuntime {
    events: EventSender,
    stopped: CancellationToken,
    _ticks: TimerSubscription,
}

pub(crate) type EventSender = mpsc::UnboundedSender<RuntimeEvent>;

/// Event for the task that owns the state of dispatchers and keepers.
pub(crate) enum RuntimeEvent {
    Tick,
    Peer(PeerDelivery),
    /// A caller of this host needs a permit.
    Acquire(PermitRequest, oneshot::Sender<PermitAnswer>),
    /// A caller of this host stopped waiting for its permit.
    Withdraw(ModelId, dotterellane_units::RequestId),
    /// A caller of this host gives its permit back.
    Release(DispatchPermit, CallOutcome),
    /// An order or write of the runner's keeper has ended.
    Keeper(UpstreamId, KeeperEvent),
    /// Time at which a read of the lease and slot rows started, and its result.
    Rows(ClockInstant, Result<Vec<TableRow>, TableError>),
    /// A check of slots has ended; `settled` if all are as wanted.
    PlacementDone {
        settled: bool,
    },
    /// The daemon stops; the sender is used once the releases have been started.
    ReleaseLeases(oneshot::Sender<()>),
}

/// Content of the row `slots/{runner}`: the slots on one runner. It is written in the same
/// transaction as the `placement/{model}` rows of their models.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct RunnerSlots {
    pub(crate) slots: BTreeMap<ModelId, SlotState>,
}

/// Identity, clients and current views shared by [`DispatchService`] and [`KeeperService`].
pub(crate) struct RuntimeContext {
    pub(crate) host: HostId,
    pub(crate) incarnation: HostIncarnation,
    pub(crate) clock: ClockSource,
    pub(crate) table: PlatformTable,
    pub(crate) orders: OrdersFactory,
    pub(crate) events: EventSender,
    pub(crate) members: Arc<MemberView>,
    pub(crate) configuration: Arc<ConfigurationSnapshot>,
    peers: PeerSender,
    /// Cached holders of roles among the current members, by role and object.
    holders: Mutex<HashMap<(&'static str, String), Option<HostId>>>,
}

impl RuntimeContext {
    pub(crate) fn now(&self) -> ClockInstant {
        self.clock.now()
    }

    /// Sends a message to a host; a message to this host is delivered without the network.
    pub(crate) fn send(&self, host: &HostId, message: PeerMessage) {
        if *host != self.host {
            return self.peers.send(host, message);
        }
        let delivery = PeerDelivery { from: host.clone(), incarnation: self.incarnation, message };
        let _ = self.events.send(RuntimeEvent::Peer(delivery));
    }

    pub(crate) fn send_placement(&self, host: &HostId, message: PlacementMessage) {
        self.send(host, PeerMessage::Placement(message));
    }

    /// Returns the serving member that holds `role` for `object`; `None` if there is no member.
    pub(crate) fn holder(&self, role: &'static str, object: &str) -> Option<HostId> {
        let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        let holder = holders.entry((role, object.to_owned())).or_insert_with(|| {
            let serving = self.members.serving().map(|member| &member.host);
            role_holder(role, object, serving).cloned()
        });
        holder.clone()
    }

    /// Replaces the member view; returns whether it differs from the previous one.
    fn update_members(&mut self, members: Arc<MemberView>) -> bool {
        if self.members == members {
            return false;
        }
        self.members = members;
        self.holders.get_mut().unwrap_or_else(PoisonError::into_inner).clear();
        true
    }

    /// Returns whether this host is among the first [`KEEPER_CANDIDATES`] for `runner`; earlier
    /// results are kept in `cache`.
    fn is_keeper_candidate(
        &self,
        runner: &UpstreamId,
        cache: &mut HashMap<UpstreamId, bool>,
    ) -> bool {
        *cache.entry(runner.clone()).or_insert_with(|| {
            let candidates = self.role_candidates("keeper", runner.as_str());
            candidates.iter().take(KEEPER_CANDIDATES).any(|host| *host == self.host)
        })
    }

    pub(crate) fn document(&self) -> &ConfigurationDocument {
        &self.configuration.document
    }

    /// Returns the serving members in order of preference for `role` on `object`, its holder first.
    pub(crate) fn role_candidates(&self, role: &str, object: &str) -> Vec<HostId> {
        let serving = self.members.serving().map(|member| &member.host);
        role_order(role, object, serving).into_iter().cloned().collect()
    }

    /// Returns the host of the dispatcher of `model`.
    pub(crate) fn dispatcher_of(&self, model: &ModelId) -> Option<HostId> {
        self.holder("dispatcher", model.as_str())
    }

    /// Returns the preferred keeper of `runner`; another host may still hold the lease.
    pub(crate) fn keeper_of(&self, runner: &UpstreamId) -> Option<HostId> {
        self.holder("keeper", runner.as_str())
    }

    /// Returns the host of the fleet's load queue, which limits concurrent loads from the weight
    /// store.
    pub(crate) fn load_queue_host(&self) -> Option<HostId> {
        self.holder("load-queue", "weight-store")
    }
}

impl PlacementRuntime {
    /// Starts the task that runs dispatchers and keepers.
    ///
    /// # Panics
    /// Panics if called outside a `tokio` runtime.
    pub fn start(parts: PlacementParts) -> Self {
        let (events, inbox) = mpsc::unbounded_channel();
        let stopped = CancellationToken::new();
        let ticker = events.clone();
        let ticks = parts.timers.subscribe(TICK_PERIOD, move || {
            let _ = ticker.send(RuntimeEvent::Tick);
        });
        for peer_inbox in [parts.dispatch_inbox, parts.placement_inbox] {
            let forwarded = forward(peer_inbox, events.clone());
            tokio::spawn(stopped.clone().run_until_cancelled_owned(forwarded));
        }
        let context = RuntimeContext {
            host: parts.host,
            incarnation: parts.incarnation,
            clock: parts.clock,
            table: parts.table,
            orders: parts.orders,
            events: events.clone(),
            members: Arc::default(),
            configuration: Arc::default(),
            peers: parts.peers,
            holders: Mutex::default(),
        };
        let task = RuntimeTask {
            context,
            configuration: parts.configuration,
            members: parts.members,
            keepers: KeeperService::default(),
            dispatch: DispatchService::new(),
            reading_since: None,
            last_read: None,
            placement_running: false,
            last_placement: ClockInstant(0),
            placement_pause: Duration::ZERO,
            candidate_runners: Vec::new(),
            is_candidate: HashMap::new(),
            initialized: false,
        };
        tokio::spawn(stopped.clone().run_until_cancelled_owned(task.run(inbox)));
        Self { events, stopped, _ticks: ticks }
    }

    /// Connects the permit calls of `ports` to the dispatchers.
    #[must_use]
    pub fn attach(&self, ports: FleetPorts) -> FleetPorts {
        let (acquirer, releaser) = (self.events.clone(), self.events.clone());
        ports.with_dispatch(
            move |request| acquire_permit(acquirer.clone(), request),
            move |permit, outcome| {
                let _ = releaser.send(RuntimeEvent::Release(permit, outcome));
            },
        )
    }

    /// Starts to give back the leases of runners that have no order in flight.
    pub async fn release_leases(&self) {
        let (done, released) = oneshot::channel();
        if self.events.send(RuntimeEvent::ReleaseLeases(done)).is_ok() {
            let _ = released.await;
        }
    }
}

impl Drop for PlacementRuntime {
    fn drop(&mut self) {
        self.stopped.cancel();
    }
}

impl fmt::Debug for PlacementRuntime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlacementRuntime")
    }
}

/// Withdraws a permit request when its future is dropped before the answer.
struct WithdrawGuard {
    events: EventSender,
    model: ModelId,
    request: dotterellane_units::RequestId,
    waiting: bool,
}

impl Drop for WithdrawGuard {
    fn drop(&mut self) {
        if self.waiting {
            let _ = self.events.send(RuntimeEvent::Withdraw(self.model.clone(), self.request));
        }
    }
}

async fn acquire_permit(
    events: EventSender,
    request: PermitRequest,
) -> Result<DispatchPermit, PermitRefusal> {
    let (answer, answered) = oneshot::channel();
    let model = request.model.clone();
    let mut guard = WithdrawGuard {
        events: events.clone(),
        model: model.clone(),
        request: request.request,
        waiting: true,
    };
    let sent = events.send(RuntimeEvent::Acquire(request, answer));
    let answer = if sent.is_ok() { answered.await.ok() } else { None };
    guard.waiting = false;
    answer.unwrap_or(Err(PermitRefusal::NoRunner { model }))
}

/// Turns the messages of `inbox` into events until either side closes.
async fn forward(mut inbox: PeerInbox, events: EventSender) {
    while let Some(delivery) = inbox.recv().await {
        if events.send(RuntimeEvent::Peer(delivery)).is_err() {
            return;
        }
    }
}

/// The task that owns the state of dispatchers and keepers.
struct RuntimeTask {
    context: RuntimeContext,
    configuration: ConfigurationFeed,
    members: MemberFeed,
    keepers: KeeperService,
    dispatch: DispatchService,
    reading_since: Option<ClockInstant>,
    last_read: Option<ClockInstant>,
    placement_running: bool,
    last_placement: ClockInstant,
    /// Least time from the last check of slots to the next; reset when the members or the
    /// configuration change.
    placement_pause: Duration,
    /// Runners that this host is a keeper candidate for.
    candidate_runners: Vec<UpstreamId>,
    /// Cache of [`RuntimeContext::is_keeper_candidate`] for the current members.
    is_candidate: HashMap<UpstreamId, bool>,
    initialized: bool,
}

impl RuntimeTask {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<RuntimeEvent>) {
        self.update_views();
        while let Some(event) = inbox.recv().await {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: RuntimeEvent) {
        let context = &self.context;
        match event {
            RuntimeEvent::Tick => self.tick(),
            RuntimeEvent::Peer(delivery) => self.on_peer(delivery),
            RuntimeEvent::Acquire(request, tx) => self.dispatch.on_acquire(context, request, tx),
            RuntimeEvent::Withdraw(model, request) => {
                self.dispatch.on_withdraw(context, &model, request);
            }
            RuntimeEvent::Release(permit, outcome) => {
                self.dispatch.on_release(context, &permit, outcome);
            }
            RuntimeEvent::Keeper(runner, event) => self.keepers.on_event(context, &runner, event),
            RuntimeEvent::Rows(asked_at, rows) => self.on_rows(asked_at, rows),
            RuntimeEvent::PlacementDone { settled } => {
                self.placement_running = false;
                self.placement_pause =
                    if settled { SETTLED_PLACEMENT_PERIOD } else { Duration::ZERO };
                self.last_read = None;
            }
            RuntimeEvent::ReleaseLeases(done) => {
                self.keepers.release_all(context);
                let _ = done.send(());
            }
        }
    }

    fn on_peer(&mut self, delivery: PeerDelivery) {
        let context = &self.context;
        match delivery.message {
            PeerMessage::Dispatch(message) => {
                self.dispatch.on_message(context, &delivery.from, message);
            }
            PeerMessage::Placement(message) => match message {
                PlacementMessage::Replica(report) => self.dispatch.on_replica(context, &report),
                message => self.keepers.on_message(context, &delivery.from, message),
            },
            _ => (),
        }
    }

    /// Takes over the newest members and configuration if they have changed.
    fn update_views(&mut self) {
        let members_changed = self.context.update_members(self.members.borrow().clone());
        let snapshot = self.configuration.current();
        let document_changed = !Arc::ptr_eq(&self.context.configuration, &snapshot);
        if !members_changed && !document_changed && self.initialized {
            return;
        }
        self.initialized = true;
        self.placement_pause = Duration::ZERO;
        self.context.configuration = snapshot;
        if members_changed {
            self.is_candidate.clear();
        }
        let (context, cache) = (&self.context, &mut self.is_candidate);
        self.keepers.update_runners(context, |runner| context.is_keeper_candidate(runner, cache));
        let runners = self.keepers.runners();
        self.candidate_runners =
            runners.filter(|runner| context.is_keeper_candidate(runner, cache)).cloned().collect();
    }

    fn tick(&mut self) {
        self.update_views();
        self.dispatch.on_tick(&self.context);
        self.keepers.on_tick(&self.context);
        self.read_table();
        self.place_models();
    }

    /// Starts one consistent read of the lease and slot rows of the candidate runners, if it is
    /// due.
    fn read_table(&mut self) {
        let now = self.context.now();
        let due = self.last_read.is_none_or(|at| now.since(at) >= TABLE_READ_PERIOD)
            || self.keepers.needs_read();
        if self.reading_since.is_some() || !due {
            return;
        }
        let keys: Vec<String> = self
            .candidate_runners
            .iter()
            .flat_map(|runner| [lease_key(runner), slots_key(runner)])
            .collect();
        self.reading_since = Some(now);
        let (table, events) = (self.context.table.clone(), self.context.events.clone());
        tokio::spawn(async move {
            let rows = table.read(keys).await;
            let _ = events.send(RuntimeEvent::Rows(now, rows));
        });
    }

    fn on_rows(&mut self, asked_at: ClockInstant, rows: Result<Vec<TableRow>, TableError>) {
        self.reading_since = None;
        self.last_read = Some(self.context.now());
        self.keepers.on_rows(&self.context, asked_at, rows.ok().as_deref());
    }

    /// Starts a check of the slots of the models that this host dispatches, if it is due.
    fn place_models(&mut self) {
        let now = self.context.now();
        if self.placement_running
            || now.since(self.last_placement) < PLACEMENT_PERIOD.max(self.placement_pause)
        {
            return;
        }
        self.last_placement = now;
        let own = |model: &&ModelId| {
            self.context.dispatcher_of(model).as_ref() == Some(&self.context.host)
        };
        let models: Vec<ModelId> =
            self.context.document().models.keys().filter(own).cloned().collect();
        if models.is_empty() {
            return;
        }
        self.placement_running = true;
        let placer = ModelPlacer {
            table: self.context.table.clone(),
            configuration: self.context.configuration.clone(),
        };
        let events = self.context.events.clone();
        tokio::spawn(async move {
            // After a conflict or an outage, the next check tries again.
            let settled = placer.place_all(models).await.unwrap_or(false);
            let _ = events.send(RuntimeEvent::PlacementDone { settled });
        });
    }
}

/// Decides the slots of models and writes them to the table.
struct ModelPlacer {
    table: PlatformTable,
    configuration: Arc<ConfigurationSnapshot>,
}

impl ModelPlacer {
    /// Updates the slots of all `models`; returns whether all were as wanted already.
    async fn place_all(&self, models: Vec<ModelId>) -> Result<bool, TableError> {
        let mut keys: Vec<String> = models.iter().map(placement_key).collect();
        keys.extend(self.runners().map(|(runner, _)| slots_key(runner)));
        let rows = self.table.read(keys).await?;
        let mut found: BTreeMap<String, TableRow> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        let mut settled = true;
        for model in models {
            settled &= self.place(&model, &mut found).await?;
        }
        Ok(settled)
    }

    /// Updates the slots of one model; returns whether they were as wanted already.
    async fn place(
        &self,
        model: &ModelId,
        found: &mut BTreeMap<String, TableRow>,
    ) -> Result<bool, TableError> {
        let Some(entry) = self.configuration.document.models.get(model) else { return Ok(true) };
        let Some(current) = decode::<PlacementRow>(found, &placement_key(model)) else {
            return Ok(false);
        };
        let memory = entry.memory + entry.kv_reserve;
        let wanted =
            decide_slots(&current, entry.slots as usize, memory, &self.runner_offers(found));
        if wanted == current {
            return Ok(current.slots.iter().all(|slot| slot.state == SlotState::Decided));
        }
        let Some(transaction) = slots_transaction(model, &current, &wanted, found) else {
            return Ok(false);
        };
        let writes = transaction.writes.clone();
        if let CommitOutcome::Committed(versions) = self.table.commit(transaction).await? {
            for (write, version) in writes.into_iter().zip(versions) {
                let value = write.value.unwrap_or_default();
                found.insert(write.key.clone(), TableRow { key: write.key, version, value });
            }
        }
        Ok(false)
    }

    fn runners(
        &self,
    ) -> impl Iterator<Item = (&UpstreamId, &dotterellane_settings::document::UpstreamEntry)> {
        let runner = |role: &UpstreamRole| matches!(role, UpstreamRole::Runner(_));
        self.configuration
            .document
            .upstreams
            .iter()
            .filter(move |(_, upstream)| runner(&upstream.role))
    }

    /// Returns what each runner has to offer for a slot, from its configuration and slot row.
    fn runner_offers(&self, found: &BTreeMap<String, TableRow>) -> Vec<RunnerOffer> {
        let offer =
            |(runner, upstream): (&UpstreamId, &dotterellane_settings::document::UpstreamEntry)| {
                let UpstreamRole::Runner(entry) = &upstream.role else { return None };
                let slots: RunnerSlots = decode(found, &slots_key(runner))?;
                let models = slots
                    .slots
                    .keys()
                    .filter_map(|model| self.configuration.document.models.get(model));
                Some(RunnerOffer {
                    runner: runner.clone(),
                    domain: upstream.domain.clone(),
                    capacity: entry.memory,
                    leaving: upstream.leaving,
                    tier: CacheTier::Remote,
                    decided_memory: models
                        .map(|model| model.memory + model.kv_reserve)
                        .sum::<ByteSize>(),
                })
            };
        self.runners().filter_map(offer).collect()
    }
}

/// Returns the transaction that changes a model's row and the slot rows of the affected runners;
/// `None` if one of those rows is malformed.
fn slots_transaction(
    model: &ModelId,
    current: &PlacementRow,
    wanted: &PlacementRow,
    found: &BTreeMap<String, TableRow>,
) -> Option<TableTransaction> {
    let mut transaction = TableTransaction::default();
    put_row(&mut transaction, found, placement_key(model), wanted);
    for slot in &wanted.slots {
        if current.slot_on(&slot.runner) == Some(slot) {
            continue;
        }
        let key = slots_key(&slot.runner);
        let mut slots: RunnerSlots = decode(found, &key)?;
        slots.slots.insert(model.clone(), slot.state);
        put_row(&mut transaction, found, key, &slots);
    }
    Some(transaction)
}

/// Adds a write of `value` on condition that the row still has the version in `found`.
pub(crate) fn put_row<V>(
    transaction: &mut TableTransaction,
    found: &BTreeMap<String, TableRow>,
    key: String,
    value: &V,
) where
    V: Serialize,
{
    let version = found.get(&key).map_or(RowVersion::ABSENT, |row| row.version);
    transaction.conditions.push(RowCondition { key: key.clone(), version });
    transaction.writes.push(RowWrite { key, value: Some(encode(value)) });
}

pub(crate) fn encode<V>(value: &V) -> Vec<u8>
where
    V: Serialize,
{
    serde_json::to_vec(value).unwrap_or_default()
}

/// Returns the content of a row: the default value if there is no row, `None` if it is malformed.
pub(crate) fn decode<V>(found: &BTreeMap<String, TableRow>, key: &str) -> Option<V>
where
    V: DeserializeOwned + Default,
{
    match found.get(key) {
        Some(row) => serde_json::from_slice(&row.value).ok(),
        None => Some(V::default()),
    }
}

/// Returns the key of the row that holds a model's slots.
pub(crate) fn placement_key(model: &ModelId) -> String {
    format!("placement/{model}")
}

/// Returns the key of the row that holds the slots on a runner.
pub(crate) fn slots_key(runner: &UpstreamId) -> String {
    format!("slots/{runner}")
}

/// Returns the key of the row that holds a runner's lease.
pub(crate) fn lease_key(runner: &UpstreamId) -> String {
    format!("keepers/{runner}")
}
