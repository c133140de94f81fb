//! Team levels that every host keeps from what all hosts say they spent.
//!
//! Each host keeps one level a team, filled at the team's rate, and takes from it what it spends
//! itself and what its peers report. A peer that falls silent is taken to spend its even part of
//! the rate, and the silent peer, which hears nobody, limits itself to just that part; so the parts
//! of a cut fleet together stay within the rate. Reports are running totals: a lost one is made up
//! for by the next.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use serde::{Deserialize, Serialize};

use crate::beat_pace::BeatPace;

/// Time without a report after which a peer no longer holds a part of the rate.
pub const PEER_MEMORY: Duration = Duration::from_secs(20);

/// Time without a report after which what a peer spent is forgotten.
const TOTALS_MEMORY: Duration = Duration::from_secs(600);

/// Time after the start in which first reports of peers are taken over and not charged.
const LEARNING_SPAN: Duration = Duration::from_millis(1_500);

/// Rate and burst of one team over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Tokens a second; zero means that the team has no limit.
    pub rate: f64,
    /// Tokens that may be spent at once after a pause.
    pub burst: f64,
}

/// How far the fleet may exceed a limit within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTolerance {
    /// Part of what the limit allows in a window.
    pub excess: f64,
    /// Tokens besides.
    pub slack: f64,
}

/// Part of the tolerance of the rate that is lent to teams; the rest covers reports under way.
const LENT_RATE: f64 = 0.6;

/// Part of the tolerance of the burst that is lent to teams.
const LENT_BURST: f64 = 0.6;

/// Longest wait that a refusal tells, in seconds.
const LONGEST_WAIT_S: f64 = 60.0;

/// Part of a burst with which a host starts that has heard no peer, after all lost their memory.
const FIRST_LEVEL: f64 = 0.25;

impl TeamLimit {
    /// Returns the limit that a fleet can keep to that knows its spending a little late.
    pub fn lent(self, tolerance: LimitTolerance) -> Self {
        let burst = self.burst * (1.0 + tolerance.excess) + tolerance.slack * LENT_BURST;
        Self { rate: self.rate * (1.0 + tolerance.excess * LENT_RATE), burst }
    }
}

/// What one host spent for its teams.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SpendingReport {
    /// Whether all teams are named; otherwise those that spent of late.
    pub whole: bool,
    /// Spending by team.
    pub teams: Vec<TeamSpending>,
}

/// What one host spent for one team since its start, and the level it believes in.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TeamSpending {
    /// Team that spent.
    pub team: TeamId,
    /// Tokens charged since the start of the host, refunds taken off.
    pub total: i64,
    /// Level as the host sees it, in tokens.
    pub level: i64,
}

#[derive(Clone, Debug)]
struct TeamLevel {
    limit: TeamLimit,
    level: f64,
    at: ClockInstant,
    spent: i64,
    changed: Option<ClockInstant>,
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
pub struct TeamLevels {
    started: ClockInstant,
    starts_full: bool,
    teams: BTreeMap<TeamId, TeamLevel>,
    peers: BTreeMap<HostId, PeerSpending>,
    learned: BTreeMap<TeamId, f64>,
}

impl TeamLevels {
    /// Returns levels of a host that starts now; `starts_full` if the whole fleet starts anew, so
    /// that nobody can have spent a burst before.
    pub fn new(now: ClockInstant, starts_full: bool) -> Self {
        Self {
            started: now,
            starts_full,
            teams: BTreeMap::new(),
            peers: BTreeMap::new(),
            learned: BTreeMap::new(),
        }
    }

    /// Sets the limits in force; teams that are not named are forgotten.
    pub fn set_limits<L>(&mut self, now: ClockInstant, limits: L)
    where
        L: IntoIterator<Item = (TeamId, TeamLimit)>,
    {
        let mut known = std::mem::take(&mut self.teams);
        for (team, limit) in limits {
            let entry = match known.remove(&team) {
                Some(mut entry) => {
                    let part = self.own_part(now);
                    refill(&mut entry, now, part);
                    entry.limit = limit;
                    entry.level = entry.level.min(limit.burst);
                    entry
                }
                None => {
                    let first = if self.starts_full { 1.0 } else { FIRST_LEVEL } * limit.burst;
                    let level =
                        self.learned.get(&team).map_or(first, |heard| heard.min(limit.burst));
                    TeamLevel { limit, level, at: now, spent: 0, changed: None }
                }
            };
            self.teams.insert(team, entry);
        }
    }

