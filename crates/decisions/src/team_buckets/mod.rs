//! Team levels that every host keeps from what all hosts say they spent.
//!
//! Each host keeps one balance a team, filled at the team's rate, and takes from it what it spends
//! itself and what its peers report. Reports are running totals: a lost one is made up for by the
//! next. A balance is too high by what others spent and have not reported yet, so nobody spends all of
//! it:
//!
//! - One host, the keeper, grants tokens on request. What it grants counts at once, so its balance is
//!   too high only by what the others take without asking.
//! - The others together may take a quarter of a balance without asking, each by its part of what was
//!   spent of late; for the rest they ask the keeper, which keeps that quarter back.
//! - Without a keeper each host may take its part of the whole balance, and one request at a time
//!   beyond its part.
//!
//! A peer that falls silent is taken to spend its even part of the rate, and the silent peer, which
//! hears nobody, limits itself to just that part; so the parts of a cut fleet together stay within
//! the rate.

mod grants;
mod limit;
mod sums;

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use serde::{Deserialize, Serialize};

use self::grants::OpenGrants;
pub use self::limit::{LimitTolerance, TeamLimit};
use self::sums::{FadingSum, RecentSum};
use crate::heartbeat_pace::HeartbeatPace;

/// Time without a report after which a peer no longer holds a part of the rate.
pub const PEER_EXPIRY: Duration = Duration::from_secs(20);

/// Time without a report after which what a peer spent is forgotten.
const TOTALS_MEMORY: Duration = Duration::from_secs(600);

/// Time after the start in which first reports of peers are taken over and not charged.
const LEARNING_SPAN: Duration = Duration::from_millis(1_500);

/// Longest wait that a refusal tells, in seconds.
const LONGEST_WAIT_S: f64 = 60.0;

/// Part of a burst with which a host starts that has heard no peer, after all lost their memory.
const FIRST_LEVEL: f64 = 0.25;

/// Part of a balance that hosts other than the keeper may take without asking.
const UNASKED_PART: f64 = 0.25;

/// Part of a burst that counts as spent evenly by all hosts when a host works out its part of what it may
/// take without asking: a host that is new to a team gets little at once.
const UNASKED_PRIOR: f64 = 1.0;

/// The same while nobody grants anything: a host that serves a team alone must soon get all of it.
const ALONE_PRIOR: f64 = 0.1;

/// Times its part of what was spent of late that a host may take while nobody grants anything: requests
/// come in clumps.
const ALONE_STRETCH: f64 = 2.0;

/// Spans of silence after which a grant of which nothing was heard counts as lost.
const GRANT_SILENCES: u32 = 2;

/// Time for which the part of the rate that a host counts on is not worked out anew.
const PART_AGE: Duration = Duration::from_millis(20);

/// What one host spent for its teams.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SpendingReport {
    /// Whether all teams are named; otherwise those that spent of late.
    pub whole: bool,
    /// Spending by team.
    pub teams: Vec<TeamSpending>,
}

/// What one host spent for one team since its start, and the balance it believes in.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TeamSpending {
    /// Team that spent.
    pub team: TeamId,
    /// Tokens charged since the start of the host, refunds taken off.
    pub total: i64,
    /// Level as the host sees it, in tokens.
    pub balance: i64,
}

/// Who can grant tokens to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantSource {
    /// The host itself: it is the keeper.
    Itself,
    /// A keeper that it hears.
    Leader,
    /// Nobody.
    Nobody,
}

/// What became of a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeOutcome {
    /// The tokens are taken.
    Taken,
    /// The team is over its rate; the tokens will be there after this time.
    Over(Duration),
    /// Only the keeper can tell.
    AskLeader,
}

#[derive(Clone, Debug)]
struct TeamBucket {
    limit: TeamLimit,
    balance: f64,
    at: ClockInstant,
    spent: i64,
    changed: Option<ClockInstant>,
    /// Spent here of late, perhaps not heard by all.
    own_recent: RecentSum,
    /// Spent anywhere of late, as far as it is known here.
    all_recent: RecentSum,
    own_demand: FadingSum,
    all_demand: FadingSum,
}

