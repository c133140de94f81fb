//! Which runner holds which weights: the orders that one keeper gives for one service.
//!
//! The plan is told what the runners hold, what hosts run and wait for, and how orders ended; it
//! gives the orders that are due. A runner carries out one order at a time and each order names the
//! number of orders that the runner has accepted before, so that an order whose answer was lost
//! cannot take effect after a later one. Each model keeps to the runner that has a copy on its disk:
//! a load from there is short, while the weight store serves few loads at a time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use dotterellane_units::{AdapterId, ByteSize, ClockInstant, HostId, ModelId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Loads from the weight store that may run at the same time.
pub const STORE_LOADS_AT_ONCE: usize = 4;

/// Span over which starts of loads from the weight store are counted.
pub const STORE_WINDOW: Duration = Duration::from_secs(5);

/// Time without a report after which a host's demand is forgotten.
const DEMAND_MEMORY: Duration = Duration::from_millis(1_500);

/// Time for which a model stays after it was loaded or last asked for.
const LEAST_STAY: Duration = Duration::from_millis(1_200);

/// Pause before an order is tried again that a runner did not take.
const ORDER_PAUSE: Duration = Duration::from_millis(60);

/// Time that a runner takes to drop an idle model.
const UNLOAD_SPAN: Duration = Duration::from_millis(60);

/// Time for which the room that an unload makes is kept for the model that it was made for.
const RESERVATION_SPAN: Duration = Duration::from_secs(3);

/// Time for which a runner that a host could not connect to is left out.
const UNREACHABLE_SPAN: Duration = Duration::from_millis(1_500);

/// Orders that a runner may turn away one after the other before it is asked for its state.
const BUSY_ORDERS: u32 = 5;

/// Time after an accepted order in which a runner may still be at it, a load apart.
const OWN_ORDER_SPAN: Duration = Duration::from_millis(400);

/// Age that what a runner says of itself may have.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Pause after an order that a runner cannot take at all.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// Time for which an order without an answer is left alone before the runner is asked again.
const DOUBT_PAUSE: Duration = Duration::from_millis(600);

/// Time from an accepted adapter order until requests may use the adapter.
const ADAPTER_SETTLE: Duration = Duration::from_millis(45);

/// Time after an accepted order in which rows of the directory may still show what was before.
const ROW_LAG: Duration = Duration::from_millis(2_800);

/// Time beyond the expected end of a load after which the directory is believed again.
const LOAD_GRACE: Duration = Duration::from_secs(4);

/// Requests a second that one replica of a model takes before another is added.
const REPLICA_RATE: f64 = 3.0;

/// Requests at once that one replica of a model takes before another is added.
const REPLICA_RUNS: f64 = 24.0;

/// Time beyond a load from disk that requests wait for a load under way rather than start another.
const SOON_MARGIN: Duration = Duration::from_millis(400);

/// Span over which demand for a model is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(5);

/// What a service says of one of its models.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelFacts {
    /// Memory that its weights take.
    pub weights: ByteSize,
    /// Memory that one of its adapters takes.
    pub adapter_weights: ByteSize,
    /// Time to load it from the weight store when few loads run.
    pub store_load: Duration,
    /// Time to load it from the runner's disk.
    pub disk_load: Duration,
    /// Time to load it from the runner's own memory.
    pub memory_load: Duration,
}

/// What a service says of its models and runners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanFacts {
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelFacts>,
    /// Memory of one runner for weights and adapters.
    pub capacity: ByteSize,
    /// Adapters that one runner may hold.
    pub adapter_slots: usize,
    /// Loads from the weight store that may start a second over all runners.
    pub loads_per_second: f64,
}

/// A model that a runner holds, with its adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldModel {
    /// Model.
    pub model: ModelId,
    /// Adapters of it.
    pub adapters: Vec<AdapterId>,
}

/// What the directory or a runner itself says of the runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerReport {
    /// Start of the runner, in milliseconds; tells a restart under the same name.
    pub born: u64,
    /// Number of the directory's row; grows with each. Zero for a runner's own report.
    pub beat: u64,
    /// Orders that it has accepted since its start; rows of the directory do not tell.
    pub accepted: Option<u64>,
    /// Whether it leaves.
    pub draining: bool,
    /// Whether it carries out an order; rows of the directory do not tell.
    pub busy: bool,
    /// What it holds.
    pub held: Vec<HeldModel>,
    /// Models whose weights are in its own memory or on its disk.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are on its disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// What is ordered of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a model, or an adapter of a model that is present.
    Load,
    /// Drop a model with its adapters, or one adapter.
    Unload,
}

/// An order to a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Runner that is ordered.
    pub runner: UpstreamId,
    /// What to do.
    pub kind: OrderKind,
    /// Model.
    pub model: ModelId,
    /// Adapter of it, if the order is about one.
    pub adapter: Option<AdapterId>,
    /// Orders that the runner must have accepted before.
    pub expected_sequence: u64,
    /// Where a model's weights come from; `None` for other orders.
    pub tier: Option<LoadTier>,
}

