//! Tests the order in which hosts take the leader lease.

use dotterellane_decisions::leader_candidates::{
    LeaderCandidate, candidate_rank, has_much_larger_candidate,
};
use dotterellane_units::{HostId, HostIncarnation};
use googletest::prelude::*;

fn name(text: &str) -> HostId {
    text.parse().expect("valid id")
}

/// Returns the names in the order in which the hosts take the lease.
fn ranked(hosts: &[(HostId, u64, u32)]) -> Vec<&str> {
    let candidate =
        |(host, start, processor): &(HostId, u64, u32)| (*start, *processor, host.clone());
    let mut ranks: Vec<(u32, &str)> = hosts
        .iter()
        .map(|own| {
            let (start, processor, host) = candidate(own);
            let own_candidate =
                LeaderCandidate { host: &host, incarnation: HostIncarnation(start), processor };
            let others = hosts.iter().filter(|other| other.0 != own.0);
            let others = others.map(|(host, start, processor)| LeaderCandidate {
                host,
                incarnation: HostIncarnation(*start),
                processor: *processor,
            });
            (candidate_rank(others, own_candidate), own.0.as_str())
        })
        .collect();
    ranks.sort_unstable();
    let positions: Vec<u32> = ranks.iter().map(|(rank, _)| *rank).collect();
    let expected: Vec<u32> = (0..u32::try_from(hosts.len()).expect("few")).collect();
    expect_that!(positions, eq(&expected));
    ranks.into_iter().map(|(_, name)| name).collect()
}

#[gtest]
fn candidates_with_more_processor_come_first() {
    let hosts = [(name("a"), 9_000, 120), (name("b"), 1_000, 500), (name("c"), 5_000, 120)];
    expect_that!(ranked(&hosts), eq(&vec!["b", "a", "c"]));
}

#[gtest]
fn candidates_that_started_later_come_first_among_equals() {
    let hosts = [(name("a"), 1_000, 250), (name("b"), 9_000, 250), (name("c"), 5_000, 250)];
    expect_that!(ranked(&hosts), eq(&vec!["b", "c", "a"]));
}

#[gtest]
fn candidates_that_started_together_have_an_order_too() {
    let hosts = [(name("a"), 100, 250), (name("b"), 200, 250), (name("c"), 300, 250)];
    expect_that!(ranked(&hosts).len(), eq(3));
}

#[gtest]
fn leader_hands_over_to_a_much_larger_host_only() {
    let (small, other) = (name("small"), name("other"));
    let candidate =
        |host, processor| LeaderCandidate { host, incarnation: HostIncarnation(1), processor };
    let should_hand_over = |own: u32, processor: u32| {
        let others = std::iter::once(candidate(&other, processor));
        has_much_larger_candidate(others, candidate(&small, own))
    };
    expect_that!(should_hand_over(120, 500), eq(true));
    expect_that!(should_hand_over(250, 400), eq(false));
    expect_that!(should_hand_over(500, 500), eq(false));
    // The capacity of a host is not known yet.
    expect_that!(should_hand_over(120, 0), eq(false));
    expect_that!(should_hand_over(0, 0), eq(false));
}
