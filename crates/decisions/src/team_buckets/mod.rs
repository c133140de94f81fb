//! Token buckets of the teams, which every host keeps for the whole fleet from reported spending.
//!
//! Each host has one bucket per team that refills at the team's rate. It charges its own spending
//! and the spending that its peers report to the bucket. Reports are running totals, so the next
//! one makes up for a lost one. A balance is too high by what others spent and have not reported
//! yet, so no host spends all of it:
//!
//! - One host, the leader, grants tokens on request. It charges its grants at once, so its balance
//!   is too high only by what the other hosts take without asking.
//! - The other hosts together may take a quarter of a balance without asking, each in proportion to
//!   its share of recent demand. For more they ask the leader, which keeps that quarter in reserve.
//! - While there is no leader, each host may take its share of the whole balance, and one request
//!   at a time beyond that.
//!
//! A silent peer is assumed to spend an even share of each rate, so a host refills its buckets only
//! at the rate's fraction of hosts that it hears. The silent peer, if it is cut off, does the same;
//! so the parts of a partitioned fleet together stay within the rate.

mod grants;
mod limit;
mod sums;

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use serde::{Deserialize, Serialize};

use self::grants::OpenGrants;
pub use self::limit::{LimitTolerance, TeamLimit};
use self::sums::{DecayingSum, RecentSum};
use crate::heartbeat_pace::HeartbeatPace;

/// Time without a report after which no share of the rate is set aside for a peer.
pub const PEER_EXPIRY: Duration = Duration::from_secs(20);

/// Time without a report after which the totals of a peer are forgotten.
const TOTALS_RETENTION: Duration = Duration::from_secs(600);

/// Time after the start of this host in which the first report of a peer sets balances instead of
/// being charged.
const LEARNING_SPAN: Duration = Duration::from_millis(1_500);

/// Longest wait that a refusal states, in seconds.
const LONGEST_WAIT_S: f64 = 60.0;

/// Fraction of the burst that a restarted host starts with until it has heard a peer, since all
/// hosts may have restarted and lost what was spent.
const INITIAL_FILL: f64 = 0.25;

/// Fraction of a balance that hosts other than the leader may take without asking it.
const UNASKED_PART: f64 = 0.25;

/// Fraction of the burst that counts as demand spread evenly over all hosts, when a host computes
/// what it may take without asking. High, so that a host that is new to a team gets little at once.
const UNASKED_PRIOR: f64 = 1.0;

/// As [`UNASKED_PRIOR`], while there is no leader. Low, so that the only host that serves a team
/// soon gets all of the balance.
const LEADERLESS_PRIOR: f64 = 0.1;

/// Multiple of its share of recent demand that a host may take while there is no leader, since
/// requests arrive in clusters.
const LEADERLESS_FACTOR: f64 = 2.0;

/// Multiple of the silence timeout after which a grant that was not reported as spent expires: the
/// answer with it is assumed to be lost.
const GRANT_EXPIRY_FACTOR: u32 = 2;

/// Time for which the computed [`FleetPart`] is used before it is computed again.
const MAX_PART_AGE: Duration = Duration::from_millis(20);

/// Spending of one host for its teams.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SpendingReport {
    /// Whether the report contains all teams; otherwise only those with recent spending.
    pub whole: bool,
    /// Spending by team, at most one entry per team.
    pub teams: Vec<TeamSpending>,
}

/// Spending of one host for one team, and the balance at that host.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TeamSpending {
    /// Team that spent.
    pub team: TeamId,
    /// Tokens charged since the start of the host, less refunds.
    pub total: i64,
    /// Balance of the team's bucket at the host, in tokens; negative after an overdraft.
    pub balance: i64,
}

/// Who can grant tokens to a host at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantSource {
    /// The host itself, which is the leader.
    Itself,
    /// Another host, which is the leader and was heard recently.
    Leader,
    /// No host: there is no leader, or it was not heard recently.
    Nobody,
}

/// Outcome of a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeOutcome {
    /// The tokens were taken from the bucket.
    Taken,
    /// The team is over its rate; the tokens will be available after this time.
    Over(Duration),
    /// The host may not take the tokens by itself; the leader must be asked for a grant.
    AskLeader,
}

