//! Orders for adapters.

use std::collections::BTreeMap;

use dotterellane_units::{AdapterId, ClockInstant, ModelId};

use super::runner::{PlanRunner, is_idle};
use super::terms::{OrderKind, PlannedOrder};
use super::{LEAST_STAY, WeightPlan};

impl WeightPlan {
    /// Plans adapters that requests wait for, on runners that hold their model.
    pub(super) fn plan_adapters(&mut self, now: ClockInstant, orders: &mut Vec<PlannedOrder>) {
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

    pub(super) fn plan_adapter(
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
