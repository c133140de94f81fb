//! Tests retry budgets, the load queue, keep-alive times, evictions, placement and the prefix view.

use std::time::Duration;

use dotterellane_decisions::cold_start::{EvictionCandidate, choose_evictions};
use dotterellane_decisions::keep_alive::GapHistogram;
use dotterellane_decisions::leases::HeldItem;
use dotterellane_decisions::load_queue::{
    LoadGrant, LoadKey, LoadQueue, LoadRequest, MAX_MODEL_LOADS,
};
use dotterellane_decisions::placement::{PlacementRow, RunnerOffer, SlotState, decide_slots};
use dotterellane_decisions::prefix::{CacheEvent, PrefixView};
use dotterellane_decisions::retries::RetryBudget;
use dotterellane_protocol::placement::CacheTier;
use dotterellane_units::{ByteSize, ClockInstant, ModelId};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn model(index: usize) -> ModelId {
    format!("model-{index}").parse().unwrap()
}

fn load_request(index: usize, team: &str, deadline: u64) -> LoadRequest {
    LoadRequest {
        key: LoadKey { runner: "runner-1".parse().unwrap(), item: HeldItem::model(model(index)) },
        keeper: "host-1".parse().unwrap(),
        team: team.parse().unwrap(),
        deadline: ClockInstant::from_millis(deadline),
    }
}

fn offer(index: usize, domain: &str) -> RunnerOffer {
    RunnerOffer {
        runner: format!("runner-{index}").parse().unwrap(),
        domain: domain.parse().unwrap(),
        capacity: ByteSize::gibibytes(80),
        leaving: false,
        tier: CacheTier::Remote,
        decided_memory: ByteSize(0),
    }
}

/// Returns the attempts sent for `requests` when the first `failing` of nine runners fail.
fn attempts_sent(requests: u32, failing: usize) -> u32 {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut budget = RetryBudget::default();
    let mut sent = 0;
    let runners: Vec<_> = (0..9).map(|index| format!("runner-{index}").parse().unwrap()).collect();
    let team = "team".parse().unwrap();
    for _ in 0..requests {
        let mut runner = random.random_range(0..9);
        budget.note_request(&runners[runner], &team);
        sent += 1;
        for attempt in 1..4 {
            let (unit, second) = (random.random(), Duration::from_secs(1));
            let failed = runner < failing;
            if !failed || budget.take_retry(&runners[runner], &team, attempt, unit, second).is_err()
            {
                break;
            }
            sent += 1;
            runner = random.random_range(0..9);
        }
    }
    sent
}

#[gtest]
fn take_retry_runners_fail() {
    for failing in [3, 9] {
        let sent = attempts_sent(30_000, failing);
        expect_that!(f64::from(sent), le(1.1 * 30_000.0), "{failing} of 9 fail");
        expect_that!(sent, gt(30_000), "{failing} of 9 fail");
    }
}

#[gtest]
fn take_retry_past_deadline() {
    let mut budget = RetryBudget::default();
    let (runner, team) = ("runner-1".parse().unwrap(), "team".parse().unwrap());
    for _ in 0..100 {
        budget.note_request(&runner, &team);
    }
    let late = budget.take_retry(&runner, &team, 1, 0.5, Duration::from_millis(50));
    expect_that!(late, err(anything()));
    let early = budget.take_retry(&runner, &team, 1, 0.5, Duration::from_millis(51));
    expect_that!(early, ok(eq(Duration::from_millis(50))));
}

