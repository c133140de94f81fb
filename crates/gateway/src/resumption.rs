//! Checks that what another runner sends continues a stream that broke off.

use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};

use crate::events::ResumePoint;

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Names of the fields that make a block of lines an event. A block that lacks all of them, such as
/// a comment, is none.
const EVENT_FIELDS: [&[u8]; 3] = [b"id", b"data", b"event"];

/// The status and type of the response that a caller is receiving, which those of a runner that
/// resumes the stream must equal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamKind {
    status: StatusCode,
    media_type: Vec<u8>,
}

impl StreamKind {
    /// Returns the kind of a response.
    pub fn of<B>(response: &Response<B>) -> Self {
        Self { status: response.status(), media_type: media_type(response.headers()) }
    }

    /// Returns whether a response may continue a stream of this kind.
    pub fn is_continued_by<B>(&self, response: &Response<B>) -> bool {
        *self == Self::of(response) && !response.headers().contains_key(CONTENT_ENCODING)
    }
}

/// Returns the media type without its parameters, in lower case. A stream that states none is one
/// of events.
fn media_type(headers: &HeaderMap) -> Vec<u8> {
    let value = headers.get(CONTENT_TYPE).map_or(EVENT_STREAM, HeaderValue::as_bytes);
    let name = value.split(|byte| *byte == b';').next().unwrap_or_default();
    name.trim_ascii().to_ascii_lowercase()
}

/// The ids of the events that a caller has received, as far as they tell which one is next.
#[derive(Clone, Debug, Default)]
pub struct IdSequence {
    /// The last id, if it is a number.
    last: Option<u64>,
    /// The difference of one id to the next, while it is the same throughout.
    step: IdStep,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum IdStep {
    /// There were fewer than two ids.
    #[default]
    Unknown,
    /// Each id was higher by this number.
    Constant(u64),
    /// The differences vary.
    Varying,
}

impl IdSequence {
    /// Records the ids of complete events.
    pub fn observe(&mut self, events: &[u8]) {
        for id in lines(events).filter_map(event_id) {
            let number = parse_number(id);
            self.step = match (self.last.zip(number), self.step) {
                (Some((last, number)), step) => match (number.checked_sub(last), step) {
                    (Some(step), IdStep::Unknown) if step > 0 => IdStep::Constant(step),
                    (Some(step), IdStep::Constant(known)) if step == known => self.step,
                    _ => IdStep::Varying,
                },
                (None, step) => step,
            };
            self.last = number;
        }
    }

    /// Returns whether an event with `id` is the next one after `point`.
    fn is_next(&self, point: &ResumePoint, id: Option<&[u8]>) -> bool {
        let ResumePoint::After(last) = point else { return true };
        let Some(id) = id else { return false };
        match (self.last, parse_number(id)) {
            (Some(last), Some(number)) => match self.step {
                IdStep::Constant(step) => last.checked_add(step) == Some(number),
                IdStep::Unknown | IdStep::Varying => number > last,
            },
            (Some(_), None) => false,
            (None, _) => id != last.as_bytes(),
        }
    }
}

/// What the first blocks of a resumed stream are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumedStart {
    /// There is no event yet.
    Nothing,
    /// The next event starts at this offset.
    EventAt(usize),
    /// They do not continue the stream.
    Misplaced,
}

/// Checks whether complete blocks start with the event that follows `point`.
pub fn check_start(blocks: &[u8], ids: &IdSequence, point: &ResumePoint) -> ResumedStart {
    let (mut start, mut end) = (0, 0);
    let (mut has_event, mut id) = (false, None);
    for line in blocks.split_inclusive(|byte| *byte == b'\n') {
        end += line.len();
        let line = line.trim_ascii_end();
        if !line.is_empty() {
            has_event |= EVENT_FIELDS.contains(&field_name(line));
            id = event_id(line).or(id);
        } else if !has_event {
            (start, id) = (end, None);
        } else if ids.is_next(point, id) {
            return ResumedStart::EventAt(start);
        } else {
            return ResumedStart::Misplaced;
        }
    }
    ResumedStart::Nothing
}

/// Returns the length of the blocks before the first one that has a line which is not valid.
pub fn valid_length<V>(blocks: &[u8], is_valid: V) -> usize
where
    V: Fn(&[u8]) -> bool,
{
    let (mut start, mut end) = (0, 0);
    for line in blocks.split_inclusive(|byte| *byte == b'\n') {
        end += line.len();
        let line = line.trim_ascii_end();
        if line.is_empty() {
            start = end;
        } else if !is_valid(line) {
            return start;
        }
    }
    end
}

/// Returns whether a line can be one of an event or a comment; a status line, a line of a document
/// or other text cannot.
pub fn is_event_line(line: &[u8]) -> bool {
    let name = field_name(line);
    let is_name = name.iter().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(byte));
    let has_colon = name.len() < line.len();
    is_name && (has_colon || EVENT_FIELDS.contains(&name))
}

/// Returns whether a line can be the first one of a response.
pub fn is_status_line(line: &[u8]) -> bool {
    line.starts_with(b"HTTP/1.")
}

fn lines(blocks: &[u8]) -> impl Iterator<Item = &[u8]> {
    blocks.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end)
}

/// Returns the part of a line before its colon, the whole line if it has none.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|byte| *byte == b':').next().unwrap_or_default()
}

fn event_id(line: &[u8]) -> Option<&[u8]> {
    line.strip_prefix(b"id:").map(<[u8]>::trim_ascii)
}

fn parse_number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}
