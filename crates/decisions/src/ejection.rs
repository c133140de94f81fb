//! When a failing runner gets no work, and how it comes back.

use std::time::Duration;

use dotterellane_units::ClockInstant;

/// Failures in a row after which a runner gets no work for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// First time without work.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 5;

/// Failures of one runner. After its time without work it is tried with one request; that
/// request decides.
#[derive(Clone, Debug, Default)]
pub struct EjectionState {
    failures: u32,
    ejections: u32,
    until: ClockInstant,
    probing: bool,
}

impl EjectionState {
    /// Tells whether the runner may get a request.
    pub fn allows(&self, now: ClockInstant) -> bool {
        !self.ejected() || (now >= self.until && !self.probing)
    }

    /// Returns when the runner is tried again; in the past if it is not ejected.
    pub fn returns_at(&self) -> ClockInstant {
        self.until
    }

    /// Counts a request that was sent.
    pub fn note_sent(&mut self) {
        self.probing = self.ejected();
    }

    /// Counts a call that was answered.
    pub fn note_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a call that was not used.
    pub fn note_unused(&mut self) {
        self.probing = false;
    }

    /// Counts a call that failed.
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
