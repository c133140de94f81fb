//! Terms of loans and credit, and arithmetic that allows for clock drift.

use std::time::Duration;

/// Largest deviation of the rate of a host's clock from true time, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 500;

const MILLION: u64 = 1_000_000;

/// How long loans and credit last, and how often they are renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareTimings {
    /// How long a ledger may use the slots of a loan, counted from its request for the loan.
    pub loan_term: Duration,
    /// How long an entry may spend credit, counted from the report that the grant answers.
    pub credit_term: Duration,
    /// Interval at which a ledger asks the members for loans.
    pub renewal_period: Duration,
    /// Interval at which an entry that waits for tokens repeats its report.
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

/// Returns `span` lengthened such that, when it has passed on this host's clock, at least `span`
/// has passed on the clock of every other host.
pub fn drift_padded(span: Duration) -> Duration {
    // With a drift of d the clocks differ by a factor of at most (1 + d) / (1 - d), which is below
    // 1 + 3d for every d below a third.
    span + span * 3 / 1_000_000 * u32::try_from(CLOCK_DRIFT_PPM).unwrap_or(u32::MAX)
}

/// Returns a lower bound on the true time that passes while a host's clock advances by `nanos`.
pub(crate) fn least_elapsed(nanos: u64) -> u128 {
    u128::from(nanos) * u128::from(MILLION - CLOCK_DRIFT_PPM) / u128::from(MILLION)
}
