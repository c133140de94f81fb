//! Runs dispatchers and keepers: one task owns their state, everything else reaches it by events.

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

use crate::dispatch::{DispatchDesk, PermitAnswer};
use crate::keepers::{KeeperDesk, KeeperNews};
use crate::{
    CallOutcome, ConfigurationFeed, ConfigurationSnapshot, DispatchPermit, FleetPorts, MemberFeed,
    MemberView, PeerDelivery, PeerInbox, PeerSender, PermitRefusal, PermitRequest, TimerService,
    TimerSubscription,
};

/// How often time alone is looked at.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// How often the table is read, at least.
const TABLE_PERIOD: Duration = Duration::from_secs(1);
/// Hosts, in their order, that know a runner's lease and can take it over.
const KEEPERS_IN_LINE: usize = 3;
/// Least time between two looks at slots once all are as wanted and nothing they follow changes.
const PLACING_REST: Duration = Duration::from_secs(60);
/// Least time between two looks at whether a model's slots are as wanted.
const PLACING_PERIOD: Duration = Duration::from_secs(2);

/// Makes the control interface of a runner from its name and address.
pub type OrdersFactory = Arc<dyn Fn(&UpstreamId, SocketAddr) -> RunnerOrders + Send + Sync>;

/// What dispatchers and keepers are built on.
pub struct PlacementParts {
    /// This host.
    pub host: HostId,
    /// Incarnation of this daemon.
    pub incarnation: HostIncarnation,
    /// Clock that deadlines are read on.
    pub clock: ClockSource,
    /// Timer service.
    pub timers: TimerService,
    /// Configuration that the daemon follows.
    pub configuration: ConfigurationFeed,
    /// Members of the fleet, this host included.
    pub members: MemberFeed,
    /// The platform's table.
    pub table: PlatformTable,
    /// Reaches the other daemons.
    pub peers: PeerSender,
    /// Messages of other daemons about permits.
    pub dispatch_inbox: PeerInbox,
    /// Messages of other daemons about placement.
    pub placement_inbox: PeerInbox,
    /// Makes the control interface of a runner.
    pub orders: OrdersFactory,
}

/// The running dispatchers and keepers of one daemon; they stop when it is dropped.
pub struct PlacementRuntime {
    events: EventSender,
    stopped: CancellationToken,
    _ticks: TimerSubscription,
}

pub(crate) type EventSender = mpsc::UnboundedSender<RuntimeEvent>;

pub(crate) enum RuntimeEvent {
    Tick,
    Peer(PeerDelivery),
    Ask(PermitRequest, oneshot::Sender<PermitAnswer>),
    Withdraw(ModelId, dotterellane_units::RequestId),
    Release(DispatchPermit, CallOutcome),
    Keeper(UpstreamId, KeeperNews),
    Rows(ClockInstant, Result<Vec<TableRow>, TableError>),
    /// Slots were looked at; `settled` if all are as wanted.
    Placed {
        settled: bool,
    },
    ReleaseLeases(oneshot::Sender<()>),
}

/// The slots on one runner; written along with the rows of their models.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct RunnerSlots {
    pub(crate) slots: BTreeMap<ModelId, SlotState>,
}

/// What every desk needs.
pub(crate) struct DeskContext {
    pub(crate) host: HostId,
    pub(crate) incarnation: HostIncarnation,
    pub(crate) clock: ClockSource,
    pub(crate) table: PlatformTable,
    pub(crate) orders: OrdersFactory,
    pub(crate) events: EventSender,
    pub(crate) members: Arc<MemberView>,
    pub(crate) configuration: Arc<ConfigurationSnapshot>,
    peers: PeerSender,
    /// Holders of roles among the present members, by role and object.
    holders: Mutex<HashMap<(&'static str, String), Option<HostId>>>,
}

impl DeskContext {
    pub(crate) fn now(&self) -> ClockInstant {
        self.clock.now()
    }

    /// Sends to a host; messages to this one take the short way.
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

    pub(crate) fn holder(&self, role: &'static str, object: &str) -> Option<HostId> {
        let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        let held = holders.entry((role, object.to_owned())).or_insert_with(|| {
            let serving = self.members.serving().map(|member| &member.host);
            role_holder(role, object, serving).cloned()
        });
        held.clone()
    }

    /// Takes a new member view; tells whether it differs from the one before.
    fn follow_members(&mut self, members: Arc<MemberView>) -> bool {
        if self.members == members {
            return false;
        }
        self.members = members;
        self.holders.get_mut().unwrap_or_else(PoisonError::into_inner).clear();
        true
    }

    /// Tells whether this host may have to keep `runner`; `known` holds earlier answers.
    fn is_in_line(&self, runner: &UpstreamId, known: &mut HashMap<UpstreamId, bool>) -> bool {
        *known.entry(runner.clone()).or_insert_with(|| {
            let line = self.line("keeper", runner.as_str());
            line.iter().take(KEEPERS_IN_LINE).any(|host| *host == self.host)
        })
    }

