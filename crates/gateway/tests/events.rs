//! The boundaries of events in a stream.

use dotterellane_gateway::events::{EventFramer, EventTail, ResumePoint};
use googletest::prelude::*;
use http::HeaderValue;

fn tail_of(text: &str) -> EventTail {
    let mut tail = EventTail::default();
    for byte in text.as_bytes() {
        tail.push(&[*byte]);
    }
    tail
}

/// Guards against taking the end of a line for that of an event, in every kind of line end.
#[gtest]
fn is_between_events_at_blank_lines_alone() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{end}data: a{end}{end}");
        for length in 1..event.len() {
            // A carriage return alone ends the blank line, too.
            let is_over = end == "\r\n" && length == event.len() - 1;
            let tail = tail_of(&event[..length]);
            expect_that!(tail.is_between_events(), eq(is_over), "{:?}", &event[..length]);
        }
        let tail = tail_of(&event);
        expect_that!(tail.is_between_events() && tail.has_event(), eq(true), "{event:?}");
    }
}

#[gtest]
fn comments_are_no_events() {
    for text in ["", "\n", ": a", ": a\n", ": a\n\n", "\r\n\r\n: a\r\n"] {
        let tail = tail_of(text);
        expect_that!(tail.is_between_events(), eq(true), "{text:?}");
        expect_that!(tail.has_event(), eq(false), "{text:?}");
    }
    expect_that!(tail_of(": a\ndata: b\n: c\n").is_between_events(), eq(false));
    expect_that!(tail_of("data: b\n\n: c").is_between_events(), eq(true));
}

/// Guards against events that are held back, and streams that cannot be resumed, as lines end with
/// carriage returns.
#[gtest]
fn events_are_cut_at_every_kind_of_blank_line() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 7{end}data: a{end}{end}");
        let text = format!("{event}id: 8{end}da");
        for size in 1..text.len() {
            let mut framer = EventFramer::default();
            let parts = text.as_bytes().chunks(size);
            let passed: Vec<u8> = parts.flat_map(|part| framer.push(part)).collect();
            expect_that!(String::from_utf8_lossy(&passed), eq(&event), "pieces of {size}");
            let after = ResumePoint::After(HeaderValue::from_static("7"));
            expect_that!(framer.resume_point(), eq(&after));
        }
    }
}
