//! The plan's view of one runner: what it holds, which order is pending, and which reports are
//! recent enough to apply.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_units::{AdapterId, ClockInstant, ModelId, RegionId};

use crate::allowed_regions::AllowedRegions;

use super::types::{
    LoadTier, ModelProfile, OrderKind, OrderOutcome, PlannedOrder, RunnerReport, ServiceProfile,
};

/// Consecutive busy responses after which a runner is asked for its state.
const MAX_BUSY_RESPONSES: u32 = 5;

/// Pause before the next order to a runner that was busy.
const BUSY_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a runner may be busy with an accepted order other than a model load.
const ORDER_SPAN: Duration = Duration::from_millis(400);

/// Pause before the next order to a runner that refused one.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// Time that a runner takes to unload an idle model; it gets no other order in this time.
const UNLOAD_SPAN: Duration = Duration::from_millis(60);

/// Greatest age of the state in a runner's own report.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(500);

/// Time after an unanswered order was sent before the runner is asked for its state.
pub(super) const QUERY_DELAY: Duration = Duration::from_millis(600);

/// Time from an accepted adapter order until requests may use the adapter.
pub(super) const ADAPTER_READY_DELAY: Duration = Duration::from_millis(45);

/// Time after an accepted order for which rows of the directory may still show the state before it.
pub(super) const ROW_LAG: Duration = Duration::from_millis(2_800);

/// Grace period after the expected end of a load, after which it is no longer assumed to be
/// running.
pub(super) const LOAD_GRACE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) order: PlannedOrder,
    pub(super) sent: ClockInstant,
    /// Whether it is known that no response comes, so that the order may or may not take effect.
    pub(super) unanswered: bool,
}

#[derive(Clone, Debug)]
pub(super) struct ModelLoading {
    pub(super) model: ModelId,
    pub(super) tier: LoadTier,
    /// When the load is expected to end.
    pub(super) due: ClockInstant,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ModelState {
    /// When the plan learned that the model is loaded.
    pub(super) added: ClockInstant,
    pub(super) last_used: ClockInstant,
}

#[derive(Clone, Debug)]
pub(super) struct AdapterState {
    /// From when on requests may use the adapter.
    pub(super) ready: ClockInstant,
    pub(super) last_used: ClockInstant,
}

#[derive(Clone, Debug)]
pub(super) struct PlanRunner {
    /// Last row of the directory, without the held models.
    pub(super) report: RunnerReport,
    /// Whether the runner announced a rate limit, so that it serves few requests and orders.
    pub(super) limited: bool,
    /// Whether its failure domain is evacuated, so that nothing may be sent to it.
    pub(super) evacuated: bool,
    /// Its region; `None` if that is unknown.
    pub(super) region: Option<RegionId>,
    /// Orders that the runner is known to have accepted; `None` before its first own report.
    pub(super) accepted: Option<u64>,
    /// Whether the runner must be asked for its state before it gets another order.
    pub(super) needs_query: bool,
    /// Whether the last report showed the runner busy although no load is known.
    pub(super) was_busy: bool,
    /// Consecutive busy responses to orders.
    pub(super) busy_responses: u32,
    /// Loaded models that may get requests.
    pub(super) models: BTreeMap<ModelId, ModelState>,
    /// Loaded adapters, by model and adapter.
    pub(super) adapters: BTreeMap<(ModelId, AdapterId), AdapterState>,
    /// When an order was last accepted or a report differed from what was expected.
    pub(super) changed_at: ClockInstant,
    pub(super) pending: Option<PendingOrder>,
    pub(super) loading: Option<ModelLoading>,
    /// Earliest time of the next order.
    pub(super) not_before: ClockInstant,
    /// Until when the runner counts as unreachable.
    pub(super) unreachable: Option<ClockInstant>,
    /// Model that memory is being freed for, and until when that memory is reserved.
    pub(super) reserved: Option<(ModelId, ClockInstant)>,
}

impl PlanRunner {
    /// Returns whether memory is reserved for a model.
    pub(super) fn is_reserved(&self, now: ClockInstant) -> bool {
        self.reserved.as_ref().is_some_and(|(_, until)| *until > now)
    }

    /// Returns whether requests and orders may be sent to the runner.
    pub(super) fn is_usable(&self, now: ClockInstant) -> bool {
        !self.report.draining
            && !self.evacuated
            && self.unreachable.is_none_or(|until| until <= now)
    }

    /// Returns whether the runner is usable for requests that may run in `regions`.
    pub(super) fn is_usable_in(&self, regions: &AllowedRegions, now: ClockInstant) -> bool {
        self.is_usable(now) && regions.allow(self.region.as_ref())
    }

    /// Returns whether the runner loads a model, as far as is known. The load of one that may not be
    /// asked is taken to end in time.
    pub(super) fn may_be_loading(&self, now: ClockInstant) -> bool {
        let loading = self.loading.as_ref();
        loading.is_some_and(|loading| !self.evacuated || now <= loading.due + LOAD_GRACE)
    }