/// Where weights are loaded from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadTier {
    /// The runner's memory.
    Memory,
    /// The runner's disk.
    Disk,
    /// The weight store.
    Store,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The runner carries it out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the runner has accepted other orders meanwhile.
    Busy,
    /// The runner cannot take it.
    Refused,
    /// No answer came: it may be carried out now, later or never.
    Unanswered,
}

/// Requests that wait for a model at one host.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WaitingModel {
    /// Model.
    pub model: ModelId,
    /// Adapter, if the model alone does not do.
    pub adapter: Option<AdapterId>,
    /// Requests that wait.
    pub count: u32,
    /// What they are worth together, in thousandths.
    pub worth: u32,
}

/// Requests that run on one runner for one host.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunningModel {
    /// Runner.
    pub runner: UpstreamId,
    /// Model.
    pub model: ModelId,
    /// Adapter.
    pub adapter: Option<AdapterId>,
    /// Requests that run.
    pub count: u32,
}

/// What one host asks of the models of one service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostDemand {
    /// What waits.
    pub waiting: Vec<WaitingModel>,
    /// What runs.
    pub running: Vec<RunningModel>,
    /// Requests that came since the last report, by model.
    pub arrivals: Vec<(ModelId, u32)>,
}

#[derive(Clone, Debug)]
struct OpenOrder {
    order: PlannedOrder,
    sent: ClockInstant,
    unanswered: bool,
}

#[derive(Clone, Debug)]
struct ModelLoading {
    model: ModelId,
    tier: LoadTier,
    due: ClockInstant,
}

#[derive(Clone, Copy, Debug)]
struct ModelState {
    added: ClockInstant,
    used: ClockInstant,
}

#[derive(Clone, Debug)]
struct AdapterState {
    ready: ClockInstant,
    used: ClockInstant,
}

#[derive(Clone, Debug)]
struct PlanRunner {
    report: RunnerReport,
    accepted: Option<u64>,
    /// Whether it must be asked for its state before it gets another order.
    questioned: bool,
    /// Whether it carried out an order that is not known when it was last asked.
    was_busy: bool,
    /// Orders that it turned away one after the other.
    refusals: u32,
    models: BTreeMap<ModelId, ModelState>,
    adapters: BTreeMap<(ModelId, AdapterId), AdapterState>,
    changed: ClockInstant,
    open: Option<OpenOrder>,
    loading: Option<ModelLoading>,
    not_before: ClockInstant,
    /// Until when it counts as one that cannot be reached.
    unreachable: Option<ClockInstant>,
    /// Model that room is being made for, and until when the room is kept.
    reserved: Option<(ModelId, ClockInstant)>,
}

impl PlanRunner {
    /// Tells whether room is kept for a model there.
    fn is_reserved(&self, now: ClockInstant) -> bool {
        self.reserved.as_ref().is_some_and(|(_, until)| *until > now)
    }

