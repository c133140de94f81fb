//! Seeded random request traces.

use std::time::Duration;

use miette::miette;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;

/// One request of a trace; entry, team and model are indexes into the lists of the target.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceArrival {
    /// Time from the start of the trace.
    pub at: Duration,
    /// Entry that the request is sent to.
    pub entry: usize,
    /// Team that sends the request.
    pub team: usize,
    /// Requested model or adapter; 0 is the most popular one.
    pub model: usize,
}

/// Parameters of a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceShape {
    /// Mean number of requests per second.
    pub rate: f64,
    /// Length of the trace.
    pub length: Duration,
    /// Exponent of the Zipf distribution of models; 0 makes all equally popular.
    pub skew: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of models and adapters.
    pub models: usize,
}

/// Draws a trace with Poisson arrivals, Zipf-distributed models and uniform teams and entries.
///
/// # Errors
/// Fails if the rate or the skew is out of range, or there is no entry, team or model.
pub fn draw_trace(shape: &TraceShape) -> miette::Result<Vec<TraceArrival>> {
    if shape.entries == 0 || shape.teams == 0 || shape.models == 0 {
        return Err(miette!("at least one entry, team and model are required"));
    }
    let mut random = Pcg64Mcg::seed_from_u64(shape.seed);
    let gaps = Exp::new(shape.rate).map_err(|error| miette!("rate {}: {error}", shape.rate))?;
    let popularity = Zipf::new(shape.models as f64, shape.skew)
        .map_err(|error| miette!("skew {}: {error}", shape.skew))?;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += gaps.sample(&mut random);
        if at >= shape.length.as_secs_f64() {
            return Ok(arrivals);
        }
        let rank = popularity.sample(&mut random);
        arrivals.push(TraceArrival {
            at: Duration::from_secs_f64(at),
            entry: random.random_range(0..shape.entries),
            team: random.random_range(0..shape.teams),
            model: (rank as usize).clamp(1, shape.models) - 1,
        });
    }
}