/// What a host counts on among those it knows.
#[derive(Clone, Copy, Debug)]
struct FleetPart {
    /// Hosts heard, itself included, over hosts known.
    part: f64,
    /// Hosts known.
    known: f64,
    /// Time without a report after which a peer counts as silent.
    silence: Duration,
    at: ClockInstant,
}

#[derive(Clone, Debug)]
struct PeerSpending {
    incarnation: HostIncarnation,
    heard: ClockInstant,
    leaving: bool,
    totals: BTreeMap<TeamId, i64>,
}

/// Levels of all teams at one host.
#[derive(Clone, Debug)]
pub struct TeamBuckets {
    started: ClockInstant,
    starts_full: bool,
    teams: BTreeMap<TeamId, TeamBucket>,
    peers: BTreeMap<HostId, PeerSpending>,
    learned: BTreeMap<TeamId, f64>,
    grants: OpenGrants,
    fleet: Option<FleetPart>,
}

impl TeamBuckets {
    /// Returns levels of a host that starts now; `starts_full` if the whole fleet starts anew, so
    /// that nobody can have spent a burst before.
    pub fn new(now: ClockInstant, starts_full: bool) -> Self {
        Self {
            started: now,
            starts_full,
            teams: BTreeMap::new(),
            peers: BTreeMap::new(),
            learned: BTreeMap::new(),
            grants: OpenGrants::default(),
            fleet: None,
        }
    }

    /// Sets the limits in force; teams that are not named are forgotten.
    pub fn set_limits<L>(&mut self, now: ClockInstant, limits: L)
    where
        L: IntoIterator<Item = (TeamId, TeamLimit)>,
    {
        let part = self.fleet(now).part;
        let mut known = std::mem::take(&mut self.teams);
        for (team, limit) in limits {
            let entry = match known.remove(&team) {
                Some(mut entry) => {
                    refill(&mut entry, now, part);
                    entry.limit = limit;
                    entry.balance = entry.balance.min(limit.burst);
                    entry
                }
                None => {
                    let first = if self.starts_full { 1.0 } else { FIRST_LEVEL } * limit.burst;
                    let balance =
                        self.learned.get(&team).map_or(first, |heard| heard.min(limit.burst));
                    TeamBucket::new(now, limit, balance)
                }
            };
            self.teams.insert(team, entry);
        }
    }

    /// Takes `tokens` for `team` if this host may do so by itself.
    pub fn charge(
        &mut self,
        now: ClockInstant,
        team: &TeamId,
        tokens: TokenCount,
        source: GrantSource,
    ) -> ChargeOutcome {
        let fleet = self.fleet(now);
        let Some(entry) = self.teams.get_mut(team) else { return ChargeOutcome::Taken };
        refill(entry, now, fleet.part);
        let cost = as_tokens(tokens);
        let outcome = match source {
            _ if entry.limit.rate <= 0.0 => ChargeOutcome::Taken,
            GrantSource::Itself => entry.check_kept_back(now, fleet, cost),
            GrantSource::Leader => entry.check_unasked(now, fleet, cost),
            GrantSource::Nobody => entry.check_alone(now, fleet, cost),
        };
        if outcome == ChargeOutcome::Taken {
            entry.take(now, fleet, tokens);
        }
        outcome
    }

    /// Takes `tokens` that the keeper granted.
    pub fn take_granted(&mut self, now: ClockInstant, team: &TeamId, tokens: TokenCount) {
        let fleet = self.fleet(now);
        if let Some(entry) = self.teams.get_mut(team) {
            refill(entry, now, fleet.part);
            entry.take(now, fleet, tokens);
        }
    }

    /// Grants `tokens` to another host, as the keeper.
    ///
    /// # Errors
    /// Fails with the time until the tokens will be there; nothing is granted then.
    pub fn grant(
        &mut self,
        now: ClockInstant,
        (host, incarnation): (&HostId, HostIncarnation),
        team: &TeamId,
        tokens: TokenCount,
    ) -> Result<(), Duration> {
        let fleet = self.fleet(now);
        let Some(entry) = self.teams.get_mut(team) else { return Ok(()) };
        refill(entry, now, fleet.part);
        let cost = as_tokens(tokens);
        if entry.limit.rate > 0.0
            && let ChargeOutcome::Over(wait) = entry.check_kept_back(now, fleet, cost)
        {
            return Err(wait);
        }
        entry.spend(now, fleet, cost);
        let granted = i64::try_from(tokens.0).unwrap_or(i64::MAX);
        self.grants.note(now, host, incarnation, team, granted);
        Ok(())
    }

