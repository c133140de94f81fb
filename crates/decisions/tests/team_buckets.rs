//! Levels that hosts keep from what all hosts say they spent.

use std::time::Duration;

use dotterellane_decisions::team_buckets::{
    ChargeOutcome, GrantSource, PEER_EXPIRY, TeamBuckets, TeamLimit,
};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use googletest::prelude::*;

const BEAT: Duration = Duration::from_millis(100);
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

fn levels(now: ClockInstant, starts_full: bool) -> TeamBuckets {
    let mut levels = TeamBuckets::new(now, starts_full);
    levels.set_limits(now, [(team(), TeamLimit { rate: RATE, burst: RATE })]);
    levels
}

/// Charges a host that hears no keeper.
fn charge_alone(
    levels: &mut TeamBuckets,
    now: ClockInstant,
    tokens: u64,
) -> std::result::Result<(), Duration> {
    match levels.charge(now, &team(), TokenCount(tokens), GrantSource::Nobody) {
        ChargeOutcome::Taken => Ok(()),
        ChargeOutcome::Over(wait) => Err(wait),
        ChargeOutcome::AskLeader => panic!("there is no keeper to ask"),
    }
}

/// Several hosts whose reports reach those that `hears` allows.
struct Fleet {
    hosts: Vec<TeamBuckets>,
    incarnations: Vec<u64>,
    /// Reports of each host so far.
    reports: Vec<u32>,
}

impl Fleet {
    fn new(count: usize, now: ClockInstant) -> Self {
        let hosts = (0..count).map(|_| levels(now, true)).collect();
        Self { hosts, incarnations: vec![1; count], reports: vec![0; count] }
    }

    fn restart(&mut self, index: usize, now: ClockInstant) {
        self.hosts[index] = levels(now, false);
        self.incarnations[index] += 1;
        // The others see a stranger and introduce themselves.
        self.reports.fill(0);
    }

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

    /// Lets each host spend what it may, in pieces; returns the tokens spent.
    fn spend_all(&mut self, now: ClockInstant, piece: u64) -> u64 {
        let mut spent = 0;
        for levels in &mut self.hosts {
            while charge_alone(levels, now, piece).is_ok() {
                spent += piece;
            }
        }
        spent
    }
}

#[gtest]
fn levels_spent_on_one_host_are_missing_on_another() {
    let mut fleet = Fleet::new(2, at(0));
    expect_that!(charge_alone(&mut fleet.hosts[0], at(0), 900), ok(anything()));
    fleet.report(at(10), &[], |_, _| true);
    expect_that!(charge_alone(&mut fleet.hosts[1], at(10), 900), err(anything()));
}

#[gtest]
fn levels_report_names_teams_that_spent_of_late_or_all() {
    let mut levels = levels(at(0), true);
    let other: TeamId = "team-b".parse().expect("valid id");
    let limit = TeamLimit { rate: RATE, burst: RATE };
    levels.set_limits(at(0), [(team(), limit), (other.clone(), limit)]);
    expect_that!(levels.report(at(0), false).teams, is_empty());
    expect_that!(charge_alone(&mut levels, at(0), 10), ok(anything()));
    let names = |levels: &mut TeamBuckets, now, whole| {
        let report = levels.report(now, whole);
        report.teams.into_iter().map(|spending| spending.team).collect::<Vec<_>>()
    };
    expect_that!(names(&mut levels, at(1_400), false), eq(&vec![team()]));
    expect_that!(names(&mut levels, at(1_600), false), is_empty());
    expect_that!(names(&mut levels, at(1_600), true), eq(&vec![team(), other]));
    levels.refund(at(2_000), &team(), TokenCount(10));
    expect_that!(names(&mut levels, at(2_100), false), eq(&vec![team()]));
}

#[gtest]
fn levels_are_learnt_from_the_first_whole_report() {
    let mut old = levels(at(0), true);
    expect_that!(charge_alone(&mut old, at(0), 900), ok(anything()));
    let mut young = levels(at(1), false);
    let report = |old: &mut TeamBuckets, whole| old.report(at(1), whole);
    let incarnation = HostIncarnation(1);
    young.absorb(at(1), &host(0), incarnation, &report(&mut old, false), false);
    // A quarter of the burst is what a host counts on that has heard nothing.
    expect_that!(charge_alone(&mut young, at(1), 200), ok(anything()));
    young.refund(at(1), &team(), TokenCount(200));
    young.absorb(at(1), &host(0), incarnation, &report(&mut old, true), false);
    expect_that!(charge_alone(&mut young, at(1), 200), err(anything()));
}

