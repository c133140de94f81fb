//! One runner as the plan knows it: what it holds, what it was ordered, and which news of it to believe.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_units::{AdapterId, ClockInstant, ModelId};

use super::terms::{
    LoadTier, ModelProfile, OrderKind, OrderOutcome, PlannedOrder, RunnerReport, ServiceProfile,
};

/// Orders that a runner may turn away one after the other before it is asked for its state.
const BUSY_ORDERS: u32 = 5;

/// Pause before an order is tried again that a runner did not take.
const ORDER_PAUSE: Duration = Duration::from_millis(60);

/// Time after an accepted order in which a runner may still be at it, a load apart.
const OWN_ORDER_SPAN: Duration = Duration::from_millis(400);

/// Pause after an order that a runner cannot take at all.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// Time that a runner takes to drop an idle model.
const UNLOAD_SPAN: Duration = Duration::from_millis(60);

/// Age that what a runner says of itself may have.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(500);

/// Time for which an order without an answer is left alone before the runner is asked again.
pub(super) const DOUBT_PAUSE: Duration = Duration::from_millis(600);

/// Time from an accepted adapter order until requests may use the adapter.
pub(super) const ADAPTER_SETTLE: Duration = Duration::from_millis(45);

/// Time after an accepted order in which rows of the directory may still show what was before.
pub(super) const ROW_LAG: Duration = Duration::from_millis(2_800);

/// Time beyond the expected end of a load after which the directory is believed again.
pub(super) const LOAD_GRACE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub(super) struct OpenOrder {
    pub(super) order: PlannedOrder,
    pub(super) sent: ClockInstant,
    pub(super) unanswered: bool,
}

#[derive(Clone, Debug)]
pub(super) struct ModelLoading {
    pub(super) model: ModelId,
    pub(super) tier: LoadTier,
    pub(super) due: ClockInstant,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ModelState {
    pub(super) added: ClockInstant,
    pub(super) used: ClockInstant,
}

#[derive(Clone, Debug)]
pub(super) struct AdapterState {
    pub(super) ready: ClockInstant,
    pub(super) used: ClockInstant,
}

#[derive(Clone, Debug)]
pub(super) struct PlanRunner {
    pub(super) report: RunnerReport,
    pub(super) accepted: Option<u64>,
    /// Whether it must be asked for its state before it gets another order.
    pub(super) questioned: bool,
    /// Whether it carried out an order that is not known when it was last asked.
    pub(super) was_busy: bool,
    /// Orders that it turned away one after the other.
    pub(super) refusals: u32,
    pub(super) models: BTreeMap<ModelId, ModelState>,
    pub(super) adapters: BTreeMap<(ModelId, AdapterId), AdapterState>,
    pub(super) changed: ClockInstant,
    pub(super) open: Option<OpenOrder>,
    pub(super) loading: Option<ModelLoading>,
    pub(super) not_before: ClockInstant,
    /// Until when it counts as one that cannot be reached.
    pub(super) unreachable: Option<ClockInstant>,
    /// Model that room is being made for, and until when the room is kept.
    pub(super) reserved: Option<(ModelId, ClockInstant)>,
}

impl PlanRunner {
    /// Tells whether room is kept for a model there.
    pub(super) fn is_reserved(&self, now: ClockInstant) -> bool {
        self.reserved.as_ref().is_some_and(|(_, until)| *until > now)
    }

    /// Tells whether requests and orders may go to it.
    pub(super) fn is_usable(&self, now: ClockInstant) -> bool {
        !self.report.draining && self.unreachable.is_none_or(|until| until <= now)
    }

    /// Takes in the runner's own report, asked for at `asked`, which counts `accepted` orders.
    pub(super) fn adopt_report(
        &mut self,
        now: ClockInstant,
        asked: ClockInstant,
        accepted: u64,
        report: &RunnerReport,
        facts: &ServiceProfile,
    ) {
        // What is held may be older than the number of orders: after news of either kind, only a
        // report that was asked for later tells what is held.
        let overdue = self.loading.as_ref().is_some_and(|loading| now > loading.due + LOAD_GRACE);
        if overdue {
            self.loading = None;
        }
        let busy = report.busy && self.loading.is_none();
        let news = self.accepted != Some(accepted) || busy || self.was_busy || overdue;
        self.was_busy = busy;
        self.accepted = Some(accepted);
        if let Some(open) = self.open.take_if(|open| open.unanswered) {
            if asked.since(open.sent) <= DOUBT_PAUSE {
                self.open = Some(open);
            } else if accepted > open.order.expected_sequence {
                // It or an earlier one without an answer was carried out: what is held tells.
                note_load(self, &open, report.busy, facts);
            }
            // Else a later order with the same number makes the late one void, or the other way round.
        }
        if news {
            self.changed = now;
            self.questioned = true;
        } else if self.open.is_none() && asked > self.changed + REPORT_LAG {
            adopt_held(self, now, report);
            self.questioned = false;
            self.refusals = 0;
        }
    }

