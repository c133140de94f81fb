//! Tokens spent of late.

use std::time::Duration;

use dotterellane_units::ClockInstant;

/// Parts into which a span is cut.
const SPAN_PARTS: u32 = 4;

/// Sum over one span and at most a part of it more.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentSum {
    /// When the newest part began.
    began: ClockInstant,
    /// Sums of the parts, the newest first.
    parts: [f64; SPAN_PARTS as usize + 1],
}

impl RecentSum {
    pub(super) fn add(&mut self, now: ClockInstant, span: Duration, tokens: f64) {
        self.turn(now, span);
        self.parts[0] += tokens;
    }

    pub(super) fn sum(&mut self, now: ClockInstant, span: Duration) -> f64 {
        self.turn(now, span);
        self.parts.iter().sum::<f64>().max(0.0)
    }

    fn turn(&mut self, now: ClockInstant, span: Duration) {
        let length = span / SPAN_PARTS;
        for _ in 0..self.parts.len() {
            if now.since(self.began) < length {
                return;
            }
            self.parts.rotate_right(1);
            self.parts[0] = 0.0;
            self.began = self.began + length;
        }
        self.began = now;
    }
}

/// Span over which demand fades.
const FADING_SPAN: Duration = Duration::from_secs(3);

/// Sum in which older tokens count less.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FadingSum {
    at: ClockInstant,
    tokens: f64,
}

impl FadingSum {
    pub(super) fn add(&mut self, now: ClockInstant, tokens: f64) {
        self.tokens = (self.sum(now) + tokens).max(0.0);
        self.at = self.at.max(now);
    }

    pub(super) fn sum(&self, now: ClockInstant) -> f64 {
        let spans = now.since(self.at).as_secs_f64() / FADING_SPAN.as_secs_f64();
        self.tokens * (-spans).exp()
    }
}
