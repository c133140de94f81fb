//! Decides which runner holds which weights: the load and unload orders that the leader gives for
//! one service.
//!
//! The inputs are the runners' reports, the hosts' demand and the outcomes of earlier orders; the
//! output is the orders that are due. A runner carries out one order at a time. Each order names
//! the number of orders that the runner must have accepted before, so that an order whose response
//! was lost cannot take effect after a later one. A model is loaded on a runner that has a copy on
//! its disk where possible: such a load is short, while the weight store serves few loads at a
//! time.

mod adapters;
mod evictions;
mod runner;
mod types;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use dotterellane_units::{AdapterId, ClockInstant, HostId, ModelId, RegionId, UpstreamId};

use crate::allowed_regions::AllowedRegions;

use self::runner::{
    PendingOrder, PlanRunner, QUERY_DELAY, apply_row, is_idle, is_reserved_for,
    is_reserved_for_another, load_span, new_runner,
};
pub use self::types::{
    HeldModel, HostDemand, LoadTier, ModelProfile, OrderKind, OrderOutcome, PlannedOrder,
    RunnerReport, RunningModel, ServiceProfile, WaitingModel,
};

/// Most loads from the weight store that run at the same time.
pub const STORE_LOADS_AT_ONCE: usize = 4;

/// Sliding window over which the starts of loads from the weight store are counted.
pub const STORE_WINDOW: Duration = Duration::from_secs(5);

/// Time without a report after which a host's demand is dropped.
const DEMAND_EXPIRY: Duration = Duration::from_millis(1_500);

/// Least time for which a model or adapter stays loaded after it was loaded or last used.
const MIN_RESIDENCE: Duration = Duration::from_millis(1_200);

/// Time for which memory freed by an unload is reserved for the model that it was freed for.
const RESERVATION_SPAN: Duration = Duration::from_secs(3);

/// Time for which a runner counts as unusable after a host could not connect to it.
const UNREACHABLE_SPAN: Duration = Duration::from_millis(1_500);

/// Requests per second on each replica of a model above which another replica is added.
const REPLICA_MAX_RATE: f64 = 3.0;

/// Concurrent requests on each replica of a model above which another replica is added.
const REPLICA_MAX_RUNNING: f64 = 24.0;

/// Requests per second above which a model that only runners with a rate limit, or in evacuated
/// failure domains, hold is loaded on another runner.
const MIN_WANTED_RATE: f64 = 0.1;

/// Added cost of a load on a runner with a rate limit.
const LIMITED_RUNNER_PENALTY: Duration = Duration::from_secs(10);

/// Requests wait for a running load, instead of starting another, if it ends at most this much
/// later than a load from disk would.
const SOON_MARGIN: Duration = Duration::from_millis(400);

/// Time constant of the exponential average of a model's request rate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Default)]
struct ModelUsage {
    /// Requests per second, exponentially averaged over [`DEMAND_TIME_CONSTANT`].
    rate: f64,
    /// When `rate` was last updated.
    at: ClockInstant,
    /// When a host last reported a request that arrived or ran.
    last: ClockInstant,
}

/// Plans the placement of one service's models on its runners.
#[derive(Clone, Debug, Default)]
pub struct WeightPlan {
    profile: ServiceProfile,
    runners: BTreeMap<UpstreamId, PlanRunner>,
    /// Last reported demand of each host, with the time at which it came.
    demand: BTreeMap<HostId, (ClockInstant, HostDemand)>,
    usage: BTreeMap<ModelId, ModelUsage>,
    /// Starts of loads from the weight store within [`STORE_WINDOW`].
    store_starts: VecDeque<ClockInstant>,
    /// When orders were last planned.
    now: ClockInstant,
}

impl WeightPlan {
    /// Returns the plan of a new leader.
    ///
    /// The previous leader's loads are unknown; the window is filled as if
    /// [`STORE_LOADS_AT_ONCE`] loads from the weight store had just started.
    pub fn after_takeover(now: ClockInstant, profile: ServiceProfile) -> Self {
        let spent = STORE_LOADS_AT_ONCE;
        Self { profile, store_starts: VecDeque::from(vec![now; spent]), ..Self::default() }
    }

    /// Replaces the service's profile after a change of the configuration.
    pub fn set_profile(&mut self, profile: ServiceProfile) {
        self.profile = profile;
    }