    /// Takes `tokens` for `team`.
    ///
    /// # Errors
    /// Fails with the time until the tokens will be there; nothing is taken then.
    pub fn charge(
        &mut self,
        now: ClockInstant,
        team: &TeamId,
        tokens: TokenCount,
    ) -> Result<(), Duration> {
        let part = self.own_part(now);
        let Some(entry) = self.teams.get_mut(team) else { return Ok(()) };
        refill(entry, now, part);
        #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
        let cost = tokens.0 as f64;
        if entry.limit.rate > 0.0 {
            // A request above the burst passes once the level is full, and is paid off afterwards.
            let needed = cost.min(entry.limit.burst * part);
            if entry.level < needed {
                let rate = entry.limit.rate * part;
                let wait = ((needed - entry.level) / rate).min(LONGEST_WAIT_S);
                return Err(Duration::from_secs_f64(wait));
            }
        }
        entry.level -= cost;
        entry.spent = entry.spent.saturating_add_unsigned(tokens.0);
        entry.changed = Some(now);
        Ok(())
    }

    /// Gives back tokens of a request that did not run.
    pub fn refund(&mut self, now: ClockInstant, team: &TeamId, tokens: TokenCount) {
        if let Some(entry) = self.teams.get_mut(team) {
            #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
            let cost = tokens.0 as f64;
            entry.level = (entry.level + cost).min(entry.limit.burst);
            entry.spent = entry.spent.saturating_sub_unsigned(tokens.0);
            entry.changed = Some(now);
        }
    }

    /// Returns what to report to the peers: all teams if `whole`, otherwise those that spent of late.
    pub fn report(&mut self, now: ClockInstant, whole: bool) -> SpendingReport {
        let part = self.own_part(now);
        let span = self.pace(now).news_span();
        let named = |entry: &TeamLevel| {
            whole || entry.changed.is_some_and(|changed| now.since(changed) < span)
        };
        let entries = self.teams.iter_mut().filter(|(_, entry)| named(entry));
        let entries = entries.map(|(team, entry)| {
            refill(entry, now, part);
            #[expect(clippy::cast_possible_truncation, reason = "levels are far below 2^52")]
            let level = entry.level as i64;
            TeamSpending { team: team.clone(), total: entry.spent, level }
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
        let part = self.own_part(now);
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
            #[expect(clippy::cast_precision_loss, reason = "levels are far below 2^52")]
            let (spent, level) = ((spending.total - before) as f64, spending.level as f64);
            let Some(entry) = self.teams.get_mut(&spending.team) else {
                self.learned.insert(spending.team.clone(), level);
                continue;
            };
            refill(entry, now, part);
            if first && learning {
                // The peer's level holds what it and others spent before this host started.
                entry.level = if entry.spent == 0 { level } else { entry.level.min(level) };
            } else {
                entry.level = (entry.level - spent).min(entry.limit.burst);
            }
        }
        self.peers.insert(peer.clone(), PeerSpending { incarnation, heard: now, leaving, totals });
    }

    /// Returns the part of each rate that this host may count on: the hosts it hears, itself
    /// included, over the hosts it knows.
    pub fn own_part(&mut self, now: ClockInstant) -> f64 {
        self.peers.retain(|_, peer| now.since(peer.heard) < TOTALS_MEMORY);
        let silence = self.pace(now).silence;
        let (mut known, mut silent) = (1, 0);
        for peer in self.peers.values() {
            let age = now.since(peer.heard);
            // One that said that it leaves has gone once it is silent, and spends nothing.
            let memory = if peer.leaving { silence } else { PEER_MEMORY };
            known += usize::from(age < memory);
            silent += usize::from(age < memory && age > silence);
        }
        #[expect(clippy::cast_precision_loss, reason = "hosts are few")]
        let part = (known - silent) as f64 / known as f64;
        part
    }

    /// Returns the pace of the peers' beats.
    fn pace(&self, now: ClockInstant) -> BeatPace {
        let heard = self.peers.values().filter(|peer| now.since(peer.heard) < PEER_MEMORY);
        BeatPace::of(heard.count())
    }
}

fn refill(entry: &mut TeamLevel, now: ClockInstant, part: f64) {
    let gained = now.since(entry.at).as_secs_f64() * entry.limit.rate * part;
    entry.at = entry.at.max(now);
    entry.level = (entry.level + gained).min(entry.limit.burst * part);
}