    /// Gives back tokens of a request that did not run.
    pub fn refund(&mut self, now: ClockInstant, team: &TeamId, tokens: TokenCount) {
        let fleet = self.fleet(now);
        if let Some(entry) = self.teams.get_mut(team) {
            let cost = as_tokens(tokens);
            entry.spend(now, fleet, -cost);
            entry.own_recent.add(now, fleet.silence, -cost);
            entry.own_demand.add(now, -cost);
            entry.spent = entry.spent.saturating_sub_unsigned(tokens.0);
            entry.changed = Some(now);
        }
    }

    /// Returns what to report to the peers: all teams if `whole`, otherwise those that spent of late.
    pub fn report(&mut self, now: ClockInstant, whole: bool) -> SpendingReport {
        let part = self.fleet(now).part;
        let span = self.pace(now).repeat_span();
        let named = |entry: &TeamBucket| {
            whole || entry.changed.is_some_and(|changed| now.since(changed) < span)
        };
        let entries = self.teams.iter_mut().filter(|(_, entry)| named(entry));
        let entries = entries.map(|(team, entry)| {
            refill(entry, now, part);
            #[expect(clippy::cast_possible_truncation, reason = "levels are far below 2^52")]
            let balance = entry.balance as i64;
            TeamSpending { team: team.clone(), total: entry.spent, balance }
        });
        SpendingReport { whole, teams: entries.collect() }
    }

