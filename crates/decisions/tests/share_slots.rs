//! Slot maps, owned slots, loans of slots, and the fair queue.

use std::time::Duration;

use dotterellane_decisions::fairness::DeficitQueue;
use dotterellane_decisions::shares::ledger::TeamLedger;
use dotterellane_decisions::shares::loans::{LedgerAddress, MemberLoan};
use dotterellane_decisions::shares::slots::{OwnedSlots, SLOT_COUNT, SlotMap};
use dotterellane_decisions::shares::{ShareMachine, ShareTimings};
use dotterellane_protocol::MemberId;
use dotterellane_protocol::shares::{LoanRelease, LoanRequest, ShareLoan};
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, HostIncarnation, TeamId, TokenCount, TokenRate};
use googletest::prelude::*;

fn member(number: usize) -> MemberId {
    let host = format!("host-{number}").parse().unwrap();
    MemberId { host, incarnation: HostIncarnation(1) }
}

fn members(count: usize) -> Vec<MemberId> {
    (0..count).map(member).collect()
}

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + millis)
}

fn timings() -> ShareTimings {
    ShareTimings::default()
}

#[gtest]
fn slot_map_one_member_joins() {
    let first = SlotMap::default().rebalanced(&members(4)).unwrap();
    let second = first.rebalanced(&members(5)).unwrap();
    let counts: Vec<usize> = members(5).iter().map(|owner| second.owned_by(owner)).collect();
    expect_that!(counts.iter().sum::<usize>(), eq(usize::from(SLOT_COUNT)));
    expect_that!(counts.iter().all(|count| *count >= 204), eq(true));
    // Only the slots of the new member have moved.
    let moved = second.runs.iter().filter(|run| run.since == 2).map(|run| usize::from(run.count));
    expect_that!(moved.sum::<usize>(), eq(204));
    expect_that!(second.rebalanced(&members(5)), none());
}

#[gtest]
fn slot_map_more_members_than_slots() {
    let map = SlotMap::default().rebalanced(&members(1_100)).unwrap();
    expect_that!(map.owners.len(), eq(usize::from(SLOT_COUNT)));
    expect_that!(map.rebalanced(&members(1_100)), none());
}

#[gtest]
fn owned_slots_moved_to_another() {
    let first = SlotMap::default().rebalanced(&members(1)).unwrap();
    let second = first.rebalanced(&members(2)).unwrap();
    let mut new_owner = OwnedSlots::new(member(1), timings());
    new_owner.follow(&second);
    new_owner.advance(1, at(0));
    new_owner.advance(1, at(60_000));
    expect_that!(new_owner.usable_count(), eq(0));
    new_owner.advance(2, at(61_000));
    new_owner.advance(2, at(61_000) + timings().loan_term);
    expect_that!(new_owner.usable_count(), eq(0));
    new_owner.advance(2, at(61_000) + timings().loan_term + Duration::from_millis(10));
    expect_that!(new_owner.usable_count(), eq(512));
}

#[gtest]
fn owned_slots_away_and_back() {
    let first = SlotMap::default().rebalanced(&members(2)).unwrap();
    let second = first.rebalanced(&members(1)).unwrap();
    let third = second.rebalanced(&members(2)).unwrap();
    let mut owner = OwnedSlots::new(member(1), timings());
    owner.follow(&first);
    owner.advance(1, at(0));
    expect_that!(owner.usable_count(), eq(512));
    // This owner missed the second map, by which its slots had another owner meanwhile.
    owner.follow(&third);
    expect_that!(owner.usable_count(), eq(0));
}

#[gtest]
fn owned_slots_parts_sum_up() {
    let team = TeamEntry { rate: TokenRate::from_milli_tokens(99_991), burst: TokenCount(997) };
    let map = SlotMap::default().rebalanced(&members(400)).unwrap();
    let parts = members(400).into_iter().map(|owner| {
        let mut slots = OwnedSlots::new(owner, timings());
        slots.follow(&map);
        slots.advance(1, at(0));
        slots.part_of(&team)
    });
    let (rate, burst) = parts.fold((0, 0), |(rate, burst), part| {
        (rate + part.rate.milli_tokens(), burst + part.burst.0)
    });
    expect_that!((rate, burst), eq((99_991, 997)));
}

