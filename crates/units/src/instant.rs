//! Instants of monotonic clocks.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reading of a host's monotonic clock, in nanoseconds since an arbitrary origin.
///
/// Readings of different hosts cannot be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ClockInstant(pub u64);

impl ClockInstant {
    /// Returns the time from `earlier` to this instant, zero if `earlier` is in fact later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }
}

impl Add<Duration> for ClockInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for ClockInstant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for ClockInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", Duration::from_nanos(self.0))
    }
}

/// Reading of the steady clock of the platform's store, in milliseconds; the same for all hosts.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StoreInstant(pub u64);

impl fmt::Display for StoreInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", Duration::from_millis(self.0))
    }
}

/// Source of [`ClockInstant`]s; tests and simulations inject their own.
#[derive(Clone)]
pub struct ClockSource(Arc<dyn Fn() -> ClockInstant + Send + Sync>);

impl ClockSource {
    /// Creates a clock from the function that reads it.
    pub fn new<F>(read: F) -> Self
    where
        F: Fn() -> ClockInstant + Send + Sync + 'static,
    {
        Self(Arc::new(read))
    }

    /// Returns the current instant.
    pub fn now(&self) -> ClockInstant {
        (self.0)()
    }
}

impl fmt::Debug for ClockSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClockSource")
    }
}
