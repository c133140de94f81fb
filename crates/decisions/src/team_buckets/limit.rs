//! Limits on what a team may spend over all hosts.

/// Rate and burst of one team over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Tokens per second; zero means that the team has no limit.
    pub rate: f64,
    /// Capacity of the team's token bucket, in tokens.
    pub burst: f64,
}

/// How far the fleet may exceed a limit within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTolerance {
    /// Fraction of what the limit allows in a window.
    pub excess: f64,
    /// Additional tokens per window.
    pub slack: f64,
}

/// Fraction of the tolerated excess that is added to the rate; the rest covers spending that is not
/// reported yet.
const RATE_EXCESS_USED: f64 = 0.6;

/// Fraction of the tolerated slack that is added to the burst.
const BURST_SLACK_USED: f64 = 0.6;

impl TeamLimit {
    /// Returns a limit raised by a part of `tolerance`, such that hosts that hear of each other's
    /// spending a little late still stay within this limit and the whole tolerance.
    pub fn with_tolerance(self, tolerance: LimitTolerance) -> Self {
        let burst = self.burst * (1.0 + tolerance.excess) + tolerance.slack * BURST_SLACK_USED;
        Self { rate: self.rate * (1.0 + tolerance.excess * RATE_EXCESS_USED), burst }
    }
}