/// What a host knows of a team's bucket, for the log line of a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketSummary {
    /// Tokens available.
    pub balance: f64,
    /// Part of them that the leader keeps for hosts that take without asking.
    pub reserve: f64,
    /// Tokens spent at any host within the time after which a peer counts as silent.
    pub recent: f64,
    /// Rate and burst as enforced.
    pub limit: TeamLimit,
    /// Part of them that this host counts on: hosts heard divided by hosts known.
    pub heard_fraction: f64,
}

#[derive(Clone, Debug)]
struct TeamBucket {
    limit: TeamLimit,
    /// Tokens available; negative after an overdraft.
    balance: f64,
    /// When the bucket was last refilled.
    at: ClockInstant,
    /// Tokens that this host charged since its start, less refunds; reported to the peers.
    spent: i64,
    /// When `spent` last changed.
    changed: Option<ClockInstant>,
    /// Tokens spent here that some peers may not have heard of yet.
    own_recent: RecentSum,
    /// Tokens spent at any host recently, as far as known here.
    all_recent: RecentSum,
    /// Demand at this host, which weighs less the older it is.
    own_demand: DecayingSum,
    /// Demand at all hosts, as far as known here.
    all_demand: DecayingSum,
}

/// The part of the fleet that a host hears.
#[derive(Clone, Copy, Debug)]
struct FleetPart {
    /// Hosts heard divided by hosts known, both with this host.
    heard_fraction: f64,
    /// Hosts known, with this host.
    known: f64,
    /// Time without a report after which a peer counts as silent.
    silence: Duration,
    /// When this was computed.
    at: ClockInstant,
}

#[derive(Clone, Debug)]
struct PeerSpending {
    incarnation: HostIncarnation,
    /// When the last report came.
    heard: ClockInstant,
    leaving: bool,
    /// [`TeamSpending::total`] of the last report of each team.
    totals: BTreeMap<TeamId, i64>,
}

/// Token buckets of all teams at one host.
#[derive(Clone, Debug)]
pub struct TeamBuckets {
    started_at: ClockInstant,
    /// Whether the buckets of new teams start full.
    starts_full: bool,
    teams: BTreeMap<TeamId, TeamBucket>,
    peers: BTreeMap<HostId, PeerSpending>,
    /// Balances that peers reported for teams without a limit here so far.
    learned: BTreeMap<TeamId, f64>,
    grants: OpenGrants,
    fleet: Option<FleetPart>,
}

impl TeamBuckets {
    /// Creates the buckets of a host that starts now.
    ///
    /// `starts_full` holds at the first start of the whole fleet, when no team can have spent its
    /// burst yet.
    pub fn new(now: ClockInstant, starts_full: bool) -> Self {
        Self {
            started_at: now,
            starts_full,
            teams: BTreeMap::new(),
            peers: BTreeMap::new(),
            learned: BTreeMap::new(),
            grants: OpenGrants::default(),
            fleet: None,
        }
    }

    /// Sets the limits of all teams; drops the buckets of other teams.
    pub fn set_limits<L>(&mut self, now: ClockInstant, limits: L)
    where
        L: IntoIterator<Item = (TeamId, TeamLimit)>,
    {
        let heard_fraction = self.fleet(now).heard_fraction;
        let mut known = std::mem::take(&mut self.teams);
        for (team, limit) in limits {
            let bucket = match known.remove(&team) {
                Some(mut bucket) => {
                    refill(&mut bucket, now, heard_fraction);
                    bucket.limit = limit;
                    bucket.balance = bucket.balance.min(limit.burst);
                    bucket
                }
                None => {
                    let first = if self.starts_full { 1.0 } else { INITIAL_FILL } * limit.burst;
                    let balance =
                        self.learned.get(&team).map_or(first, |heard| heard.min(limit.burst));
                    TeamBucket::new(now, limit, balance)
                }
            };
            self.teams.insert(team, bucket);
        }
    }

    /// Takes `tokens` for a request of `team` if this host may do so by itself.
    ///
    /// Teams without a limit are not held back.
    pub fn charge(
        &mut self,
        now: ClockInstant,
        team: &TeamId,
        tokens: TokenCount,
        source: GrantSource,
    ) -> ChargeOutcome {
        let fleet = self.fleet(now);
        let Some(bucket) = self.teams.get_mut(team) else { return ChargeOutcome::Taken };
        refill(bucket, now, fleet.heard_fraction);
        let cost = as_tokens(tokens);
        let outcome = match source {
            _ if bucket.limit.rate <= 0.0 => ChargeOutcome::Taken,
            GrantSource::Itself => bucket.check_with_reserve(now, fleet, cost),
            GrantSource::Leader => bucket.check_unasked(now, fleet, cost),
            GrantSource::Nobody => bucket.check_leaderless(now, fleet, cost),
        };
        if outcome == ChargeOutcome::Taken {
            bucket.take(now, fleet, tokens);
        }
        outcome
    }

