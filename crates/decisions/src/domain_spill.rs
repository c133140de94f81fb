//! Decides which requests leave their host's failure domain for an upstream of another one.
//!
//! Traffic between failure domains is slower and costs money, so a request stays as long as its own
//! domain serves it about as soon as the others. From there on, the share that leaves rises
//! smoothly with how much longer its own domain would take, and each request falls on one side by
//! its hash: hosts that see the same do not all turn at once.

use std::ops::RangeInclusive;

use crate::upstream_choice::hash_fraction;

/// Factor on the time in a domain without a free slot, less one.
const FULL_WAIT: f64 = 2.0;

/// Power of the filled part of a domain's slots with which the wait for a slot grows. A higher one
/// rises so steeply that reports on their way make the share swing.
const FULL_EXPONENT: i32 = 2;

/// The upstreams of one or more failure domains that could run a request, taken together: unlike
/// the best one of them, their sum hardly changes while reports are on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainLoad {
    /// Requests that they run concurrently.
    pub slots: f64,
    /// Requests in flight there.
    pub requests: f64,
    /// Requests that slow a further one down as much as it takes alone.
    pub alone: f64,
    /// Sum of their speeds; an average upstream has 1.
    pub speed: f64,
}

impl DomainLoad {
    /// Returns a measure of the time that a request takes there if `open` of the slots are open
    /// to it.
    fn time(&self, open: f64) -> f64 {
        let filled = self.requests / (self.slots * open).max(1.0);
        let wait = 1.0 + FULL_WAIT * filled.powi(FULL_EXPONENT);
        (self.alone + self.requests) / self.speed.max(f64::EPSILON) * wait
    }
}

/// What leaving the failure domain has to gain.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillPrice {
    /// Time in the own domain as a multiple of the time in another one: no request leaves below
    /// the first value, and from the last one on all do.
    pub gain: RangeInclusive<f64>,
    /// Part of a domain's slots that is kept for its own requests: for those from elsewhere they
    /// count as taken, so that only a domain that is as full uses them.
    pub kept: f64,
}

impl Default for SpillPrice {
    /// Serves a deployment that states no price: a quarter more is hardly noticed by callers, and two
    /// and a half times the time makes answers late.
    fn default() -> Self {
        Self { gain: 1.25..=2.5, kept: 0.2 }
    }
}

impl SpillPrice {
    /// Returns the fraction of requests that leave their own domain for the other ones.
    pub fn leaving_share(&self, own: &DomainLoad, others: &DomainLoad) -> f64 {
        let (none, all) = (*self.gain.start(), *self.gain.end());
        let gain = own.time(1.0) / others.time(1.0 - self.kept).max(f64::EPSILON);
        ((gain - none) / (all - none).max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// Returns whether the request with this hash leaves.
    pub fn leaves(&self, own: &DomainLoad, others: &DomainLoad, hash: u64) -> bool {
        hash_fraction(hash) < self.leaving_share(own, others)
    }
}
