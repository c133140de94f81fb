//! What runs of a kind took, and which requests may still begin during a planned stop.

use std::time::Duration;

use dotterellane_decisions::run_times::{LateRequest, RunKind, RunTimes, StopSpan};
use dotterellane_units::ClockInstant;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};

type TestTimes = RunTimes<&'static str, u32>;

/// Number of completed runs from which on a kind counts as known.
const KNOWN: u64 = 8;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(millis)
}

fn kind(member: u32) -> RunKind<&'static str, u32> {
    RunKind { group: "models", member }
}

/// Notes a run of `member` that took `took` milliseconds and ended at `end`.
fn note(times: &mut TestTimes, member: u32, took: u64, end: u64) {
    let ticket = times.begin(at(end - took), kind(member));
    times.complete(at(end), ticket);
}

/// Returns whether a request of `member` with 60 s left may begin `after` milliseconds after SIGTERM,
/// at 100 s, in a stop of 4 s.
fn may_begin(times: &TestTimes, member: u32, after: u64, repeatable: bool) -> bool {
    let stop = StopSpan { requested: at(100_000), end: at(104_000) };
    let left = Duration::from_secs(60);
    let request = LateRequest { kind: &kind(member), left, repeatable };
    times.may_begin(at(100_000 + after), &stop, &request)
}

#[gtest]
fn request_that_ends_by_its_own_deadline_may_begin() {
    let times = TestTimes::default();
    let stop = StopSpan { requested: at(0), end: at(4_000) };
    let begins = |left: u64| {
        let left = Duration::from_millis(left);
        let request = LateRequest { kind: &kind(1), left, repeatable: false };
        times.may_begin(at(1_000), &stop, &request)
    };
    expect_that!(begins(3_000), eq(true));
    expect_that!(begins(3_001), eq(false));
}

#[gtest]
fn request_of_an_unknown_kind_may_not_begin() {
    let mut times = TestTimes::default();
    for number in 0..KNOWN - 1 {
        note(&mut times, 1, 10, 99_000 + number);
    }
    expect_that!(may_begin(&times, 1, 0, true), eq(false));
    note(&mut times, 1, 10, 99_990);
    expect_that!(may_begin(&times, 1, 0, true), eq(true));
}

#[gtest]
fn request_of_a_rare_kind_goes_by_its_group() {
    let mut times = TestTimes::default();
    for number in 0..KNOWN {
        note(&mut times, 1, 1_000, 99_000 + number);
    }
    expect_that!(may_begin(&times, 2, 2_600, false), eq(true));
    expect_that!(may_begin(&times, 2, 2_700, false), eq(false));
    let other = RunKind { group: "plain", member: 1 };
    expect_that!(times.expected(at(100_000), &other, true), none());
}

#[gtest]
fn request_that_may_not_be_cut_goes_by_the_longest_run() {
    let mut times = TestTimes::default();
    for number in 0..19 {
        note(&mut times, 1, 400, 99_000 + number);
    }
    note(&mut times, 1, 2_000, 99_500);
    // 400 ms and 2 s with the margin of a quarter and 0.1 s.
    expect_that!(may_begin(&times, 1, 3_400, true), eq(true));
    expect_that!(may_begin(&times, 1, 3_401, true), eq(false));
    expect_that!(may_begin(&times, 1, 1_400, false), eq(true));
    expect_that!(may_begin(&times, 1, 1_401, false), eq(false));
}

#[gtest]
fn run_under_way_for_longer_than_those_before_counts() {
    let mut times = TestTimes::default();
    for number in 0..KNOWN {
        note(&mut times, 1, 100, 90_000 + number);
    }
    let ticket = times.begin(at(97_000), kind(1));
    let other = times.begin(at(90_000), kind(2));
    expect_that!(may_begin(&times, 1, 0, false), eq(true));
    expect_that!(may_begin(&times, 1, 1_000, false), eq(false));
    times.abandon(ticket);
    expect_that!(may_begin(&times, 1, 1_000, false), eq(true));
    times.abandon(other);
}

#[gtest]
fn runs_of_long_ago_say_nothing() {
    let mut times = TestTimes::default();
    for number in 0..KNOWN {
        note(&mut times, 1, 100, 90_000 + number);
    }
    expect_that!(times.expected(at(600_000), &kind(1), true), some(anything()));
    expect_that!(times.expected(at(700_000), &kind(1), true), none());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// A request that may begin and takes no longer than any of the last runs ends in time.
    #[test]
    fn request_that_takes_as_long_as_those_before_is_never_cut(
        runs in proptest::collection::vec((0_u32..4, 1_u64..6_000), 0..100),
        after in 0_u64..4_000,
        member in 0_u32..4,
        repeatable in any::<bool>(),
    ) {
        let mut times = TestTimes::default();
        for (member, took) in &runs {
            note(&mut times, *member, *took, 99_000);
        }
        if may_begin(&times, member, after, repeatable) {
            let own: Vec<u64> =
                runs.iter().rev().filter(|(of, _)| *of == member).map(|(_, took)| *took).collect();
            let all: Vec<u64> = runs.iter().rev().map(|(_, took)| *took).collect();
            let mut last = if own.len() >= 8 { own } else { all };
            last.truncate(32);
            let ended = last.iter().filter(|took| **took <= 4_000 - after).count();
            prop_assert!(last.len() >= 8);
            prop_assert!(ended * 10 >= last.len() * 9);
            prop_assert!(repeatable || ended == last.len());
        }
    }
}
