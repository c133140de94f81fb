//! Sums of recently spent tokens.

use std::time::Duration;

use dotterellane_units::ClockInstant;

/// Number of buckets that a span is divided into.
const SPAN_BUCKETS: u32 = 4;

/// Sum over a sliding span; includes up to one bucket more.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentSum {
    /// When the newest bucket began.
    began: ClockInstant,
    /// Sums of the buckets, the newest first.
    buckets: [f64; SPAN_BUCKETS as usize + 1],
}

impl RecentSum {
    pub(super) fn add(&mut self, now: ClockInstant, span: Duration, tokens: f64) {
        self.advance(now, span);
        self.buckets[0] += tokens;
    }

    pub(super) fn sum(&mut self, now: ClockInstant, span: Duration) -> f64 {
        self.advance(now, span);
        self.buckets.iter().sum::<f64>().max(0.0)
    }

    fn advance(&mut self, now: ClockInstant, span: Duration) {
        let length = span / SPAN_BUCKETS;
        for _ in 0..self.buckets.len() {
            if now.since(self.began) < length {
                return;
            }
            self.buckets.rotate_right(1);
            self.buckets[0] = 0.0;
            self.began = self.began + length;
        }
        self.began = now;
    }
}

/// Time constant of the decay: tokens this old count 1/e.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Sum in which tokens lose weight exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    at: ClockInstant,
    tokens: f64,
}

impl DecayingSum {
    pub(super) fn add(&mut self, now: ClockInstant, tokens: f64) {
        self.tokens = (self.sum(now) + tokens).max(0.0);
        self.at = self.at.max(now);
    }

    pub(super) fn sum(&self, now: ClockInstant) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.tokens * (-elapsed).exp()
    }
}
