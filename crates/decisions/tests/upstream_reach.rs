//! Tests when a host counts as cut off from all upstreams.

use dotterellane_decisions::upstream_reach::UpstreamReach;
use dotterellane_units::{ClockInstant, UpstreamId};
use googletest::prelude::*;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + millis)
}

fn name(text: &str) -> UpstreamId {
    text.parse().expect("valid id")
}

#[gtest]
fn host_is_cut_off_once_three_upstreams_failed_in_a_row() {
    let mut reach = UpstreamReach::default();
    expect_that!(reach.note_failed(at(0), &name("a"), 13), eq(false));
    expect_that!(reach.note_failed(at(1), &name("b"), 13), eq(false));
    expect_that!(reach.is_in_doubt(), eq(true));
    expect_that!(reach.note_failed(at(2), &name("c"), 13), eq(true));
    expect_that!(reach.cut_off_at(), some(eq(at(0))));
    expect_that!(reach.note_failed(at(3), &name("d"), 13), eq(false));
}

// Guards against one upstream that is down, and is tried again and again, taken for a cut.
#[gtest]
fn host_is_not_cut_off_by_failures_of_the_same_upstreams() {
    let mut reach = UpstreamReach::default();
    for millis in 0..100 {
        let upstream = name(if millis % 2 == 0 { "a" } else { "b" });
        expect_that!(reach.note_failed(at(millis), &upstream, 13), eq(false));
    }
}

// Guards against failures over a long time that are taken for one cut.
#[gtest]
fn host_is_not_cut_off_by_failures_that_lie_apart() {
    let mut reach = UpstreamReach::default();
    for (number, upstream) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let millis = 1_600 * u64::try_from(number).expect("few");
        expect_that!(reach.note_failed(at(millis), &name(upstream), 13), eq(false));
    }
}

#[gtest]
fn host_is_not_cut_off_while_any_upstream_is_reached() {
    let mut reach = UpstreamReach::default();
    for upstream in ["a", "b", "c", "d", "e"] {
        expect_that!(reach.note_failed(at(0), &name(upstream), 13), eq(false));
        expect_that!(reach.note_connected(at(1), &name("z")), eq(false));
    }
    expect_that!(reach.is_in_doubt(), eq(false));
    expect_that!(reach.connected_at(), some(eq(at(1))));
}

#[gtest]
fn host_is_cut_off_until_one_connection_is_established() {
    let mut reach = UpstreamReach::default();
    expect_that!(reach.note_failed(at(0), &name("a"), 2), eq(false));
    expect_that!(reach.note_failed(at(0), &name("b"), 2), eq(true));
    expect_that!(reach.note_connected(at(9_000), &name("a")), eq(true));
    expect_that!(reach.cut_off_at(), none());
}

// Guards against witnesses that are down themselves, so that a crash cannot be told from a cut.
#[gtest]
fn upstream_that_failed_last_is_down_for_a_while() {
    let mut reach = UpstreamReach::default();
    reach.note_failed(at(0), &name("a"), 13);
    reach.note_connected(at(1), &name("b"));
    expect_that!(reach.is_down(at(3_999), &name("a")), eq(true));
    expect_that!(reach.is_down(at(4_000), &name("a")), eq(false));
    reach.note_connected(at(2), &name("a"));
    expect_that!(reach.is_down(at(3), &name("a")), eq(false));
}
