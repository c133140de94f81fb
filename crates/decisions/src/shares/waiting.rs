//! Queue of charges that wait for tokens at one entry.

use std::collections::VecDeque;
use std::time::Duration;

use dotterellane_units::{ClockInstant, RequestId, TokenCount, TokenRate};

/// Largest number of charges of one team that wait at one entry.
pub const MAX_WAITING_CHARGES: usize = 4_096;

/// A charge that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCharge {
    /// Request that is charged for.
    pub request: RequestId,
    /// Tokens that the charge takes.
    pub tokens: TokenCount,
    /// Time by which the charge must be admitted.
    pub deadline: ClockInstant,
    /// When an estimate last showed that the tokens come before the deadline, or when the charge
    /// was queued.
    pub confirmed: ClockInstant,
    /// When the tokens are expected; `None` before the first estimate of the current ledger.
    pub expected: Option<ClockInstant>,
}

impl WaitingCharge {
    /// Sets the expected time to `candidate`, unless an earlier time was expected; returns it.
    ///
    /// An estimate is made for the last of several charges. The times derived from it for earlier
    /// charges may be too late, if claims of other entries came in between; an expected time is
    /// therefore never moved to a later one.
    fn expect(&mut self, candidate: ClockInstant, now: ClockInstant) -> ClockInstant {
        let before = self.expected.filter(|expected| *expected >= now);
        let expected = before.map_or(candidate, |expected| expected.min(candidate));
        self.expected = Some(expected);
        expected
    }
}

/// Estimate of when the tokens of waiting charges will be available.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate {
    /// Number of the last charge that the estimate includes.
    pub last: u64,
    /// Time from now until the tokens of that charge are available.
    pub wait: Duration,
    /// Rate at which tokens become available.
    pub rate: TokenRate,
    /// Largest charge that can be admitted at all.
    pub burst: TokenCount,
}

/// Waiting charges of one team, in order of arrival; they are numbered from 1.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    /// Charges with their numbers.
    charges: VecDeque<(u64, WaitingCharge)>,
    /// Number of the newest charge.
    last_number: u64,
    /// Sum of the tokens of `charges`.
    total: TokenCount,
}

impl WaitingQueue {
    /// Returns the sum of the tokens of all waiting charges.
    pub fn total(&self) -> TokenCount {
        self.total
    }

    /// Returns the number of the newest charge; 0 before the first one.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns whether no charge waits.
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Returns how many charges wait.
    pub fn len(&self) -> usize {
        self.charges.len()
    }

    /// Returns whether [`MAX_WAITING_CHARGES`] charges wait.
    pub fn is_full(&self) -> bool {
        self.charges.len() >= MAX_WAITING_CHARGES
    }

    /// Appends a charge.
    pub fn push(&mut self, charge: WaitingCharge) {
        self.total += charge.tokens;
        self.last_number += 1;
        self.charges.push_back((self.last_number, charge));
    }

    /// Returns the oldest charge, which is served next.
    pub fn front(&self) -> Option<&WaitingCharge> {
        self.charges.front().map(|(_, charge)| charge)
    }

    /// Removes and returns the oldest charge.
    pub fn pop(&mut self) -> Option<WaitingCharge> {
        let (_, charge) = self.charges.pop_front()?;
        self.total -= charge.tokens;
        Some(charge)
    }

    /// Removes the charge of `request`, if it still waits.
    pub fn withdraw(&mut self, request: RequestId) {
        self.remove_if(|charge| charge.request == request);
    }

    /// Removes and returns the charges for which `refused` holds.
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

    /// Clears the expected times, since another ledger grants the tokens now.
    pub fn forget_estimates(&mut self) {
        self.charges.iter_mut().for_each(|(_, charge)| charge.expected = None);
    }

    /// Removes the charges whose tokens don't come before their deadline; returns each with the
    /// time until its tokens would be available.
    pub fn remove_late(
        &mut self,
        estimate: &WaitEstimate,
        now: ClockInstant,
    ) -> Vec<(WaitingCharge, Duration)> {
        let counted = self.charges.iter().filter(|(number, _)| *number <= estimate.last);
        let mut behind: TokenCount = counted.map(|(_, charge)| charge.tokens).sum();
        let mut removed = TokenCount(0);
        let mut late = Vec::new();
        self.charges.retain_mut(|(number, charge)| {
            if *number > estimate.last {
                return true;
            }
            behind -= charge.tokens;
            let before = estimate.rate.time_for(behind + removed).unwrap_or_default();
            let wait = estimate.wait.saturating_sub(before);
            let expected = charge.expect(now + wait, now);
            if charge.tokens <= estimate.burst && expected <= charge.deadline {
                charge.confirmed = now;
                return true;
            }
            removed += charge.tokens;
            late.push((*charge, expected.since(now)));
            false
        });
        self.total -= removed;
        late
    }
}
