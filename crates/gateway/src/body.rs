//! Response bodies sent to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

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
