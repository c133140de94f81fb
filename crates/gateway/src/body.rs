//! Bodies of answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer cannot be made whole; its connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenAnswer;

impl fmt::Display for BrokenAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the upstream broke the answer off")
    }
}

impl std::error::Error for BrokenAnswer {}

/// Piece of a streamed answer.
pub type AnswerPiece = Result<Bytes, BrokenAnswer>;

/// Body of an answer: whole, or coming in pieces.
#[derive(Debug)]
pub enum GatewayBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they arrive.
    Pieces(mpsc::Receiver<AnswerPiece>),
}

impl GatewayBody {
    /// Returns a body that is known whole.
    pub fn whole(body: Bytes) -> Self {
        Self::Whole(Some(body))
    }
}

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(
                body.take().filter(|body| !body.is_empty()).map(|body| Ok(Frame::data(body))),
            ),
            Self::Pieces(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => {
                let length = body.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