    /// Records the demand that `host` reports.
    pub fn on_demand(&mut self, now: ClockInstant, host: HostId, demand: HostDemand) {
        for (model, count) in &demand.arrivals {
            let usage = self.usage.entry(model.clone()).or_default();
            decay(usage, now);
            usage.rate += f64::from(*count) / DEMAND_TIME_CONSTANT.as_secs_f64();
            usage.last = now;
        }
        for running in &demand.running {
            self.usage.entry(running.model.clone()).or_default().last = now;
            let Some(runner) = self.runners.get_mut(&running.runner) else { continue };
            if let Some(state) = runner.models.get_mut(&running.model) {
                state.last_used = now;
            }
            if let Some(adapter) = &running.adapter {
                let key = (running.model.clone(), adapter.clone());
                if let Some(state) = runner.adapters.get_mut(&key) {
                    state.last_used = now;
                }
            }
        }
        self.demand.insert(host, (now, demand));
    }

    /// Records that a host could not connect to `runner`.
    pub fn on_unreachable(&mut self, now: ClockInstant, runner: &UpstreamId) {
        if let Some(runner) = self.runners.get_mut(runner) {
            runner.unreachable = Some(now + UNREACHABLE_SPAN);
        }
    }

    /// Returns whether `runner` belongs to the plan.
    pub fn contains_runner(&self, runner: &UpstreamId) -> bool {
        self.runners.contains_key(runner)
    }

    /// Drops the runners for which `kept` returns `false`.
    pub fn retain_runners<K>(&mut self, mut kept: K)
    where
        K: FnMut(&UpstreamId) -> bool,
    {
        self.runners.retain(|runner, _| kept(runner));
    }

    /// Sets the runners that announced a rate limit. The models that they hold are loaded elsewhere
    /// if requests call for it.
    pub fn set_limited(&mut self, limited: &BTreeSet<UpstreamId>) {
        for (name, runner) in &mut self.runners {
            runner.limited = limited.contains(name);
        }
    }

