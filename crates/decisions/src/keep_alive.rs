//! Decides how long an idle model stays loaded, from the gaps between its uses.

use std::time::Duration;

/// Cost of one second of cold start, in seconds of accelerator time.
pub const COLD_START_WEIGHT: f64 = 100.0;
/// Width of the first bucket; shorter gaps are not distinguished.
const FIRST_BUCKET: Duration = Duration::from_millis(250);
/// Factor by which the end of each bucket exceeds that of the one before.
const BUCKET_GROWTH: f64 = 1.25;
/// Number of buckets; the last one ends after more than two days.
const BUCKETS: usize = 64;
/// Factor on the weights of all earlier gaps when a gap is counted, so that old usage patterns
/// fade.
const GAP_DECAY: f64 = 0.98;
/// Number of gaps that the prior distribution counts for.
const PRIOR_WEIGHT: f64 = 2.0;

/// Decision about a model that became idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepAlive {
    /// Time for which the idle model stays loaded.
    pub hold: Duration,
}

/// Histogram of the gaps between uses of one model, with geometrically growing buckets.
#[derive(Clone, Debug)]
pub struct GapHistogram {
    weights: [f64; BUCKETS],
}

impl Default for GapHistogram {
    fn default() -> Self {
        Self { weights: [0.0; BUCKETS] }
    }
}

impl GapHistogram {
    /// Counts a gap from the end of one use to the start of the next.
    pub fn note_gap(&mut self, gap: Duration) {
        self.weights.iter_mut().for_each(|weight| *weight *= GAP_DECAY);
        self.weights[bucket_of(gap)] += 1.0;
    }

    /// Returns the sum of the gaps' weights; zero before the first gap.
    pub fn weight(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns how long the model should stay loaded to minimize the expected accelerator time, if
    /// one load costs `load_cost` of accelerator time.
    ///
    /// Staying loaded for `T` costs the expected value of `min(gap, T)`, plus `load_cost` if the
    /// gap is longer than `T`. The prior distributes gaps evenly over the logarithm of time; before
    /// the first gap it yields a time of about the load cost.
    pub fn keep_alive(&self, load_cost: Duration) -> KeepAlive {
        let load_cost = load_cost.as_secs_f64();
        let prior = PRIOR_WEIGHT / BUCKETS as f64;
        let weights = self.weights.map(|weight| weight + prior);
        let total: f64 = weights.iter().sum();
        let (mut hold_cost, mut longer) = (0.0, total);
        let mut best = (total * load_cost, Duration::ZERO);
        for (index, weight) in weights.iter().enumerate() {
            hold_cost += weight * bucket_middle(index).as_secs_f64();
            longer -= weight;
            let end = bucket_end(index);
            let cost = hold_cost + longer * (end.as_secs_f64() + load_cost);
            if cost < best.0 {
                best = (cost, end);
            }
        }
        KeepAlive { hold: best.1 }
    }
}

fn bucket_of(gap: Duration) -> usize {
    let ratio = gap.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    let index = if ratio <= 1.0 { 0.0 } else { (ratio.ln() / BUCKET_GROWTH.ln()).ceil() };
    (index as usize).min(BUCKETS - 1)
}

fn bucket_end(index: usize) -> Duration {
    FIRST_BUCKET.mul_f64(BUCKET_GROWTH.powi(index as i32))
}

fn bucket_middle(index: usize) -> Duration {
    let start = if index == 0 { Duration::ZERO } else { bucket_end(index - 1) };
    (start + bucket_end(index)) / 2
}
