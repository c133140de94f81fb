//! An entry's side of credit: the tokens that a ledger granted to it and those that it has spent.
//!
//! All counters are totals of one session. A session ends when the entry follows another ledger, or
//! when its credit expires; the ledger then takes credit that was not reported for spent.

use std::time::Duration;

use dotterellane_protocol::shares::{CreditGrant, CreditReport};
use dotterellane_units::{ClockInstant, TokenCount};

use super::loans::LedgerAddress;
use super::timings::ShareTimings;

/// Shortest interval between two reports of one entry to one ledger.
pub const MIN_REPORT_GAP: Duration = Duration::from_millis(20);

/// Interval over which demand is counted before it enters the average.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// Credit of one team at one entry.
#[derive(Clone, Debug)]
pub struct EntryCredit {
    timings: ShareTimings,
    ledger: Option<LedgerAddress>,
    /// Number of the session; grows with each one.
    session: u64,
    granted: TokenCount,
    spent: TokenCount,
    returned: TokenCount,
    refunded: TokenCount,
    /// Refunds that the ledger has confirmed.
    refunds_taken: TokenCount,
    /// Refunds that no report has contained yet.
    unsent_refund: TokenCount,
    /// When the credit expires.
    expires: ClockInstant,
    /// Until when a session without a grant waits for an answer to its first report.
    session_until: ClockInstant,
    /// Time of the newest report of this session.
    reported: Option<ClockInstant>,
    /// Whether the newest report was answered.
    answered: bool,
    /// Averaged demand, in tokens per [`DEMAND_SPAN`].
    demand: TokenCount,
    /// Demand since `demand_since`.
    demand_now: TokenCount,
    demand_since: ClockInstant,
}

impl EntryCredit {
    /// Creates the state of an entry that follows no ledger.
    pub fn new(timings: ShareTimings, now: ClockInstant) -> Self {
        Self {
            timings,
            ledger: None,
            session: 0,
            granted: TokenCount(0),
            spent: TokenCount(0),
            returned: TokenCount(0),
            refunded: TokenCount(0),
            refunds_taken: TokenCount(0),
            unsent_refund: TokenCount(0),
            expires: now,
            session_until: now,
            reported: None,
            answered: true,
            demand: TokenCount(0),
            demand_now: TokenCount(0),
            demand_since: now,
        }
    }

    /// Follows `ledger`, or none; returns whether it followed another one before, whose credit is
    /// dropped then.
    pub fn follow(&mut self, ledger: Option<&LedgerAddress>) -> bool {
        let changed = self.ledger.as_ref() != ledger;
        if changed {
            self.ledger = ledger.cloned();
            self.restart();
        }
        changed
    }

    /// Starts a new session without credit.
    fn restart(&mut self) {
        self.session += 1;
        self.granted = TokenCount(0);
        self.spent = TokenCount(0);
        self.returned = TokenCount(0);
        // The ledger may have applied refunds that were reported, so they are not reported again.
        self.refunded = TokenCount(0);
        self.refunds_taken = TokenCount(0);
        self.reported = None;
        self.answered = true;
    }

    /// Drops expired credit and returns the tokens that may be spent.
    pub fn settle(&mut self, now: ClockInstant) -> TokenCount {
        if now >= self.expires.max(self.session_until) && self.reported.is_some() {
            self.restart();
        }
        if now >= self.expires {
            return TokenCount(0);
        }
        self.granted - self.spent - self.returned
    }

    /// Spends tokens, at most as many as [`Self::settle`] returned.
    pub fn spend(&mut self, tokens: TokenCount) {
        self.spent += tokens;
    }

    /// Counts tokens of a charge towards the entry's demand.
    pub fn note_demand(&mut self, tokens: TokenCount) {
        self.demand_now += tokens;
    }

    /// Updates the average of the demand, at most once per second.
    pub fn advance_demand(&mut self, now: ClockInstant) {
        if now.since(self.demand_since) >= DEMAND_SPAN {
            self.demand = TokenCount((self.demand.0 + self.demand_now.0) / 2);
            self.demand_now = TokenCount(0);
            self.demand_since = now;
        }
    }

    /// Adds a refund to the next report.
    pub fn refund(&mut self, tokens: TokenCount) {
        self.unsent_refund += tokens;
    }

    /// Removes and returns the refunds that no report has contained yet.
    pub fn take_refund(&mut self) -> TokenCount {
        std::mem::take(&mut self.unsent_refund)
    }

    /// Returns all credit beyond `kept` to the ledger, with the next report.
    pub fn give_back(&mut self, kept: TokenCount, now: ClockInstant) {
        let credit = self.settle(now);
        self.returned += credit - kept;
    }

    /// Returns whether a report is due while waiting charges need `need` tokens beyond the credit.
    ///
    /// With `urgent` it is due as soon as [`MIN_REPORT_GAP`] allows.
    pub fn report_due(&self, need: TokenCount, urgent: bool, now: ClockInstant) -> bool {
        let Some(reported) = self.reported else {
            return urgent || need > TokenCount(0) || self.unsent_refund > TokenCount(0);
        };
        let gap = now.since(reported);
        if gap < MIN_REPORT_GAP {
            return false;
        }
        let credit = self.granted - self.spent - self.returned;
        let low = credit < self.spare() && credit.0 * 2 < self.spare().0;
        let slow = gap >= self.timings.report_period;
        let half = self.timings.credit_term / 2;
        let ending = credit > TokenCount(0) && self.expires.since(now) < half;
        let owed = self.unsent_refund > TokenCount(0) || self.refunded > self.refunds_taken;
        urgent || (slow && (need > TokenCount(0) || owed || ending || (low && self.answered)))
    }

    /// Returns the next report; without demand or need all credit is returned with it.
    pub fn report(&mut self, need: TokenCount, now: ClockInstant) -> CreditReport {
        if self.spare() == TokenCount(0) && need == TokenCount(0) {
            self.give_back(TokenCount(0), now);
        }
        let sent = self.reported.map_or(now, |last| now.max(ClockInstant(last.0 + 1)));
        if self.reported.is_none() {
            self.session_until = sent + self.timings.credit_term;
        }
        self.reported = Some(sent);
        self.answered = false;
        self.refunded += std::mem::take(&mut self.unsent_refund);
        let credit = self.granted - self.spent - self.returned;
        CreditReport {
            session: self.session,
            sent,
            granted: self.granted,
            spent: self.spent,
            returned: self.returned,
            refunded: self.refunded,
            need,
            spare: self.spare() - credit,
        }
    }

    /// Returns the credit that the entry would like to hold for charges to come.
    fn spare(&self) -> TokenCount {
        self.demand
    }

    /// Applies a grant; returns `false` for one of another ledger or session and for an expired
    /// one.
    pub fn accept(
        &mut self,
        ledger: &LedgerAddress,
        grant: &CreditGrant,
        now: ClockInstant,
    ) -> bool {
        self.settle(now);
        if self.ledger.as_ref() != Some(ledger) || grant.session != self.session {
            return false;
        }
        let expires = grant.sent + self.timings.credit_term;
        if grant.extends {
            self.expires = self.expires.max(expires);
        }
        if now >= self.expires {
            return false;
        }
        self.granted = self.granted.max(grant.granted);
        self.refunds_taken = self.refunds_taken.max(grant.refunded);
        self.answered |= self.reported == Some(grant.sent);
        true
    }
}
