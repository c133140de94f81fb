//! A token bucket, and its exact arithmetic.

use std::time::Duration;

use dotterellane_units::{ClockInstant, TokenCount, TokenRate};

use super::timings::narrowed;

const PICO_PER_TOKEN: u128 = 1_000_000_000_000;

/// Tokens in trillionths: thousandths of a token a second times nanoseconds, without rounding.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct TokenLevel(u128);

impl TokenLevel {
    /// Returns the whole tokens, rounded down.
    pub fn whole(self) -> TokenCount {
        TokenCount(u64::try_from(self.0 / PICO_PER_TOKEN).unwrap_or(u64::MAX))
    }

    /// Returns what `rate` yields between two readings of one clock, whatever its drift.
    pub fn yielded(rate: TokenRate, from: ClockInstant, to: ClockInstant) -> Self {
        Self(u128::from(rate.milli_tokens()) * narrowed(to.0.saturating_sub(from.0)))
    }

    /// Returns what `rate` yields within `nanos` nanoseconds of true time.
    pub fn at_true_time(rate: TokenRate, nanos: u64) -> Self {
        Self(u128::from(rate.milli_tokens()) * u128::from(nanos))
    }

    /// Tells whether there is a part of a token beyond the whole ones.
    pub fn has_fraction(self) -> bool {
        !self.0.is_multiple_of(PICO_PER_TOKEN)
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns what is left after `other`, at least nothing.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<TokenCount> for TokenLevel {
    fn from(tokens: TokenCount) -> Self {
        Self(u128::from(tokens.0) * PICO_PER_TOKEN)
    }
}

/// A bucket whose rate and burst are given with each call, since slots come and go.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    level: TokenLevel,
    updated: ClockInstant,
}

impl TokenBucket {
    /// Starts with `level` tokens at `now`.
    pub fn new(level: TokenCount, now: ClockInstant) -> Self {
        Self { level: level.into(), updated: now }
    }

    /// Adds what `rate` yielded since the last call, capped at `burst`, and returns whole tokens.
    pub fn settle(&mut self, rate: TokenRate, burst: TokenCount, now: ClockInstant) -> TokenCount {
        let yielded = TokenLevel::yielded(rate, self.updated, now);
        self.level = self.level.plus(yielded).min(burst.into());
        self.updated = self.updated.max(now);
        self.level.whole()
    }

    /// Settles as [`Self::settle`] does, but adds the yield of at most `longest`.
    pub fn settle_at_most(
        &mut self,
        rate: TokenRate,
        burst: TokenCount,
        now: ClockInstant,
        longest: Duration,
    ) -> TokenCount {
        self.settle(rate, burst, now.min(self.updated + longest));
        self.updated = self.updated.max(now);
        self.level.whole()
    }

    /// Takes `tokens`, which must be there.
    pub fn take(&mut self, tokens: TokenCount) {
        self.level = self.level.minus(tokens.into());
    }

    /// Adds `tokens`, capped at `burst`; returns how many whole ones there was room for.
    pub fn add(&mut self, tokens: TokenCount, burst: TokenCount) -> TokenCount {
        let before = self.level;
        self.level = before.plus(tokens.into()).min(burst.into());
        self.level.minus(before).whole()
    }
}
