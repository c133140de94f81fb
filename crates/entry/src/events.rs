//! Splitting of server-sent event streams.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Start of the event that ends a stream of the OpenAI API.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Token usage that an upstream reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of output tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Deserialize)]
struct UsageHolder {
    usage: Option<TokenUsage>,
}

impl TokenUsage {
    /// Parses the `usage` field of a JSON response or chunk, `None` if there is none.
    pub fn from_json(content: &[u8]) -> Option<Self> {
        serde_json::from_slice::<UsageHolder>(content).ok()?.usage
    }
}

/// Error for an event that is longer than 1 MiB.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Splits a byte stream into complete events and counts them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last: Bytes,
    chunks: u64,
    done: bool,
    excess: bool,
}

impl EventSplitter {
    /// Appends a part of the stream and returns the events that are complete now.
    ///
    /// Data after the `[DONE]` event is dropped.
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

    /// Returns the number of data events so far, without the `[DONE]` event.
    pub fn chunks(&self) -> u64 {
        self.chunks
    }

    /// Returns whether the `[DONE]` event was received.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether data was received after the `[DONE]` event.
    pub fn has_excess(&self) -> bool {
        self.excess
    }

    /// Returns the usage that the last data event reports.
    pub fn usage(&self) -> Option<TokenUsage> {
        TokenUsage::from_json(self.last.strip_prefix(b"data:")?)
    }

    /// Drops an incomplete event before the stream is resumed at another runner.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Counts the complete events in `joined` and returns the end of the last one.
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
