//! The store's steady clock in terms of this host's own.
//!
//! Each answer of the store shows its clock, so a host knows within the time of the call how the two
//! clocks lie to each other. A host that looked at the store can then tell another, in one message
//! without an answer, how old what it saw is: however long the message or its reader were held up, the
//! reader's own clock tells. All results err on the side of older.

use std::time::Duration;

use dotterellane_units::{ClockInstant, StoreInstant};

/// Part by which the two clocks may run apart.
const DRIFT: f64 = 0.000_5;

/// Nanoseconds in one step of the store's clock.
const STORE_STEP: i128 = 1_000_000;

/// One answer that showed the store's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    asked: ClockInstant,
    answered: ClockInstant,
    shown: StoreInstant,
}

impl ClockReading {
    /// Bounds of the own clock less the store's, in nanoseconds, `span` after the answer.
    fn bounds(&self, span: Duration) -> (i128, i128) {
        let shown = nanos(self.shown);
        let drift = drift(span);
        let earliest = i128::from(self.asked.0) - shown - STORE_STEP - drift;
        (earliest, i128::from(self.answered.0) - shown + drift)
    }
}

/// How the store's clock lies to this host's.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    best: Option<ClockReading>,
}

impl StoreClock {
    /// Takes in a reading: the call began at `asked`, and its answer, which came at `answered`, showed
    /// `shown`. Tells whether the reading fits those before.
    pub fn add_reading(
        &mut self,
        asked: ClockInstant,
        answered: ClockInstant,
        shown: StoreInstant,
    ) -> bool {
        let reading = ClockReading { asked, answered, shown };
        let Some(best) = self.best else {
            self.best = Some(reading);
            return true;
        };
        let (earliest, latest) = reading.bounds(Duration::ZERO);
        let (known_earliest, known_latest) = best.bounds(answered.since(best.answered));
        let fits = earliest <= known_latest && known_earliest <= latest;
        if !fits || latest - earliest <= known_latest - known_earliest {
            self.best = Some(reading);
        }
        fits
    }

    /// Returns what the store's clock showed at `at`, or a little less; `None` before any reading.
    pub fn to_store(&self, at: ClockInstant) -> Option<StoreInstant> {
        let best = self.best?;
        let (_, latest) = best.bounds(distance(at, best.answered));
        let shown = (i128::from(at.0) - latest).div_euclid(STORE_STEP);
        u64::try_from(shown).ok().map(StoreInstant)
    }

    /// Returns when the store's clock came to show `at`, or a little earlier; `None` before any reading,
    /// and if that is not yet so.
    pub fn to_local(&self, now: ClockInstant, at: StoreInstant) -> Option<ClockInstant> {
        let best = self.best?;
        let (earliest, _) = best.bounds(distance(now, best.answered));
        let own = u64::try_from(nanos(at) + earliest).ok().map(ClockInstant)?;
        (own <= now).then_some(own)
    }
}

fn nanos(at: StoreInstant) -> i128 {
    i128::from(at.0) * STORE_STEP
}

fn distance(one: ClockInstant, other: ClockInstant) -> Duration {
    one.since(other).max(other.since(one))
}

fn drift(span: Duration) -> i128 {
    i128::try_from(span.mul_f64(DRIFT).as_nanos()).unwrap_or(i128::MAX / 4)
}