    pub(crate) fn document(&self) -> &ConfigurationDocument {
        &self.configuration.document
    }

    pub(crate) fn line(&self, role: &str, object: &str) -> Vec<HostId> {
        let serving = self.members.serving().map(|member| &member.host);
        role_order(role, object, serving).into_iter().cloned().collect()
    }

    pub(crate) fn dispatcher_of(&self, model: &ModelId) -> Option<HostId> {
        self.holder("dispatcher", model.as_str())
    }

    pub(crate) fn keeper_of(&self, runner: &UpstreamId) -> Option<HostId> {
        self.holder("keeper", runner.as_str())
    }

    pub(crate) fn load_queue_host(&self) -> Option<HostId> {
        self.holder("load-queue", "weight-store")
    }
}

impl PlacementRuntime {
    /// Starts dispatchers and keepers.
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
        let context = DeskContext {
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
            keepers: KeeperDesk::default(),
            dispatch: DispatchDesk::new(),
            reading_since: None,
            last_read: None,
            placing: false,
            last_placed: ClockInstant(0),
            placing_rest: Duration::ZERO,
            kept: Vec::new(),
            in_line: HashMap::new(),
            followed: false,
        };
        tokio::spawn(stopped.clone().run_until_cancelled_owned(task.run(inbox)));
        Self { events, stopped, _ticks: ticks }
    }

    /// Sets the permits of `ports`.
    #[must_use]
    pub fn attach(&self, ports: FleetPorts) -> FleetPorts {
        let (asker, releaser) = (self.events.clone(), self.events.clone());
        ports.with_dispatch(
            move |request| ask_permit(asker.clone(), request),
            move |permit, outcome| {
                let _ = releaser.send(RuntimeEvent::Release(permit, outcome));
            },
        )
    }

    /// Gives back the leases of runners that have no order under way.
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

/// Withdraws a request whose caller stopped waiting.
struct AskGuard {
    events: EventSender,
    model: ModelId,
    request: dotterellane_units::RequestId,
    waiting: bool,
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        if self.waiting {
            let _ = self.events.send(RuntimeEvent::Withdraw(self.model.clone(), self.request));
        }
    }
}

async fn ask_permit(
    events: EventSender,
    request: PermitRequest,
) -> Result<DispatchPermit, PermitRefusal> {
    let (answer, answered) = oneshot::channel();
    let model = request.model.clone();
    let mut guard = AskGuard {
        events: events.clone(),
        model: model.clone(),
        request: request.request,
        waiting: true,
    };
    let asked = events.send(RuntimeEvent::Ask(request, answer));
    let answer = if asked.is_ok() { answered.await.ok() } else { None };
    guard.waiting = false;
    answer.unwrap_or(Err(PermitRefusal::NoRunner { model }))
}

async fn forward(mut inbox: PeerInbox, events: EventSender) {
    while let Some(delivery) = inbox.recv().await {
        if events.send(RuntimeEvent::Peer(delivery)).is_err() {
            return;
        }
    }
}

struct RuntimeTask {
    context: DeskContext,
    configuration: ConfigurationFeed,
    members: MemberFeed,
    keepers: KeeperDesk,
    dispatch: DispatchDesk,
    reading_since: Option<ClockInstant>,
    last_read: Option<ClockInstant>,
    placing: bool,
    last_placed: ClockInstant,
    /// Least time until the next look at slots, while neither members nor document change.
    placing_rest: Duration,
    /// Runners that this host may have to keep.
    kept: Vec<UpstreamId>,
    /// Whether this host may have to keep a runner, for the present members.
    in_line: HashMap<UpstreamId, bool>,
    followed: bool,
}

