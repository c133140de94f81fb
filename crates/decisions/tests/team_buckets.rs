//! Token buckets that hosts keep for the whole fleet from the spending that all hosts report.

use std::time::Duration;

use dotterellane_decisions::team_buckets::{
    ChargeOutcome, GrantSource, PEER_EXPIRY, TeamBuckets, TeamLimit,
};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use googletest::prelude::*;

const HEARTBEAT: Duration = Duration::from_millis(100);
const RATE: f64 = 1_000.0;

fn team() -> TeamId {
    "team-a".parse().expect("valid id")
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().expect("valid id")
}

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + millis)
}

fn buckets(now: ClockInstant, starts_full: bool) -> TeamBuckets {
    let mut buckets = TeamBuckets::new(now, starts_full);
    buckets.set_limits(now, [(team(), TeamLimit { rate: RATE, burst: RATE })]);
    buckets
}

/// Charges a host while there is no leader.
fn charge_leaderless(
    buckets: &mut TeamBuckets,
    now: ClockInstant,
    tokens: u64,
) -> std::result::Result<(), Duration> {
    match buckets.charge(now, &team(), TokenCount(tokens), GrantSource::Nobody) {
        ChargeOutcome::Taken => Ok(()),
        ChargeOutcome::Over(wait) => Err(wait),
        ChargeOutcome::AskLeader => panic!("there is no leader to ask"),
    }
}

/// Several hosts that report their spending to each other.
struct Fleet {
    hosts: Vec<TeamBuckets>,
    incarnations: Vec<u64>,
    /// Number of reports sent by each host.
    reports: Vec<u32>,
}

impl Fleet {
    fn new(count: usize, now: ClockInstant) -> Self {
        let hosts = (0..count).map(|_| buckets(now, true)).collect();
        Self { hosts, incarnations: vec![1; count], reports: vec![0; count] }
    }

    fn restart(&mut self, index: usize, now: ClockInstant) {
        self.hosts[index] = buckets(now, false);
        self.incarnations[index] += 1;
        // The next report of each host is whole, as it is for a new peer.
        self.reports.fill(0);
    }

    /// Lets each host report once to the hosts that hear it by `hears`; those in `leaving` announce
    /// their leaving.
    fn report<H>(&mut self, now: ClockInstant, leaving: &[usize], hears: H)
    where
        H: Fn(usize, usize) -> bool,
    {
        for from in 0..self.hosts.len() {
            let whole = self.reports[from].is_multiple_of(8);
            self.reports[from] += 1;
            let report = self.hosts[from].report(now, whole);
            let incarnation = HostIncarnation(self.incarnations[from]);
            for to in 0..self.hosts.len() {
                if to != from && hears(from, to) {
                    let leaves = leaving.contains(&from);
                    self.hosts[to].absorb(now, &host(from), incarnation, &report, leaves);
                }
            }
        }
    }

    /// Lets each host spend all that it may in charges of `piece` tokens; returns the tokens spent.
    fn spend_all(&mut self, now: ClockInstant, piece: u64) -> u64 {
        let mut spent = 0;
        for buckets in &mut self.hosts {
            while charge_leaderless(buckets, now, piece).is_ok() {
                spent += piece;
            }
        }
        spent
    }
}

#[gtest]
fn buckets_charge_spending_of_another_host() {
    let mut fleet = Fleet::new(2, at(0));
    expect_that!(charge_leaderless(&mut fleet.hosts[0], at(0), 900), ok(anything()));
    fleet.report(at(10), &[], |_, _| true);
    expect_that!(charge_leaderless(&mut fleet.hosts[1], at(10), 900), err(anything()));
}

#[gtest]
fn buckets_report_contains_recent_spenders_or_all_teams() {
    let mut buckets = buckets(at(0), true);
    let other: TeamId = "team-b".parse().expect("valid id");
    let limit = TeamLimit { rate: RATE, burst: RATE };
    buckets.set_limits(at(0), [(team(), limit), (other.clone(), limit)]);
    expect_that!(buckets.report(at(0), false).teams, is_empty());
    expect_that!(charge_leaderless(&mut buckets, at(0), 10), ok(anything()));
    let names = |buckets: &mut TeamBuckets, now, whole| {
        let report = buckets.report(now, whole);
        report.teams.into_iter().map(|spending| spending.team).collect::<Vec<_>>()
    };
    expect_that!(names(&mut buckets, at(1_400), false), eq(&vec![team()]));
    expect_that!(names(&mut buckets, at(1_600), false), is_empty());
    expect_that!(names(&mut buckets, at(1_600), true), eq(&vec![team(), other]));
    buckets.refund(at(2_000), &team(), TokenCount(10));
    expect_that!(names(&mut buckets, at(2_100), false), eq(&vec![team()]));
}

