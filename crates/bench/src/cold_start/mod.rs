//! Compares policies for loading and unloading models, in a simulation and with lower bounds.

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

/// Policies to compare.
const POLICIES: [PolicyChoice; 5] = [
    PolicyChoice::Histogram,
    PolicyChoice::FixedLru { hold_seconds: 60.0 },
    PolicyChoice::FixedLru { hold_seconds: 300.0 },
    PolicyChoice::NeverUnload,
    PolicyChoice::UnloadAtOnce,
];

/// Size of the simulation
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ColdStartOptions {
    /// Length of each trace, in hours
    #[arg(long, default_value_t = 24.0)]
    pub hours: f64,
    /// Seed of the first trace
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of traces, with consecutive seeds
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
}

/// Result of one policy on one trace.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ColdStartRow {
    /// Name of the fleet.
    pub fleet: &'static str,
    /// Seed of the trace.
    pub seed: u64,
    /// Name of the policy, as displayed by [`PolicyChoice`].
    pub policy: String,
    /// Number of requests in the trace.
    pub requests: usize,
    /// Number of requests that waited for a load.
    pub cold_requests: usize,
    /// Number of model loads.
    pub loads: usize,
    /// 50th, 95th and 99th percentile of the cold start, the wait of a cold request, in seconds.
    pub cold_start: [f64; 3],
    /// The same percentiles of the lower bound, for which every load starts as soon as its model is
    /// wanted.
    pub bound: [f64; 3],
    /// 99th percentile of the cold start, divided by that of the bound.
    pub p99_over_bound: f64,
    /// 99th percentile of the wait for a load over all requests, in seconds.
    pub p99_all_requests: f64,
    /// Accelerator hours of idle and loading models.
    pub idle_hours: f64,
    /// Lower bound on the idle hours of a policy that knows all gaps in advance and loads no more
    /// bytes.
    pub idle_optimum: f64,
    /// Idle hours, divided by that bound.
    pub idle_over_optimum: f64,
    /// Idle hours plus [`COLD_START_WEIGHT`] times the hours of cold start, which are weighted by
    /// the accelerator share of the model.
    pub weighted_hours: f64,
    /// 99th percentile of the cold start of the worst team, divided by that of all teams.
    pub worst_team: f64,
}

/// Simulates every policy on the fleets of both users.
///
/// # Errors
/// Fails if the length is not a positive number of hours.
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
    let request_count = result.requests;
    let warm = request_count.saturating_sub(waits.len());
    let mut all_waits = vec![0.0; warm];
    all_waits.extend(&waits);
    let worst_p99 = (0..size.teams)
        .map(|team| {
            let of_team = |sample: &&ColdStartSample| sample.team == team;
            percentile(
                &sorted(result.samples.iter().filter(of_team).map(|sample| sample.wait)),
                0.99,
            )
        })
        .fold(0.0, f64::max);
    ColdStartRow {
        fleet: size.name,
        seed,
        policy: result.policy.to_string(),
        requests: request_count,
        cold_requests: waits.len(),
        loads: result.loads.len(),
        cold_start: three_percentiles(&waits),
        bound: three_percentiles(&bounds),
        p99_over_bound: p99 / percentile(&bounds, 0.99).max(f64::EPSILON),
        p99_all_requests: percentile(&all_waits, 0.99),
        idle_hours: result.idle_hours,
        idle_optimum: optimum,
        idle_over_optimum: result.idle_hours / optimum.max(f64::EPSILON),
        weighted_hours: result.idle_hours + COLD_START_WEIGHT * result.cold_hours,
        worst_team: worst_p99 / p99.max(f64::EPSILON),
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

fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn three_percentiles(sorted: &[f64]) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| percentile(sorted, quantile))
}
