//! Bodies of requests and responses.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use dotterellane_units::ByteSize;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::timeout;

use crate::context::EntryLimits;
use crate::refusal::{EntryRefusal, RefusalKind};
use crate::relay::RelayBody;

/// Error that cuts off the body of a response and closes the caller's connection.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("relay response: {cause}")]
pub struct BodyError {
    /// Description of the failure.
    pub cause: String,
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum EntryBody {
    /// Complete body in memory.
    Buffered(Full<Bytes>),
    /// Stream of events that is relayed from a runner.
    Relayed(RelayBody),
}

impl EntryBody {
    /// Creates a body with the given content.
    pub fn full<B>(content: B) -> Self
    where
        B: Into<Bytes>,
    {
        Self::Buffered(Full::new(content.into()))
    }
}

impl Body for EntryBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Buffered(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Self::Relayed(relay) => {
                relay.poll_event(cx).map(|event| event.map(|data| Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(full) => full.is_end_stream(),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(full) => full.size_hint(),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Reads a request body to its end; trailers are dropped.
///
/// # Errors
/// Refuses a body that is larger than `bound`, incomplete, or not received within
/// [`EntryLimits::body_timeout`].
pub async fn read_body<B>(
    body: B,
    bound: ByteSize,
    limits: &EntryLimits,
) -> Result<Bytes, EntryRefusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let too_large = || {
        let message = format!("the body is larger than {bound}");
        EntryRefusal::before_sending(RefusalKind::TooLarge, message)
    };
    let bytes = usize::try_from(bound.0).unwrap_or(usize::MAX);
    if body.size_hint().lower() > bound.0 {
        return Err(too_large());
    }
    match timeout(limits.body_timeout, Limited::new(body, bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => {
            let message = format!("the body was cut off: {error}");
            Err(EntryRefusal::before_sending(RefusalKind::Malformed, message))
        }
        Err(_) => {
            let message = format!("the body was not received within {:?}", limits.body_timeout);
            Err(EntryRefusal::before_sending(RefusalKind::SlowCaller, message))
        }
    }
}

/// Buffer for a response body with a maximum size.
#[derive(Debug)]
pub struct BoundedBuffer {
    content: BytesMut,
    bound: usize,
}

impl BoundedBuffer {
    /// Creates an empty buffer that holds at most `bound` bytes.
    pub fn new(bound: ByteSize) -> Self {
        let bound = usize::try_from(bound.0).unwrap_or(usize::MAX);
        Self { content: BytesMut::new(), bound }
    }

    /// Appends `part`; returns false, leaving the buffer as it is, if that would exceed the bound.
    pub fn push(&mut self, part: &[u8]) -> bool {
        let fits = self.content.len() + part.len() <= self.bound;
        if fits {
            self.content.extend_from_slice(part);
        }
        fits
    }

    /// Returns the content of the buffer.
    pub fn freeze(self) -> Bytes {
        self.content.freeze()
    }
}

/// Body of a request as hyper receives it.
pub type RequestBody = Incoming;
