//! Checks the admissions of all hosts against rate x window + burst, for all windows at once.

use std::time::Duration;

use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, TokenCount, TokenRate};

use super::bucket::{TokenAmount, TokenBucket};

/// Measures by how much the admissions of one team exceed its rate in any window.
///
/// Keeps the largest excess of all windows that end now, by D. V. Lindley's recursion. A refund
/// counts as a negative admission at the time at which it is given.
#[derive(Clone, Debug)]
pub struct AdmissionMeter {
    rate: TokenRate,
    burst: TokenCount,
    /// Largest excess over the rate of all windows that end at `updated`.
    excess: TokenAmount,
    updated: u64,
    peak: TokenCount,
    overshoot: TokenCount,
    /// New rate and burst, and from when only they apply.
    changes: Option<(u64, TeamEntry)>,
}

impl AdmissionMeter {
    /// Creates a meter without admissions; all times are true time in nanoseconds.
    pub fn new(rates: &TeamEntry, now: u64) -> Self {
        Self {
            rate: rates.rate,
            burst: rates.burst,
            excess: TokenAmount::default(),
            updated: now,
            peak: TokenCount(0),
            overshoot: TokenCount(0),
            changes: None,
        }
    }

    /// Changes rate and burst. Until `settled` the larger of the old and new ones apply; then the
    /// new ones apply to windows that begin after `settled`.
    pub fn set_rates(&mut self, rates: &TeamEntry, now: u64, settled: u64) {
        self.settle(now);
        self.rate = self.rate.max(rates.rate);
        self.burst = self.burst.max(rates.burst);
        self.changes = Some((settled, rates.clone()));
    }

    /// Counts an admission of `tokens`.
    pub fn admit(&mut self, tokens: TokenCount, now: u64) {
        self.settle(now);
        self.excess = self.excess.plus(tokens.into());
        self.peak = self.peak.max(self.excess.whole());
        let beyond = self.excess.minus(self.burst.into());
        // Round up: a fraction of a token is an overshoot too.
        let whole = beyond.whole() + TokenCount(u64::from(beyond.has_fraction()));
        self.overshoot = self.overshoot.max(whole);
    }

    /// Counts a refund of `tokens`.
    pub fn refund(&mut self, tokens: TokenCount, now: u64) {
        self.settle(now);
        self.excess = self.excess.minus(tokens.into());
    }

    fn settle(&mut self, now: u64) {
        if let Some((settled, rates)) = self.changes.take_if(|(settled, _)| *settled <= now) {
            (self.rate, self.burst) = (rates.rate, rates.burst);
            self.excess = TokenAmount::default();
            self.updated = settled;
        }
        let yielded = TokenAmount::at_true_time(self.rate, now - self.updated);
        self.excess = self.excess.minus(yielded);
        self.updated = now;
    }

    /// Returns the rate and burst that apply now.
    pub fn limits(&mut self, now: u64) -> TeamEntry {
        self.settle(now);
        TeamEntry { rate: self.rate, burst: self.burst }
    }

    /// Returns the largest excess over the rate so far; at most the burst if the limit was kept.
    pub fn peak(&self) -> TokenCount {
        self.peak
    }

    /// Returns the largest number of tokens admitted beyond rate x window + burst so far.
    pub fn overshoot(&self) -> TokenCount {
        self.overshoot
    }
}

/// Counts of what happened to the requests of one team.
#[derive(Clone, Debug, Default)]
pub struct TeamTally {
    /// Bucket that decides whether a request is within the rate.
    reference: TokenBucket,
    rates: Option<TeamEntry>,
    /// Requests sent.
    pub sent: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Tokens admitted.
    pub tokens: u64,
    /// Requests refused although they were within the rate.
    pub refused_in_rate: u64,
    /// Requests refused that were over the rate.
    pub refused_over_rate: u64,
    /// Requests that are waiting now.
    pub waiting: usize,
    /// Longest time from sending a request to its admission.
    pub longest_wait: Duration,
    /// Longest time from sending a request to its refusal.
    pub longest_refusal: Duration,
    /// Times from sending to admission, of all admitted requests.
    pub waits: Vec<Duration>,
    /// [`AdmissionMeter::peak`] of the team, in tokens.
    pub peak: TokenCount,
    /// [`AdmissionMeter::overshoot`] of the team, in tokens.
    pub overshoot: TokenCount,
}

impl TeamTally {
    /// Creates a tally with a full reference bucket.
    pub fn new(rates: &TeamEntry, now: u64) -> Self {
        let reference = TokenBucket::new(rates.burst, ClockInstant(now));
        Self { reference, rates: Some(rates.clone()), ..Self::default() }
    }

    /// Changes rate and burst of the reference bucket.
    pub fn set_rates(&mut self, rates: &TeamEntry, now: u64) {
        if let Some(old) = self.rates.replace(rates.clone()) {
            self.reference.settle(old.rate, old.burst, ClockInstant(now));
        }
    }

    /// Counts a request; returns whether it is within the rate. With `shaped`, requests over the
    /// rate are not counted.
    pub fn note_sent(&mut self, tokens: TokenCount, now: u64, shaped: bool) -> bool {
        let Some(rates) = &self.rates else { return false };
        let balance = self.reference.settle(rates.rate, rates.burst, ClockInstant(now));
        let in_rate = tokens <= balance;
        if in_rate {
            self.reference.take(tokens);
        }
        self.sent += u64::from(in_rate || !shaped);
        in_rate
    }

    /// Returns refunded tokens to the reference bucket.
    pub fn note_refund(&mut self, tokens: TokenCount, now: u64) {
        if let Some(rates) = &self.rates {
            self.reference.settle(rates.rate, rates.burst, ClockInstant(now));
            self.reference.add(tokens, rates.burst);
        }
    }

    /// Counts an admission after a wait of `waited`.
    pub fn note_admitted(&mut self, tokens: TokenCount, waited: Duration) {
        self.admitted += 1;
        self.tokens += tokens.0;
        self.longest_wait = self.longest_wait.max(waited);
        self.waits.push(waited);
    }

    /// Counts a refusal after a wait of `waited`.
    pub fn note_refused(&mut self, in_rate: bool, waited: Duration) {
        self.refused_in_rate += u64::from(in_rate);
        self.refused_over_rate += u64::from(!in_rate);
        self.longest_refusal = self.longest_refusal.max(waited);
    }
}
