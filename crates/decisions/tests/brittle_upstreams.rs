//! Tests which upstreams count as brittle, and how rarely full ones are asked.

use dotterellane_decisions::brittle_upstreams::BrittleUpstreams;
use dotterellane_units::{ClockInstant, RequestRate, UpstreamId};
use googletest::prelude::*;

fn at(seconds: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + seconds * 1_000)
}

fn name(text: &str) -> UpstreamId {
    text.parse().expect("valid id")
}

#[gtest]
fn upstream_is_brittle_while_it_says_so_and_a_while_longer() {
    let mut brittle = BrittleUpstreams::default();
    brittle.note(at(0), &name("a"), 7, at(0), Some(RequestRate::per_second(8)));
    expect_that!(brittle.is_brittle(at(9), &name("a"), 7), eq(true));
    expect_that!(
        brittle.rate_when_full(at(9), &name("a"), 7),
        some(eq(RequestRate::per_second(2)))
    );
    expect_that!(brittle.is_brittle(at(10), &name("a"), 7), eq(false));
    brittle.note(at(11), &name("a"), 7, at(11), Some(RequestRate::per_second(8)));
    brittle.note(at(12), &name("a"), 7, at(12), None);
    expect_that!(brittle.is_brittle(at(12), &name("a"), 7), eq(false));
}

// Guards against what one start of an upstream said taken for what the next one is.
#[gtest]
fn upstream_is_brittle_as_the_start_that_said_so() {
    let mut brittle = BrittleUpstreams::default();
    brittle.note(at(0), &name("a"), 7, at(0), Some(RequestRate::per_second(8)));
    expect_that!(brittle.is_brittle(at(1), &name("a"), 8), eq(false));
    brittle.note(at(1), &name("a"), 8, at(1), Some(RequestRate::per_second(3)));
    // A late response of the start before.
    brittle.note(at(2), &name("a"), 7, at(2), None);
    expect_that!(brittle.is_brittle(at(2), &name("a"), 8), eq(true));
}

#[gtest]
fn upstream_that_can_turn_nothing_away_is_asked_never_more_often_than_that() {
    let mut brittle = BrittleUpstreams::default();
    brittle.note(at(0), &name("a"), 7, at(0), Some(RequestRate::per_second(0)));
    expect_that!(
        brittle.rate_when_full(at(0), &name("a"), 7),
        some(eq(RequestRate::per_second(0)))
    );
}

// Guards against a response that is late by seconds and takes the mark of a later one away.
#[gtest]
fn upstream_stays_brittle_when_an_earlier_request_is_answered_later() {
    let mut brittle = BrittleUpstreams::default();
    let (upstream, rejections) = (name("a"), Some(RequestRate::per_second(8)));
    brittle.note(at(5), &upstream, 7, at(4), rejections);
    brittle.note(at(6), &upstream, 7, at(1), None);
    expect_that!(brittle.is_brittle(at(6), &upstream, 7), eq(true));
    // Nor does one put back what a later one took away.
    brittle.note(at(7), &upstream, 7, at(6), None);
    brittle.note(at(8), &upstream, 7, at(5), rejections);
    expect_that!(brittle.is_brittle(at(8), &upstream, 7), eq(false));
}
