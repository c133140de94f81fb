//! What to drop to make room, and what that costs.

use std::time::Duration;

use dotterellane_units::{ByteSize, ClockInstant, ModelId, UpstreamId};

use super::runner::PlanRunner;
use super::terms::LoadTier;
use super::{LEAST_STAY, WeightPlan};

/// Weight of a copy beyond those that the demand asks for.
const SPARE_WEIGHT: f64 = 0.1;

/// Requests a second that count for a model that nobody asked for lately.
const LEAST_RATE: f64 = 0.02;

impl WeightPlan {
    /// Models that `name` would drop to make room for `needed`, cheapest first; `None` if it can't.
    pub(super) fn evictions(
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
    pub(super) fn loss(&self, name: &UpstreamId, model: &ModelId, idle: Duration) -> f64 {
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
        let weight = if spare { SPARE_WEIGHT } else { 1.0 };
        let recency = 1.0 / (1.0 + idle.as_secs_f64());
        (usage.rate + LEAST_RATE) * reload.as_secs_f64() * weight * (1.0 + recency)
    }

    pub(super) fn weights(&self, model: &ModelId) -> ByteSize {
        self.facts.models.get(model).map_or(ByteSize(0), |facts| facts.weights)
    }

    pub(super) fn tier(&self, runner: &PlanRunner, model: &ModelId) -> LoadTier {
        if runner.report.in_memory.contains(model) {
            LoadTier::Memory
        } else if runner.report.on_disk.contains(model) {
            LoadTier::Disk
        } else {
            LoadTier::Store
        }
    }
}
