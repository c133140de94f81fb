//! Simulates when models are loaded and unloaded, and compares policies with bounds.

mod bounds;
mod simulation;
pub mod trace;

use clap::Args;
use dotterellane_decisions::keep_alive::COLD_START_WEIGHT;
use serde::Serialize;

use self::bounds::{idle_optimum, store_bound};
use self::simulation::{ColdStartSample, simulate};
use self::trace::{FleetSize, draw_sessions};

pub use self::simulation::{PolicyChoice, SimulationResult};

/// Policies that are compared.
const POLICIES: [PolicyChoice; 5] = [
    PolicyChoice::Histogram,
    PolicyChoice::FixedLru { hold_seconds: 60.0 },
    PolicyChoice::FixedLru { hold_seconds: 300.0 },
    PolicyChoice::NeverUnload,
    PolicyChoice::UnloadAtOnce,
];

/// What to simulate
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ColdStartOptions {
    /// Length of the trace, in hours
    #[arg(long, default_value_t = 24.0)]
    pub hours: f64,
    /// First seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
}

/// One policy on one trace.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ColdStartRow {
    /// Whose sizes.
    pub fleet: &'static str,
    /// Seed of the trace.
    pub seed: u64,
    /// Name of the policy.
    pub policy: String,
    /// Requests in the trace.
    pub requests: usize,
    /// Requests that waited for a load.
    pub cold_requests: usize,
    /// Loads of models.
    pub loads: usize,
    /// Cold start at the median, the 95th and the 99th hundredth, in seconds.
    pub cold_start: [f64; 3],
    /// The same of the bound: each load alone before the weight store.
    pub bound: [f64; 3],
    /// 99th hundredth over that of the bound.
    pub p99_over_bound: f64,
    /// 99th hundredth of the wait for a load over all requests, in seconds.
    pub p99_all_requests: f64,
    /// Idle accelerator hours, loads included.
    pub idle_hours: f64,
    /// Least idle hours of anyone who knows all gaps and loads as many bytes.
    pub idle_optimum: f64,
    /// Idle hours over that.
    pub idle_over_optimum: f64,
    /// Idle hours and cold-start hours together, each second of cold start as [`COLD_START_WEIGHT`] of idleness.
    pub weighted_hours: f64,
    /// 99th hundredth of the cold start of the worst-served team, over that of all.
    pub worst_team: f64,
}

/// Simulates every policy at both users' sizes.
///
/// # Errors
/// Fails if the options are out of range.
pub fn run(options: &ColdStartOptions) -> miette::Result<Vec<ColdStartRow>> {
    let mut rows = Vec::new();
    for size in [FleetSize::CEANGAL, FleetSize::CELULA] {
        for seed in options.seed..options.seed + options.seeds {
            let trace = draw_sessions(&size, options.hours, seed)?;
            for policy in POLICIES {
                let result = simulate(&size, &trace, policy);
                rows.push(make_row(&size, seed, &result));
            }
        }
    }
    Ok(rows)
}

fn make_row(size: &FleetSize, seed: u64, result: &SimulationResult) -> ColdStartRow {
    let waits = sorted(result.samples.iter().map(|sample| sample.wait));
    let bounds = sorted(store_bound(size, result).into_iter());
    let optimum = idle_optimum(result);
    let p99 = percentile(&waits, 0.99);
    let all = result.requests;
    let warm = all.saturating_sub(waits.len());
    let mut every = vec![0.0; warm];
    every.extend(&waits);
    let worst = (0..size.teams)
        .map(|team| {
            let own = |sample: &&ColdStartSample| sample.team == team;
            percentile(&sorted(result.samples.iter().filter(own).map(|s| s.wait)), 0.99)
        })
        .fold(0.0, f64::max);
    ColdStartRow {
        fleet: size.name,
        seed,
        policy: result.policy.to_string(),
        requests: all,
        cold_requests: waits.len(),
        loads: result.loads.len(),
        cold_start: three_percentiles(&waits),
        bound: three_percentiles(&bounds),
        p99_over_bound: p99 / percentile(&bounds, 0.99).max(f64::EPSILON),
        p99_all_requests: percentile(&every, 0.99),
        idle_hours: result.idle_hours,
        idle_optimum: optimum,
        idle_over_optimum: result.idle_hours / optimum.max(f64::EPSILON),
        weighted_hours: result.idle_hours + COLD_START_WEIGHT * result.cold_hours,
        worst_team: worst / p99.max(f64::EPSILON),
    }
}

fn sorted<I>(values: I) -> Vec<f64>
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn three_percentiles(sorted: &[f64]) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|share| percentile(sorted, share))
}
