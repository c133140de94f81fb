//! What no policy can beat.

use std::time::Duration;

use dotterellane_standins::weight_store::{FULL_SPEED_MODELS, SharedBandwidth};
use dotterellane_units::ClockInstant;

use super::simulation::{SimulationResult, seconds};
use super::trace::FleetSize;

/// Returns the cold start that each waiting request would see if its load went to the weight
/// store, or to the cache tier that it came from, the moment it was first wanted.
pub fn store_bound(size: &FleetSize, result: &SimulationResult) -> Vec<f64> {
    let mut order: Vec<usize> = (0..result.loads.len()).collect();
    order.sort_by(|a, b| result.loads[*a].wanted_at.total_cmp(&result.loads[*b].wanted_at));
    let mut lane = SharedBandwidth::new(FULL_SPEED_MODELS);
    let mut ready = vec![0.0; result.loads.len()];
    let mut running = Vec::new();
    let settle =
        |lane: &mut SharedBandwidth, now, running: &mut Vec<(u64, usize)>, ready: &mut Vec<f64>| {
            while let Some(end) = lane.next_end().filter(|end| *end <= now) {
                for ended in lane.advance(end) {
                    if let Some(place) = running.iter().position(|(number, _)| *number == ended) {
                        ready[running.swap_remove(place).1] = seconds(end);
                    }
                }
            }
            lane.advance(now);
        };
    for index in order {
        let load = &result.loads[index];
        if let Some(cached) = load.cached_seconds {
            ready[index] = load.wanted_at + cached;
            continue;
        }
        let now = ClockInstant(0) + Duration::from_secs_f64(load.wanted_at);
        settle(&mut lane, now, &mut running, &mut ready);
        let work = Duration::from_secs_f64(load.bytes as f64 / size.load_speed());
        running.push((lane.begin(now, work), index));
    }
    settle(&mut lane, ClockInstant(u64::MAX / 2), &mut running, &mut ready);
    let bound = |sample: &super::simulation::ColdStartSample| {
        (ready[sample.load] - sample.asked_at).max(0.0)
    };
    result.samples.iter().map(bound).collect()
}

/// Returns the least idle hours of a policy that knows all gaps in advance, loads no more bytes
/// than the one that was simulated and has memory without end: it stays loaded over the shortest
/// gaps. The gap that the bytes suffice for in part counts in part, so that this is a bound.
pub fn idle_optimum(result: &SimulationResult) -> f64 {
    let mut gaps = result.gaps.clone();
    gaps.sort_by(|a, b| b.seconds.total_cmp(&a.seconds));
    let loaded: u64 = result.loads.iter().map(|load| load.bytes).sum();
    let mut spare = loaded.saturating_sub(result.first_bytes) as f64;
    let mut idle = result.load_hours;
    for gap in gaps {
        let unloaded = (spare / gap.bytes as f64).min(1.0);
        spare -= unloaded * gap.bytes as f64;
        idle += gap.hours * (1.0 - unloaded);
    }
    idle
}
