//! Terms of pledges and credits, and the bound on clocks' drift.

use std::time::Duration;

/// Largest deviation of a host's clock from true time, in millionths.
pub const CLOCK_DRIFT_PPM: u64 = 500;

const MILLION: u64 = 1_000_000;

/// How long pledges and credits last and how often they are renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareTimings {
    /// How long a pledge binds its member.
    pub loan_term: Duration,
    /// How long after its report a credit may be spent.
    pub credit_term: Duration,
    /// How often a ledger asks its members for pledges.
    pub renewal_period: Duration,
    /// How often an entry that waits for tokens reports again.
    pub report_period: Duration,
}

impl Default for ShareTimings {
    fn default() -> Self {
        Self {
            loan_term: Duration::from_secs(4),
            credit_term: Duration::from_millis(1_500),
            renewal_period: Duration::from_secs(1),
            report_period: Duration::from_millis(300),
        }
    }
}

/// Returns `span` lengthened so that any other host's clock has shown `span` by its end.
pub fn widened(span: Duration) -> Duration {
    // (1 + d) / (1 - d) is below 1 + 3d for every d below a third.
    span + span * 3 / 1_000_000 * u32::try_from(CLOCK_DRIFT_PPM).unwrap_or(u32::MAX)
}

/// Returns `nanos` shortened so that true time has passed at least that long.
pub(crate) fn narrowed(nanos: u64) -> u128 {
    u128::from(nanos) * u128::from(MILLION - CLOCK_DRIFT_PPM) / u128::from(MILLION)
}
