//! What a team may spend over all hosts.

/// Rate and burst of one team over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Tokens a second; zero means that the team has no limit.
    pub rate: f64,
    /// Tokens that may be spent at once after a pause.
    pub burst: f64,
}

/// How far the fleet may exceed a limit within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTolerance {
    /// Part of what the limit allows in a window.
    pub excess: f64,
    /// Tokens besides.
    pub slack: f64,
}

/// Part of the tolerance of the rate that is lent to teams; the rest covers reports under way.
const LENT_RATE: f64 = 0.6;

/// Part of the tolerance of the burst that is lent to teams.
const LENT_BURST: f64 = 0.6;

impl TeamLimit {
    /// Returns the limit that a fleet can keep to that knows its spending a little late.
    pub fn with_tolerance(self, tolerance: LimitTolerance) -> Self {
        let burst = self.burst * (1.0 + tolerance.excess) + tolerance.slack * LENT_BURST;
        Self { rate: self.rate * (1.0 + tolerance.excess * LENT_RATE), burst }
    }
}
