//! Monotonic time as the decisions see it.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of one host's monotonic clock, in nanoseconds since an arbitrary origin.
///
/// Readings of different hosts are not comparable.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ClockInstant(pub u64);

impl ClockInstant {
    /// Returns the time since `earlier`, zero if `earlier` is later.
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

/// A reading of the steady clock of the platform's store, in milliseconds, as all hosts can see it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StoreInstant(pub u64);

impl fmt::Display for StoreInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", Duration::from_millis(self.0))
    }
}

/// A clock that parts read; tests and scenarios put their own in its place.
#[derive(Clone)]
pub struct ClockSource(Arc<dyn Fn() -> ClockInstant + Send + Sync>);

impl ClockSource {
    /// Wraps a function that reads the clock.
    pub fn new<F>(read: F) -> Self
    where
        F: Fn() -> ClockInstant + Send + Sync + 'static,
    {
        Self(Arc::new(read))
    }

    /// Reads the clock.
    pub fn now(&self) -> ClockInstant {
        (self.0)()
    }
}

impl fmt::Debug for ClockSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClockSource")
    }
}
