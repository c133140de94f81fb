//! The entry's side of credit: what a ledger granted and what of it is spent.

use std::time::Duration;

use dotterellane_protocol::shares::{CreditGrant, CreditReport};
use dotterellane_units::{ClockInstant, TokenCount};

use super::loans::LedgerAddress;
use super::timings::ShareTimings;

/// Shortest time between two reports of one entry to one ledger.
pub const MIN_REPORT_GAP: Duration = Duration::from_millis(20);

/// Span over which an entry's demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// Credit of one team at one entry.
#[derive(Clone, Debug)]
pub struct EntryCredit {
    timings: ShareTimings,
    ledger: Option<LedgerAddress>,
    session: u64,
    granted: TokenCount,
    spent: TokenCount,
    returned: TokenCount,
    refunded: TokenCount,
    refunds_taken: TokenCount,
    unsent_refund: TokenCount,
    expires: ClockInstant,
    alive_until: ClockInstant,
    reported: Option<ClockInstant>,
    answered: bool,
    demand: TokenCount,
    demand_now: TokenCount,
    demand_since: ClockInstant,
}

impl EntryCredit {
    /// Starts without a ledger.
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
            alive_until: now,
            reported: None,
            answered: true,
            demand: TokenCount(0),
            demand_now: TokenCount(0),
            demand_since: now,
        }
    }

    /// Follows `ledger`; credit of another one is dropped. Tells whether it was another one.
    pub fn follow(&mut self, ledger: Option<&LedgerAddress>) -> bool {
        let other = self.ledger.as_ref() != ledger;
        if other {
            self.ledger = ledger.cloned();
            self.restart();
        }
        other
    }

    fn restart(&mut self) {
        self.session += 1;
        self.granted = TokenCount(0);
        self.spent = TokenCount(0);
        self.returned = TokenCount(0);
        // Refunds that were reported may have been taken: they are not reported anew.
        self.refunded = TokenCount(0);
        self.refunds_taken = TokenCount(0);
        self.reported = None;
        self.answered = true;
    }

    /// Drops credit whose time is over and returns what may be spent.
    pub fn settle(&mut self, now: ClockInstant) -> TokenCount {
        if now >= self.expires.max(self.alive_until) && self.reported.is_some() {
            self.restart();
        }
        if now >= self.expires {
            return TokenCount(0);
        }
        self.granted - self.spent - self.returned
    }

    /// Spends tokens that [`Self::settle`] showed.
    pub fn spend(&mut self, tokens: TokenCount) {
        self.spent += tokens;
    }

    /// Counts the tokens that callers ask for.
    pub fn note_demand(&mut self, tokens: TokenCount) {
        self.demand_now += tokens;
    }

    /// Averages the demand.
    pub fn advance_demand(&mut self, now: ClockInstant) {
        if now.since(self.demand_since) >= DEMAND_SPAN {
            self.demand = TokenCount((self.demand.0 + self.demand_now.0) / 2);
            self.demand_now = TokenCount(0);
            self.demand_since = now;
        }
    }

    /// Keeps a refund for the next report.
    pub fn refund(&mut self, tokens: TokenCount) {
        self.unsent_refund += tokens;
    }

    /// Returns refunds that no report has carried, and forgets them.
    pub fn take_refund(&mut self) -> TokenCount {
        std::mem::take(&mut self.unsent_refund)
    }

    /// Gives back all credit beyond `kept`.
    pub fn give_back(&mut self, kept: TokenCount, now: ClockInstant) {
        let credit = self.settle(now);
        self.returned += credit - kept;
    }

    /// Tells whether a report is due while waiting charges need `need` tokens.
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

    /// Makes the next report.
    pub fn report(&mut self, need: TokenCount, now: ClockInstant) -> CreditReport {
        if self.spare() == TokenCount(0) && need == TokenCount(0) {
            self.give_back(TokenCount(0), now);
        }
        let sent = self.reported.map_or(now, |last| now.max(ClockInstant(last.0 + 1)));
        if self.reported.is_none() {
            self.alive_until = sent + self.timings.credit_term;
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

    fn spare(&self) -> TokenCount {
        self.demand
    }

    /// Takes a grant; tells whether it belongs to this session and is still in time.
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
