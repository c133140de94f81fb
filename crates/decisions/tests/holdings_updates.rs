//! What the keeper tells of holdings: changes at once and again, the rest in turn.

use std::collections::{BTreeMap, BTreeSet};

use dotterellane_decisions::holdings_updates::{HoldingsUpdates, REPEATED_AT_ONCE};
use dotterellane_units::{ClockInstant, UpstreamId};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Changes that are still repeated, at one in each of 250 ms over three seconds.
const MOST_FRESH: usize = 12;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn holdings(count: usize) -> BTreeMap<UpstreamId, u32> {
    (0..count).map(|index| (format!("r{index:04}").parse().expect("an id"), 0)).collect()
}

#[gtest]
fn news_of_few_runners_is_repeated_whole() {
    let mut news = HoldingsUpdates::default();
    let all = holdings(13);
    expect_that!(news.due_updates(at(5_000), all.clone()).len(), eq(13));
    expect_that!(news.due_updates(at(5_200), all.clone()), is_empty());
    expect_that!(news.due_updates(at(6_000), all.clone()).len(), eq(13));
    expect_that!(news.due_updates(at(20_000), all).len(), eq(13));
}

#[gtest]
fn news_of_a_change_is_told_at_once_and_again() {
    let mut news = HoldingsUpdates::default();
    let mut all = holdings(1_000);
    news.due_updates(at(5_000), all.clone());
    let runner: UpstreamId = "r0990".parse().expect("an id");
    all.insert(runner.clone(), 7);
    let told = news.due_updates(at(20_100), all.clone());
    expect_that!(told.contains(&(runner.clone(), 7)), eq(true));
    for repeat in 1..=2 {
        let told = news.due_updates(at(20_100 + repeat * 1_000), all.clone());
        expect_that!(told.contains(&(runner.clone(), 7)), eq(true), "{repeat}");
        expect_that!(told.len(), le(REPEATED_AT_ONCE + 1), "{repeat}");
    }
}

#[gtest]
fn news_of_a_runner_that_is_gone_is_not_told() {
    let mut news = HoldingsUpdates::default();
    let mut all = holdings(3);
    news.due_updates(at(5_000), all.clone());
    let (gone, _) = all.pop_first().expect("three");
    let told = news.due_updates(at(6_000), all.clone());
    expect_that!(told.iter().any(|(runner, _)| *runner == gone), eq(false));
    expect_that!(told.len(), eq(2));
}

#[gtest]
fn news_reaches_who_loses_half_of_it() {
    let random = &mut Pcg64Mcg::seed_from_u64(3);
    for _ in 0..20 {
        let mut news = HoldingsUpdates::default();
        let mut all = holdings(random.random_range(1..500));
        let names: Vec<UpstreamId> = all.keys().cloned().collect();
        let mut heard = BTreeMap::new();
        let mut most = 0;
        for step in 0..400_u64 {
            if step < 200 && random.random_bool(0.3) {
                let runner = &names[random.random_range(0..names.len())];
                all.insert(runner.clone(), random.random());
            }
            let told = news.due_updates(at(10_000 + step * 250), all.clone());
            if step > 0 {
                most = most.max(told.len());
            }
            let reached = told.into_iter().filter(|_| random.random_bool(0.5));
            heard.extend(reached);
        }
        expect_that!(heard, eq(&all));
        expect_that!(most, le(REPEATED_AT_ONCE + MOST_FRESH));
    }
}

#[gtest]
fn news_of_many_runners_comes_in_turn() {
    let mut news = HoldingsUpdates::default();
    let all = holdings(1_000);
    news.due_updates(at(5_000), all.clone());
    let mut told = BTreeSet::new();
    for second in 9..9 + 1_000_u64.div_ceil(REPEATED_AT_ONCE as u64) {
        let repeated = news.due_updates(at(second * 1_000), all.clone());
        expect_that!(repeated.len(), eq(REPEATED_AT_ONCE));
        told.extend(repeated.into_iter().map(|(runner, _)| runner));
    }
    expect_that!(told.len(), eq(1_000));
}
