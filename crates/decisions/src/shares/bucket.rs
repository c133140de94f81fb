//! A token bucket with exact arithmetic.

use std::time::Duration;

use dotterellane_units::{ClockInstant, TokenCount, TokenRate};

use super::timings::least_elapsed;

/// Trillionths of a token in a token.
const PICO_PER_TOKEN: u128 = 1_000_000_000_000;

/// A number of tokens in trillionths, which is the product of thousandths of a token per second and
/// nanoseconds, so that nothing is rounded.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct TokenAmount(u128);

impl TokenAmount {
    /// Returns the number of whole tokens, rounded down.
    pub fn whole(self) -> TokenCount {
        TokenCount(u64::try_from(self.0 / PICO_PER_TOKEN).unwrap_or(u64::MAX))
    }

    /// Returns the tokens that `rate` yields between two readings of one clock; a lower bound that
    /// holds for every drift of the clock.
    pub fn yielded(rate: TokenRate, from: ClockInstant, to: ClockInstant) -> Self {
        Self(u128::from(rate.milli_tokens()) * least_elapsed(to.0.saturating_sub(from.0)))
    }

    /// Returns the tokens that `rate` yields within `nanos` nanoseconds of true time.
    pub fn at_true_time(rate: TokenRate, nanos: u64) -> Self {
        Self(u128::from(rate.milli_tokens()) * u128::from(nanos))
    }

    /// Returns whether this is not a whole number of tokens.
    pub fn has_fraction(self) -> bool {
        !self.0.is_multiple_of(PICO_PER_TOKEN)
    }

    /// Returns the sum, at most the largest amount.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<TokenCount> for TokenAmount {
    fn from(tokens: TokenCount) -> Self {
        Self(u128::from(tokens.0) * PICO_PER_TOKEN)
    }
}

/// A token bucket whose rate and burst are arguments of each call, since slots come and go.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    balance: TokenAmount,
    updated: ClockInstant,
}

impl TokenBucket {
    /// Creates a bucket with `balance` tokens at `now`.
    pub fn new(balance: TokenCount, now: ClockInstant) -> Self {
        Self { balance: balance.into(), updated: now }
    }

    /// Adds the tokens that `rate` yielded since the last call, capped at `burst`; returns the
    /// whole tokens of the balance.
    pub fn settle(&mut self, rate: TokenRate, burst: TokenCount, now: ClockInstant) -> TokenCount {
        let yielded = TokenAmount::yielded(rate, self.updated, now);
        self.balance = self.balance.plus(yielded).min(burst.into());
        self.updated = self.updated.max(now);
        self.balance.whole()
    }

    /// Does the same as [`Self::settle`], but adds the tokens yielded in at most `longest`.
    pub fn settle_at_most(
        &mut self,
        rate: TokenRate,
        burst: TokenCount,
        now: ClockInstant,
        longest: Duration,
    ) -> TokenCount {
        self.settle(rate, burst, now.min(self.updated + longest));
        self.updated = self.updated.max(now);
        self.balance.whole()
    }

    /// Takes `tokens`, at most as many as [`Self::settle`] returned.
    pub fn take(&mut self, tokens: TokenCount) {
        self.balance = self.balance.minus(tokens.into());
    }

    /// Adds `tokens`, capped at `burst`; returns how many whole tokens were added.
    pub fn add(&mut self, tokens: TokenCount, burst: TokenCount) -> TokenCount {
        let before = self.balance;
        self.balance = before.plus(tokens.into()).min(burst.into());
        self.balance.minus(before).whole()
    }
}
