//! Which runner holds which weights: the orders that one keeper gives for one service.
//!
//! The plan is told what the runners hold, what hosts run and wait for, and how orders ended; it
//! gives the orders that are due. A runner carries out one order at a time and each order names the
//! number of orders that the runner has accepted before, so that an order whose answer was lost
//! cannot take effect after a later one. Each model keeps to the runner that has a copy on its disk:
//! a load from there is short, while the weight store serves few loads at a time.

mod adapters;
mod evictions;
mod runner;
mod terms;

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterellane_units::{AdapterId, ClockInstant, HostId, ModelId, UpstreamId};

use self::runner::{
    DOUBT_PAUSE, OpenOrder, PlanRunner, adopt_row, is_idle, is_reserved_for,
    is_reserved_for_another, load_span, new_runner,
};
pub use self::terms::{
    HeldModel, HostDemand, LoadTier, ModelProfile, OrderKind, OrderOutcome, PlannedOrder,
    RunnerReport, RunningModel, ServiceProfile, WaitingModel,
};

/// Loads from the weight store that may run at the same time.
pub const STORE_LOADS_AT_ONCE: usize = 4;

/// Span over which starts of loads from the weight store are counted.
pub const STORE_WINDOW: Duration = Duration::from_secs(5);

/// Time without a report after which a host's demand is forgotten.
const DEMAND_MEMORY: Duration = Duration::from_millis(1_500);

/// Time for which a model stays after it was loaded or last asked for.
const LEAST_STAY: Duration = Duration::from_millis(1_200);

/// Time for which the room that an unload makes is kept for the model that it was made for.
const RESERVATION_SPAN: Duration = Duration::from_secs(3);

/// Time for which a runner that a host could not connect to is left out.
const UNREACHABLE_SPAN: Duration = Duration::from_millis(1_500);

/// Requests a second that one replica of a model takes before another is added.
const REPLICA_RATE: f64 = 3.0;

/// Requests at once that one replica of a model takes before another is added.
const REPLICA_RUNS: f64 = 24.0;

/// Time beyond a load from disk that requests wait for a load under way rather than start another.
const SOON_MARGIN: Duration = Duration::from_millis(400);

/// Span over which demand for a model is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Default)]
struct ModelUse {
    rate: f64,
    at: ClockInstant,
    last: ClockInstant,
}

/// The plan of one service.
#[derive(Clone, Debug, Default)]
pub struct WeightPlan {
    facts: ServiceProfile,
    runners: BTreeMap<UpstreamId, PlanRunner>,
    demand: BTreeMap<HostId, (ClockInstant, HostDemand)>,
    uses: BTreeMap<ModelId, ModelUse>,
    store_starts: VecDeque<ClockInstant>,
    /// When the plan was last looked at.
    now: ClockInstant,
}

impl WeightPlan {
    /// Returns a plan that counts the loads of a predecessor as just started.
    pub fn after_takeover(now: ClockInstant, facts: ServiceProfile) -> Self {
        let spent = STORE_LOADS_AT_ONCE;
        Self { facts, store_starts: VecDeque::from(vec![now; spent]), ..Self::default() }
    }

    /// Sets what the service says of its models and runners.
    pub fn set_profile(&mut self, facts: ServiceProfile) {
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
    pub fn contains_runner(&self, runner: &UpstreamId) -> bool {
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
        match self.runners.get_mut(runner).filter(|known| known.report.started_at == row.started_at)
        {
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
        let known = self
            .runners
            .get_mut(runner)
            .filter(|known| known.report.started_at == report.started_at);
        let (Some(known), Some(accepted)) = (known, report.accepted) else { return };
        if known.accepted.is_some_and(|counted| accepted < counted) {
            return;
        }
        known.adopt_report(now, asked, accepted, report, &self.facts);
    }

    /// Takes in how an order ended.
    pub fn on_outcome(&mut self, now: ClockInstant, order: &PlannedOrder, outcome: OrderOutcome) {
        let Some(runner) = self.runners.get_mut(&order.runner) else { return };
        let Some(open) = runner.open.take_if(|open| open.order == *order) else { return };
        runner.settle(now, open, outcome, &self.facts);
    }

    /// Returns the runners of which it is not known whether they took an order, or whose load is
    /// overdue, and that should be asked.
    pub fn runners_to_query(&self, now: ClockInstant) -> Vec<UpstreamId> {
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
            (name.clone(), runner.report.started_at, held.collect())
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
        for model in self.wanted_models() {
            self.plan_model(now, &model, true, &mut orders);
        }
        for model in self.wanted_replicas() {
            self.plan_model(now, &model, false, &mut orders);
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
    fn wanted_models(&self) -> Vec<ModelId> {
        let mut wanted: BTreeMap<&ModelId, u64> = BTreeMap::new();
        for (_, demand) in self.demand.values() {
            for waiting in &demand.waiting {
                *wanted.entry(&waiting.model).or_default() += u64::from(waiting.worth);
            }
        }
        wanted.retain(|model, _| !self.is_ready_soon(model));
        let mut wanted: Vec<(&ModelId, u64)> = wanted.into_iter().collect();
        wanted.sort_by_key(|(model, worth)| (Reverse(*worth), *model));
        wanted.into_iter().map(|(model, _)| model.clone()).collect()
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

    fn is_loading_anywhere(&self, model: &ModelId) -> bool {
        let mut usable = self.runners.values().filter(|runner| runner.is_usable(self.now));
        usable.any(|runner| runner.loading.as_ref().is_some_and(|loading| loading.model == *model))
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
        // Another load from the store ends no sooner than one that is under way.
        let waiting_is_better = if wanted {
            held_busy || self.is_loading_anywhere(model)
        } else {
            self.has_near_copy(model)
        };
        if tier == LoadTier::Store && (waiting_is_better || !self.may_load_from_store(now)) {
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
}

fn decay(usage: &mut ModelUse, now: ClockInstant) {
    let passed = now.since(usage.at).as_secs_f64() / DEMAND_SPAN.as_secs_f64();
    usage.rate *= (-passed).exp();
    usage.at = usage.at.max(now);
}
