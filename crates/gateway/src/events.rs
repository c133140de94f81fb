//! Cutting a stream into whole events, so that another runner can go on with it.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The part of a stream that was passed on, and the beginning of the next event.
#[derive(Clone, Debug, Default)]
pub struct EventCutter {
    held: BytesMut,
    last_id: Option<String>,
}

impl EventCutter {
    /// Takes in data; returns the whole events that it completes, possibly none.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.held.extend_from_slice(data);
        let end = [&b"\n\n"[..], b"\r\n\r\n"]
            .iter()
            .filter_map(|blank| memmem::rfind(&self.held, blank).map(|at| at + blank.len()))
            .max();
        let Some(end) = end else {
            return Bytes::new();
        };
        let events = self.held.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
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

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
