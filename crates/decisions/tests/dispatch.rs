//! Tests the dispatcher: fair grants, immediate refusals and ejection of failing runners.

use std::time::Duration;

use dotterellane_decisions::dispatch::{
    DispatchAction, DispatchLimits, ModelDispatcher, SlotReadiness,
};
use dotterellane_protocol::dispatch::{AcquireRequest, PermitDenial, PermitOutcome};
use dotterellane_units::{ClockInstant, HostId, RequestId, TokenCount, UpstreamId};
use googletest::prelude::*;

const START: ClockInstant = ClockInstant::from_millis(1_000);

fn runner(index: u32) -> UpstreamId {
    format!("runner-{index}").parse().unwrap()
}

fn entry() -> HostId {
    "host-1".parse().unwrap()
}

fn ask(request: u128, team: &str, remaining: Duration) -> AcquireRequest {
    AcquireRequest {
        request: RequestId(request),
        team: team.parse().unwrap(),
        model: "draft".parse().unwrap(),
        adapter: None,
        tokens: TokenCount(1_000),
        prefix: Vec::new(),
        excluded: Vec::new(),
        remaining,
    }
}

fn ask_with_long_deadline(request: u128, team: &str) -> AcquireRequest {
    ask(request, team, Duration::from_secs(60))
}

fn ready_dispatcher(runners: u32, concurrency: u32) -> ModelDispatcher {
    let mut dispatcher = ModelDispatcher::new(DispatchLimits { concurrency, queue: 50 }, 1);
    for index in 0..runners {
        dispatcher.on_slot(START, &runner(index), SlotReadiness::Ready, Vec::new(), 0);
    }
    dispatcher
}

