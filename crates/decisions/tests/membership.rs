//! Tests quorums, the wait before an entry is in force, joins, and when absent hosts count as
//! departed.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterellane_decisions::freshness::{
    EVIDENCE_BOUND, FreshnessEvidence, FreshnessMachine, in_force_wait,
};
use dotterellane_decisions::membership::{
    ABSENCE_BOUND, AbsenceTracker, MAX_LISTS_IN_USE, MemberChange, MemberList, MemberLists,
};
use dotterellane_protocol::{LogPosition, MemberId, MemberRecord};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation};
use googletest::prelude::*;

fn record(host: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        id: MemberId { host: host.parse().unwrap(), incarnation: HostIncarnation(incarnation) },
        domain: "braga-a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

fn joined(lists: &MemberLists, position: u64, members: &[MemberRecord]) -> MemberLists {
    let (position, in_force) = (LogPosition(position), LogPosition(0));
    lists.changed(&MemberChange { position, joined: members, removed: &[], in_force })
}

fn list(count: usize) -> MemberList {
    let records = (0..count).map(|index| record(&format!("host-{index}"), 1));
    MemberList { made_at: LogPosition(1), records: records.collect() }
}

#[gtest]
fn is_quorum_every_two_intersect() {
    for count in 0..8 {
        let list = list(count);
        let counts = |bits: u32| {
            let list = &list;
            move |member: &MemberId| bits >> list.index_of(member).unwrap() & 1 == 1
        };
        let quorums: Vec<u32> =
            (0..1_u32 << count).filter(|bits| list.is_quorum(counts(*bits))).collect();
        for one in &quorums {
            expect_that!(quorums.iter().all(|other| one & other != 0), eq(true));
        }
        for bits in 0..1_u32 << count {
            let meets_all = quorums.iter().all(|quorum| quorum & bits != 0);
            expect_that!(list.is_blocking_set(counts(bits)), eq(meets_all));
        }
    }
}

#[gtest]
fn in_force_wait_covers_drift() {
    // The drift that the operators' documentation allows.
    let drift = 0.005;
    let longest_evidence = EVIDENCE_BOUND.as_secs_f64() / (1.0 - drift);
    let shortest_wait = in_force_wait().as_secs_f64() / (1.0 + drift);
    expect_that!(shortest_wait, ge(longest_evidence));
    // The commit, the confirmations and the wait must fit into 5 s.
    expect_that!(in_force_wait(), lt(Duration::from_secs(4)));
}

#[gtest]
fn evidence_superseded() {
    let own = record("a", 1);
    let now = ClockInstant::from_millis(10_000);
    let mut machine = FreshnessMachine::new(own.id.clone());
    machine.learn_table(now, LogPosition(0), LogPosition(0));
    expect_that!(machine.evidence(now), eq(FreshnessEvidence::Table));
    let lists = joined(&MemberLists::default(), 1, &[record("a", 2)]);
    machine.follow(LogPosition(1), &lists, now);
    expect_that!(machine.evidence(now), eq(FreshnessEvidence::Superseded));
}

#[gtest]
fn may_join_lists_unsettled() {
    let mut lists = MemberLists::default();
    for position in 1..MAX_LISTS_IN_USE {
        let position = u64::try_from(position).unwrap();
        lists = joined(&lists, position, &[record(&format!("host-{position}"), 1)]);
    }
    let (unsettled, settled) = (LogPosition(0), LogPosition(3));
    expect_that!(lists.may_join(&record("new", 1), unsettled), eq(false));
    expect_that!(lists.may_join(&record("new", 1), settled), eq(true));
    // A restarted member proves that its earlier incarnation runs no more.
    expect_that!(lists.may_join(&record("host-1", 2), unsettled), eq(true));
    let restarted = joined(&lists, 4, &[record("host-1", 2)]);
    expect_that!(restarted.replaced(), eq(&BTreeSet::from([record("host-1", 1).id])));
}

#[gtest]
fn departed_absent_and_silent() {
    let lists = joined(&MemberLists::default(), 1, &[record("a", 1), record("b", 1)]);
    let present = BTreeSet::from(["a".parse::<HostId>().unwrap()]);
    let mut absence = AbsenceTracker::default();
    let first = ClockInstant::from_millis(100_000);
    let late = first + ABSENCE_BOUND + Duration::from_millis(1);
    absence.observe(&lists, &present, first);
    absence.observe(&lists, &present, late);
    let silent = |_: &MemberId| Some(first);
    let departed = BTreeSet::from([record("b", 1).id]);
    expect_that!(absence.departed(&lists, late, silent), eq(&departed));
    expect_that!(absence.departed(&lists, first + ABSENCE_BOUND, silent), is_empty());
    expect_that!(absence.departed(&lists, late, |_| Some(late)), is_empty());
    // The host was listed in between, so its absence starts again.
    absence.observe(&lists, &BTreeSet::from(["a", "b"].map(|host| host.parse().unwrap())), late);
    absence.observe(&lists, &present, late);
    expect_that!(absence.departed(&lists, late, silent), is_empty());
}
