//! Checks that what another runner sends continues a stream that broke off.

use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};

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

/// Returns the media type without its parameters, in lower case; empty if there is none.
fn media_type(headers: &HeaderMap) -> Vec<u8> {
    let value = headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
    let name = value.split(|byte| *byte == b';').next().unwrap_or_default();
    name.trim_ascii().to_ascii_lowercase()
}