#[gtest]
fn levels_stay_within_rate_and_burst_while_reports_come() {
    let mut fleet = Fleet::new(9, at(0));
    let mut spent = 0;
    for step in 0..80 {
        let now = at(step * 100);
        spent += fleet.spend_all(now, 50);
        fleet.report(now, &[], |_, _| true);
    }
    // Nine hosts may each spend the burst once before the first reports; after that the debt is paid.
    expect_that!(spent, le(8_000 + 9 * 1_000));
    expect_that!(spent, ge(8_000));
}

#[gtest]
fn levels_in_rate_demand_on_a_single_host_is_never_refused() {
    let mut fleet = Fleet::new(9, at(0));
    for step in 0..100 {
        let now = at(step * 100);
        let charged = charge_alone(&mut fleet.hosts[4], now, 90);
        expect_that!(charged, ok(anything()), "at step {step}");
        fleet.report(now, &[], |_, _| true);
    }
}

#[gtest]
fn levels_parts_of_a_cut_fleet_stay_within_the_rate_together() {
    let mut fleet = Fleet::new(9, at(0));
    fleet.report(at(0), &[], |_, _| true);
    // The first second lets the cut be noticed; the window after it counts.
    let mut spent = 0;
    for step in 0..180 {
        let now = at(step * 100);
        let round = fleet.spend_all(now, 50);
        if (10..90).contains(&step) {
            spent += round;
        }
        fleet.report(now, &[], |from, to| (from < 3) == (to < 3));
    }
    expect_that!(spent, le(8_000 + 1_000 + 9 * 50));
}

#[gtest]
fn levels_leaving_host_that_reports_on_is_charged_once() {
    let mut fleet = Fleet::new(2, at(0));
    expect_that!(charge_alone(&mut fleet.hosts[0], at(0), 600), ok(anything()));
    for step in 0..30 {
        fleet.report(at(step * 100), &[0], |_, _| true);
    }
    expect_that!(charge_alone(&mut fleet.hosts[1], at(3_000), 900), ok(anything()));
}

#[gtest]
fn levels_host_that_left_holds_no_part_of_the_rate() {
    let mut fleet = Fleet::new(2, at(0));
    fleet.report(at(0), &[0], |_, _| true);
    expect_that!(fleet.hosts[1].heard_fraction(at(100)), eq(1.0));
    expect_that!(fleet.hosts[1].heard_fraction(at(2_000)), eq(1.0));
}

#[gtest]
fn levels_peer_back_after_a_long_silence_is_charged_once() {
    let mut fleet = Fleet::new(2, at(0));
    expect_that!(charge_alone(&mut fleet.hosts[0], at(0), 600), ok(anything()));
    fleet.report(at(10), &[], |_, _| true);
    let later = at(10) + PEER_EXPIRY + PEER_EXPIRY;
    fleet.report(later, &[], |_, _| true);
    fleet.report(later + BEAT, &[], |_, _| true);
    let charged = charge_alone(&mut fleet.hosts[1], later + BEAT, 900);
    expect_that!(charged, ok(anything()));
}

#[gtest]
fn levels_restarted_host_starts_from_what_peers_believe() {
    let mut fleet = Fleet::new(3, at(0));
    fleet.report(at(0), &[], |_, _| true);
    fleet.restart(0, at(500));
    fleet.report(at(510), &[], |_, _| true);
    expect_that!(charge_alone(&mut fleet.hosts[0], at(510), 900), ok(anything()));
    expect_that!(charge_alone(&mut levels(at(0), false), at(0), 900), err(anything()));
}

#[gtest]
fn levels_request_above_the_burst_passes_when_full_and_is_paid_off() {
    let mut levels = levels(at(0), true);
    expect_that!(charge_alone(&mut levels, at(0), 3_000), ok(anything()));
    expect_that!(charge_alone(&mut levels, at(1_900), 1), err(anything()));
    expect_that!(charge_alone(&mut levels, at(2_100), 1), ok(anything()));
}

#[gtest]
fn levels_without_a_limit_never_refuse() {
    let mut levels = TeamBuckets::new(at(0), false);
    levels.set_limits(at(0), [(team(), TeamLimit { rate: 0.0, burst: 0.0 })]);
    expect_that!(charge_alone(&mut levels, at(0), 1 << 40), ok(anything()));
}
