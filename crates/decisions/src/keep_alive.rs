//! How long an idle model stays loaded, from the gaps between its uses.

use std::time::Duration;

/// Accelerator seconds that one second of cold start is worth.
pub const COLD_START_WEIGHT: f64 = 100.0;
/// Least gap that is told apart from none.
const FIRST_BUCKET: Duration = Duration::from_millis(250);
/// Each bucket is wider than the one before by this factor.
const GROWTH: f64 = 1.25;
/// Number of buckets; the last one ends after more than two days.
const BUCKETS: usize = 64;
/// Weight that a gap loses when the next one is counted; older habits fade.
const FADING: f64 = 0.98;
/// Gaps that the prior counts for.
const PRIOR_WEIGHT: f64 = 2.0;

/// What to do with a model that has fallen idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepAlive {
    /// Time to stay loaded.
    pub hold: Duration,
}

/// Gaps between the uses of one model, in buckets that widen geometrically.
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
    /// Counts a gap between the end of one use and the start of the next.
    pub fn note_gap(&mut self, gap: Duration) {
        self.weights.iter_mut().for_each(|weight| *weight *= FADING);
        self.weights[bucket_of(gap)] += 1.0;
    }

    /// Returns the sum of weights.
    pub fn weight(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns how long to stay loaded so that the expected accelerator time is least, when one
    /// load takes `load_cost` of it.
    ///
    /// Staying for `T` costs the expected `min(gap, T)`, and `load_cost` whenever the gap is
    /// longer. Without gaps seen yet, the prior spreads them evenly over the logarithm of time,
    /// which stays for about the load cost.
    pub fn keep_alive(&self, load_cost: Duration) -> KeepAlive {
        let load_cost = load_cost.as_secs_f64();
        let prior = PRIOR_WEIGHT / BUCKETS as f64;
        let weights = self.weights.map(|weight| weight + prior);
        let total: f64 = weights.iter().sum();
        let (mut held, mut left) = (0.0, total);
        let mut best = (total * load_cost, Duration::ZERO);
        for (index, weight) in weights.iter().enumerate() {
            held += weight * bucket_middle(index).as_secs_f64();
            left -= weight;
            let end = bucket_end(index);
            let cost = held + left * (end.as_secs_f64() + load_cost);
            if cost < best.0 {
                best = (cost, end);
            }
        }
        KeepAlive { hold: best.1 }
    }
}

fn bucket_of(gap: Duration) -> usize {
    let ratio = gap.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    let index = if ratio <= 1.0 { 0.0 } else { (ratio.ln() / GROWTH.ln()).ceil() };
    (index as usize).min(BUCKETS - 1)
}

fn bucket_end(index: usize) -> Duration {
    FIRST_BUCKET.mul_f64(GROWTH.powi(index as i32))
}

fn bucket_middle(index: usize) -> Duration {
    let start = if index == 0 { Duration::ZERO } else { bucket_end(index - 1) };
    (start + bucket_end(index)) / 2
}
