//! The member's side of a pledge: whom its slots are pledged to, and until when.

use dotterellane_protocol::shares::{LedgerEpoch, LoanRelease, LoanRequest, ShareLoan};
use dotterellane_units::{ClockInstant, HostId, TokenCount};

use super::bucket::TokenBucket;
use super::slots::SharePart;
use super::timings::{ShareTimings, widened};

/// A ledger: a host and the incarnation that holds the role there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerAddress {
    /// Host of the ledger.
    pub host: HostId,
    /// Its epoch.
    pub epoch: LedgerEpoch,
}

#[derive(Clone, Debug)]
enum PledgeState {
    /// The slots are spent here.
    Alone { bucket: TokenBucket, since: ClockInstant },
    /// The slots are pledged.
    Bound { ledger: LedgerAddress, sent: ClockInstant, until: ClockInstant },
}

/// One member's slots of one team.
#[derive(Clone, Debug)]
pub struct MemberPledge {
    timings: ShareTimings,
    part: SharePart,
    /// Tokens of slots that nobody owned before, handed over with the next pledge.
    unpledged: TokenCount,
    state: PledgeState,
}

impl MemberPledge {
    /// Starts alone, without slots.
    pub fn new(timings: ShareTimings, now: ClockInstant) -> Self {
        let bucket = TokenBucket::new(TokenCount(0), now);
        let part = SharePart::default();
        let unpledged = TokenCount(0);
        Self { timings, part, unpledged, state: PledgeState::Alone { bucket, since: now } }
    }

    /// Changes the slots' rate and burst.
    pub fn set_part(&mut self, part: SharePart, now: ClockInstant) {
        if part != self.part {
            self.settle(now);
            self.part = part;
            self.settle(now);
        }
    }

    /// Fills the bucket of slots that nobody has used before.
    pub fn fill(&mut self) {
        match &mut self.state {
            PledgeState::Alone { bucket, .. } => {
                bucket.add(self.part.burst, self.part.burst);
            }
            PledgeState::Bound { .. } => self.unpledged = self.part.burst,
        }
    }

    /// Forgets unspent tokens, since the slots may have moved unnoticed.
    pub fn forget(&mut self, now: ClockInstant) {
        self.unpledged = TokenCount(0);
        if let PledgeState::Alone { bucket, .. } = &mut self.state {
            *bucket = TokenBucket::new(TokenCount(0), now);
        }
    }

    /// Ends a pledge whose time is over and returns the tokens that may be spent here.
    pub fn settle(&mut self, now: ClockInstant) -> TokenCount {
        match &mut self.state {
            PledgeState::Alone { bucket, .. } => {
                // After a longer pause the slots may have had another owner meanwhile.
                bucket.settle_at_most(
                    self.part.rate,
                    self.part.burst,
                    now,
                    self.timings.pledge_term,
                )
            }
            PledgeState::Bound { until, .. } => {
                if *until <= now {
                    self.state = alone(TokenCount(0), now);
                    self.unpledged = TokenCount(0);
                }
                TokenCount(0)
            }
        }
    }

    /// Takes tokens that [`Self::settle`] showed.
    pub fn take(&mut self, tokens: TokenCount) {
        if let PledgeState::Alone { bucket, .. } = &mut self.state {
            bucket.take(tokens);
        }
    }

    /// Adds refunded tokens and returns how many there was room for; `None` while the slots are
    /// pledged, since the ledger must take them.
    pub fn refund(&mut self, tokens: TokenCount) -> Option<TokenCount> {
        match &mut self.state {
            PledgeState::Alone { bucket, .. } => Some(bucket.add(tokens, self.part.burst)),
            PledgeState::Bound { .. } => None,
        }
    }

    /// Answers a request for a pledge, if it comes from the ledger that the member follows.
    ///
    /// A member that is bound to one ledger, or one epoch of it, answers no other.
    pub fn answer(
        &mut self,
        ledger: &LedgerAddress,
        request: LoanRequest,
        now: ClockInstant,
    ) -> Option<ShareLoan> {
        let balance = self.settle(now);
        if let PledgeState::Bound { ledger: bound, sent, .. } = &self.state
            && (bound != ledger || request.sent <= *sent)
        {
            return None;
        }
        let until = now + widened(self.timings.pledge_term);
        self.state = PledgeState::Bound { ledger: ledger.clone(), sent: request.sent, until };
        let SharePart { rate, burst } = self.part;
        let balance = balance + std::mem::take(&mut self.unpledged).min(burst);
        Some(ShareLoan { sent: request.sent, rate, burst, balance })
    }

    /// Ends the pledge if the ledger released the newest one.
    pub fn release(&mut self, ledger: &LedgerAddress, release: LoanRelease, now: ClockInstant) {
        self.settle(now);
        if let PledgeState::Bound { ledger: bound, sent, .. } = &self.state
            && bound == ledger
            && *sent == release.sent
        {
            let level = release.balance + std::mem::take(&mut self.unpledged);
            self.state = alone(level.min(self.part.burst), now);
        }
    }

    /// Returns the ledger that the slots are pledged to.
    pub fn ledger(&self) -> Option<&LedgerAddress> {
        match &self.state {
            PledgeState::Alone { .. } => None,
            PledgeState::Bound { ledger, .. } => Some(ledger),
        }
    }

    /// Returns since when the slots are pledged to nobody.
    pub fn alone_since(&self) -> Option<ClockInstant> {
        match &self.state {
            PledgeState::Alone { since, .. } => Some(*since),
            PledgeState::Bound { .. } => None,
        }
    }

    /// Returns the slots' rate and burst.
    pub fn part(&self) -> SharePart {
        self.part
    }
}

fn alone(level: TokenCount, now: ClockInstant) -> PledgeState {
    PledgeState::Alone { bucket: TokenBucket::new(level, now), since: now }
}
