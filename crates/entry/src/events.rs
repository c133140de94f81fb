//! Server-sent events: splits a stream into whole events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest single event.
const MAX_EVENT_BYTES: usize = 1 << 20;

const EVENT_END: &[u8] = b"\n\n";
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Tokens that an upstream counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the output.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Deserialize)]
struct UsageHolder {
    usage: Option<TokenUsage>,
}

impl TokenUsage {
    /// Reads the usage in a JSON answer or chunk.
    pub fn from_json(content: &[u8]) -> Option<Self> {
        serde_json::from_slice::<UsageHolder>(content).ok()?.usage
    }
}

/// Why a stream of events cannot be relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Splits a stream into whole events and counts them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last: Bytes,
    chunks: u64,
    done: bool,
    excess: bool,
}

impl EventSplitter {
    /// Takes a part of the stream; returns the whole events that are complete with it.
    ///
    /// # Errors
    /// Fails if one event is longer than 1 MiB.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, EventTooLong> {
        if self.done {
            self.excess |= !data.is_empty();
            return Ok(Bytes::new());
        }
        let joined = if self.partial.is_empty() {
            data
        } else {
            self.partial.extend_from_slice(&data);
            self.partial.split().freeze()
        };
        let end = self.count_events(&joined);
        let rest = &joined[end..];
        if self.done {
            self.excess |= !rest.is_empty();
        } else if rest.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        } else {
            self.partial.extend_from_slice(rest);
        }
        Ok(joined.slice(..end))
    }

    /// Returns the number of data events seen, the final mark left out.
    pub fn chunks(&self) -> u64 {
        self.chunks
    }

    /// Tells whether the final mark was seen.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Tells whether anything came after the final mark.
    pub fn has_excess(&self) -> bool {
        self.excess
    }

    /// Returns the usage in the last chunk.
    pub fn usage(&self) -> Option<TokenUsage> {
        TokenUsage::from_json(self.last.strip_prefix(b"data:")?)
    }

    /// Forgets an event that was cut off; the next part comes from a resumed stream.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Returns the end of the last whole event.
    fn count_events(&mut self, joined: &Bytes) -> usize {
        let mut start = 0;
        while let Some(length) = memchr::memmem::find(&joined[start..], EVENT_END) {
            let event = start..start + length;
            start += length + EVENT_END.len();
            if joined[event.clone()].starts_with(DONE_EVENT) {
                self.done = true;
                break;
            }
            if joined[event.clone()].starts_with(b"data:") {
                self.chunks += 1;
                self.last = joined.slice(event);
            }
        }
        start
    }
}
