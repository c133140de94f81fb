//! Circuit breaker for runners: when a failing runner gets no requests, and how it comes back.

use std::time::Duration;

use dotterellane_units::ClockInstant;

/// Consecutive failures after which a runner is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Largest number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;

/// Failures and ejections of one runner.
///
/// When an ejection ends, a single probe request is allowed: its success closes the circuit
/// breaker, its failure ejects the runner again.
#[derive(Clone, Debug, Default)]
pub struct EjectionState {
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// End of the last ejection.
    until: ClockInstant,
    /// Whether the probe request is in flight.
    probing: bool,
}

impl EjectionState {
    /// Returns whether the runner may get a request.
    pub fn allows(&self, now: ClockInstant) -> bool {
        !self.ejected() || (now >= self.until && !self.probing)
    }

    /// Returns when the ejection ends and a probe is allowed; in the past if the runner is not
    /// ejected.
    pub fn returns_at(&self) -> ClockInstant {
        self.until
    }

    /// Notes that a request was sent; after an ejection it is the probe.
    pub fn note_sent(&mut self) {
        self.probing = self.ejected();
    }

    /// Notes that a request succeeded; forgets all failures.
    pub fn note_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that a request ended without showing whether the runner works, so that another one may
    /// be the probe.
    pub fn note_unused(&mut self) {
        self.probing = false;
    }

    /// Notes that a request failed; ejects the runner if it failed too often in a row.
    pub fn note_failure(&mut self, now: ClockInstant) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if self.ejected() && now >= self.until {
            let doublings = self.ejections.min(MAX_DOUBLINGS);
            self.until = now + FIRST_EJECTION * 2_u32.pow(doublings);
            self.ejections += 1;
        }
    }

    fn ejected(&self) -> bool {
        self.failures >= FAILURES_TO_EJECT
    }
}