    /// Takes `tokens` that the leader granted to this host.
    pub fn take_granted(&mut self, now: ClockInstant, team: &TeamId, tokens: TokenCount) {
        let fleet = self.fleet(now);
        if let Some(bucket) = self.teams.get_mut(team) {
            refill(bucket, now, fleet.heard_fraction);
            bucket.take(now, fleet, tokens);
        }
    }

    /// Grants `tokens` to another host; only the leader does this.
    ///
    /// # Errors Fails if the team is over its rate, with the time until the tokens will be
    /// available; nothing is granted then.
    pub fn grant(
        &mut self,
        now: ClockInstant,
        (host, incarnation): (&HostId, HostIncarnation),
        team: &TeamId,
        tokens: TokenCount,
    ) -> Result<(), Duration> {
        let fleet = self.fleet(now);
        let Some(bucket) = self.teams.get_mut(team) else { return Ok(()) };
        refill(bucket, now, fleet.heard_fraction);
        let cost = as_tokens(tokens);
        if bucket.limit.rate > 0.0
            && let ChargeOutcome::Over(wait) = bucket.check_with_reserve(now, fleet, cost)
        {
            return Err(wait);
        }
        bucket.spend(now, fleet, cost);
        let granted = i64::try_from(tokens.0).unwrap_or(i64::MAX);
        self.grants.note(now, host, incarnation, team, granted);
        Ok(())
    }

    /// Returns what is known of the bucket of `team`; `None` if it has no limit.
    pub fn summary(&mut self, now: ClockInstant, team: &TeamId) -> Option<BucketSummary> {
        let fleet = self.fleet(now);
        let bucket = self.teams.get_mut(team)?;
        refill(bucket, now, fleet.heard_fraction);
        let recent = bucket.all_recent.sum(now, fleet.silence);
        Some(BucketSummary {
            balance: bucket.balance,
            reserve: bucket.reserve(now, fleet),
            recent,
            limit: bucket.limit,
            heard_fraction: fleet.heard_fraction,
        })
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, now: ClockInstant, team: &TeamId, tokens: TokenCount) {
        let fleet = self.fleet(now);
        if let Some(bucket) = self.teams.get_mut(team) {
            let cost = as_tokens(tokens);
            bucket.spend(now, fleet, -cost);
            bucket.own_recent.add(now, fleet.silence, -cost);
            bucket.own_demand.add(now, -cost);
            bucket.spent = bucket.spent.saturating_sub_unsigned(tokens.0);
            bucket.changed = Some(now);
        }
    }

    /// Returns the report for the peers: all teams if `whole`, otherwise those with recent
    /// spending.
    pub fn report(&mut self, now: ClockInstant, whole: bool) -> SpendingReport {
        let heard_fraction = self.fleet(now).heard_fraction;
        let span = self.pace(now).repeat_span();
        let included = |bucket: &TeamBucket| {
            whole || bucket.changed.is_some_and(|changed| now.since(changed) < span)
        };
        let entries = self.teams.iter_mut().filter(|(_, bucket)| included(bucket));
        let entries = entries.map(|(team, bucket)| {
            refill(bucket, now, heard_fraction);
            #[expect(clippy::cast_possible_truncation, reason = "balances are far below 2^52")]
            let balance = bucket.balance as i64;
            TeamSpending { team: team.clone(), total: bucket.spent, balance }
        });
        SpendingReport { whole, teams: entries.collect() }
    }

