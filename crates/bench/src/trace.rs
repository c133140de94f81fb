//! Seeded arrivals: when, which team, which model, at which entry.

use std::time::Duration;

use miette::miette;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;

/// One request of a trace; the numbers index the lists of the target.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceArrival {
    /// Time from the start of the trace.
    pub at: Duration,
    /// Entry that it is sent to.
    pub entry: usize,
    /// Team that sends it.
    pub team: usize,
    /// Model or adapter that it asks for, the most popular first.
    pub model: usize,
}

/// How a trace is drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceShape {
    /// Requests a second on average.
    pub rate: f64,
    /// Length of the trace.
    pub length: Duration,
    /// Exponent of the Zipf law of popularity; 0 makes all models alike.
    pub skew: f64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of models and adapters.
    pub models: usize,
}

/// Draws a trace: Poisson arrivals, Zipf popularity, teams and entries alike.
///
/// # Errors
/// Fails if the rate or the skew is not a positive number, or a list is empty.
pub fn draw_trace(shape: &TraceShape) -> miette::Result<Vec<TraceArrival>> {
    if shape.entries == 0 || shape.teams == 0 || shape.models == 0 {
        return Err(miette!("a trace needs an entry, a team and a model"));
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
