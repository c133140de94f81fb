//! Notices of upstreams in their answers: that they are leaving, or ask for a pause.

use std::time::Duration;

use dotterellane_decisions::leaving_marks::{LeavingMark, LeavingMarks};
use dotterellane_decisions::send_pauses::SendPauses;
use dotterellane_units::{ClockInstant, UpstreamId};
use googletest::prelude::*;

fn at(millis: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + millis)
}

fn name(text: &str) -> UpstreamId {
    text.parse().expect("valid id")
}

#[gtest]
fn mark_ends_only_with_a_later_start() {
    let mut marks = LeavingMarks::default();
    expect_that!(marks.is_leaving(&name("r1"), 7), eq(false));
    expect_that!(marks.note(at(0), &name("r1"), 7), eq(true));
    expect_that!(marks.is_leaving(&name("r1"), 7), eq(true));
    expect_that!(marks.is_leaving(&name("r1"), 6), eq(true));
    expect_that!(marks.is_leaving(&name("r1"), 8), eq(false));
    expect_that!(marks.is_leaving(&name("r2"), 7), eq(false));
}

#[gtest]
fn mark_of_an_earlier_start_changes_nothing() {
    let mut marks = LeavingMarks::default();
    expect_that!(marks.note(at(0), &name("r1"), 7), eq(true));
    expect_that!(marks.note(at(1), &name("r1"), 6), eq(false));
    expect_that!(marks.note(at(1), &name("r1"), 7), eq(false));
    expect_that!(marks.is_leaving(&name("r1"), 7), eq(true));
    expect_that!(marks.note(at(2), &name("r1"), 8), eq(true));
    expect_that!(marks.is_leaving(&name("r1"), 8), eq(true));
}

#[gtest]
fn mark_is_recent_for_the_span_and_then_only_among_all() {
    let mut marks = LeavingMarks::default();
    marks.note(at(0), &name("r1"), 7);
    let mark = LeavingMark { upstream: name("r1"), started_at: 7 };
    let span = Duration::from_secs(1);
    expect_that!(marks.recent(at(900), span), eq(&vec![mark.clone()]));
    expect_that!(marks.recent(at(1_100), span), is_empty());
    expect_that!(marks.all(), eq(&vec![mark]));
}

#[gtest]
fn mark_stays_while_a_row_names_its_upstream() {
    let mut marks = LeavingMarks::default();
    marks.note(at(0), &name("r1"), 7);
    marks.note(at(0), &name("r2"), 7);
    let day = Duration::from_secs(24 * 3_600);
    marks.sweep(at(1_000), |_| false);
    expect_that!(marks.all().len(), eq(2));
    marks.sweep(at(0) + day, |upstream| *upstream == name("r1"));
    expect_that!(marks.is_leaving(&name("r1"), 7), eq(true));
    expect_that!(marks.is_leaving(&name("r2"), 7), eq(false));
}

#[gtest]
fn pause_ends_at_the_latest_requested_time() {
    let mut pauses = SendPauses::default();
    expect_that!(pauses.end(at(0), &name("r1")), none());
    pauses.note(at(0), &name("r1"), Duration::from_millis(2_000));
    pauses.note(at(500), &name("r1"), Duration::from_millis(300));
    expect_that!(pauses.end(at(1_999), &name("r1")), some(eq(at(2_000))));
    expect_that!(pauses.end(at(1_999), &name("r2")), none());
    expect_that!(pauses.end(at(2_000), &name("r1")), none());
    pauses.note(at(3_000), &name("r1"), Duration::from_millis(100));
    expect_that!(pauses.end(at(3_050), &name("r1")), some(eq(at(3_100))));
}
