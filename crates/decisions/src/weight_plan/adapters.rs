//! Planning of adapter loads and unloads.

use std::collections::BTreeMap;

use dotterellane_units::{AdapterId, ClockInstant, ModelId};

use crate::allowed_regions::AllowedRegions;

use super::runner::{PlanRunner, is_idle};
use super::types::{OrderKind, PlannedOrder};
use super::{MIN_RESIDENCE, WeightPlan};

impl WeightPlan {
    /// Plans loads of the adapters that requests wait for, on runners that hold their model, by
    /// descending worth of the waiting requests.
    pub(super) fn plan_adapters(&mut self, now: ClockInstant, orders: &mut Vec<PlannedOrder>) {
        let mut wanted: BTreeMap<(&AllowedRegions, (ModelId, AdapterId)), u64> = BTreeMap::new();
        for (_, demand) in self.demand.values() {
            for waiting in &demand.waiting {
                if let Some(adapter) = &waiting.adapter {
                    let key = (waiting.model.clone(), adapter.clone());
                    *wanted.entry((&waiting.regions, key)).or_default() += u64::from(waiting.worth);
                }
            }
        }
        let mut wanted: Vec<_> = wanted.into_iter().collect();
        wanted.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        let wanted: Vec<_> =
            wanted.into_iter().map(|((regions, key), _)| (regions.clone(), key)).collect();
        for (regions, key) in wanted {
            let present = self.runners.values().any(|runner| {
                let pending_load = runner.pending.as_ref().is_some_and(|pending| {
                    pending.order.kind == OrderKind::Load
                        && pending.order.model == key.0
                        && pending.order.adapter.as_ref() == Some(&key.1)
                });
                runner.is_usable_in(&regions, now)
                    && (runner.adapters.contains_key(&key) || pending_load)
            });
            if !present {
                self.plan_adapter(now, &key, &regions, orders);
            }
        }
    }

    /// Plans a load of the adapter on the runner in `regions` with the most free adapter slots, or the
    /// unload of its least recently used idle adapter if none is free.
    pub(super) fn plan_adapter(
        &mut self,
        now: ClockInstant,
        key: &(ModelId, AdapterId),
        regions: &AllowedRegions,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let free =
            |runner: &PlanRunner| self.profile.adapter_slots.saturating_sub(runner.adapters.len());
        let holder = self
            .runners
            .iter()
            .filter(|(_, runner)| {
                runner.is_usable_in(regions, now)
                    && runner.models.contains_key(&key.0)
                    && is_idle(runner, now)
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
                now.since(state.last_used) > MIN_RESIDENCE
                    && !self.is_running_on(&name, model, Some(adapter))
            });
            let Some(((model, adapter), _)) = idle.min_by_key(|(_, state)| state.last_used) else {
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
        self.issue_order(now, order, orders);
    }
}
