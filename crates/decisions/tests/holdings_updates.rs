//! Updates of holdings: changes are sent at once and repeated, all others are repeated in turn.

use std::collections::{BTreeMap, BTreeSet};

use dotterellane_decisions::holdings_updates::{HoldingsUpdates, REPEATED_AT_ONCE};
use dotterellane_units::{ClockInstant, UpstreamId};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Largest number of changes still being repeated: one every 250 ms for three seconds.
const MAX_RECENT: usize = 12;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn holdings(count: usize) -> BTreeMap<UpstreamId, u32> {
    (0..count).map(|index| (format!("r{index:04}").parse().expect("an id"), 0)).collect()
}

#[gtest]
fn updates_of_few_runners_are_repeated_together() {
    let mut updates = HoldingsUpdates::default();
    let all = holdings(13);
    expect_that!(updates.due_updates(at(5_000), all.clone()).len(), eq(13));
    expect_that!(updates.due_updates(at(5_200), all.clone()), is_empty());
    expect_that!(updates.due_updates(at(6_000), all.clone()).len(), eq(13));
    expect_that!(updates.due_updates(at(20_000), all).len(), eq(13));
}

#[gtest]
fn updates_with_a_change_are_sent_at_once_and_repeated() {
    let mut updates = HoldingsUpdates::default();
    let mut all = holdings(1_000);
    updates.due_updates(at(5_000), all.clone());
    let runner: UpstreamId = "r0990".parse().expect("an id");
    all.insert(runner.clone(), 7);
    let sent = updates.due_updates(at(20_100), all.clone());
    expect_that!(sent.contains(&(runner.clone(), 7)), eq(true));
    for repeat in 1..=2 {
        let sent = updates.due_updates(at(20_100 + repeat * 1_000), all.clone());
        expect_that!(sent.contains(&(runner.clone(), 7)), eq(true), "{repeat}");
        expect_that!(sent.len(), le(REPEATED_AT_ONCE + 1), "{repeat}");
    }
}

#[gtest]
fn updates_of_a_removed_runner_are_not_sent() {
    let mut updates = HoldingsUpdates::default();
    let mut all = holdings(3);
    updates.due_updates(at(5_000), all.clone());
    let (gone, _) = all.pop_first().expect("three");
    let sent = updates.due_updates(at(6_000), all.clone());
    expect_that!(sent.iter().any(|(runner, _)| *runner == gone), eq(false));
    expect_that!(sent.len(), eq(2));
}

#[gtest]
fn updates_reach_a_host_that_loses_half_of_them() {
    let random = &mut Pcg64Mcg::seed_from_u64(3);
    for _ in 0..20 {
        let mut updates = HoldingsUpdates::default();
        let mut all = holdings(random.random_range(1..500));
        let names: Vec<UpstreamId> = all.keys().cloned().collect();
        let mut received = BTreeMap::new();
        let mut largest = 0;
        for step in 0..400_u64 {
            if step < 200 && random.random_bool(0.3) {
                let runner = &names[random.random_range(0..names.len())];
                all.insert(runner.clone(), random.random());
            }
            let sent = updates.due_updates(at(10_000 + step * 250), all.clone());
            if step > 0 {
                largest = largest.max(sent.len());
            }
            let delivered = sent.into_iter().filter(|_| random.random_bool(0.5));
            received.extend(delivered);
        }
        expect_that!(received, eq(&all));
        expect_that!(largest, le(REPEATED_AT_ONCE + MAX_RECENT));
    }
}

#[gtest]
fn updates_of_many_runners_are_repeated_in_turn() {
    let mut updates = HoldingsUpdates::default();
    let all = holdings(1_000);
    updates.due_updates(at(5_000), all.clone());
    let mut sent = BTreeSet::new();
    for second in 9..9 + 1_000_u64.div_ceil(REPEATED_AT_ONCE as u64) {
        let repeated = updates.due_updates(at(second * 1_000), all.clone());
        expect_that!(repeated.len(), eq(REPEATED_AT_ONCE));
        sent.extend(repeated.into_iter().map(|(runner, _)| runner));
    }
    expect_that!(sent.len(), eq(1_000));
}
