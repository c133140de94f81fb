//! A bound on sends beyond the first of each request, for one host's part of the fleet.

use std::collections::VecDeque;
use std::time::Duration;

use dotterellane_units::ClockInstant;

/// Limits on sends beyond the first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendLimits {
    /// Sends beyond the first that each request earns.
    pub ratio: f64,
    /// Sends beyond the first that this host may make in a window without any request.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: Duration,
}

/// Requests and further sends of one service within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct ResendBudget {
    requests: VecDeque<ClockInstant>,
    resends: VecDeque<ClockInstant>,
}

impl ResendBudget {
    /// Counts a request.
    pub fn note_request(&mut self, now: ClockInstant, limits: &ResendLimits) {
        self.forget(now, limits);
        self.requests.push_back(now);
    }

    /// Takes one further send; tells whether it may be made.
    pub fn take(&mut self, now: ClockInstant, limits: &ResendLimits) -> bool {
        self.forget(now, limits);
        #[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
        let (requests, resends) = (self.requests.len() as f64, self.resends.len() as f64);
        let allowed = resends + 1.0 <= requests * limits.ratio + limits.slack;
        if allowed {
            self.resends.push_back(now);
        }
        allowed
    }

    fn forget(&mut self, now: ClockInstant, limits: &ResendLimits) {
        for times in [&mut self.requests, &mut self.resends] {
            while times.front().is_some_and(|first| now.since(*first) >= limits.window) {
                times.pop_front();
            }
        }
    }
}