#[gtest]
fn ledger_older_loan_arrives_late() {
    let mut ledger = TeamLedger::new(timings(), 1, at(0));
    let loan = |millis, balance| ShareLoan {
        sent: at(millis),
        rate: TokenRate::per_second(0),
        burst: TokenCount(1_000),
        balance: TokenCount(balance),
    };
    ledger.accept_loan(member(0), &loan(0, 100), at(1));
    ledger.accept_loan(member(0), &loan(1_000, 0), at(1_001));
    ledger.accept_loan(member(0), &loan(0, 100), at(1_002));
    expect_that!(ledger.pooled(at(1_003)).0, eq(TokenCount(100)));
}

#[gtest]
fn ledger_released_loan_arrives_again() {
    let mut ledger = TeamLedger::new(timings(), 1, at(0));
    let hosts = [member(0).host];
    let _requests = ledger.tick(Some(&hosts), at(0));
    let (rate, burst) = (TokenRate::per_second(10), TokenCount(1_000));
    let loan = ShareLoan { sent: at(0), rate, burst, balance: TokenCount(100) };
    ledger.accept_loan(member(0), &loan, at(1));
    expect_that!(ledger.tick(None, at(2)).len(), eq(1));
    ledger.accept_loan(member(0), &loan, at(3));
    expect_that!(ledger.pooled(at(4)), eq((TokenCount(0), TokenRate::per_second(0))));
}

#[gtest]
fn member_loan_older_release() {
    let ledger = LedgerAddress { host: member(1).host, epoch: 1 };
    let mut loan = MemberLoan::new(timings(), at(0));
    let _first = loan.answer(&ledger, LoanRequest { sent: at(0) }, at(1));
    let _second = loan.answer(&ledger, LoanRequest { sent: at(1_000) }, at(1_001));
    // The ledger released the loan before the renewal arrived, which it may still accept.
    let balance = TokenCount(0);
    loan.release(&ledger, LoanRelease { sent: at(0), balance }, at(1_002));
    expect_that!(loan.ledger(), some(eq(&ledger)));
    loan.release(&ledger, LoanRelease { sent: at(1_000), balance }, at(1_003));
    expect_that!(loan.ledger(), none());
}

#[gtest]
fn machine_slots_unread() {
    let mut machine = ShareMachine::new(member(0), timings());
    let team: TeamId = "red".parse().unwrap();
    let rates = TeamEntry { rate: TokenRate::per_second(100), burst: TokenCount(1_000) };
    machine.set_teams(&[(team.clone(), rates)].into(), at(0));
    machine.set_slots(&SlotMap::default().rebalanced(&members(1)).unwrap(), at(0));
    let status = |known| dotterellane_decisions::shares::ShareStatus {
        fresh: true,
        slots_known: known,
        slots_in_force: 1,
    };
    machine.set_status(status(1), at(0));
    expect_that!(machine.holdings(&team, true, at(0)).tokens, eq(TokenCount(1_000)));
    // The daemon has heard of a change but not read its map, so the slots may have another owner.
    machine.set_status(status(2), at(1));
    expect_that!(machine.holdings(&team, true, at(1)).tokens, eq(TokenCount(0)));
}

#[gtest]
fn deficit_queue_one_team_floods() {
    let mut queue = DeficitQueue::new(100);
    let (loud, quiet): (TeamId, TeamId) = ("loud".parse().unwrap(), "quiet".parse().unwrap());
    for number in 0..500 {
        queue.push(&loud, 50, at(number), number);
    }
    for number in 0..50 {
        queue.push(&quiet, 100, at(number), number);
    }
    let served: Vec<TeamId> = (0..60).filter_map(|_| queue.pop()).map(|(team, _)| team).collect();
    let quiet_cost = 100 * served.iter().filter(|team| **team == quiet).count();
    let loud_cost = 50 * served.iter().filter(|team| **team == loud).count();
    // The costs differ by at most the quantum and the largest cost of an item.
    expect_that!(quiet_cost.abs_diff(loud_cost), le(200));
}

#[gtest]
fn deficit_queue_deadlines_within_team() {
    let mut queue = DeficitQueue::new(10);
    let team: TeamId = "red".parse().unwrap();
    for (deadline, item) in [(30, 'c'), (10, 'a'), (20, 'b'), (10, 'z')] {
        queue.push(&team, 1, at(deadline), item);
    }
    let removed = queue.remove_if(|item, _| *item == 'b');
    expect_that!(removed.len(), eq(1));
    let order: String = std::iter::from_fn(|| queue.pop()).map(|(_, item)| item).collect();
    expect_that!(order, eq("azc"));
    expect_that!(queue.is_empty(), eq(true));
}
