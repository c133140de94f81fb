//! Sliding-window limit on the retries of one host.
//!
//! A retry is reserved when it is decided on, and counts from then on. It may wait long for an
//! upstream, so its place in the window is the time at which it is sent.

use std::collections::VecDeque;
use std::time::Duration;

use dotterellane_units::ClockInstant;

/// Limits on retries; a host gets its part of those that hold for the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries that each request in the window allows.
    pub ratio: f64,
    /// Retries that may be sent in a window beside those.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetryLimits {
    /// Returns the part of one host in these limits of a fleet of `hosts`. What the slack allows is
    /// counted by the hosts that spent it: one that does not know the fleet, or is `unsettled` (it may
    /// have spent its part before a restart, or others theirs), keeps to the ratio of its own requests.
    #[expect(clippy::cast_precision_loss, reason = "hosts are few")]
    pub fn part(&self, hosts: Option<usize>, unsettled: bool) -> Self {
        let hosts = hosts.filter(|_| !unsettled);
        let slack = hosts.map_or(0.0, |hosts| self.slack / hosts as f64);
        Self { slack, ..*self }
    }
}

/// Requests to one service and their retries within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    requests: VecDeque<ClockInstant>,
    retries: VecDeque<ClockInstant>,
    /// Retries that were decided on and not sent yet.
    reserved: usize,
}

impl RetryLimiter {
    /// Counts a request, whose first send is not a retry.
    pub fn note_request(&mut self, now: ClockInstant, limits: &RetryLimits) {
        self.expire(now, limits);
        self.requests.push_back(now);
    }

    /// Reserves a retry if the limits allow one more; returns whether they do.
    pub fn reserve(&mut self, now: ClockInstant, limits: &RetryLimits) -> bool {
        self.expire(now, limits);
        let retries = self.retries.len() + self.reserved;
        #[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
        let (requests, retries) = (self.requests.len() as f64, retries as f64);
        let allowed = retries + 1.0 <= requests * limits.ratio + limits.slack;
        if allowed {
            self.reserved += 1;
        }
        allowed
    }

    /// Notes that a reserved retry is sent now.
    pub fn spend(&mut self, now: ClockInstant) {
        self.release();
        self.retries.push_back(now);
    }

    /// Gives up a reserved retry that is not going to be sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    fn expire(&mut self, now: ClockInstant, limits: &RetryLimits) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|first| now.since(*first) >= limits.window) {
                times.pop_front();
            }
        }
    }
}