#[gtest]
fn buckets_take_balances_from_the_first_whole_report() {
    let mut old = buckets(at(0), true);
    expect_that!(charge_leaderless(&mut old, at(0), 900), ok(anything()));
    let mut restarted = buckets(at(1), false);
    let report = |old: &mut TeamBuckets, whole| old.report(at(1), whole);
    let incarnation = HostIncarnation(1);
    restarted.absorb(at(1), &host(0), incarnation, &report(&mut old, false), false);
    // A restarted host that has heard no peer starts with a quarter of the burst.
    expect_that!(charge_leaderless(&mut restarted, at(1), 200), ok(anything()));
    restarted.refund(at(1), &team(), TokenCount(200));
    restarted.absorb(at(1), &host(0), incarnation, &report(&mut old, true), false);
    expect_that!(charge_leaderless(&mut restarted, at(1), 200), err(anything()));
}

#[gtest]
fn buckets_stay_within_rate_and_burst_while_reports_arrive() {
    let mut fleet = Fleet::new(9, at(0));
    let mut spent = 0;
    for step in 0..80 {
        let now = at(step * 100);
        spent += fleet.spend_all(now, 50);
        fleet.report(now, &[], |_, _| true);
    }
    // Nine hosts may each spend the burst once before the first reports; later refills pay that
    // off.
    expect_that!(spent, le(8_000 + 9 * 1_000));
    expect_that!(spent, ge(8_000));
}

#[gtest]
fn buckets_demand_within_rate_on_a_single_host_is_never_refused() {
    let mut fleet = Fleet::new(9, at(0));
    for step in 0..100 {
        let now = at(step * 100);
        let charged = charge_leaderless(&mut fleet.hosts[4], now, 90);
        expect_that!(charged, ok(anything()), "at step {step}");
        fleet.report(now, &[], |_, _| true);
    }
}

#[gtest]
fn buckets_parts_of_a_partitioned_fleet_stay_within_the_rate_together() {
    let mut fleet = Fleet::new(9, at(0));
    fleet.report(at(0), &[], |_, _| true);
    // The hosts notice the partition within the first second; the window after it counts.
    let mut spent = 0;
    for step in 0..180 {
        let now = at(step * 100);
        let newly_spent = fleet.spend_all(now, 50);
        if (10..90).contains(&step) {
            spent += newly_spent;
        }
        fleet.report(now, &[], |from, to| (from < 3) == (to < 3));
    }
    expect_that!(spent, le(8_000 + 1_000 + 9 * 50));
}

#[gtest]
fn buckets_leaving_host_that_keeps_reporting_is_charged_once() {
    let mut fleet = Fleet::new(2, at(0));
    expect_that!(charge_leaderless(&mut fleet.hosts[0], at(0), 600), ok(anything()));
    for step in 0..30 {
        fleet.report(at(step * 100), &[0], |_, _| true);
    }
    expect_that!(charge_leaderless(&mut fleet.hosts[1], at(3_000), 900), ok(anything()));
}

#[gtest]
fn buckets_host_that_left_has_no_share_of_the_rate() {
    let mut fleet = Fleet::new(2, at(0));
    fleet.report(at(0), &[0], |_, _| true);
    expect_that!(fleet.hosts[1].heard_fraction(at(100)), eq(1.0));
    expect_that!(fleet.hosts[1].heard_fraction(at(2_000)), eq(1.0));
}

#[gtest]
fn buckets_peer_back_after_a_long_silence_is_charged_once() {
    let mut fleet = Fleet::new(2, at(0));
    expect_that!(charge_leaderless(&mut fleet.hosts[0], at(0), 600), ok(anything()));
    fleet.report(at(10), &[], |_, _| true);
    let later = at(10) + PEER_EXPIRY + PEER_EXPIRY;
    fleet.report(later, &[], |_, _| true);
    fleet.report(later + HEARTBEAT, &[], |_, _| true);
    let charged = charge_leaderless(&mut fleet.hosts[1], later + HEARTBEAT, 900);
    expect_that!(charged, ok(anything()));
}

#[gtest]
fn buckets_restarted_host_starts_with_balances_of_peers() {
    let mut fleet = Fleet::new(3, at(0));
    fleet.report(at(0), &[], |_, _| true);
    fleet.restart(0, at(500));
    fleet.report(at(510), &[], |_, _| true);
    expect_that!(charge_leaderless(&mut fleet.hosts[0], at(510), 900), ok(anything()));
    expect_that!(charge_leaderless(&mut buckets(at(0), false), at(0), 900), err(anything()));
}

#[gtest]
fn buckets_request_above_the_burst_passes_when_full_and_overdraws() {
    let mut buckets = buckets(at(0), true);
    expect_that!(charge_leaderless(&mut buckets, at(0), 3_000), ok(anything()));
    expect_that!(charge_leaderless(&mut buckets, at(1_900), 1), err(anything()));
    expect_that!(charge_leaderless(&mut buckets, at(2_100), 1), ok(anything()));
}

#[gtest]
fn buckets_without_a_limit_never_refuse() {
    let mut buckets = TeamBuckets::new(at(0), false);
    buckets.set_limits(at(0), [(team(), TeamLimit { rate: 0.0, burst: 0.0 })]);
    expect_that!(charge_leaderless(&mut buckets, at(0), 1 << 40), ok(anything()));
}
