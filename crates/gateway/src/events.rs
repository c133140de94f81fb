//! Cutting a stream into whole events, so that another runner can go on with it.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;
use memchr::memmem;

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Blank lines that end an event.
const BLANKS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// Length of the longest of them, in bytes.
const LONGEST_BLANK: usize = 4;

/// The last bytes of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventTail {
    /// Line ends since the last byte of a line.
    line_ends: usize,
    begun: bool,
}

impl EventTail {
    /// Takes in data.
    pub fn push(&mut self, data: &[u8]) {
        for byte in data {
            match byte {
                b'\n' => self.line_ends += 1,
                b'\r' => {}
                _ => self.line_ends = 0,
            }
        }
        self.begun |= !data.is_empty();
    }

    /// Tells whether the stream has not begun or its last event ended.
    pub fn is_between_events(&self) -> bool {
        !self.begun || self.line_ends >= 2
    }
}

/// Where another runner has to go on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum ResumePoint {
    /// At the beginning: the caller has no event.
    #[default]
    Beginning,
    /// After the event with this id, as a header holds it.
    After(HeaderValue),
    /// Nowhere: the caller has events, but none names itself so that it can be told.
    Nowhere,
}

/// The part of a stream that was passed on, and the beginning of the next event.
#[derive(Clone, Debug, Default)]
pub struct EventCutter {
    held: BytesMut,
    point: ResumePoint,
}

impl EventCutter {
    /// Takes in data; returns the whole events that it completes, possibly none.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        // What is held already has no blank line, but may end in a part of one.
        let looked = self.held.len().saturating_sub(LONGEST_BLANK - 1);
        self.held.extend_from_slice(data);
        let end = BLANKS
            .iter()
            .filter_map(|blank| {
                memmem::rfind(&self.held[looked..], blank).map(|at| looked + at + blank.len())
            })
            .max();
        let Some(end) = end else {
            return Bytes::new();
        };
        let events = self.held.split_to(end).freeze();
        match last_event_id(&events) {
            Some(id) => {
                self.point =
                    HeaderValue::from_bytes(id).map_or(ResumePoint::Nowhere, ResumePoint::After);
            }
            None if self.point == ResumePoint::Beginning => self.point = ResumePoint::Nowhere,
            None => {}
        }
        events
    }

    /// Returns what was held back of an event that the stream ended in.
    pub fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Drops the beginning of an event that its runner broke off.
    pub fn discard(&mut self) {
        self.held.clear();
    }

    /// Tells whether more is held back than an event may have.
    pub fn is_overlong(&self) -> bool {
        self.held.len() > MAX_EVENT_BYTES
    }

    /// Returns where another runner has to go on after what was passed on.
    pub fn resume_point(&self) -> &ResumePoint {
        &self.point
    }

    /// Returns the id of the last event that was passed on, for logs.
    pub fn last_id(&self) -> Option<&str> {
        match &self.point {
            ResumePoint::After(id) => id.to_str().ok(),
            ResumePoint::Beginning | ResumePoint::Nowhere => None,
        }
    }
}

fn last_event_id(events: &[u8]) -> Option<&[u8]> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| line.strip_prefix(b"id:")).map(<[u8]>::trim_ascii)
}