fn grants(actions: &[DispatchAction]) -> Vec<(u128, UpstreamId, u64)> {
    let grant = |action: &DispatchAction| match action {
        DispatchAction::Grant { request, runner, number, .. } => {
            Some((request.0, runner.clone(), *number))
        }
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn refusals(actions: &[DispatchAction]) -> Vec<(u128, PermitDenial, Duration)> {
    let refusal = |action: &DispatchAction| match action {
        DispatchAction::Refuse { request, denial, retry_after, .. } => {
            Some((request.0, *denial, *retry_after))
        }
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn wakes(actions: &[DispatchAction]) -> usize {
    actions.iter().filter(|action| matches!(action, DispatchAction::Wake { .. })).count()
}

#[gtest]
fn ask_full_runner_takes_turns() {
    let mut dispatcher = ready_dispatcher(1, 1);
    let first = grants(&dispatcher.ask(START, entry(), ask_with_long_deadline(0, "loud")));
    for request in 1..=20 {
        dispatcher.ask(START, entry(), ask_with_long_deadline(request, "loud"));
    }
    dispatcher.ask(START, entry(), ask_with_long_deadline(100, "quiet"));
    // The quiet team is served after one turn of the loud team, not after its 20 requests.
    let (mut number, mut served) = (first[0].2, Vec::new());
    for _ in 0..8 {
        let granted = grants(&dispatcher.release(START, number, PermitOutcome::Answered));
        number = granted[0].2;
        served.push(granted[0].0);
    }
    expect_that!(served, contains(eq(&100)));
}

#[gtest]
fn ask_repeated_same_permit() {
    let mut dispatcher = ready_dispatcher(1, 4);
    let first = grants(&dispatcher.ask(START, entry(), ask_with_long_deadline(1, "team")));
    let again = grants(&dispatcher.ask(START, entry(), ask_with_long_deadline(1, "team")));
    expect_that!(again, eq(&first));
    expect_that!(dispatcher.permits_out(), eq(1));
}

#[gtest]
fn ask_load_longer_than_deadline() {
    let mut dispatcher = ready_dispatcher(0, 4);
    let unloaded = SlotReadiness::Unloaded(Duration::from_secs(10));
    dispatcher.on_slot(START, &runner(0), unloaded, Vec::new(), 0);
    let refused = dispatcher.ask(START, entry(), ask(1, "team", Duration::from_secs(5)));
    let (_, denial, retry_after) = refusals(&refused)[0];
    expect_that!(denial, eq(PermitDenial::TooLate));
    expect_that!(retry_after, ge(Duration::from_secs(10)));
    expect_that!(wakes(&dispatcher.ask(START, entry(), ask_with_long_deadline(2, "team"))), eq(1));
}

#[gtest]
fn ask_queue_full() {
    let mut dispatcher = ready_dispatcher(1, 1);
    let mut denials = Vec::new();
    for request in 0..80 {
        let long = ask(request, "team", Duration::from_secs(3_600));
        denials.extend(refusals(&dispatcher.ask(START, entry(), long)));
    }
    expect_that!(dispatcher.queued(), eq(50));
    expect_that!(denials, len(eq(29)));
    expect_that!(denials[0].1, eq(PermitDenial::QueueFull));
}

#[gtest]
fn ask_runner_leaving_goes_elsewhere() {
    let mut dispatcher = ready_dispatcher(2, 4);
    let first = dispatcher.ask(START, entry(), ask_with_long_deadline(1, "a"));
    let leaving = grants(&first)[0].1.clone();
    dispatcher.on_slot(START, &leaving, SlotReadiness::Leaving, Vec::new(), 1);
    for request in 2..6 {
        let granted = grants(&dispatcher.ask(START, entry(), ask_with_long_deadline(request, "a")));
        expect_that!(granted.len(), eq(1));
        expect_that!(granted[0].1, not(eq(&leaving)));
    }
    // The issued permit still counts there, so the replica is not considered idle.
    expect_that!(dispatcher.permits_on(&leaving), eq(1));
}

#[gtest]
fn ask_only_runner_leaving() {
    let mut dispatcher = ready_dispatcher(1, 4);
    dispatcher.on_slot(START, &runner(0), SlotReadiness::Leaving, Vec::new(), 0);
    let actions = dispatcher.ask(START, entry(), ask_with_long_deadline(1, "a"));
    expect_that!(wakes(&actions), eq(0));
    expect_that!(refusals(&actions)[0].1, eq(PermitDenial::NoRunner));
}

#[gtest]
fn on_slot_lost_refused_at_once() {
    let mut dispatcher = ready_dispatcher(1, 1);
    dispatcher.ask(START, entry(), ask_with_long_deadline(1, "team"));
    dispatcher.ask(START, entry(), ask(2, "team", Duration::from_secs(8)));
    // The replica is lost, and a load takes longer than the deadline of the second request allows.
    let unloaded = SlotReadiness::Unloaded(Duration::from_secs(20));
    let actions = dispatcher.on_slot(START, &runner(0), unloaded, Vec::new(), 0);
    expect_that!(refusals(&actions), len(eq(1)));
    expect_that!(refusals(&actions)[0].0, eq(2));
}

#[gtest]
fn release_failures_eject_and_return() {
    let mut dispatcher = ready_dispatcher(2, 8);
    let mut now = START;
    let mut sent_to_bad = 0;
    for request in 0..100 {
        now = now + Duration::from_millis(10);
        let granted =
            grants(&dispatcher.ask(now, entry(), ask_with_long_deadline(request, "team")));
        let (_, chosen, number) = granted[0].clone();
        // Of two idle runners, the dispatcher chooses the last.
        let bad = chosen == runner(1);
        sent_to_bad += u32::from(bad);
        let outcome = if bad { PermitOutcome::Broken } else { PermitOutcome::Answered };
        dispatcher.release(now, number, outcome);
    }
    // Three failures eject the runner; it gets no request in the second after that.
    expect_that!(sent_to_bad, eq(3));
    now = now + Duration::from_secs(2);
    let mut returned = false;
    for request in 200..205 {
        let granted =
            grants(&dispatcher.ask(now, entry(), ask_with_long_deadline(request, "team")));
        returned |= granted[0].1 == runner(1);
        // The permits are not released, so that the runner without load is chosen.
    }
    expect_that!(returned, eq(true));
}

#[gtest]
fn on_tick_lost_permit_comes_back() {
    let mut dispatcher = ready_dispatcher(1, 1);
    dispatcher.ask(START, entry(), ask(1, "team", Duration::from_secs(2)));
    dispatcher.ask(START, entry(), ask_with_long_deadline(2, "team"));
    // The host with the first permit has died; the permit is released at the request's deadline.
    let actions = dispatcher.on_tick(START + Duration::from_secs(2));
    expect_that!(grants(&actions), len(eq(1)));
}

#[gtest]
fn ask_prefix_prefers_cached() {
    let mut dispatcher = ready_dispatcher(2, 8);
    let mut first = ask_with_long_deadline(1, "team");
    first.prefix = vec![11, 12, 13, 14];
    let chosen = grants(&dispatcher.ask(START, entry(), first.clone()))[0].1.clone();
    let mut second = ask_with_long_deadline(2, "team");
    second.prefix = first.prefix;
    // Four cached blocks outweigh one request on the runner.
    expect_that!(grants(&dispatcher.ask(START, entry(), second))[0].1, eq(&chosen));
}
