//! Converts between the store's monotonic clock and the host's own clock.
//!
//! Every response of the store contains its clock reading, so a host knows the offset between the
//! two clocks up to the duration of the call. A host that read the store can then tell another host
//! in a one-way message how old its data is: the receiver converts the store's time to its own
//! clock, so delays of the message or of the receiver are accounted for. All results err towards
//! older.

use std::time::Duration;

use dotterellane_units::{ClockInstant, StoreInstant};

/// Greatest relative drift between the two clocks.
const MAX_DRIFT: f64 = 0.000_5;

/// Resolution of the store's clock, in nanoseconds.
const STORE_RESOLUTION: i128 = 1_000_000;

/// A reading of the store's clock, with the own clock before and after the call.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    asked_at: ClockInstant,
    answered_at: ClockInstant,
    store_time: StoreInstant,
}

impl ClockReading {
    /// Returns the bounds of the own clock minus the store's clock, in nanoseconds, at `span`
    /// before or after the response.
    fn bounds(&self, span: Duration) -> (i128, i128) {
        let store_time = to_nanos(self.store_time);
        let max_drift = max_drift(span);
        let lower = i128::from(self.asked_at.0) - store_time - STORE_RESOLUTION - max_drift;
        (lower, i128::from(self.answered_at.0) - store_time + max_drift)
    }
}

/// Estimate of the offset between the store's clock and this host's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    reference: Option<ClockReading>,
}

impl StoreClock {
    /// Adds a reading: a call that started at `asked_at` returned `store_time` at `answered_at`.
    ///
    /// The reading with the narrowest bounds is kept. Returns `false` if the reading contradicts
    /// the earlier ones, for instance because a clock jumped; then it replaces them.
    pub fn add_reading(
        &mut self,
        asked_at: ClockInstant,
        answered_at: ClockInstant,
        store_time: StoreInstant,
    ) -> bool {
        let reading = ClockReading { asked_at, answered_at, store_time };
        let Some(reference) = self.reference else {
            self.reference = Some(reading);
            return true;
        };
        let (lower, upper) = reading.bounds(Duration::ZERO);
        let (known_lower, known_upper) = reference.bounds(answered_at.since(reference.answered_at));
        let fits = lower <= known_upper && known_lower <= upper;
        if !fits || upper - lower <= known_upper - known_lower {
            self.reference = Some(reading);
        }
        fits
    }

    /// Converts `at` to the store's clock; the result is exact or slightly too early. `None` before
    /// the first reading.
    pub fn to_store(&self, at: ClockInstant) -> Option<StoreInstant> {
        let reference = self.reference?;
        let (_, upper) = reference.bounds(absolute_difference(at, reference.answered_at));
        let store_time = (i128::from(at.0) - upper).div_euclid(STORE_RESOLUTION);
        u64::try_from(store_time).ok().map(StoreInstant)
    }

    /// Converts `at` to this host's clock; the result is exact or slightly too early. `None` before
    /// the first reading, and if the result is later than `now`.
    pub fn to_local(&self, now: ClockInstant, at: StoreInstant) -> Option<ClockInstant> {
        let reference = self.reference?;
        let (lower, _) = reference.bounds(absolute_difference(now, reference.answered_at));
        let own = u64::try_from(to_nanos(at) + lower).ok().map(ClockInstant)?;
        (own <= now).then_some(own)
    }
}

fn to_nanos(at: StoreInstant) -> i128 {
    i128::from(at.0) * STORE_RESOLUTION
}

fn absolute_difference(one: ClockInstant, other: ClockInstant) -> Duration {
    one.since(other).max(other.since(one))
}

fn max_drift(span: Duration) -> i128 {
    i128::try_from(span.mul_f64(MAX_DRIFT).as_nanos()).unwrap_or(i128::MAX / 4)
}