#[gtest]
fn load_queue_burst_of_one_team() {
    let (mut queue, now) = (LoadQueue::default(), ClockInstant(0));
    let mut running = Vec::new();
    for index in 0..20 {
        running.extend(queue.ask(now, load_request(index, "loud", 9_000)));
    }
    running.extend(queue.ask(now, load_request(50, "quiet", 9_100)));
    running.extend(queue.ask(now, load_request(51, "urgent", 2_000)));
    expect_that!(running, len(eq(MAX_MODEL_LOADS)));
    let mut order = Vec::new();
    while let Some(LoadGrant { key, .. }) = running.pop() {
        order.push(key.item.model.clone());
        running.extend(queue.done(now, &key));
    }
    expect_that!(order, len(eq(22)));
    // Of the waiting loads, the urgent one goes first and the quiet team's next.
    let rank = |index| order.iter().position(|name| *name == model(index)).unwrap();
    expect_that!(rank(51), lt(rank(50)));
    expect_that!(rank(50), lt(rank(10)));
}

#[gtest]
fn load_queue_same_load_coalesced() {
    let (mut queue, now) = (LoadQueue::default(), ClockInstant(0));
    queue.ask(now, load_request(1, "a", 9_000));
    queue.ask(now, load_request(1, "b", 9_000));
    expect_that!(queue.models_ahead(), eq(1));
}

#[gtest]
fn keep_alive_regular_short_gaps() {
    let mut gaps = GapHistogram::default();
    (0..50).for_each(|_| gaps.note_gap(Duration::from_secs(20)));
    let kept = gaps.keep_alive(Duration::from_secs(100));
    expect_that!(kept.hold, ge(Duration::from_secs(20)));
    expect_that!(kept.hold, lt(Duration::from_secs(60)));
}

#[gtest]
fn keep_alive_long_gaps_unload_soon() {
    let mut gaps = GapHistogram::default();
    (0..50).for_each(|_| gaps.note_gap(Duration::from_secs(7_200)));
    let kept = gaps.keep_alive(Duration::from_secs(100));
    expect_that!(kept.hold, lt(Duration::from_secs(100)));
}

#[gtest]
fn choose_evictions_overdue_first() {
    let now = ClockInstant::from_millis(1_000_000);
    let candidate = |index, idle: u64, hold: u64| EvictionCandidate {
        item: HeldItem::model(model(index)),
        memory: ByteSize::gibibytes(10),
        last_used: ClockInstant::from_millis(1_000_000 - idle * 1_000),
        hold: Duration::from_secs(hold),
        load_time: Duration::from_secs(1),
    };
    let candidates = [candidate(1, 50, 100), candidate(2, 20, 10)];
    let evicted = choose_evictions(now, ByteSize::gibibytes(10), &candidates);
    expect_that!(evicted, some(elements_are![eq(&HeldItem::model(model(2)))]));
    let too_much = choose_evictions(now, ByteSize::gibibytes(30), &candidates);
    expect_that!(too_much, none());
}

#[gtest]
fn decide_slots_spread_and_shrink() {
    let offers = [offer(1, "north"), offer(2, "north"), offer(3, "south")];
    let memory = ByteSize::gibibytes(10);
    let row = decide_slots(&PlacementRow::default(), 2, memory, &offers);
    expect_that!(row.slot_count(), eq(2));
    expect_that!(row.slot_on(&offers[2].runner), some(anything()));
    // A shrunk row still counts the retiring slot until it is removed.
    let shrunk = decide_slots(&row, 1, memory, &offers);
    expect_that!(shrunk.slot_count(), eq(2));
    let retiring = shrunk.slots.iter().filter(|slot| slot.state == SlotState::Retiring).count();
    expect_that!(retiring, eq(1));
    let too_large = decide_slots(&PlacementRow::default(), 2, ByteSize::gibibytes(90), &offers);
    expect_that!(too_large.slot_count(), eq(0));
}

#[gtest]
fn on_event_gap_forgets_and_lists() {
    let mut view = PrefixView::default();
    view.on_event(4, CacheEvent::Listed(vec![1, 2]));
    expect_that!(view.on_event(5, CacheEvent::Stored(vec![3])), eq(false));
    expect_that!(view.matched(&[1, 2, 3]), eq(3));
    // Event 6 is missing; it may have dropped any block.
    expect_that!(view.on_event(7, CacheEvent::Stored(vec![4])), eq(true));
    expect_that!(view.matched(&[1, 2, 3]), eq(0));
}
