//! Checks a merged record of admissions against rate x window + burst, over every window at once.

use std::time::Duration;

use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, TokenCount, TokenRate};

use super::bucket::{TokenAmount, TokenBucket};

/// The largest excess of any window that ends now, after D. V. Lindley's recursion.
///
/// Refunds count as negative admissions at the moment at which they are given.
#[derive(Clone, Debug)]
pub struct AdmissionMeter {
    rate: TokenRate,
    burst: TokenCount,
    excess: TokenAmount,
    updated: u64,
    peak: TokenCount,
    overshoot: TokenCount,
    changes: Option<(u64, TeamEntry)>,
}

impl AdmissionMeter {
    /// Starts without admissions.
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

    /// Changes rate and burst: until `settled` the larger ones bound every window, then the new
    /// ones bound every window that begins later.
    pub fn set_rates(&mut self, rates: &TeamEntry, now: u64, settled: u64) {
        self.settle(now);
        self.rate = self.rate.max(rates.rate);
        self.burst = self.burst.max(rates.burst);
        self.changes = Some((settled, rates.clone()));
    }

    /// Counts an admission.
    pub fn admit(&mut self, tokens: TokenCount, now: u64) {
        self.settle(now);
        self.excess = self.excess.plus(tokens.into());
        self.peak = self.peak.max(self.excess.whole());
        let beyond = self.excess.minus(self.burst.into());
        // A part of a token counts as a whole one.
        let whole = beyond.whole() + TokenCount(u64::from(beyond.has_fraction()));
        self.overshoot = self.overshoot.max(whole);
    }

    /// Counts a refund.
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

    /// Returns rate and burst that bind now.
    pub fn limits(&mut self, now: u64) -> TeamEntry {
        self.settle(now);
        TeamEntry { rate: self.rate, burst: self.burst }
    }

    /// Returns the largest excess so far.
    pub fn peak(&self) -> TokenCount {
        self.peak
    }

    /// Returns by how much the burst was exceeded at most.
    pub fn overshoot(&self) -> TokenCount {
        self.overshoot
    }
}

/// What became of the requests of one team.
#[derive(Clone, Debug, Default)]
pub struct TeamTally {
    reference: TokenBucket,
    rates: Option<TeamEntry>,
    /// Requests sent.
    pub sent: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Tokens admitted.
    pub tokens: u64,
    /// Requests refused though they were inside the rate.
    pub refused_in_rate: u64,
    /// Other requests refused.
    pub refused_over_rate: u64,
    /// Requests that wait now.
    pub waiting: usize,
    /// Longest time to an admission.
    pub longest_wait: Duration,
    /// Longest time to a refusal.
    pub longest_refusal: Duration,
    /// All times to admissions.
    pub waits: Vec<Duration>,
    /// Largest excess of any window, tokens.
    pub peak: TokenCount,
    /// Tokens beyond rate x window + burst, at most.
    pub overshoot: TokenCount,
}

impl TeamTally {
    /// Starts with a full reference bucket.
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

    /// Counts a request; tells whether it is inside the rate. With `shaped`, requests that are
    /// not are not counted.
    pub fn note_sent(&mut self, tokens: TokenCount, now: u64, shaped: bool) -> bool {
        let Some(rates) = &self.rates else { return false };
        let level = self.reference.settle(rates.rate, rates.burst, ClockInstant(now));
        let in_rate = tokens <= level;
        if in_rate {
            self.reference.take(tokens);
        }
        self.sent += u64::from(in_rate || !shaped);
        in_rate
    }

    /// Counts a refund.
    pub fn note_refund(&mut self, tokens: TokenCount, now: u64) {
        if let Some(rates) = &self.rates {
            self.reference.settle(rates.rate, rates.burst, ClockInstant(now));
            self.reference.add(tokens, rates.burst);
        }
    }

    /// Counts an admission.
    pub fn note_admitted(&mut self, tokens: TokenCount, waited: Duration) {
        self.admitted += 1;
        self.tokens += tokens.0;
        self.longest_wait = self.longest_wait.max(waited);
        self.waits.push(waited);
    }

    /// Counts a refusal.
    pub fn note_refused(&mut self, in_rate: bool, waited: Duration) {
        self.refused_in_rate += u64::from(in_rate);
        self.refused_over_rate += u64::from(!in_rate);
        self.longest_refusal = self.longest_refusal.max(waited);
    }
}
