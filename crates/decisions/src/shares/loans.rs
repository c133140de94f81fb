//! A member's side of a loan: the ledger that its slots are lent to, and until when.
//!
//! The ledger renews a loan by further requests. A member whose loan ended, or that has no ledger,
//! spends the tokens of its slots itself.

use dotterellane_protocol::shares::{LedgerEpoch, LoanRelease, LoanRequest, ShareLoan};
use dotterellane_units::{ClockInstant, HostId, TokenCount};

use super::bucket::TokenBucket;
use super::slots::SharePart;
use super::timings::{ShareTimings, drift_padded};

/// One ledger of a team; a host that starts anew is another ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerAddress {
    /// Host that has the role of the ledger.
    pub host: HostId,
    /// Epoch of the ledger, which distinguishes successive ledgers on one host.
    pub epoch: LedgerEpoch,
}

#[derive(Clone, Debug)]
enum LoanState {
    /// The slots are not lent; their tokens are spent here.
    Local { bucket: TokenBucket, since: ClockInstant },
    /// The slots are lent to `ledger` until `until`; `sent` names its newest request.
    Lent { ledger: LedgerAddress, sent: ClockInstant, until: ClockInstant },
}

/// One member's slots for one team, and their loan.
#[derive(Clone, Debug)]
pub struct MemberLoan {
    timings: ShareTimings,
    part: SharePart,
    /// Tokens of slots that no member owned before; handed over with the next loan.
    unlent: TokenCount,
    state: LoanState,
}

impl MemberLoan {
    /// Creates the state of a member without slots and without a loan.
    pub fn new(timings: ShareTimings, now: ClockInstant) -> Self {
        let bucket = TokenBucket::new(TokenCount(0), now);
        let part = SharePart::default();
        let unlent = TokenCount(0);
        Self { timings, part, unlent, state: LoanState::Local { bucket, since: now } }
    }

    /// Sets the rate and burst of the member's usable slots.
    pub fn set_part(&mut self, part: SharePart, now: ClockInstant) {
        if part != self.part {
            self.settle(now);
            self.part = part;
            self.settle(now);
        }
    }

    /// Fills the bucket up to the burst; for slots that no member has used before.
    pub fn fill(&mut self) {
        match &mut self.state {
            LoanState::Local { bucket, .. } => {
                bucket.add(self.part.burst, self.part.burst);
            }
            LoanState::Lent { .. } => self.unlent = self.part.burst,
        }
    }

    /// Drops unspent tokens, since the slots may have moved to another owner without notice.
    pub fn forget(&mut self, now: ClockInstant) {
        self.unlent = TokenCount(0);
        if let LoanState::Local { bucket, .. } = &mut self.state {
            *bucket = TokenBucket::new(TokenCount(0), now);
        }
    }

    /// Ends a loan whose term is over and returns the tokens that may be spent here.
    pub fn settle(&mut self, now: ClockInstant) -> TokenCount {
        match &mut self.state {
            LoanState::Local { bucket, .. } => {
                // After a longer pause of this host the slots may have had another owner meanwhile.
                bucket.settle_at_most(self.part.rate, self.part.burst, now, self.timings.loan_term)
            }
            LoanState::Lent { until, .. } => {
                if *until <= now {
                    self.state = local_state(TokenCount(0), now);
                    self.unlent = TokenCount(0);
                }
                TokenCount(0)
            }
        }
    }

    /// Spends tokens, at most as many as [`Self::settle`] returned.
    pub fn take(&mut self, tokens: TokenCount) {
        if let LoanState::Local { bucket, .. } = &mut self.state {
            bucket.take(tokens);
        }
    }

    /// Adds refunded tokens up to the burst and returns how many were added; `None` while the slots
    /// are lent, since the refund must go to the ledger.
    pub fn refund(&mut self, tokens: TokenCount) -> Option<TokenCount> {
        match &mut self.state {
            LoanState::Local { bucket, .. } => Some(bucket.add(tokens, self.part.burst)),
            LoanState::Lent { .. } => None,
        }
    }

    /// Lends the slots to `ledger`, or renews their loan, and returns the answer to its request.
    ///
    /// Returns `None` while the slots are lent to another ledger or to another epoch of it, and for
    /// a request that is not newer than the last one answered.
    pub fn answer(
        &mut self,
        ledger: &LedgerAddress,
        request: LoanRequest,
        now: ClockInstant,
    ) -> Option<ShareLoan> {
        let balance = self.settle(now);
        if let LoanState::Lent { ledger: borrower, sent, .. } = &self.state
            && (borrower != ledger || request.sent <= *sent)
        {
            return None;
        }
        let until = now + drift_padded(self.timings.loan_term);
        self.state = LoanState::Lent { ledger: ledger.clone(), sent: request.sent, until };
        let SharePart { rate, burst } = self.part;
        let balance = balance + std::mem::take(&mut self.unlent).min(burst);
        Some(ShareLoan { sent: request.sent, rate, burst, balance })
    }

    /// Ends the loan if `ledger` released the newest one; takes over the tokens that it hands back.
    pub fn release(&mut self, ledger: &LedgerAddress, release: LoanRelease, now: ClockInstant) {
        self.settle(now);
        if let LoanState::Lent { ledger: borrower, sent, .. } = &self.state
            && borrower == ledger
            && *sent == release.sent
        {
            let balance = release.balance + std::mem::take(&mut self.unlent);
            self.state = local_state(balance.min(self.part.burst), now);
        }
    }

    /// Returns the ledger that the slots are lent to; `None` if they are not lent.
    pub fn ledger(&self) -> Option<&LedgerAddress> {
        match &self.state {
            LoanState::Local { .. } => None,
            LoanState::Lent { ledger, .. } => Some(ledger),
        }
    }

    /// Returns since when the slots are not lent; `None` while the slots are lent.
    pub fn local_since(&self) -> Option<ClockInstant> {
        match &self.state {
            LoanState::Local { since, .. } => Some(*since),
            LoanState::Lent { .. } => None,
        }
    }

    /// Returns the rate and burst of the member's usable slots.
    pub fn part(&self) -> SharePart {
        self.part
    }
}

fn local_state(balance: TokenCount, now: ClockInstant) -> LoanState {
    LoanState::Local { bucket: TokenBucket::new(balance, now), since: now }
}