    /// Applies the report of a peer.
    ///
    /// The first report of a peer's incarnation is ignored unless it is whole. A host that has just
    /// started takes its balances from it.
    pub fn absorb(
        &mut self,
        now: ClockInstant,
        peer: &HostId,
        incarnation: HostIncarnation,
        report: &SpendingReport,
        leaving: bool,
    ) {
        let learning = now.since(self.started_at) < LEARNING_SPAN && !self.starts_full;
        let fleet = self.fleet(now);
        let known = self.peers.get_mut(peer);
        let (mut totals, first) = match known {
            Some(known) if known.incarnation == incarnation => {
                (std::mem::take(&mut known.totals), false)
            }
            _ if !report.whole => return,
            _ => (BTreeMap::new(), true),
        };
        for spending in &report.teams {
            let before = totals.insert(spending.team.clone(), spending.total).unwrap_or(0);
            let spent = spending.total.saturating_sub(before);
            #[expect(clippy::cast_precision_loss, reason = "balances are far below 2^52")]
            let balance = spending.balance as f64;
            let Some(bucket) = self.teams.get_mut(&spending.team) else {
                self.learned.insert(spending.team.clone(), balance);
                continue;
            };
            refill(bucket, now, fleet.heard_fraction);
            if first && learning {
                // The peer's balance includes what all hosts spent before this host started.
                bucket.balance =
                    if bucket.spent == 0 { balance } else { bucket.balance.min(balance) };
            } else {
                let granted = self.grants.settle(peer, incarnation, &spending.team, spent);
                #[expect(clippy::cast_precision_loss, reason = "totals are far below 2^52")]
                let (spent, granted) = (spent as f64, granted as f64);
                bucket.all_demand.add(now, spent);
                bucket.spend(now, fleet, spent - granted);
            }
        }
        self.peers.insert(peer.clone(), PeerSpending { incarnation, heard: now, leaving, totals });
    }

    /// Returns the fraction of each rate at which this host refills its buckets: hosts heard
    /// divided by hosts known, both with this host.
    pub fn heard_fraction(&mut self, now: ClockInstant) -> f64 {
        self.fleet = None;
        self.fleet(now).heard_fraction
    }

    /// Returns the part of the fleet that this host hears, computed at most [`MAX_PART_AGE`] ago.
    fn fleet(&mut self, now: ClockInstant) -> FleetPart {
        if let Some(fleet) = self.fleet.filter(|fleet| now.since(fleet.at) < MAX_PART_AGE) {
            return fleet;
        }
        self.peers.retain(|_, peer| now.since(peer.heard) < TOTALS_RETENTION);
        let silence = self.pace(now).silence_timeout;
        let (mut known, mut silent) = (1, 0);
        for peer in self.peers.values() {
            let age = now.since(peer.heard);
            // A silent peer that announced its leaving is gone and spends nothing.
            let retention = if peer.leaving { silence } else { PEER_EXPIRY };
            known += usize::from(age < retention);
            silent += usize::from(age < retention && age > silence);
        }
        #[expect(clippy::cast_precision_loss, reason = "hosts are few")]
        let (heard, known) = ((known - silent) as f64, known as f64);
        let fleet = FleetPart { heard_fraction: heard / known, known, silence, at: now };
        self.fleet = Some(fleet);
        self.free_lost_grants(now, fleet);
        fleet
    }

    /// Returns the tokens of lost grants to the buckets.
    fn free_lost_grants(&mut self, now: ClockInstant, fleet: FleetPart) {
        for (team, tokens) in self.grants.expire(now, fleet.silence * GRANT_EXPIRY_FACTOR) {
            if let Some(bucket) = self.teams.get_mut(&team) {
                #[expect(clippy::cast_precision_loss, reason = "grants are far below 2^52")]
                let tokens = tokens as f64;
                bucket.balance = (bucket.balance + tokens).min(bucket.limit.burst);
            }
        }
    }

    /// Returns the pace at which peers send heartbeats, which carry the reports.
    fn pace(&self, now: ClockInstant) -> HeartbeatPace {
        let heard = self.peers.values().filter(|peer| now.since(peer.heard) < PEER_EXPIRY);
        HeartbeatPace::of(heard.count())
    }
}

impl TeamBucket {
    fn new(now: ClockInstant, limit: TeamLimit, balance: f64) -> Self {
        Self {
            limit,
            balance,
            at: now,
            spent: 0,
            changed: None,
            own_recent: RecentSum::default(),
            all_recent: RecentSum::default(),
            own_demand: DecayingSum::default(),
            all_demand: DecayingSum::default(),
        }
    }

    /// Returns what is kept for hosts that take without asking.
    fn reserve(&mut self, now: ClockInstant, fleet: FleetPart) -> f64 {
        let recent = self.all_recent.sum(now, fleet.silence);
        UNASKED_PART * (self.balance + recent).max(0.0)
    }