    /// Takes in the report of a peer. The first of a peer counts only if it is whole: a host that
    /// starts learns the levels from it.
    pub fn absorb(
        &mut self,
        now: ClockInstant,
        peer: &HostId,
        incarnation: HostIncarnation,
        report: &SpendingReport,
        leaving: bool,
    ) {
        let learning = now.since(self.started) < LEARNING_SPAN && !self.starts_full;
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
            let spent = spending.total - before;
            #[expect(clippy::cast_precision_loss, reason = "levels are far below 2^52")]
            let balance = spending.balance as f64;
            let Some(entry) = self.teams.get_mut(&spending.team) else {
                self.learned.insert(spending.team.clone(), balance);
                continue;
            };
            refill(entry, now, fleet.part);
            if first && learning {
                // The peer's balance holds what it and others spent before this host started.
                entry.balance = if entry.spent == 0 { balance } else { entry.balance.min(balance) };
            } else {
                let granted = self.grants.settle(peer, incarnation, &spending.team, spent);
                #[expect(clippy::cast_precision_loss, reason = "totals are far below 2^52")]
                let (spent, granted) = (spent as f64, granted as f64);
                entry.all_demand.add(now, spent);
                entry.spend(now, fleet, spent - granted);
            }
        }
        self.peers.insert(peer.clone(), PeerSpending { incarnation, heard: now, leaving, totals });
    }

    /// Returns the part of each rate that this host may count on: the hosts it hears, itself
    /// included, over the hosts it knows.
    pub fn own_part(&mut self, now: ClockInstant) -> f64 {
        self.fleet = None;
        self.fleet(now).part
    }

    /// Returns what this host counts on; works it out anew if that was a while ago.
    fn fleet(&mut self, now: ClockInstant) -> FleetPart {
        if let Some(fleet) = self.fleet.filter(|fleet| now.since(fleet.at) < PART_AGE) {
            return fleet;
        }
        self.peers.retain(|_, peer| now.since(peer.heard) < TOTALS_MEMORY);
        let silence = self.pace(now).silence_timeout;
        let (mut known, mut silent) = (1, 0);
        for peer in self.peers.values() {
            let age = now.since(peer.heard);
            // One that said that it leaves has gone once it is silent, and spends nothing.
            let memory = if peer.leaving { silence } else { PEER_EXPIRY };
            known += usize::from(age < memory);
            silent += usize::from(age < memory && age > silence);
        }
        #[expect(clippy::cast_precision_loss, reason = "hosts are few")]
        let (heard, known) = ((known - silent) as f64, known as f64);
        let fleet = FleetPart { part: heard / known, known, silence, at: now };
        self.fleet = Some(fleet);
        self.free_lost_grants(now, fleet);
        fleet
    }

    fn free_lost_grants(&mut self, now: ClockInstant, fleet: FleetPart) {
        for (team, tokens) in self.grants.expire(now, fleet.silence * GRANT_SILENCES) {
            if let Some(entry) = self.teams.get_mut(&team) {
                #[expect(clippy::cast_precision_loss, reason = "grants are far below 2^52")]
                let tokens = tokens as f64;
                entry.balance = (entry.balance + tokens).min(entry.limit.burst);
            }
        }
    }

    /// Returns the pace of the peers' beats.
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
            own_demand: FadingSum::default(),
            all_demand: FadingSum::default(),
        }
    }

    /// Checks `cost` against the balance less what others may take without asking.
    fn check_kept_back(&mut self, now: ClockInstant, fleet: FleetPart, cost: f64) -> ChargeOutcome {
        let recent = self.all_recent.sum(now, fleet.silence);
        let kept_back = UNASKED_PART * (self.balance + recent).max(0.0);
        // A request above the burst passes once the balance is full, and is paid off afterwards.
        let needed = cost.min(self.limit.burst * fleet.part * (1.0 - UNASKED_PART));
        self.outcome(fleet, needed - (self.balance - kept_back))
    }

    /// Checks `cost` against what this host may take without asking the keeper.
    fn check_unasked(&mut self, now: ClockInstant, fleet: FleetPart, cost: f64) -> ChargeOutcome {
        let over = self.check_kept_back(now, fleet, cost);
        if over != ChargeOutcome::Taken {
            return over;
        }
        let recent = self.own_recent.sum(now, fleet.silence);
        let part = UNASKED_PART * self.demand_part(now, fleet, UNASKED_PRIOR);
        if recent + cost <= part * (self.balance + recent) {
            ChargeOutcome::Taken
        } else {
            ChargeOutcome::AskLeader
        }
    }

    /// Checks `cost` while nobody grants anything.
    fn check_alone(&mut self, now: ClockInstant, fleet: FleetPart, cost: f64) -> ChargeOutcome {
        let needed = cost.min(self.limit.burst * fleet.part);
        let over = self.outcome(fleet, needed - self.balance);
        if over != ChargeOutcome::Taken {
            return over;
        }
        let recent = self.own_recent.sum(now, fleet.silence);
        let part = ALONE_STRETCH * self.demand_part(now, fleet, ALONE_PRIOR);
        if recent <= 0.0 || recent + cost <= part * (self.balance + recent) {
            ChargeOutcome::Taken
        } else {
            ChargeOutcome::Over(fleet.silence)
        }
    }

    /// Returns this host's part of what was spent of late; an even part as long as that is little
    /// against the part `prior` of a burst.
    fn demand_part(&self, now: ClockInstant, fleet: FleetPart, prior: f64) -> f64 {
        let prior = self.limit.burst * prior;
        (self.own_demand.sum(now) + prior / fleet.known) / (self.all_demand.sum(now) + prior)
    }

    fn outcome(&self, fleet: FleetPart, lacking: f64) -> ChargeOutcome {
        if lacking <= 0.0 {
            return ChargeOutcome::Taken;
        }
        let wait = (lacking / (self.limit.rate * fleet.part)).min(LONGEST_WAIT_S);
        ChargeOutcome::Over(Duration::from_secs_f64(wait))
    }

    /// Takes tokens that this host spends.
    fn take(&mut self, now: ClockInstant, fleet: FleetPart, tokens: TokenCount) {
        let cost = as_tokens(tokens);
        self.spend(now, fleet, cost);
        self.own_recent.add(now, fleet.silence, cost);
        self.own_demand.add(now, cost);
        self.all_demand.add(now, cost);
        self.spent = self.spent.saturating_add_unsigned(tokens.0);
        self.changed = Some(now);
    }

    /// Takes tokens that some host spent, or gives them back if `cost` is negative.
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

fn refill(entry: &mut TeamBucket, now: ClockInstant, part: f64) {
    let gained = now.since(entry.at).as_secs_f64() * entry.limit.rate * part;
    entry.at = entry.at.max(now);
    entry.balance = (entry.balance + gained).min(entry.limit.burst * part);
}
