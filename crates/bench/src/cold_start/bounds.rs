//! Lower bounds that no policy can beat.

use std::time::Duration;

use dotterellane_standins::weight_store::{FULL_SPEED_MODELS, SharedBandwidth};
use dotterellane_units::ClockInstant;

use super::simulation::{SimulationResult, seconds};
use super::trace::FleetSize;

/// Returns the cold start of each waiting request, in seconds, if its load had started at the time
/// when it was first wanted, from the weight store or the cache tier that it really came from.
pub fn store_bound(size: &FleetSize, result: &SimulationResult) -> Vec<f64> {
    let mut load_order: Vec<usize> = (0..result.loads.len()).collect();
    load_order.sort_by(|a, b| result.loads[*a].wanted_at.total_cmp(&result.loads[*b].wanted_at));
    let mut bandwidth = SharedBandwidth::new(FULL_SPEED_MODELS);
    let mut ready = vec![0.0; result.loads.len()];
    let mut running = Vec::new();
    let advance_store = |bandwidth: &mut SharedBandwidth,
                         now,
                         running: &mut Vec<(u64, usize)>,
                         ready: &mut Vec<f64>| {
        while let Some(end) = bandwidth.next_end().filter(|end| *end <= now) {
            for ended in bandwidth.advance(end) {
                if let Some(position) = running.iter().position(|(number, _)| *number == ended) {
                    ready[running.swap_remove(position).1] = seconds(end);
                }
            }
        }
        bandwidth.advance(now);
    };
    for index in load_order {
        let load = &result.loads[index];
        if let Some(cached) = load.cached_seconds {
            ready[index] = load.wanted_at + cached;
            continue;
        }
        let now = ClockInstant(0) + Duration::from_secs_f64(load.wanted_at);
        advance_store(&mut bandwidth, now, &mut running, &mut ready);
        let work = Duration::from_secs_f64(load.bytes as f64 / size.load_speed());
        running.push((bandwidth.begin(now, work), index));
    }
    // Far enough in the future for all loads to end.
    advance_store(&mut bandwidth, ClockInstant(u64::MAX / 2), &mut running, &mut ready);
    let bound = |sample: &super::simulation::ColdStartSample| {
        (ready[sample.load] - sample.asked_at).max(0.0)
    };
    result.samples.iter().map(bound).collect()
}

/// Returns a lower bound on the idle hours of a policy that knows all gaps in advance, has
/// unlimited memory and loads no more bytes than the simulated one.
///
/// Such a policy unloads models over the longest gaps and keeps them loaded over the shortest. The
/// last gap for which the bytes suffice only in part counts in part, so that this is a bound.
pub fn idle_optimum(result: &SimulationResult) -> f64 {
    let mut gaps = result.gaps.clone();
    gaps.sort_by(|a, b| b.seconds.total_cmp(&a.seconds));
    let loaded: u64 = result.loads.iter().map(|load| load.bytes).sum();
    let mut spare_bytes = loaded.saturating_sub(result.first_bytes) as f64;
    let mut idle = result.load_hours;
    for gap in gaps {
        let unloaded = (spare_bytes / gap.bytes as f64).min(1.0);
        spare_bytes -= unloaded * gap.bytes as f64;
        idle += gap.hours * (1.0 - unloaded);
    }
    idle
}