impl RuntimeTask {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<RuntimeEvent>) {
        self.follow();
        while let Some(event) = inbox.recv().await {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: RuntimeEvent) {
        let context = &self.context;
        match event {
            RuntimeEvent::Tick => self.tick(),
            RuntimeEvent::Peer(delivery) => self.on_peer(delivery),
            RuntimeEvent::Ask(request, answer) => self.dispatch.on_ask(context, request, answer),
            RuntimeEvent::Withdraw(model, request) => {
                self.dispatch.on_withdraw(context, &model, request);
            }
            RuntimeEvent::Release(permit, outcome) => {
                self.dispatch.on_release(context, &permit, outcome);
            }
            RuntimeEvent::Keeper(runner, news) => self.keepers.on_news(context, &runner, news),
            RuntimeEvent::Rows(asked_at, rows) => self.on_rows(asked_at, rows),
            RuntimeEvent::Placed { settled } => {
                self.placing = false;
                self.placing_rest = if settled { PLACING_REST } else { Duration::ZERO };
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

    fn follow(&mut self) {
        let members_changed = self.context.follow_members(self.members.borrow().clone());
        let snapshot = self.configuration.current();
        let document_changed = !Arc::ptr_eq(&self.context.configuration, &snapshot);
        if !members_changed && !document_changed && self.followed {
            return;
        }
        self.followed = true;
        self.placing_rest = Duration::ZERO;
        self.context.configuration = snapshot;
        if members_changed {
            self.in_line.clear();
        }
        let (context, in_line) = (&self.context, &mut self.in_line);
        self.keepers.follow(context, |runner| context.is_in_line(runner, in_line));
        let runners = self.keepers.runners();
        self.kept = runners.filter(|runner| context.is_in_line(runner, in_line)).cloned().collect();
    }

    fn tick(&mut self) {
        self.follow();
        self.dispatch.on_tick(&self.context);
        self.keepers.on_tick(&self.context);
        self.read_table();
        self.place_models();
    }

    /// Reads the rows of the runners that this host may have to keep, all at one moment.
    fn read_table(&mut self) {
        let now = self.context.now();
        let due = self.last_read.is_none_or(|at| now.since(at) >= TABLE_PERIOD)
            || self.keepers.wants_read();
        if self.reading_since.is_some() || !due {
            return;
        }
        let keys: Vec<String> =
            self.kept.iter().flat_map(|runner| [lease_key(runner), slots_key(runner)]).collect();
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

    /// Brings the slots of models that this host dispatches to the wanted number.
    fn place_models(&mut self) {
        let now = self.context.now();
        if self.placing || now.since(self.last_placed) < PLACING_PERIOD.max(self.placing_rest) {
            return;
        }
        self.last_placed = now;
        let own = |model: &&ModelId| {
            self.context.dispatcher_of(model).as_ref() == Some(&self.context.host)
        };
        let models: Vec<ModelId> =
            self.context.document().models.keys().filter(own).cloned().collect();
        if models.is_empty() {
            return;
        }
        self.placing = true;
        let placer = ModelPlacer {
            table: self.context.table.clone(),
            configuration: self.context.configuration.clone(),
        };
        let events = self.context.events.clone();
        tokio::spawn(async move {
            // A conflict or an outage is met again at the next look.
            let settled = placer.place_all(models).await.unwrap_or(false);
            let _ = events.send(RuntimeEvent::Placed { settled });
        });
    }
}

/// Writes the slots of models.
struct ModelPlacer {
    table: PlatformTable,
    configuration: Arc<ConfigurationSnapshot>,
}

impl ModelPlacer {
    /// Looks at every model; tells whether all its slots are as wanted.
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
        let wanted = decide_slots(&current, entry.slots as usize, memory, &self.offers(found));
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

    fn offers(&self, found: &BTreeMap<String, TableRow>) -> Vec<RunnerOffer> {
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

/// Changes a model's row and the rows of the runners whose slots change, all or nothing.
fn slots_transaction(
    model: &ModelId,
    current: &PlacementRow,
    wanted: &PlacementRow,
    found: &BTreeMap<String, TableRow>,
) -> Option<TableTransaction> {
    let mut transaction = TableTransaction::default();
    put(&mut transaction, found, placement_key(model), wanted);
    for slot in &wanted.slots {
        if current.slot_on(&slot.runner) == Some(slot) {
            continue;
        }
        let key = slots_key(&slot.runner);
        let mut slots: RunnerSlots = decode(found, &key)?;
        slots.slots.insert(model.clone(), slot.state);
        put(&mut transaction, found, key, &slots);
    }
    Some(transaction)
}

/// Adds a write of `value` that requires the row to be as it was found.
pub(crate) fn put<V>(
    transaction: &mut TableTransaction,
    found: &BTreeMap<String, TableRow>,
    key: String,
    value: &V,
) where
    V: Serialize,
{
    let version = found.get(&key).map_or(RowVersion(0), |row| row.version);
    transaction.conditions.push(RowCondition { key: key.clone(), version });
    transaction.writes.push(RowWrite { key, value: Some(encode(value)) });
}

pub(crate) fn encode<V>(value: &V) -> Vec<u8>
where
    V: Serialize,
{
    serde_json::to_vec(value).unwrap_or_default()
}

/// Returns the content of a row, the default if it is absent, `None` if it is not understood.
pub(crate) fn decode<V>(found: &BTreeMap<String, TableRow>, key: &str) -> Option<V>
where
    V: DeserializeOwned + Default,
{
    match found.get(key) {
        Some(row) => serde_json::from_slice(&row.value).ok(),
        None => Some(V::default()),
    }
}

/// Returns the key of a model's slots.
pub(crate) fn placement_key(model: &ModelId) -> String {
    format!("placement/{model}")
}

/// Returns the key of a runner's slots.
pub(crate) fn slots_key(runner: &UpstreamId) -> String {
    format!("slots/{runner}")
}

/// Returns the key of a runner's lease.
pub(crate) fn lease_key(runner: &UpstreamId) -> String {
    format!("keepers/{runner}")
}
