//! Splits a stream into complete events, so that another runner can resume it after any of them.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;
use memchr::memmem;

use crate::resumption::{
    IdSequence, ResumedStart, check_start, is_event_line, is_status_line, valid_length,
};

/// Maximum size of an event, in bytes; it is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Byte sequences that end an event: a blank line.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// Length of the longest of these sequences, in bytes.
const MAX_EVENT_END_BYTES: usize = 3;

/// Tracks whether a stream is at the boundary between two events. Lines end with a line feed, a
/// carriage return, or both; lines that begin with a colon are comments.
#[derive(Clone, Debug, Default)]
pub struct EventTail {
    /// Whether the line so far has data.
    in_line: bool,
    /// Whether the last byte was a carriage return.
    after_return: bool,
    /// Whether an event has begun that has not ended.
    in_event: bool,
    /// Number of complete events.
    events: u32,
}

impl EventTail {
    /// Processes the next data of the stream.
    pub fn push(&mut self, data: &[u8]) {
        for byte in data {
            let ends_pair = *byte == b'\n' && self.after_return;
            self.after_return = *byte == b'\r';
            match byte {
                // The carriage return before ended the line.
                b'\n' if ends_pair => {}
                b'\n' | b'\r' if self.in_line => self.in_line = false,
                b'\n' | b'\r' => {
                    self.events = self.events.saturating_add(u32::from(self.in_event));
                    self.in_event = false;
                }
                _ => {
                    self.in_event |= !self.in_line && *byte != b':';
                    self.in_line = true;
                }
            }
        }
    }

    /// Returns whether the last event, if there is one, is complete.
    pub fn is_between_events(&self) -> bool {
        !self.in_event
    }

    /// Returns whether the stream has a complete event.
    pub fn has_event(&self) -> bool {
        self.events > 0
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u32 {
        self.events
    }
}

/// Where another runner has to resume a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum ResumePoint {
    /// At the beginning: the caller has received no event.
    #[default]
    Beginning,
    /// After the event with this id, as a header value.
    After(HeaderValue),
    /// Not possible: the caller has received events, but none with an id that a header can carry.
    Nowhere,
}

/// Splits a stream into complete events and remembers where it can be resumed.
#[derive(Clone, Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    point: ResumePoint,
    ids: IdSequence,
    segment: SegmentState,
}

/// How far the current segment of a stream continues the ones before.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum SegmentState {
    /// It is the first one.
    #[default]
    First,
    /// It resumes the stream and holds no event so far.
    AwaitingEvent,
    /// It resumes the stream, and its events follow those of the segments before.
    Continuing,
    /// What it holds next is no part of the stream.
    Misplaced,
}

impl EventFramer {
    /// Adds data and returns the events that it completes; empty if it completes none.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        // The buffer contains no event end, but may end in a part of one.
        let search_start = self.buffer.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        self.buffer.extend_from_slice(data);
        let end = EVENT_ENDS
            .iter()
            .filter_map(|event_end| {
                memmem::rfind(&self.buffer[search_start..], event_end)
                    .map(|at| search_start + at + event_end.len())
            })
            .max();
        let Some(end) = end else {
            return Bytes::new();
        };
        let events = self.buffer.split_to(end).freeze();
        let events = self.take_continuing(events);
        self.ids.observe(&events);
        match last_event_id(&events) {
            Some(id) => {
                self.point =
                    HeaderValue::from_bytes(id).map_or(ResumePoint::Nowhere, ResumePoint::After);
            }
            None if self.point == ResumePoint::Beginning && !events.is_empty() => {
                self.point = ResumePoint::Nowhere
            }
            None => {}
        }
        events
    }

    /// Returns the part of complete events that continues the stream. Comments before the first
    /// event of a resumed segment are left out.
    fn take_continuing(&mut self, events: Bytes) -> Bytes {
        let length = match self.segment {
            SegmentState::Misplaced => return Bytes::new(),
            SegmentState::First => valid_length(&events, |line| !is_status_line(line)),
            SegmentState::AwaitingEvent | SegmentState::Continuing => {
                valid_length(&events, is_event_line)
            }
        };
        let valid = events.slice(..length);
        let mut start = 0;
        if self.segment == SegmentState::AwaitingEvent {
            match check_start(&valid, &self.ids, &self.point) {
                ResumedStart::Nothing => start = length,
                ResumedStart::EventAt(offset) => {
                    start = offset;
                    self.segment = SegmentState::Continuing;
                }
                ResumedStart::Misplaced => {
                    start = length;
                    self.segment = SegmentState::Misplaced;
                }
            }
        }
        if length < events.len() {
            self.segment = SegmentState::Misplaced;
        }
        valid.slice(start..)
    }

    /// Returns whether the rest of the current segment is no part of the stream.
    pub fn is_misplaced(&self) -> bool {
        self.segment == SegmentState::Misplaced
    }

    /// Returns whether the stream is complete if its current segment ends properly. One that was
    /// asked for the rest of a broken stream and sent no event does not show that there is none.
    pub fn may_end(&self) -> bool {
        matches!(self.segment, SegmentState::First | SegmentState::Continuing)
    }

    /// Takes the buffered data of a last event that lacks its end.
    pub fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Drops the buffered part of an event that its runner did not complete, before the stream is
    /// resumed.
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.segment = SegmentState::AwaitingEvent;
    }

    /// Returns whether the buffered event exceeds the maximum size.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns where another runner has to resume after the events returned so far.
    pub fn resume_point(&self) -> &ResumePoint {
        &self.point
    }

    /// Returns the last event id returned so far, for logs.
    pub fn last_id(&self) -> Option<&str> {
        match &self.point {
            ResumePoint::After(id) => id.to_str().ok(),
            ResumePoint::Beginning | ResumePoint::Nowhere => None,
        }
    }
}

fn last_event_id(events: &[u8]) -> Option<&[u8]> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    lines.find_map(|line| line.strip_prefix(b"id:")).map(<[u8]>::trim_ascii)
}
