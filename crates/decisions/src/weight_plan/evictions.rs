//! Choice of models to evict, and what an eviction costs.

use std::time::Duration;

use dotterellane_units::{ByteSize, ClockInstant, ModelId, UpstreamId};

use super::runner::PlanRunner;
use super::types::LoadTier;
use super::{MIN_RESIDENCE, WeightPlan};

/// Factor on the eviction cost of a replica beyond those that demand calls for.
const SPARE_WEIGHT: f64 = 0.1;

/// Requests per second that are added to every model's rate, so that unused models have a cost too.
const MIN_REQUEST_RATE: f64 = 0.02;

impl WeightPlan {
    /// Returns the models to evict from runner `name` to free `needed` memory, cheapest first, and
    /// their total cost, see [`Self::drop_cost`]; `None` if evictions cannot free enough.
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
                self.profile.models.get(model).map_or(0, |profile| profile.adapter_weights.0)
            })
            .sum::<u64>();
        if used + needed.0 <= self.profile.capacity.0 {
            return Some((Vec::new(), 0.0));
        }
        let mut candidates: Vec<(f64, &ModelId)> = runner
            .models
            .iter()
            .filter(|(model, state)| {
                now.since(state.last_used) > MIN_RESIDENCE
                    && !self.is_running_on(name, model, None)
                    && !self.is_last_for_waiting(runner, model)
            })
            .map(|(model, state)| (self.drop_cost(name, model, now.since(state.last_used)), model))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let (mut evicted, mut total) = (Vec::new(), 0.0);
        for (cost, model) in candidates {
            evicted.push(model.clone());
            total += cost;
            used -= self.weights(model).0;
            if used + needed.0 <= self.profile.capacity.0 {
                return Some((evicted, total));
            }
        }
        None
    }

    /// Returns the cost of evicting `model` from runner `name`: the expected request rate times the
    /// reload time in seconds, up to twice that if the model was used recently.
    pub(super) fn drop_cost(&self, name: &UpstreamId, model: &ModelId, idle: Duration) -> f64 {
        let usage = self.usage.get(model).copied().unwrap_or_default();
        #[expect(clippy::cast_precision_loss, reason = "runners are few")]
        let copies = self.copies(model) as f64;
        let spare = copies > self.target_copies(model, &usage);
        let Some(profile) = self.profile.models.get(model) else { return 0.0 };
        let on_disk = self.runners.values().any(|runner| runner.report.on_disk.contains(model));
        let on_own_disk =
            self.runners.get(name).is_some_and(|runner| runner.report.on_disk.contains(model));
        let reload = match (on_own_disk, on_disk || copies > 1.0) {
            (true, _) => profile.disk_load,
            (false, true) => profile.disk_load * 2,
            (false, false) => profile.store_load * 2,
        };
        let weight = if spare { SPARE_WEIGHT } else { 1.0 };
        let recency = 1.0 / (1.0 + idle.as_secs_f64());
        (usage.rate + MIN_REQUEST_RATE) * reload.as_secs_f64() * weight * (1.0 + recency)
    }

    pub(super) fn weights(&self, model: &ModelId) -> ByteSize {
        self.profile.models.get(model).map_or(ByteSize(0), |profile| profile.weights)
    }

    /// Returns the fastest source that `runner` can load `model` from.
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