    /// Applies the runner's own report, requested at `asked_at`, which counts `accepted` orders.
    pub(super) fn apply_report(
        &mut self,
        now: ClockInstant,
        asked_at: ClockInstant,
        accepted: u64,
        report: &RunnerReport,
        profile: &ServiceProfile,
    ) {
        // The list of held models may be older than the order count. After a change of either, only
        // a report that was requested later is used for the list.
        let overdue = self.loading.as_ref().is_some_and(|loading| now > loading.due + LOAD_GRACE);
        if overdue {
            self.loading = None;
        }
        let busy = report.busy && self.loading.is_none();
        let changed = self.accepted != Some(accepted) || busy || self.was_busy || overdue;
        self.was_busy = busy;
        self.accepted = Some(accepted);
        if let Some(pending) = self.pending.take_if(|pending| pending.unanswered) {
            if asked_at.since(pending.sent) <= QUERY_DELAY {
                self.pending = Some(pending);
            } else if accepted > pending.order.expected_sequence {
                // This order or an earlier unanswered one was carried out; a later report shows
                // which.
                assume_loading(self, &pending, report.busy, profile);
            }
            // Otherwise the order is dropped: the runner accepts only one of it and the next order,
            // as both name the same sequence number.
        }
        if changed {
            self.changed_at = now;
            self.needs_query = true;
        } else if self.pending.is_none() && asked_at > self.changed_at + REPORT_LAG {
            apply_held(self, now, report);
            self.needs_query = false;
            self.busy_responses = 0;
        }
    }