    /// Sets the runners in evacuated failure domains. They get no orders and queries, and the models
    /// that they hold are loaded elsewhere if requests call for it.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<UpstreamId>) {
        for (name, runner) in &mut self.runners {
            runner.evacuated = evacuated.contains(name);
        }
    }

    /// Sets the regions of the runners, as far as known.
    pub fn set_regions(&mut self, regions: &BTreeMap<UpstreamId, RegionId>) {
        for (name, runner) in &mut self.runners {
            runner.region = regions.get(name).cloned();
        }
    }

    /// Applies a runner's row of the directory.
    pub fn on_row(&mut self, now: ClockInstant, runner: &UpstreamId, row: RunnerReport) {
        match self.runners.get_mut(runner).filter(|known| known.report.started_at == row.started_at)
        {
            Some(known) => apply_row(known, now, row),
            None => {
                self.runners.insert(runner.clone(), new_runner(now, row));
            }
        }
    }

    /// Applies a runner's own report, which was requested at `asked_at`.
    ///
    /// A report from another start of the runner, or one that counts fewer orders than are known to
    /// be accepted, is ignored.
    pub fn on_report(
        &mut self,
        now: ClockInstant,
        runner: &UpstreamId,
        asked_at: ClockInstant,
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
        known.apply_report(now, asked_at, accepted, report, &self.profile);
    }

    /// Applies the outcome of an order; ignored if the order is no longer pending.
    pub fn on_outcome(&mut self, now: ClockInstant, order: &PlannedOrder, outcome: OrderOutcome) {
        let Some(runner) = self.runners.get_mut(&order.runner) else { return };
        let Some(pending) = runner.pending.take_if(|open| open.order == *order) else { return };
        runner.apply_outcome(now, pending, outcome, &self.profile);
    }

    /// Returns the runners that should be asked for a report: an order to them went unanswered, a
    /// load is overdue, or their state contradicts what the plan expects.
    pub fn runners_to_query(&self, now: ClockInstant) -> Vec<UpstreamId> {
        let doubtful = self.runners.iter().filter(|(_, runner)| {
            if runner.evacuated {
                return false;
            }
            let unanswered = runner
                .pending
                .as_ref()
                .is_some_and(|order| order.unanswered && now.since(order.sent) > QUERY_DELAY);
            let overdue = runner.loading.as_ref().is_some_and(|loading| loading.due <= now);
            unanswered || overdue || runner.needs_query
        });
        doubtful.map(|(runner, _)| runner.clone()).collect()
    }

    /// Returns, for each runner, its start time in milliseconds and the models and adapters that
    /// are ready for requests.
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

    /// Returns when the next accepted adapter load becomes ready for requests, if there is one.
    pub fn next_ready(&self, now: ClockInstant) -> Option<ClockInstant> {
        let states = self.runners.values().flat_map(|runner| runner.adapters.values());
        states.map(|state| state.ready).filter(|ready| *ready > now).min()
    }

    /// Returns whether any runner is loading a model, as far as is known.
    pub fn is_loading(&self) -> bool {
        self.runners.values().any(|runner| runner.may_be_loading(self.now))
    }

    /// Returns the orders that are due now; each of them is pending from now on.
    pub fn next_orders(&mut self, now: ClockInstant) -> Vec<PlannedOrder> {
        self.now = now;
        self.demand.retain(|_, (heard, _)| now.since(*heard) < DEMAND_EXPIRY);
        for usage in self.usage.values_mut() {
            decay(usage, now);
        }
        let mut orders = Vec::new();
        self.plan_adapters(now, &mut orders);
        for (model, regions) in self.wanted_models() {
            self.plan_model(now, &model, &regions, true, &mut orders);
        }
        for model in self.wanted_replicas() {
            self.plan_model(now, &model, &AllowedRegions::Any, false, &mut orders);
        }
        self.plan_first_loads(now, &mut orders);
        self.fill_free_memory(now, &mut orders);
        orders
    }

    fn issue_order(
        &mut self,
        now: ClockInstant,
        order: PlannedOrder,
        orders: &mut Vec<PlannedOrder>,
    ) {
        if order.tier == Some(LoadTier::Store) {
            self.store_starts.push_back(now);
        }
        if let Some(runner) = self.runners.get_mut(&order.runner) {
            if order.kind == OrderKind::Unload && order.adapter.is_none() {
                // Hosts must stop sending requests to the model before it is unloaded.
                runner.models.remove(&order.model);
                runner.adapters.retain(|(model, _), _| *model != order.model);
            }
            runner.pending =
                Some(PendingOrder { order: order.clone(), sent: now, unanswered: false });
        }
        orders.push(order);
    }

    /// Returns the models that requests wait for and that will not be ready soon where these may run,
    /// by descending worth.
    fn wanted_models(&self) -> Vec<(ModelId, AllowedRegions)> {
        let mut wanted: BTreeMap<(&ModelId, &AllowedRegions), u64> = BTreeMap::new();
        for (_, demand) in self.demand.values() {
            for waiting in &demand.waiting {
                let key = (&waiting.model, &waiting.regions);
                *wanted.entry(key).or_default() += u64::from(waiting.worth);
            }
        }
        wanted.retain(|(model, regions), _| !self.is_ready_soon(model, regions));
        let mut wanted: Vec<_> = wanted.into_iter().collect();
        wanted.sort_by_key(|(key, worth)| (Reverse(*worth), *key));
        let wanted = wanted.into_iter().map(|((model, regions), _)| (model, regions));
        wanted.map(|(model, regions)| (model.clone(), regions.clone())).collect()
    }

    /// Returns the loaded models with fewer replicas than their demand calls for, by descending
    /// request rate per replica.
    fn wanted_replicas(&self) -> Vec<ModelId> {
        let mut lacking: Vec<(f64, ModelId)> = Vec::new();
        for (model, usage) in &self.usage {
            let target = self.target_copies(model, usage);
            #[expect(clippy::cast_precision_loss, reason = "runners are few")]
            let copies = self.copies(model) as f64;
            let has_copy = copies >= 1.0 || self.is_held_by_restricted(model);
            let is_wanted = copies >= 1.0 || usage.rate > MIN_WANTED_RATE;
            if has_copy && is_wanted && copies < target {
                lacking.push((usage.rate / copies.max(1.0), model.clone()));
            }
        }
        lacking.sort_by(|a, b| b.0.total_cmp(&a.0));
        lacking.into_iter().map(|(_, model)| model).collect()
    }

    fn target_copies(&self, model: &ModelId, usage: &ModelUsage) -> f64 {
        let runs: u32 = self
            .demand
            .values()
            .flat_map(|(_, demand)| &demand.running)
            .filter(|running| running.model == *model)
            .map(|running| running.count)
            .sum();
        (usage.rate / REPLICA_MAX_RATE).max(f64::from(runs) / REPLICA_MAX_RUNNING).ceil().max(1.0)
    }

    /// Returns whether a runner in `regions` holds `model`, or will hold it about as soon as a load
    /// from disk would take.
    fn is_ready_soon(&self, model: &ModelId, regions: &AllowedRegions) -> bool {
        let Some(profile) = self.profile.models.get(model) else { return false };
        let soon = self.now + profile.disk_load + SOON_MARGIN;
        let mut usable =
            self.runners.values().filter(|runner| runner.is_usable_in(regions, self.now));
        usable.any(|runner| {
            let loading = runner.loading.as_ref();
            let pending = runner.pending.as_ref().map(|pending| &pending.order);
            (runner.models.contains_key(model) && !runner.limited)
                || loading.is_some_and(|loading| loading.model == *model && loading.due < soon)
                || pending.is_some_and(|order| {
                    order.kind == OrderKind::Load
                        && order.adapter.is_none()
                        && order.model == *model
                })
        })
    }

    fn is_loading_in(&self, model: &ModelId, regions: &AllowedRegions) -> bool {
        let mut usable =
            self.runners.values().filter(|runner| runner.is_usable_in(regions, self.now));
        usable.any(|runner| runner.loading.as_ref().is_some_and(|loading| loading.model == *model))
    }

    /// Returns whether a runner that has not loaded `model` has it cached in memory or on disk.
    fn has_cached_copy(&self, model: &ModelId) -> bool {
        let cached = |runner: &PlanRunner| self.tier(runner, model) != LoadTier::Store;
        let mut usable = self.runners.values().filter(|runner| runner.is_usable(self.now));
        usable.any(|runner| !runner.models.contains_key(model) && cached(runner))
    }

    /// Returns whether a runner with a rate limit or in an evacuated failure domain holds `model`.
    fn is_held_by_restricted(&self, model: &ModelId) -> bool {
        self.runners.values().any(|runner| {
            let limited = runner.limited && runner.is_usable(self.now);
            let evacuated = runner.evacuated && !runner.report.draining;
            (limited || evacuated) && runner.models.contains_key(model)
        })
    }

    /// Returns the number of runners without a rate limit that hold `model`, and of those that are
    /// loading it.
    fn copies(&self, model: &ModelId) -> usize {
        self.copies_in(model, &AllowedRegions::Any)
    }

    /// Returns the same number for the runners in `regions`.
    fn copies_in(&self, model: &ModelId, regions: &AllowedRegions) -> usize {
        let holds = |runner: &&PlanRunner| {
            runner.is_usable_in(regions, self.now)
                && ((runner.models.contains_key(model) && !runner.limited)
                    || runner.loading.as_ref().is_some_and(|loading| loading.model == *model)
                    || runner.pending.as_ref().is_some_and(|pending| {
                        pending.order.kind == OrderKind::Load && pending.order.model == *model
                    }))
        };
        self.runners.values().filter(holds).count()
    }

    fn is_running_on(
        &self,
        name: &UpstreamId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
    ) -> bool {
        let mut running = self.demand.values().flat_map(|(_, demand)| &demand.running);
        running.any(|running| {
            running.runner == *name
                && running.model == *model
                && adapter.is_none_or(|adapter| running.adapter.as_ref() == Some(adapter))
        })
    }

    /// Returns whether requests wait for `model` that no other runner than `runner` can run.
    fn is_last_for_waiting(&self, runner: &PlanRunner, model: &ModelId) -> bool {
        let mut waiting = self.demand.values().flat_map(|(_, demand)| &demand.waiting);
        waiting.any(|waiting| {
            waiting.model == *model
                && waiting.regions.allow(runner.region.as_ref())
                && self.copies_in(model, &waiting.regions) <= 1
        })
    }

    fn running_store_loads(&self) -> usize {
        let loads = self.runners.values().filter(|runner| {
            let loading = runner.loading.as_ref().filter(|_| runner.may_be_loading(self.now));
            loading.is_some_and(|loading| loading.tier == LoadTier::Store)
                || runner.pending.as_ref().is_some_and(|pending| {
                    let is_forgotten = pending.unanswered && runner.evacuated;
                    pending.order.tier == Some(LoadTier::Store) && !is_forgotten
                })
        });
        loads.count()
    }

    fn may_load_from_store(&mut self, now: ClockInstant) -> bool {
        while self.store_starts.front().is_some_and(|first| now.since(*first) >= STORE_WINDOW) {
            self.store_starts.pop_front();
        }
        #[expect(clippy::cast_precision_loss, reason = "starts within a window are few")]
        let started = (self.store_starts.len() + 1) as f64;
        started <= self.profile.loads_per_second * STORE_WINDOW.as_secs_f64()
            && self.running_store_loads() < STORE_LOADS_AT_ONCE
    }

    /// Plans a load of `model` on the runner in `regions` with the least load time plus eviction
    /// cost.
    ///
    /// `requested` tells whether requests wait for the model. A load from the weight store is
    /// skipped if waiting for another load or for a runner with a cached copy is faster, or if the
    /// weight store is at its limit.
    fn plan_model(
        &mut self,
        now: ClockInstant,
        model: &ModelId,
        regions: &AllowedRegions,
        requested: bool,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(profile) = self.profile.models.get(model).cloned() else { return };
        let reserved = self
            .runners
            .iter()
            .filter(|(_, runner)| !runner.report.draining && !runner.evacuated)
            .filter(|(_, runner)| regions.allow(runner.region.as_ref()))
            .find(|(_, runner)| is_reserved_for(runner, model, now));
        let reserved = reserved.map(|(name, _)| name.clone());
        let mut best: Option<(f64, UpstreamId, LoadTier, Vec<ModelId>)> = None;
        let mut cached_on_busy = false;
        let names: Vec<UpstreamId> = self.runners.keys().cloned().collect();
        for name in names {
            let runner = &self.runners[&name];
            if !runner.is_usable_in(regions, now) || runner.models.contains_key(model) {
                continue;
            }
            let elsewhere = reserved.as_ref().is_some_and(|reserved| *reserved != name);
            if elsewhere || is_reserved_for_another(runner, model, now) {
                continue;
            }
            let tier = self.tier(runner, model);
            if !is_idle(runner, now) {
                let soon = runner.loading.as_ref().is_none_or(|loading| {
                    loading.due < now + profile.store_load.saturating_sub(profile.disk_load)
                });
                cached_on_busy |= tier != LoadTier::Store && soon;
                continue;
            }
            let Some((evicted, cost)) = self.evictions(now, &name, profile.weights) else {
                cached_on_busy |= tier != LoadTier::Store;
                continue;
            };
            let span = load_span(&profile, tier).as_secs_f64();
            let penalty = if runner.limited { LIMITED_RUNNER_PENALTY } else { Duration::ZERO };
            let total = span + cost + penalty.as_secs_f64();
            if best.as_ref().is_none_or(|(least, ..)| total < *least) {
                best = Some((total, name, tier, evicted));
            }
        }
        let Some((_, runner, tier, evicted)) = best else { return };
        // Another load from the weight store would not end before the one that is running.
        let waiting_is_better = if requested {
            cached_on_busy || self.is_loading_in(model, regions)
        } else {
            self.has_cached_copy(model)
        };
        if tier == LoadTier::Store && (waiting_is_better || !self.may_load_from_store(now)) {
            return;
        }
        self.order_load(now, runner, model.clone(), tier, evicted, orders);
    }

    /// Orders the load, or the unload of the first model to evict if memory must be freed before.
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
        self.issue_order(now, order, orders);
    }

    /// Plans loads of models that no runner has loaded or cached, ahead of demand.
    fn plan_first_loads(&mut self, now: ClockInstant, orders: &mut Vec<PlannedOrder>) {
        let models: Vec<ModelId> = self.profile.models.keys().cloned().collect();
        for model in models {
            if !self.may_load_from_store(now) {
                return;
            }
            let cached = self.runners.values().any(|runner| {
                runner.report.on_disk.contains(&model) || runner.report.in_memory.contains(&model)
            });
            if !cached && self.copies(&model) == 0 {
                self.plan_model(now, &model, &AllowedRegions::Any, false, orders);
            }
        }
    }

    /// Fills free memory, such as that of restarted runners, with cached models that no runner has
    /// loaded, by descending request rate.
    fn fill_free_memory(&mut self, now: ClockInstant, orders: &mut Vec<PlannedOrder>) {
        let mut idle: Vec<(f64, ModelId)> = self
            .profile
            .models
            .keys()
            .filter(|model| self.copies(model) == 0)
            .map(|model| (self.usage.get(model).map_or(0.0, |usage| usage.rate), model.clone()))
            .collect();
        idle.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let names: Vec<UpstreamId> = self.runners.keys().cloned().collect();
        for name in names {
            let runner = &self.runners[&name];
            let is_free = is_idle(runner, now) && !runner.is_reserved(now);
            if !runner.is_usable(now) || runner.limited || !is_free {
                continue;
            }
            let fits = |model: &ModelId| {
                let evictions = self.evictions(now, &name, self.weights(model));
                evictions.is_some_and(|(evicted, _)| evicted.is_empty())
            };
            let cached = |model: &ModelId| self.tier(runner, model) != LoadTier::Store;
            let chosen = idle.iter().position(|(_, model)| cached(model) && fits(model));
            let Some(index) = chosen else { continue };
            let (_, model) = idle.remove(index);
            let tier = self.tier(runner, &model);
            self.order_load(now, name, model, tier, Vec::new(), orders);
        }
    }
}

fn decay(usage: &mut ModelUsage, now: ClockInstant) {
    let passed = now.since(usage.at).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
    usage.rate *= (-passed).exp();
    usage.at = usage.at.max(now);
}
