//! Charges that wait for tokens at one entry.

use std::collections::VecDeque;
use std::time::Duration;

use dotterellane_units::{ClockInstant, RequestId, TokenCount, TokenRate};

/// Charges of one team that may wait at one entry.
pub const MAX_WAITING_CHARGES: usize = 4_096;

/// A charge that waits.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCharge {
    /// Request that is charged for.
    pub request: RequestId,
    /// Tokens that it needs.
    pub tokens: TokenCount,
    /// When the caller must have been answered.
    pub deadline: ClockInstant,
    /// When it was last found that the tokens come in time.
    pub judged: ClockInstant,
    /// When the tokens are expected, by the estimates so far.
    pub expected: Option<ClockInstant>,
}

impl WaitingCharge {
    /// Returns the earlier of what was expected before and `candidate`.
    ///
    /// An estimate is made for the last charge of several, and what others asked for meanwhile
    /// may come between the last and the first; but what was promised once only comes earlier.
    fn expect(&mut self, candidate: ClockInstant, now: ClockInstant) -> ClockInstant {
        let before = self.expected.filter(|expected| *expected >= now);
        let expected = before.map_or(candidate, |expected| expected.min(candidate));
        self.expected = Some(expected);
        expected
    }
}

/// When the tokens of all waiting charges will be there.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate {
    /// Number of the last charge that is included.
    pub last: u64,
    /// Wait of the last one that is included.
    pub wait: Duration,
    /// Rate at which tokens come.
    pub rate: TokenRate,
    /// Largest charge that can be met.
    pub burst: TokenCount,
}

/// Charges of one team, first come first served.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    charges: VecDeque<(u64, WaitingCharge)>,
    pushed: u64,
    total: TokenCount,
}

impl WaitingQueue {
    /// Returns the tokens that all charges need.
    pub fn total(&self) -> TokenCount {
        self.total
    }

    /// Returns the number of the newest charge; later ones have higher numbers.
    pub fn last_number(&self) -> u64 {
        self.pushed
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Returns the number of charges.
    pub fn len(&self) -> usize {
        self.charges.len()
    }

    /// Tells whether no further charge may wait.
    pub fn is_full(&self) -> bool {
        self.charges.len() >= MAX_WAITING_CHARGES
    }

    /// Adds a charge behind the others.
    pub fn push(&mut self, charge: WaitingCharge) {
        self.total += charge.tokens;
        self.pushed += 1;
        self.charges.push_back((self.pushed, charge));
    }

    /// Returns the charge that is served next.
    pub fn front(&self) -> Option<&WaitingCharge> {
        self.charges.front().map(|(_, charge)| charge)
    }

    /// Removes the charge that is served next.
    pub fn pop(&mut self) -> Option<WaitingCharge> {
        let (_, charge) = self.charges.pop_front()?;
        self.total -= charge.tokens;
        Some(charge)
    }

    /// Removes the charge of `request`.
    pub fn withdraw(&mut self, request: RequestId) {
        self.remove_if(|charge| charge.request == request);
    }

    /// Removes and returns the charges that `refused` picks.
    pub fn remove_if<F>(&mut self, mut refused: F) -> Vec<WaitingCharge>
    where
        F: FnMut(&WaitingCharge) -> bool,
    {
        let mut removed = Vec::new();
        self.charges.retain(|(_, charge)| {
            let refuse = refused(charge);
            if refuse {
                removed.push(*charge);
            }
            !refuse
        });
        self.total -= removed.iter().map(|charge| charge.tokens).sum();
        removed
    }

    /// Forgets when tokens were expected, since another ledger decides now.
    pub fn forget_estimates(&mut self) {
        self.charges.iter_mut().for_each(|(_, charge)| charge.expected = None);
    }

    /// Removes the charges whose tokens do not come in time, each with when they would.
    pub fn judge(
        &mut self,
        estimate: &WaitEstimate,
        now: ClockInstant,
    ) -> Vec<(WaitingCharge, Duration)> {
        let counted = self.charges.iter().filter(|(number, _)| *number <= estimate.last);
        let mut behind: TokenCount = counted.map(|(_, charge)| charge.tokens).sum();
        let mut saved = TokenCount(0);
        let mut late = Vec::new();
        self.charges.retain_mut(|(number, charge)| {
            if *number > estimate.last {
                return true;
            }
            behind -= charge.tokens;
            let early = estimate.rate.time_for(behind + saved).unwrap_or_default();
            let wait = estimate.wait.saturating_sub(early);
            let expected = charge.expect(now + wait, now);
            if charge.tokens <= estimate.burst && expected <= charge.deadline {
                charge.judged = now;
                return true;
            }
            saved += charge.tokens;
            late.push((*charge, expected.since(now)));
            false
        });
        self.total -= saved;
        late
    }
}
