//! The two simplest policies that enforce a team's rate, as baselines for the ledgers.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, RequestId, TeamId, TokenCount, TokenRate};

use super::ShareAction;
use super::bucket::TokenBucket;
use super::machine::ShareRefusal;
use super::waiting::{WaitEstimate, WaitingCharge, WaitingQueue};

/// Table round trips per charge of a central bucket: a read and a conditional write.
const CENTRAL_ROUND_TRIPS: u64 = 2;

/// A request, its tokens, and its deadline in nanoseconds of true time.
pub type BaselineCharge = (RequestId, TokenCount, u64);

#[derive(Clone, Debug, Default)]
struct QueuedBucket {
    rate: TokenRate,
    burst: TokenCount,
    bucket: TokenBucket,
    waiting: WaitingQueue,
}

impl QueuedBucket {
    fn charge(&mut self, charge: BaselineCharge, now: u64) {
        let (request, tokens, deadline) = charge;
        let (deadline, confirmed, expected) = (ClockInstant(deadline), ClockInstant(now), None);
        self.waiting.push(WaitingCharge { request, tokens, deadline, confirmed, expected });
    }

    fn serve(&mut self, team: &TeamId, now: u64) -> Vec<ShareAction> {
        let now = ClockInstant(now);
        let mut left = self.bucket.settle(self.rate, self.burst, now);
        let mut actions = Vec::new();
        while let Some(charge) = self.waiting.front().copied().filter(|c| c.tokens <= left) {
            left -= charge.tokens;
            self.bucket.take(charge.tokens);
            self.waiting.pop();
            let (request, tokens) = (charge.request, charge.tokens);
            actions.push(ShareAction::Admit { request, team: team.clone(), tokens });
        }
        let wait = self.rate.time_for(self.waiting.total() - left).unwrap_or(Duration::MAX);
        let (rate, burst) = (self.rate, self.burst);
        let estimate = WaitEstimate { last: self.waiting.last_number(), wait, rate, burst };
        for (charge, retry_after) in self.waiting.remove_late(&estimate, now) {
            let refusal = ShareRefusal::OverRate { retry_after };
            actions.push(ShareAction::Refuse { request: charge.request, refusal });
        }
        actions
    }
}

/// Token buckets of one host, each with an even part of a team's rate and burst.
#[derive(Clone, Debug, Default)]
pub struct HostBucket {
    teams: BTreeMap<TeamId, QueuedBucket>,
}

impl HostBucket {
    /// Charges this host's bucket of a team, which has one of `parts` even parts of the rate.
    ///
    /// Returns the actions for this and other waiting charges.
    pub fn charge(
        &mut self,
        team: &TeamId,
        rates: &TeamEntry,
        parts: u64,
        charge: BaselineCharge,
        now: u64,
    ) -> Vec<ShareAction> {
        let rate = TokenRate::from_milli_tokens(rates.rate.milli_tokens() / parts);
        let burst = TokenCount(rates.burst.0 / parts);
        let start = || QueuedBucket {
            bucket: TokenBucket::new(burst, ClockInstant(now)),
            ..QueuedBucket::default()
        };
        let bucket = self.teams.entry(team.clone()).or_insert_with(start);
        (bucket.rate, bucket.burst) = (rate, burst);
        bucket.charge(charge, now);
        bucket.serve(team, now)
    }

    /// Returns refunded tokens to this host's bucket.
    pub fn refund(&mut self, team: &TeamId, tokens: TokenCount, now: u64) {
        if let Some(bucket) = self.teams.get_mut(team) {
            bucket.bucket.settle(bucket.rate, bucket.burst, ClockInstant(now));
            bucket.bucket.add(tokens, bucket.burst);
        }
    }

    /// Admits or refuses waiting charges.
    pub fn tick(&mut self, now: u64) -> Vec<ShareAction> {
        self.teams.iter_mut().flat_map(|(team, bucket)| bucket.serve(team, now)).collect()
    }
}

/// Token buckets in the platform's table, one for each team.
#[derive(Clone, Debug, Default)]
pub struct CentralBucket {
    teams: BTreeMap<TeamId, QueuedBucket>,
    round_trips: u64,
}

impl CentralBucket {
    /// Sets a team's rate and burst; the bucket of a new team starts full.
    pub fn set_team(&mut self, team: &TeamId, rates: &TeamEntry, now: u64) {
        let start = || QueuedBucket {
            bucket: TokenBucket::new(rates.burst, ClockInstant(now)),
            ..QueuedBucket::default()
        };
        let bucket = self.teams.entry(team.clone()).or_insert_with(start);
        (bucket.rate, bucket.burst) = (rates.rate, rates.burst);
    }

    /// Charges a team's bucket; refuses the charge while the table is down.
    ///
    /// Returns the actions for this and other waiting charges.
    pub fn charge(
        &mut self,
        team: &TeamId,
        charge: BaselineCharge,
        table_up: bool,
        now: u64,
    ) -> Vec<ShareAction> {
        self.round_trips += CENTRAL_ROUND_TRIPS;
        let bucket = self.teams.get_mut(team).filter(|_| table_up);
        let Some(bucket) = bucket else {
            let (request, refusal) = (charge.0, ShareRefusal::Unreachable);
            return vec![ShareAction::Refuse { request, refusal }];
        };
        bucket.charge(charge, now);
        bucket.serve(team, now)
    }

    /// Returns refunded tokens to a team's bucket.
    pub fn refund(&mut self, team: &TeamId, tokens: TokenCount, now: u64) {
        self.round_trips += CENTRAL_ROUND_TRIPS;
        if let Some(bucket) = self.teams.get_mut(team) {
            bucket.bucket.settle(bucket.rate, bucket.burst, ClockInstant(now));
            bucket.bucket.add(tokens, bucket.burst);
        }
    }

    /// Admits or refuses waiting charges; does nothing while the table is down.
    pub fn tick(&mut self, table_up: bool, now: u64) -> Vec<ShareAction> {
        if !table_up {
            return Vec::new();
        }
        self.teams.iter_mut().flat_map(|(team, bucket)| bucket.serve(team, now)).collect()
    }

    /// Returns the number of round trips to the table so far.
    pub fn round_trips(&self) -> u64 {
        self.round_trips
    }
}
