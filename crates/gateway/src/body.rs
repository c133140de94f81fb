//! Response bodies sent to callers.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::caller_memory::CallerLink;

/// Capacity of a buffer that grows, in multiples of what it holds.
const GROWTH: usize = 2;

/// The same where the length of the whole is known.
const KNOWN_GROWTH: usize = 4;

/// First capacity of a buffer that grows, in bytes.
const FIRST_CAPACITY: usize = 4 << 10;

/// Error that ends an incomplete response. The connection is closed, so that the response does not
/// look complete to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenResponse;

impl fmt::Display for BrokenResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the upstream broke off its response")
    }
}

impl std::error::Error for BrokenResponse {}

/// Chunk of a streamed response, or the error that ends it.
pub type ResponseChunk = Result<Bytes, BrokenResponse>;

/// Response body: complete, or streamed in chunks.
#[derive(Debug)]
pub enum GatewayBody {
    /// The complete body; `None` once it was read.
    Whole(Option<Bytes>),
    /// Chunks as they arrive from the upstream.
    Chunks(mpsc::Receiver<ResponseChunk>),
}

impl GatewayBody {
    /// Returns a complete body.
    pub fn whole(body: Bytes) -> Self {
        Self::Whole(Some(body))
    }
}

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(
                body.take().filter(|body| !body.is_empty()).map(|body| Ok(Frame::data(body))),
            ),
            Self::Chunks(chunks) => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.as_ref().is_none_or(Bytes::is_empty),
            Self::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => {
                let length = body.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Returns the capacity to which a buffer grows for `length` bytes, of which `expected` are to come
/// in all if known, `longest` otherwise: in few steps, as each leaves a hole, but not far beyond what
/// has come.
pub fn grown_capacity(length: usize, expected: Option<usize>, longest: usize) -> usize {
    let growth = if expected.is_some() { KNOWN_GROWTH } else { GROWTH };
    let wanted = length.saturating_mul(growth).max(FIRST_CAPACITY);
    wanted.min(expected.unwrap_or(longest)).max(length)
}

/// Response body on its way to a caller, which is counted until the caller has taken it.
#[derive(Debug)]
pub struct HeldBody {
    body: GatewayBody,
    link: Arc<CallerLink>,
}

impl HeldBody {
    /// Counts a body for the caller's connection.
    pub fn new(body: GatewayBody, link: Arc<CallerLink>) -> Self {
        let body = match body {
            GatewayBody::Whole(Some(bytes)) => GatewayBody::whole(link.hold_answer(bytes)),
            other => other,
        };
        Self { body, link }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.link.note_idle();
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
