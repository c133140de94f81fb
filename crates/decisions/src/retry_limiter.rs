//! A bound on sends beyond the first of each request, for one host's part of the fleet.
//!
//! A further send is reserved when it is decided on and counts from then on, but it may wait long for an
//! upstream; its place in the window is when it is made.

use std::collections::VecDeque;
use std::time::Duration;

use dotterellane_units::ClockInstant;

/// Limits on sends beyond the first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Sends beyond the first that each request earns.
    pub ratio: f64,
    /// Sends beyond the first that this host may make in a window without any request.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: Duration,
}

/// Requests and further sends of one service within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    requests: VecDeque<ClockInstant>,
    resends: VecDeque<ClockInstant>,
    /// Further sends that were decided on and not made yet.
    reserved: usize,
}

impl RetryLimiter {
    /// Counts a request.
    pub fn note_request(&mut self, now: ClockInstant, limits: &RetryLimits) {
        self.forget(now, limits);
        self.requests.push_back(now);
    }

    /// Reserves one further send; tells whether it may be made.
    pub fn reserve(&mut self, now: ClockInstant, limits: &RetryLimits) -> bool {
        self.forget(now, limits);
        let resends = self.resends.len() + self.reserved;
        #[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
        let (requests, resends) = (self.requests.len() as f64, resends as f64);
        let allowed = resends + 1.0 <= requests * limits.ratio + limits.slack;
        if allowed {
            self.reserved += 1;
        }
        allowed
    }

    /// Notes that a reserved send is made now.
    pub fn spend(&mut self, now: ClockInstant) {
        self.release();
        self.resends.push_back(now);
    }

    /// Gives a reserved send back that is not made.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    fn forget(&mut self, now: ClockInstant, limits: &RetryLimits) {
        for times in [&mut self.requests, &mut self.resends] {
            while times.front().is_some_and(|first| now.since(*first) >= limits.window) {
                times.pop_front();
            }
        }
    }
}