    /// Checks `cost` against the balance less the reserve for hosts that take without asking.
    fn check_with_reserve(
        &mut self,
        now: ClockInstant,
        fleet: FleetPart,
        cost: f64,
    ) -> ChargeOutcome {
        let reserve = self.reserve(now, fleet);
        // A request above the burst passes when the bucket is full, and overdraws it.
        let needed = cost.min(self.limit.burst * fleet.heard_fraction * (1.0 - UNASKED_PART));
        self.outcome(fleet, needed - (self.balance - reserve))
    }

    /// Checks `cost` against what this host may take without asking the leader.
    fn check_unasked(&mut self, now: ClockInstant, fleet: FleetPart, cost: f64) -> ChargeOutcome {
        let over = self.check_with_reserve(now, fleet, cost);
        if over != ChargeOutcome::Taken {
            return over;
        }
        let recent = self.own_recent.sum(now, fleet.silence);
        let allowed = UNASKED_PART * self.demand_share(now, fleet, UNASKED_PRIOR);
        if recent + cost <= allowed * (self.balance + recent) {
            ChargeOutcome::Taken
        } else {
            ChargeOutcome::AskLeader
        }
    }

    /// Checks `cost` against what this host may take while there is no leader.
    fn check_leaderless(
        &mut self,
        now: ClockInstant,
        fleet: FleetPart,
        cost: f64,
    ) -> ChargeOutcome {
        let needed = cost.min(self.limit.burst * fleet.heard_fraction);
        let over = self.outcome(fleet, needed - self.balance);
        if over != ChargeOutcome::Taken {
            return over;
        }
        let recent = self.own_recent.sum(now, fleet.silence);
        let allowed = LEADERLESS_FACTOR * self.demand_share(now, fleet, LEADERLESS_PRIOR);
        if recent <= 0.0 || recent + cost <= allowed * (self.balance + recent) {
            ChargeOutcome::Taken
        } else {
            ChargeOutcome::Over(fleet.silence)
        }
    }

    /// Returns this host's share of the team's recent demand.
    ///
    /// The fraction `prior` of the burst is added to the demand, spread evenly over all hosts, so
    /// the share is even while demand is low.
    fn demand_share(&self, now: ClockInstant, fleet: FleetPart, prior: f64) -> f64 {
        let prior = self.limit.burst * prior;
        (self.own_demand.sum(now) + prior / fleet.known) / (self.all_demand.sum(now) + prior)
    }

    /// Returns the outcome of a charge for which `missing` tokens are not available.
    fn outcome(&self, fleet: FleetPart, missing: f64) -> ChargeOutcome {
        if missing <= 0.0 {
            return ChargeOutcome::Taken;
        }
        let wait = (missing / (self.limit.rate * fleet.heard_fraction)).min(LONGEST_WAIT_S);
        ChargeOutcome::Over(Duration::from_secs_f64(wait))
    }

    /// Takes tokens that this host spends, and adds them to its report.
    fn take(&mut self, now: ClockInstant, fleet: FleetPart, tokens: TokenCount) {
        let cost = as_tokens(tokens);
        self.spend(now, fleet, cost);
        self.own_recent.add(now, fleet.silence, cost);
        self.own_demand.add(now, cost);
        self.all_demand.add(now, cost);
        self.spent = self.spent.saturating_add_unsigned(tokens.0);
        self.changed = Some(now);
    }

    /// Takes tokens that any host spent, or gives them back if `cost` is negative.
    fn spend(&mut self, now: ClockInstant, fleet: FleetPart, cost: f64) {
        self.balance = (self.balance - cost).min(self.limit.burst);
        self.all_recent.add(now, fleet.silence, cost);
    }
}

fn as_tokens(tokens: TokenCount) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    let tokens = tokens.0 as f64;
    tokens
}

/// Adds the tokens gained since the last refill; the bucket holds at most `heard_fraction` of the
/// burst.
fn refill(bucket: &mut TeamBucket, now: ClockInstant, heard_fraction: f64) {
    let gained = now.since(bucket.at).as_secs_f64() * bucket.limit.rate * heard_fraction;
    bucket.at = bucket.at.max(now);
    bucket.balance = (bucket.balance + gained).min(bucket.limit.burst * heard_fraction);
}