    /// Applies the outcome of the order that was pending.
    pub(super) fn apply_outcome(
        &mut self,
        now: ClockInstant,
        pending: PendingOrder,
        outcome: OrderOutcome,
        profile: &ServiceProfile,
    ) {
        match outcome {
            OrderOutcome::Accepted => {
                self.accepted = Some(pending.order.expected_sequence.saturating_add(1));
                self.busy_responses = 0;
                if pending.order.kind == OrderKind::Unload && pending.order.adapter.is_none() {
                    self.not_before = now + UNLOAD_SPAN;
                }
                apply_order(self, now, now, &pending.order, profile);
            }
            OrderOutcome::Holds => {
                if pending.order.adapter.is_some() && pending.order.kind == OrderKind::Unload {
                    // Adapters are unloaded at once, and the runner counts the order.
                    self.accepted = Some(pending.order.expected_sequence.saturating_add(1));
                } else {
                    // Only a report tells whether the runner counts an order that changed
                    // nothing.
                    self.needs_query = true;
                }
                apply_order(self, now, now, &pending.order, profile);
                if pending.order.kind == OrderKind::Load && pending.order.adapter.is_none() {
                    self.loading = None;
                    self.models.insert(
                        pending.order.model.clone(),
                        ModelState { added: now, last_used: now },
                    );
                }
            }
            OrderOutcome::Busy => {
                revert_order(self, now, &pending.order);
                self.busy_responses += 1;
                // Shortly after an order of this plan the runner may still be carrying that out;
                // later it must be an order that the plan does not know.
                let own = now.since(self.changed_at) < ORDER_SPAN;
                self.needs_query |= !own || self.busy_responses >= MAX_BUSY_RESPONSES;
                self.not_before = now + BUSY_PAUSE;
            }
            OrderOutcome::Refused => {
                revert_order(self, now, &pending.order);
                self.needs_query = true;
                self.not_before = now + REFUSED_PAUSE;
            }
            OrderOutcome::Unanswered => {
                self.pending = Some(PendingOrder { unanswered: true, ..pending });
            }
        }
    }
}

/// Returns whether the runner can be given an order now.
pub(super) fn is_idle(runner: &PlanRunner, now: ClockInstant) -> bool {
    !runner.needs_query
        && runner.pending.is_none()
        && runner.loading.is_none()
        && runner.not_before <= now
}

pub(super) fn is_reserved_for(runner: &PlanRunner, model: &ModelId, now: ClockInstant) -> bool {
    runner.reserved.as_ref().is_some_and(|(of, until)| of == model && *until > now)
}

pub(super) fn is_reserved_for_another(
    runner: &PlanRunner,
    model: &ModelId,
    now: ClockInstant,
) -> bool {
    runner.reserved.as_ref().is_some_and(|(of, until)| of != model && *until > now)
}

pub(super) fn load_span(profile: &ModelProfile, tier: LoadTier) -> Duration {
    match tier {
        LoadTier::Memory => profile.memory_load,
        LoadTier::Disk => profile.disk_load,
        LoadTier::Store => profile.store_load,
    }
}

pub(super) fn new_runner(now: ClockInstant, report: RunnerReport) -> PlanRunner {
    let mut runner = PlanRunner {
        report: RunnerReport { held: Vec::new(), ..report.clone() },
        limited: false,
        evacuated: false,
        region: None,
        accepted: None,
        needs_query: true,
        was_busy: false,
        busy_responses: 0,
        models: BTreeMap::new(),
        adapters: BTreeMap::new(),
        changed_at: ClockInstant::default(),
        pending: None,
        loading: None,
        not_before: ClockInstant::default(),
        unreachable: None,
        reserved: None,
    };
    apply_held(&mut runner, now, &report);
    runner
}

/// Reverts the effect assumed for an order that the runner did not take.
pub(super) fn revert_order(runner: &mut PlanRunner, now: ClockInstant, order: &PlannedOrder) {
    if order.kind == OrderKind::Unload && order.adapter.is_none() {
        let state = ModelState { added: now, last_used: now };
        runner.models.entry(order.model.clone()).or_insert(state);
    }
}

/// Applies a row of the directory, which may be older than what is known of the runner.
pub(super) fn apply_row(runner: &mut PlanRunner, now: ClockInstant, report: RunnerReport) {
    if report.revision < runner.report.revision {
        runner.report.draining |= report.draining;
        return;
    }
    if let Some(loading) = &runner.loading
        && report.held.iter().any(|held| held.model == loading.model)
    {
        runner.models.insert(loading.model.clone(), ModelState { added: now, last_used: now });
        runner.loading = None;
    }
    // A row does not say which orders it reflects, so a difference only triggers a query.
    if now.since(runner.changed_at) > ROW_LAG && runner.loading.is_none() {
        runner.needs_query |= !same_models(runner, &report);
    }
    runner.report = RunnerReport { held: Vec::new(), ..report };
}

pub(super) fn same_models(runner: &PlanRunner, report: &RunnerReport) -> bool {
    let shown: BTreeSet<&ModelId> = report.held.iter().map(|held| &held.model).collect();
    shown.into_iter().eq(runner.models.keys())
}

/// Assumes that a load whose response was lost is running if the runner is busy.
pub(super) fn assume_loading(
    runner: &mut PlanRunner,
    pending: &PendingOrder,
    busy: bool,
    profile: &ServiceProfile,
) {
    if let (OrderKind::Load, None, true) = (pending.order.kind, &pending.order.adapter, busy) {
        let tier = pending.order.tier.unwrap_or(LoadTier::Store);
        let span = profile.models.get(&pending.order.model).map(|profile| load_span(profile, tier));
        let due = pending.sent + span.unwrap_or_default();
        runner.loading = Some(ModelLoading { model: pending.order.model.clone(), tier, due });
    }
}

/// Replaces the known models and adapters by those of the report.
pub(super) fn apply_held(runner: &mut PlanRunner, now: ClockInstant, report: &RunnerReport) {
    runner.loading.take_if(|loading| report.held.iter().any(|held| held.model == loading.model));
    let held: BTreeSet<&ModelId> = report.held.iter().map(|held| &held.model).collect();
    // The report may be older than a load that is known to have ended.
    runner.models.retain(|model, state| held.contains(model) || now.since(state.added) < ROW_LAG);
    for model in held {
        let state = ModelState { added: now, last_used: now };
        runner.models.entry(model.clone()).or_insert(state);
    }
    let mut adapters = BTreeMap::new();
    for held in &report.held {
        for adapter in &held.adapters {
            let key = (held.model.clone(), adapter.clone());
            let state = runner.adapters.remove(&key);
            adapters.insert(key, state.unwrap_or(AdapterState { ready: now, last_used: now }));
        }
    }
    // An adapter that was just loaded may not be listed yet.
    runner.adapters.retain(|(model, _), state| {
        state.ready + ROW_LAG > now && runner.models.contains_key(model)
    });
    adapters.append(&mut runner.adapters);
    runner.adapters = adapters;
}

/// Applies the effect of an order that the runner has been carrying out since `since`.
pub(super) fn apply_order(
    runner: &mut PlanRunner,
    now: ClockInstant,
    since: ClockInstant,
    order: &PlannedOrder,
    profile: &ServiceProfile,
) {
    runner.changed_at = now;
    match (order.kind, &order.adapter) {
        (OrderKind::Load, Some(adapter)) => {
            let state = AdapterState { ready: now + ADAPTER_READY_DELAY, last_used: now };
            runner.adapters.insert((order.model.clone(), adapter.clone()), state);
        }
        (OrderKind::Unload, Some(adapter)) => {
            runner.adapters.remove(&(order.model.clone(), adapter.clone()));
        }
        (OrderKind::Load, None) => {
            let tier = order.tier.unwrap_or(LoadTier::Store);
            let span = profile.models.get(&order.model).map(|profile| load_span(profile, tier));
            let due = since + span.unwrap_or_default();
            runner.loading = Some(ModelLoading { model: order.model.clone(), tier, due });
        }
        (OrderKind::Unload, None) => {
            runner.models.remove(&order.model);
            runner.adapters.retain(|(model, _), _| *model != order.model);
        }
    }
}