    /// Tells whether requests and orders may go to it.
    fn is_usable(&self, now: ClockInstant) -> bool {
        !self.report.draining && self.unreachable.is_none_or(|until| until <= now)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ModelUse {
    rate: f64,
    at: ClockInstant,
    last: ClockInstant,
}

/// The plan of one service.
#[derive(Clone, Debug, Default)]
pub struct WeightPlan {
    facts: PlanFacts,
    runners: BTreeMap<UpstreamId, PlanRunner>,
    demand: BTreeMap<HostId, (ClockInstant, HostDemand)>,
    uses: BTreeMap<ModelId, ModelUse>,
    store_starts: VecDeque<ClockInstant>,
    /// When the plan was last looked at.
    now: ClockInstant,
}

impl WeightPlan {
    /// Returns a plan that counts the loads of a predecessor as just started.
    pub fn after_takeover(now: ClockInstant, facts: PlanFacts) -> Self {
        let spent = STORE_LOADS_AT_ONCE;
        Self { facts, store_starts: VecDeque::from(vec![now; spent]), ..Self::default() }
    }

    /// Sets what the service says of its models and runners.
    pub fn set_facts(&mut self, facts: PlanFacts) {
        self.facts = facts;
    }

    /// Takes in what hosts ask for.
    pub fn on_demand(&mut self, now: ClockInstant, host: HostId, demand: HostDemand) {
        for (model, count) in &demand.arrivals {
            let usage = self.uses.entry(model.clone()).or_default();
            decay(usage, now);
            usage.rate += f64::from(*count) / DEMAND_SPAN.as_secs_f64();
            usage.last = now;
        }
        for running in &demand.running {
            self.uses.entry(running.model.clone()).or_default().last = now;
            let Some(runner) = self.runners.get_mut(&running.runner) else { continue };
            if let Some(state) = runner.models.get_mut(&running.model) {
                state.used = now;
            }
            if let Some(adapter) = &running.adapter {
                let key = (running.model.clone(), adapter.clone());
                if let Some(state) = runner.adapters.get_mut(&key) {
                    state.used = now;
                }
            }
        }
        self.demand.insert(host, (now, demand));
    }

    /// Takes in that a host could not connect to a runner.
    pub fn on_unreachable(&mut self, now: ClockInstant, runner: &UpstreamId) {
        if let Some(runner) = self.runners.get_mut(runner) {
            runner.unreachable = Some(now + UNREACHABLE_SPAN);
        }
    }

    /// Tells whether `runner` belongs to the plan.
    pub fn knows(&self, runner: &UpstreamId) -> bool {
        self.runners.contains_key(runner)
    }

    /// Keeps only the runners that `kept` names.
    pub fn retain_runners<K>(&mut self, mut kept: K)
    where
        K: FnMut(&UpstreamId) -> bool,
    {
        self.runners.retain(|runner, _| kept(runner));
    }

    /// Takes in a row of the directory.
    pub fn on_row(&mut self, now: ClockInstant, runner: &UpstreamId, row: RunnerReport) {
        match self.runners.get_mut(runner).filter(|known| known.report.born == row.born) {
            Some(known) => adopt_row(known, now, row),
            None => {
                self.runners.insert(runner.clone(), new_runner(now, row));
            }
        }
    }

    /// Takes in a runner's own report, which it was asked for at `asked`.
    pub fn on_report(
        &mut self,
        now: ClockInstant,
        runner: &UpstreamId,
        asked: ClockInstant,
        report: &RunnerReport,
    ) {
        let known = self.runners.get_mut(runner).filter(|known| known.report.born == report.born);
        let (Some(known), Some(accepted)) = (known, report.accepted) else { return };
        if known.accepted.is_some_and(|counted| accepted < counted) {
            return;
        }
        // What is held may be older than the number of orders: after news of either kind, only a
        // report that was asked for later tells what is held.
        let overdue = known.loading.as_ref().is_some_and(|loading| now > loading.due + LOAD_GRACE);
        if overdue {
            known.loading = None;
        }
        let busy = report.busy && known.loading.is_none();
        let news = known.accepted != Some(accepted) || busy || known.was_busy || overdue;
        known.was_busy = busy;
        known.accepted = Some(accepted);
        if let Some(open) = known.open.take_if(|open| open.unanswered) {
            if asked.since(open.sent) <= DOUBT_PAUSE {
                known.open = Some(open);
            } else if accepted > open.order.expected_sequence {
                // It or an earlier one without an answer was carried out: what is held tells.
                note_load(known, &open, report.busy, &self.facts);
            }
            // Else a later order with the same number makes the late one void, or the other way round.
        }
        if news {
            known.changed = now;
            known.questioned = true;
        } else if known.open.is_none() && asked > known.changed + REPORT_LAG {
            adopt_held(known, now, report);
            known.questioned = false;
            known.refusals = 0;
        }
    }

    /// Takes in how an order ended.
    pub fn on_outcome(&mut self, now: ClockInstant, order: &PlannedOrder, outcome: OrderOutcome) {
        let Some(runner) = self.runners.get_mut(&order.runner) else { return };
        let Some(open) = runner.open.take_if(|open| open.order == *order) else { return };
        match outcome {
            OrderOutcome::Accepted => {
                runner.accepted = Some(order.expected_sequence + 1);
                runner.refusals = 0;
                if order.kind == OrderKind::Unload && order.adapter.is_none() {
                    runner.not_before = now + UNLOAD_SPAN;
                }
                take_effect(runner, now, now, order, &self.facts);
            }
            OrderOutcome::Holds => {
                if order.adapter.is_some() && order.kind == OrderKind::Unload {
                    // Adapters are dropped at once, and the order counts.
                    runner.accepted = Some(order.expected_sequence + 1);
                } else {
                    // Whether an order that changed nothing counts has to be asked.
                    runner.questioned = true;
                }
                take_effect(runner, now, now, order, &self.facts);
                if order.kind == OrderKind::Load && order.adapter.is_none() {
                    runner.loading = None;
                    runner.models.insert(order.model.clone(), ModelState { added: now, used: now });
                }
            }
            OrderOutcome::Busy => {
                restore(runner, now, order);
                runner.refusals += 1;
                // Soon after an own order it may still be at that; else at one that is not known.
                let own = now.since(runner.changed) < OWN_ORDER_SPAN;
                runner.questioned |= !own || runner.refusals >= BUSY_ORDERS;
                runner.not_before = now + ORDER_PAUSE;
            }
            OrderOutcome::Refused => {
                restore(runner, now, order);
                runner.questioned = true;
                runner.not_before = now + REFUSED_PAUSE;
            }
            OrderOutcome::Unanswered => {
                runner.open = Some(OpenOrder { unanswered: true, ..open });
            }
        }
    }

    /// Returns the runners of which it is not known whether they took an order, or whose load is
    /// overdue, and that should be asked.
    pub fn doubtful(&self, now: ClockInstant) -> Vec<UpstreamId> {
        let doubtful = self.runners.iter().filter(|(_, runner)| {
            let unanswered = runner
                .open
                .as_ref()
                .is_some_and(|open| open.unanswered && now.since(open.sent) > DOUBT_PAUSE);
            let overdue = runner.loading.as_ref().is_some_and(|loading| loading.due <= now);
            unanswered || overdue || runner.questioned
        });
        doubtful.map(|(runner, _)| runner.clone()).collect()
    }

    /// Returns what each runner holds ready for requests.
    pub fn holdings(&self, now: ClockInstant) -> Vec<(UpstreamId, u64, Vec<HeldModel>)> {
        let holdings = self.runners.iter().map(|(name, runner)| {
            let held = runner.models.keys().map(|model| {
                let adapters = runner
                    .adapters
                    .iter()
                    .filter(|((of, _), state)| of == model && state.ready <= now);
                let adapters = adapters.map(|((_, adapter), _)| adapter.clone()).collect();
                HeldModel { model: model.clone(), adapters }
            });
            (name.clone(), runner.report.born, held.collect())
        });
        holdings.collect()
    }

    /// Returns when an adapter order that was accepted takes effect next, if one is under way.
    pub fn next_ready(&self, now: ClockInstant) -> Option<ClockInstant> {
        let states = self.runners.values().flat_map(|runner| runner.adapters.values());
        states.map(|state| state.ready).filter(|ready| *ready > now).min()
    }

    /// Tells whether a load is under way or due to be seen soon.
    pub fn is_loading(&self) -> bool {
        self.runners.values().any(|runner| runner.loading.is_some())
    }

    /// Returns the orders that are due now; each counts as sent.
    pub fn next_orders(&mut self, now: ClockInstant) -> Vec<PlannedOrder> {
        self.now = now;
        self.demand.retain(|_, (heard, _)| now.since(*heard) < DEMAND_MEMORY);
        for usage in self.uses.values_mut() {
            decay(usage, now);
        }
        let mut orders = Vec::new();
        self.plan_adapters(now, &mut orders);
        for (model, _worth) in self.wanted_models() {
            self.plan_model(now, &model, true, &mut orders);
        }
        for model in self.wanted_replicas() {
            self.plan_replica(now, &model, &mut orders);
        }
        self.plan_first_loads(now, &mut orders);
        self.fill_places(now, &mut orders);
        orders
    }

    fn send(&mut self, now: ClockInstant, order: PlannedOrder, orders: &mut Vec<PlannedOrder>) {
        if order.tier == Some(LoadTier::Store) {
            self.store_starts.push_back(now);
        }
        if let Some(runner) = self.runners.get_mut(&order.runner) {
            if order.kind == OrderKind::Unload && order.adapter.is_none() {
                // Hosts stop sending to a model before it goes.
                runner.models.remove(&order.model);
                runner.adapters.retain(|(model, _), _| *model != order.model);
            }
            runner.open = Some(OpenOrder { order: order.clone(), sent: now, unanswered: false });
        }
        orders.push(order);
    }

    /// Models that requests wait for and nobody holds, the most wanted first.
    fn wanted_models(&self) -> Vec<(ModelId, u64)> {
        let mut wanted: BTreeMap<&ModelId, u64> = BTreeMap::new();
        for (_, demand) in self.demand.values() {
            for waiting in &demand.waiting {
                *wanted.entry(&waiting.model).or_default() += u64::from(waiting.worth);
            }
        }
        let mut wanted: Vec<(ModelId, u64)> = wanted
            .into_iter()
            .filter(|(model, _)| !self.is_ready_soon(model))
            .map(|(model, worth)| (model.clone(), worth))
            .collect();
        wanted.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        wanted
    }

    /// Models whose demand asks for more runners than hold them.
    fn wanted_replicas(&self) -> Vec<ModelId> {
        let mut lacking: Vec<(f64, ModelId)> = Vec::new();
        for (model, usage) in &self.uses {
            let target = self.target_copies(model, usage);
            #[expect(clippy::cast_precision_loss, reason = "runners are few")]
            let copies = self.copies(model) as f64;
            if copies >= 1.0 && copies < target {
                lacking.push((usage.rate / copies, model.clone()));
            }
        }
        lacking.sort_by(|a, b| b.0.total_cmp(&a.0));
        lacking.into_iter().map(|(_, model)| model).collect()
    }

    fn target_copies(&self, model: &ModelId, usage: &ModelUse) -> f64 {
        let runs: u32 = self
            .demand
            .values()
            .flat_map(|(_, demand)| &demand.running)
            .filter(|running| running.model == *model)
            .map(|running| running.count)
            .sum();
        (usage.rate / REPLICA_RATE).max(f64::from(runs) / REPLICA_RUNS).ceil().max(1.0)
    }

    /// Tells whether a runner holds `model`, or will before one could load it from its disk.
    fn is_ready_soon(&self, model: &ModelId) -> bool {
        let Some(facts) = self.facts.models.get(model) else { return false };
        let soon = self.now + facts.disk_load + SOON_MARGIN;
        self.runners.values().filter(|runner| runner.is_usable(self.now)).any(|runner| {
            let loading = runner.loading.as_ref();
            let open = runner.open.as_ref().map(|open| &open.order);
            runner.models.contains_key(model)
                || loading.is_some_and(|loading| loading.model == *model && loading.due < soon)
                || open.is_some_and(|order| {
                    order.kind == OrderKind::Load
                        && order.adapter.is_none()
                        && order.model == *model
                })
        })
    }

    /// Tells whether a runner that does not hold `model` has it in its memory or on its disk.
    fn has_near_copy(&self, model: &ModelId) -> bool {
        let near = |runner: &PlanRunner| self.tier(runner, model) != LoadTier::Store;
        let mut usable = self.runners.values().filter(|runner| runner.is_usable(self.now));
        usable.any(|runner| !runner.models.contains_key(model) && near(runner))
    }

    /// Runners that hold `model` or load it.
    fn copies(&self, model: &ModelId) -> usize {
        let holds = |runner: &&PlanRunner| {
            runner.is_usable(self.now)
                && (runner.models.contains_key(model)
                    || runner.loading.as_ref().is_some_and(|loading| loading.model == *model)
                    || runner.open.as_ref().is_some_and(|open| {
                        open.order.kind == OrderKind::Load && open.order.model == *model
                    }))
        };
        self.runners.values().filter(holds).count()
    }

    fn runs_at(&self, name: &UpstreamId, model: &ModelId, adapter: Option<&AdapterId>) -> bool {
        let mut running = self.demand.values().flat_map(|(_, demand)| &demand.running);
        running.any(|running| {
            running.runner == *name
                && running.model == *model
                && adapter.is_none_or(|adapter| running.adapter.as_ref() == Some(adapter))
        })
    }

    fn is_waited_for(&self, model: &ModelId) -> bool {
        let mut waiting = self.demand.values().flat_map(|(_, demand)| &demand.waiting);
        waiting.any(|waiting| waiting.model == *model)
    }

    fn store_loads(&self) -> usize {
        let loads = self.runners.values().filter(|runner| {
            runner.loading.as_ref().is_some_and(|loading| loading.tier == LoadTier::Store)
                || runner.open.as_ref().is_some_and(|open| open.order.tier == Some(LoadTier::Store))
        });
        loads.count()
    }

    fn may_load_from_store(&mut self, now: ClockInstant) -> bool {
        while self.store_starts.front().is_some_and(|first| now.since(*first) >= STORE_WINDOW) {
            self.store_starts.pop_front();
        }
        #[expect(clippy::cast_precision_loss, reason = "starts within a window are few")]
        let started = (self.store_starts.len() + 1) as f64;
        started <= self.facts.loads_per_second * STORE_WINDOW.as_secs_f64()
            && self.store_loads() < STORE_LOADS_AT_ONCE
    }

    /// Models that `name` would drop to make room for `needed`, cheapest first; `None` if it can't.
    fn evictions(
        &self,
        now: ClockInstant,
        name: &UpstreamId,
        needed: ByteSize,
    ) -> Option<(Vec<ModelId>, f64)> {
        let runner = self.runners.get(name)?;
        let mut used: u64 = runner.models.keys().map(|model| self.weights(model).0).sum();
        used += runner
            .adapters
            .keys()
            .map(|(model, _)| {
                self.facts.models.get(model).map_or(0, |facts| facts.adapter_weights.0)
            })
            .sum::<u64>();
        if used + needed.0 <= self.facts.capacity.0 {
            return Some((Vec::new(), 0.0));
        }
        let mut candidates: Vec<(f64, &ModelId)> = runner
            .models
            .iter()
            .filter(|(model, state)| {
                now.since(state.used) > LEAST_STAY
                    && !self.runs_at(name, model, None)
                    && !(self.is_waited_for(model) && self.copies(model) <= 1)
            })
            .map(|(model, state)| (self.loss(name, model, now.since(state.used)), model))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let (mut evicted, mut cost) = (Vec::new(), 0.0);
        for (loss, model) in candidates {
            evicted.push(model.clone());
            cost += loss;
            used -= self.weights(model).0;
            if used + needed.0 <= self.facts.capacity.0 {
                return Some((evicted, cost));
            }
        }
        None
    }

    /// What it costs to drop `model` at `name`: expected requests a second times the reload time.
    fn loss(&self, name: &UpstreamId, model: &ModelId, idle: Duration) -> f64 {
        let usage = self.uses.get(model).copied().unwrap_or_default();
        #[expect(clippy::cast_precision_loss, reason = "runners are few")]
        let copies = self.copies(model) as f64;
        let spare = copies > self.target_copies(model, &usage);
        let Some(facts) = self.facts.models.get(model) else { return 0.0 };
        let on_disk = self.runners.values().any(|runner| runner.report.on_disk.contains(model));
        let here =
            self.runners.get(name).is_some_and(|runner| runner.report.on_disk.contains(model));
        let reload = match (here, on_disk || copies > 1.0) {
            (true, _) => facts.disk_load,
            (false, true) => facts.disk_load * 2,
            (false, false) => facts.store_load * 2,
        };
        let weight = if spare { 0.1 } else { 1.0 };
        let recency = 1.0 / (1.0 + idle.as_secs_f64());
        (usage.rate + 0.02) * reload.as_secs_f64() * weight * (1.0 + recency)
    }

    fn weights(&self, model: &ModelId) -> ByteSize {
        self.facts.models.get(model).map_or(ByteSize(0), |facts| facts.weights)
    }

    fn tier(&self, runner: &PlanRunner, model: &ModelId) -> LoadTier {
        if runner.report.in_memory.contains(model) {
            LoadTier::Memory
        } else if runner.report.on_disk.contains(model) {
            LoadTier::Disk
        } else {
            LoadTier::Store
        }
    }

    /// Plans a load of `model` on the runner that has it ready first.
    fn plan_model(
        &mut self,
        now: ClockInstant,
        model: &ModelId,
        wanted: bool,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(facts) = self.facts.models.get(model).cloned() else { return };
        let reserved = self
            .runners
            .iter()
            .find(|(_, runner)| !runner.report.draining && is_reserved_for(runner, model, now));
        let reserved = reserved.map(|(name, _)| name.clone());
        let mut best: Option<(f64, UpstreamId, LoadTier, Vec<ModelId>)> = None;
        let mut held_busy = false;
        let names: Vec<UpstreamId> = self.runners.keys().cloned().collect();
        for name in names {
            let runner = &self.runners[&name];
            if !runner.is_usable(now) || runner.models.contains_key(model) {
                continue;
            }
            let elsewhere = reserved.as_ref().is_some_and(|reserved| *reserved != name);
            if elsewhere || is_reserved_for_another(runner, model, now) {
                continue;
            }
            let tier = self.tier(runner, model);
            if !is_idle(runner, now) {
                let soon = runner.loading.as_ref().is_none_or(|loading| {
                    loading.due < now + facts.store_load.saturating_sub(facts.disk_load)
                });
                held_busy |= tier != LoadTier::Store && soon;
                continue;
            }
            let Some((evicted, cost)) = self.evictions(now, &name, facts.weights) else {
                held_busy |= tier != LoadTier::Store;
                continue;
            };
            let span = load_span(&facts, tier).as_secs_f64();
            let total = span + cost;
            if best.as_ref().is_none_or(|(least, ..)| total < *least) {
                best = Some((total, name, tier, evicted));
            }
        }
        let Some((_, runner, tier, evicted)) = best else { return };
        let near_is_better = if wanted { held_busy } else { self.has_near_copy(model) };
        if tier == LoadTier::Store && (near_is_better || !self.may_load_from_store(now)) {
            return;
        }
        self.order_load(now, runner, model.clone(), tier, evicted, orders);
    }

    fn order_load(
        &mut self,
        now: ClockInstant,
        runner: UpstreamId,
        model: ModelId,
        tier: LoadTier,
        evicted: Vec<ModelId>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(expected_sequence) = self.runners[&runner].accepted else { return };
        if let Some(chosen) = self.runners.get_mut(&runner) {
            let until = now + RESERVATION_SPAN;
            chosen.reserved = (!evicted.is_empty()).then(|| (model.clone(), until));
        }
        let order = match evicted.into_iter().next() {
            Some(evicted) => PlannedOrder {
                runner,
                kind: OrderKind::Unload,
                model: evicted,
                adapter: None,
                expected_sequence,
                tier: None,
            },
            None => PlannedOrder {
                runner,
                kind: OrderKind::Load,
                model,
                adapter: None,
                expected_sequence,
                tier: Some(tier),
            },
        };
        self.send(now, order, orders);
    }

    /// Plans a further copy of a busy model, where it costs less than it brings.
    fn plan_replica(&mut self, now: ClockInstant, model: &ModelId, orders: &mut Vec<PlannedOrder>) {
        self.plan_model(now, model, false, orders);
    }

    /// Plans loads of models that no runner has a copy of, before anyone asks for them.
    fn plan_first_loads(&mut self, now: ClockInstant, orders: &mut Vec<PlannedOrder>) {
        let models: Vec<ModelId> = self.facts.models.keys().cloned().collect();
        for model in models {
            if !self.may_load_from_store(now) {
                return;
            }
            let kept = self.runners.values().any(|runner| {
                runner.report.on_disk.contains(&model) || runner.report.in_memory.contains(&model)
            });
            if !kept && self.copies(&model) == 0 {
                self.plan_model(now, &model, false, orders);
            }
        }
    }

    /// Fills places that are free, such as those of runners that started anew, with the models that
    /// are asked for most and that nobody holds.
    fn fill_places(&mut self, now: ClockInstant, orders: &mut Vec<PlannedOrder>) {
        let mut idle: Vec<(f64, ModelId)> = self
            .facts
            .models
            .keys()
            .filter(|model| self.copies(model) == 0)
            .map(|model| (self.uses.get(model).map_or(0.0, |usage| usage.rate), model.clone()))
            .collect();
        idle.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let names: Vec<UpstreamId> = self.runners.keys().cloned().collect();
        for name in names {
            let runner = &self.runners[&name];
            if !runner.is_usable(now) || !is_idle(runner, now) || runner.is_reserved(now) {
                continue;
            }
            let fits = |model: &ModelId| {
                let room = self.evictions(now, &name, self.weights(model));
                room.is_some_and(|(evicted, _)| evicted.is_empty())
            };
            let near = |model: &ModelId| self.tier(runner, model) != LoadTier::Store;
            let chosen = idle.iter().position(|(_, model)| near(model) && fits(model));
            let Some(index) = chosen else { continue };
            let (_, model) = idle.remove(index);
            let tier = self.tier(runner, &model);
            self.order_load(now, name, model, tier, Vec::new(), orders);
        }
    }

    /// Plans adapters that requests wait for, on runners that hold their model.
    fn plan_adapters(&mut self, now: ClockInstant, orders: &mut Vec<PlannedOrder>) {
        let mut wanted: BTreeMap<(ModelId, AdapterId), u64> = BTreeMap::new();
        for (_, demand) in self.demand.values() {
            for waiting in &demand.waiting {
                if let Some(adapter) = &waiting.adapter {
                    *wanted.entry((waiting.model.clone(), adapter.clone())).or_default() +=
                        u64::from(waiting.worth);
                }
            }
        }
        let mut wanted: Vec<_> = wanted.into_iter().collect();
        wanted.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        for (key, _) in wanted {
            let present = self.runners.values().any(|runner| {
                let coming = runner.open.as_ref().is_some_and(|open| {
                    open.order.kind == OrderKind::Load
                        && open.order.model == key.0
                        && open.order.adapter.as_ref() == Some(&key.1)
                });
                runner.is_usable(now) && (runner.adapters.contains_key(&key) || coming)
            });
            if !present {
                self.plan_adapter(now, &key, orders);
            }
        }
    }

    fn plan_adapter(
        &mut self,
        now: ClockInstant,
        key: &(ModelId, AdapterId),
        orders: &mut Vec<PlannedOrder>,
    ) {
        let free =
            |runner: &PlanRunner| self.facts.adapter_slots.saturating_sub(runner.adapters.len());
        let holder = self
            .runners
            .iter()
            .filter(|(_, runner)| {
                runner.is_usable(now) && runner.models.contains_key(&key.0) && is_idle(runner, now)
            })
            .max_by_key(|(_, runner)| free(runner));
        let Some((name, runner)) = holder else { return };
        let Some(expected_sequence) = runner.accepted else { return };
        let name = name.clone();
        let order = if free(runner) > 0 {
            PlannedOrder {
                runner: name,
                kind: OrderKind::Load,
                model: key.0.clone(),
                adapter: Some(key.1.clone()),
                expected_sequence,
                tier: None,
            }
        } else {
            let idle = runner.adapters.iter().filter(|((model, adapter), state)| {
                now.since(state.used) > LEAST_STAY && !self.runs_at(&name, model, Some(adapter))
            });
            let Some(((model, adapter), _)) = idle.min_by_key(|(_, state)| state.used) else {
                return;
            };
            PlannedOrder {
                runner: name.clone(),
                kind: OrderKind::Unload,
                model: model.clone(),
                adapter: Some(adapter.clone()),
                expected_sequence,
                tier: None,
            }
        };
        self.send(now, order, orders);
    }
}

fn is_idle(runner: &PlanRunner, now: ClockInstant) -> bool {
    !runner.questioned
        && runner.open.is_none()
        && runner.loading.is_none()
        && runner.not_before <= now
}

fn is_reserved_for(runner: &PlanRunner, model: &ModelId, now: ClockInstant) -> bool {
    runner.reserved.as_ref().is_some_and(|(of, until)| of == model && *until > now)
}

fn is_reserved_for_another(runner: &PlanRunner, model: &ModelId, now: ClockInstant) -> bool {
    runner.reserved.as_ref().is_some_and(|(of, until)| of != model && *until > now)
}

fn load_span(facts: &ModelFacts, tier: LoadTier) -> Duration {
    match tier {
        LoadTier::Memory => facts.memory_load,
        LoadTier::Disk => facts.disk_load,
        LoadTier::Store => facts.store_load,
    }
}

fn decay(usage: &mut ModelUse, now: ClockInstant) {
    let passed = now.since(usage.at).as_secs_f64() / DEMAND_SPAN.as_secs_f64();
    usage.rate *= (-passed).exp();
    usage.at = usage.at.max(now);
}

fn new_runner(now: ClockInstant, report: RunnerReport) -> PlanRunner {
    let mut runner = PlanRunner {
        report: RunnerReport { held: Vec::new(), ..report.clone() },
        accepted: None,
        questioned: true,
        was_busy: false,
        refusals: 0,
        models: BTreeMap::new(),
        adapters: BTreeMap::new(),
        changed: ClockInstant::default(),
        open: None,
        loading: None,
        not_before: ClockInstant::default(),
        unreachable: None,
        reserved: None,
    };
    adopt_held(&mut runner, now, &report);
    runner
}

/// Takes back what was assumed of an order that did not take effect.
fn restore(runner: &mut PlanRunner, now: ClockInstant, order: &PlannedOrder) {
    if order.kind == OrderKind::Unload && order.adapter.is_none() {
        let state = ModelState { added: now, used: now };
        runner.models.entry(order.model.clone()).or_insert(state);
    }
}

/// Believes a row of the directory as far as it can be as new as what is known.
fn adopt_row(runner: &mut PlanRunner, now: ClockInstant, report: RunnerReport) {
    if report.beat < runner.report.beat {
        runner.report.draining |= report.draining;
        return;
    }
    if let Some(loading) = &runner.loading
        && report.held.iter().any(|held| held.model == loading.model)
    {
        runner.models.insert(loading.model.clone(), ModelState { added: now, used: now });
        runner.loading = None;
    }
    // A row does not say which orders it is after: what differs is a reason to ask.
    if now.since(runner.changed) > ROW_LAG && runner.loading.is_none() {
        runner.questioned |= !same_models(runner, &report);
    }
    runner.report = RunnerReport { held: Vec::new(), ..report };
}

fn same_models(runner: &PlanRunner, report: &RunnerReport) -> bool {
    let shown: BTreeSet<&ModelId> = report.held.iter().map(|held| &held.model).collect();
    shown.into_iter().eq(runner.models.keys())
}

/// Notes that a load whose answer was lost may be under way.
fn note_load(runner: &mut PlanRunner, open: &OpenOrder, busy: bool, facts: &PlanFacts) {
    if let (OrderKind::Load, None, true) = (open.order.kind, &open.order.adapter, busy) {
        let tier = open.order.tier.unwrap_or(LoadTier::Store);
        let span = facts.models.get(&open.order.model).map(|facts| load_span(facts, tier));
        let due = open.sent + span.unwrap_or_default();
        runner.loading = Some(ModelLoading { model: open.order.model.clone(), tier, due });
    }
}

/// Believes what a report says that the runner holds.
fn adopt_held(runner: &mut PlanRunner, now: ClockInstant, report: &RunnerReport) {
    if let Some(loading) = &runner.loading {
        if report.held.iter().any(|held| held.model == loading.model) {
            runner.loading = None;
        }
    }
    let held: BTreeSet<&ModelId> = report.held.iter().map(|held| &held.model).collect();
    // What is said may be from before a load that was seen to end.
    runner.models.retain(|model, state| held.contains(model) || now.since(state.added) < ROW_LAG);
    for model in held {
        let state = ModelState { added: now, used: now };
        runner.models.entry(model.clone()).or_insert(state);
    }
    let mut adapters = BTreeMap::new();
    for held in &report.held {
        for adapter in &held.adapters {
            let key = (held.model.clone(), adapter.clone());
            let state = runner.adapters.remove(&key);
            adapters.insert(key, state.unwrap_or(AdapterState { ready: now, used: now }));
        }
    }
    // An adapter on its way is not listed yet.
    runner.adapters.retain(|(model, _), state| {
        state.ready + ROW_LAG > now && runner.models.contains_key(model)
    });
    adapters.append(&mut runner.adapters);
    runner.adapters = adapters;
}

/// Applies an order that the runner carries out since `since`.
fn take_effect(
    runner: &mut PlanRunner,
    now: ClockInstant,
    since: ClockInstant,
    order: &PlannedOrder,
    facts: &PlanFacts,
) {
    runner.changed = now;
    match (order.kind, &order.adapter) {
        (OrderKind::Load, Some(adapter)) => {
            let state = AdapterState { ready: now + ADAPTER_SETTLE, used: now };
            runner.adapters.insert((order.model.clone(), adapter.clone()), state);
        }
        (OrderKind::Unload, Some(adapter)) => {
            runner.adapters.remove(&(order.model.clone(), adapter.clone()));
        }
        (OrderKind::Load, None) => {
            let tier = order.tier.unwrap_or(LoadTier::Store);
            let span = facts.models.get(&order.model).map(|facts| load_span(facts, tier));
            let due = since + span.unwrap_or_default();
            runner.loading = Some(ModelLoading { model: order.model.clone(), tier, due });
        }
        (OrderKind::Unload, None) => {
            runner.models.remove(&order.model);
            runner.adapters.retain(|(model, _), _| *model != order.model);
        }
    }
}