    /// Takes in how the order that was open ended.
    pub(super) fn settle(
        &mut self,
        now: ClockInstant,
        open: OpenOrder,
        outcome: OrderOutcome,
        facts: &ServiceProfile,
    ) {
        match outcome {
            OrderOutcome::Accepted => {
                self.accepted = Some(open.order.expected_sequence + 1);
                self.refusals = 0;
                if open.order.kind == OrderKind::Unload && open.order.adapter.is_none() {
                    self.not_before = now + UNLOAD_SPAN;
                }
                take_effect(self, now, now, &open.order, facts);
            }
            OrderOutcome::Holds => {
                if open.order.adapter.is_some() && open.order.kind == OrderKind::Unload {
                    // Adapters are dropped at once, and the order counts.
                    self.accepted = Some(open.order.expected_sequence + 1);
                } else {
                    // Whether an order that changed nothing counts has to be asked.
                    self.questioned = true;
                }
                take_effect(self, now, now, &open.order, facts);
                if open.order.kind == OrderKind::Load && open.order.adapter.is_none() {
                    self.loading = None;
                    self.models
                        .insert(open.order.model.clone(), ModelState { added: now, used: now });
                }
            }
            OrderOutcome::Busy => {
                restore(self, now, &open.order);
                self.refusals += 1;
                // Soon after an own order it may still be at that; else at one that is not known.
                let own = now.since(self.changed) < OWN_ORDER_SPAN;
                self.questioned |= !own || self.refusals >= BUSY_ORDERS;
                self.not_before = now + ORDER_PAUSE;
            }
            OrderOutcome::Refused => {
                restore(self, now, &open.order);
                self.questioned = true;
                self.not_before = now + REFUSED_PAUSE;
            }
            OrderOutcome::Unanswered => {
                self.open = Some(OpenOrder { unanswered: true, ..open });
            }
        }
    }
}

/// Tells whether a runner could take an order now.
pub(super) fn is_idle(runner: &PlanRunner, now: ClockInstant) -> bool {
    !runner.questioned
        && runner.open.is_none()
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

pub(super) fn load_span(facts: &ModelProfile, tier: LoadTier) -> Duration {
    match tier {
        LoadTier::Memory => facts.memory_load,
        LoadTier::Disk => facts.disk_load,
        LoadTier::Store => facts.store_load,
    }
}

pub(super) fn new_runner(now: ClockInstant, report: RunnerReport) -> PlanRunner {
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
pub(super) fn restore(runner: &mut PlanRunner, now: ClockInstant, order: &PlannedOrder) {
    if order.kind == OrderKind::Unload && order.adapter.is_none() {
        let state = ModelState { added: now, used: now };
        runner.models.entry(order.model.clone()).or_insert(state);
    }
}

/// Believes a row of the directory as far as it can be as new as what is known.
pub(super) fn adopt_row(runner: &mut PlanRunner, now: ClockInstant, report: RunnerReport) {
    if report.revision < runner.report.revision {
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

pub(super) fn same_models(runner: &PlanRunner, report: &RunnerReport) -> bool {
    let shown: BTreeSet<&ModelId> = report.held.iter().map(|held| &held.model).collect();
    shown.into_iter().eq(runner.models.keys())
}

/// Notes that a load whose answer was lost may be under way.
pub(super) fn note_load(
    runner: &mut PlanRunner,
    open: &OpenOrder,
    busy: bool,
    facts: &ServiceProfile,
) {
    if let (OrderKind::Load, None, true) = (open.order.kind, &open.order.adapter, busy) {
        let tier = open.order.tier.unwrap_or(LoadTier::Store);
        let span = facts.models.get(&open.order.model).map(|facts| load_span(facts, tier));
        let due = open.sent + span.unwrap_or_default();
        runner.loading = Some(ModelLoading { model: open.order.model.clone(), tier, due });
    }
}

/// Believes what a report says that the runner holds.
pub(super) fn adopt_held(runner: &mut PlanRunner, now: ClockInstant, report: &RunnerReport) {
    runner.loading.take_if(|loading| report.held.iter().any(|held| held.model == loading.model));
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
pub(super) fn take_effect(
    runner: &mut PlanRunner,
    now: ClockInstant,
    since: ClockInstant,
    order: &PlannedOrder,
    facts: &ServiceProfile,
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
