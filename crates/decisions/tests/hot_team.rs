//! Simulation of a team far over its rate in fleets of several sizes: it must stay within its limit
//! over all hosts, and teams that stay within their rate must not be refused because of it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::team_buckets::{
    ChargeOutcome, GrantSource, LimitTolerance, TeamBuckets, TeamLimit,
};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Window in which the users' rules limit a team's tokens, and the excess that they allow in it.
const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: LimitTolerance = LimitTolerance { excess: 0.1, slack: 11_000.0 };

const STEP: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_secs(24);
/// When the hot team raises its load.
const HOT_FROM: Duration = Duration::from_secs(6);
/// Probability that a report is lost.
const LOSS: f64 = 0.02;
/// Tokens of each request.
const COST: u64 = 2_000;

/// A team with its limit, and its load as a multiple of its rate.
struct Team {
    name: TeamId,
    limit: TeamLimit,
    /// Load before `HOT_FROM`.
    load: f64,
    /// Load after `HOT_FROM`.
    hot_load: f64,
}

fn teams() -> Vec<Team> {
    let team = |name: &str, rate: f64, load: f64, hot_load: f64| Team {
        name: name.parse().expect("valid id"),
        limit: TeamLimit { rate, burst: rate * 3.5 },
        load,
        hot_load,
    };
    vec![
        team("hot", 100_000.0, 0.6, 8.0),
        team("large", 120_000.0, 0.6, 0.6),
        team("small", 6_000.0, 0.5, 0.5),
    ]
}

struct Outcome {
    /// Largest number of tokens beyond those allowed in a window, by team; negative if below.
    over: BTreeMap<TeamId, f64>,
    /// Number of requests and of refusals by team.
    asked: BTreeMap<TeamId, (u32, u32)>,
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().expect("valid id")
}

/// Charges one request at a host as the daemon does; `leader` grants tokens, if there is one.
fn charge(
    hosts: &mut [TeamBuckets],
    at: usize,
    leader: Option<usize>,
    now: ClockInstant,
    team: &TeamId,
) -> bool {
    let source = match leader {
        Some(leader) if leader == at => GrantSource::Itself,
        Some(_) => GrantSource::Leader,
        None => GrantSource::Nobody,
    };
    match hosts[at].charge(now, team, TokenCount(COST), source) {
        ChargeOutcome::Taken => true,
        ChargeOutcome::Over(_) => false,
        ChargeOutcome::AskLeader => {
            let leader = leader.expect("a leader to ask");
            let requester = (&host(at), HostIncarnation(1));
            let granted = hosts[leader].grant(now, requester, team, TokenCount(COST)).is_ok();
            if granted {
                hosts[at].take_granted(now, team, TokenCount(COST));
            }
            granted
        }
    }
}

/// Simulates a fleet of `count` hosts, some of which get many more requests than others. The first
/// host is the leader, except from the start to the end of `gap`.
fn simulate(count: usize, seed: u64, gap: Option<(Duration, Duration)>) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let start = ClockInstant::from_millis(1_000_000);
    let teams = teams();
    let mut hosts: Vec<TeamBuckets> = (0..count)
        .map(|_| {
            let mut buckets = TeamBuckets::new(start, true);
            buckets.set_limits(
                start,
                teams.iter().map(|team| (team.name.clone(), team.limit.with_tolerance(TOLERANCE))),
            );
            buckets
        })
        .collect();
    let pace = HeartbeatPace::of(count - 1);
    let mut heartbeats: Vec<(ClockInstant, u32)> =
        (0..count).map(|_| (start + pace.max_interval.mul_f64(random.random()), 0)).collect();
    let weights: Vec<f64> = (0..count).map(|_| random.random::<f64>().powi(3) + 0.02).collect();
    let total: f64 = weights.iter().sum();
    let pick = |random: &mut Pcg64Mcg| {
        let mut left = random.random::<f64>() * total;
        weights
            .iter()
            .position(|weight| {
                left -= weight;
                left < 0.0
            })
            .unwrap_or(0)
    };
    let mut spent: BTreeMap<TeamId, VecDeque<(ClockInstant, u64)>> = BTreeMap::new();
    let mut outcome = Outcome { over: BTreeMap::new(), asked: BTreeMap::new() };
    let mut now = start;
    while now.since(start) < RUN_TIME {
        let in_gap = gap.is_some_and(|(from, to)| (from..to).contains(&now.since(start)));
        let leader = (!in_gap).then_some(0);
        for team in &teams {
            let load = if now.since(start) > HOT_FROM { team.hot_load } else { team.load };
            let mut expected = team.limit.rate * load * STEP.as_secs_f64() / COST as f64;
            while expected > 0.0 {
                if random.random::<f64>() < expected {
                    let at = pick(&mut random);
                    let entry = outcome.asked.entry(team.name.clone()).or_default();
                    entry.0 += 1;
                    if charge(&mut hosts, at, leader, now, &team.name) {
                        spent.entry(team.name.clone()).or_default().push_back((now, COST));
                    } else {
                        entry.1 += 1;
                    }
                }
                expected -= 1.0;
            }
            let window = spent.entry(team.name.clone()).or_default();
            while window.front().is_some_and(|(at, _)| now.since(*at) > WINDOW) {
                window.pop_front();
            }
            let sum: u64 = window.iter().map(|(_, tokens)| tokens).sum();
            let allowed = (team.limit.rate * WINDOW.as_secs_f64() + team.limit.burst)
                * (1.0 + TOLERANCE.excess)
                + TOLERANCE.slack;
            let over = outcome.over.entry(team.name.clone()).or_insert(f64::MIN);
            *over = over.max(sum as f64 - allowed);
        }
        for from in 0..count {
            let (due, number) = heartbeats[from];
            if due > now {
                continue;
            }
            let report = hosts[from].report(now, number % 8 == 0);
            heartbeats[from] = (now + pace.max_interval, number + 1);
            for (to, buckets) in hosts.iter_mut().enumerate() {
                if to != from && !random.random_bool(LOSS) {
                    buckets.absorb(now, &host(from), HostIncarnation(1), &report, false);
                }
            }
        }
        now = now + STEP;
    }
    outcome
}

#[gtest]
fn hot_team_stays_within_its_limit_and_others_get_theirs_at_each_size() {
    check(None, 0.0);
}

#[gtest]
fn hot_team_stays_within_its_limit_without_a_leader() {
    // A gap from when the team becomes hot, and one while it is hot.
    for gap_start in [6, 10] {
        check(Some((Duration::from_secs(gap_start), Duration::from_secs(gap_start + 4))), 0.05);
    }
}

/// Simulates each fleet size and checks that no team exceeds its limit, and that teams within their
/// rate are refused at most the fraction `refusals` of their requests.
fn check(gap: Option<(Duration, Duration)>, refusals: f64) {
    for count in [6, 77, 195, 300] {
        let outcome = simulate(count, 7, gap);
        for (team, over) in &outcome.over {
            let (asked, refused) = outcome.asked[team];
            println!("{count} hosts, {team}: {over:.0} over, {refused} of {asked} refused");
            expect_that!(*over, le(0.0), "{count} hosts, {team}");
            if team.as_str() != "hot" {
                expect_that!(
                    f64::from(refused),
                    le(f64::from(asked) * refusals),
                    "{count}, {team}"
                );
            }
        }
    }
}
