//! Response body whose beginning can be awaited before it is read.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::events::EventTail;

/// Result of reading from a body; `None` at its end.
type ReadFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Body of an upstream's response, of which a part may have been received ahead.
#[derive(Debug)]
pub struct PeekedBody {
    incoming: Incoming,
    ahead: VecDeque<ReadFrame>,
    /// State of the stream after what was received ahead.
    tail: EventTail,
}

impl PeekedBody {
    /// Creates a body of which nothing was received ahead.
    pub fn new(incoming: Incoming) -> Self {
        Self { incoming, ahead: VecDeque::new(), tail: EventTail::default() }
    }

    /// Receives ahead until the first event of a stream or its end; returns `false` if the stream
    /// breaks off before. Nothing is lost if the future is dropped.
    pub async fn await_event(&mut self) -> bool {
        loop {
            let frame = self.incoming.frame().await;
            let data = match &frame {
                Some(Ok(frame)) => frame.data_ref().cloned(),
                Some(Err(_)) | None => None,
            };
            let is_over = frame.is_none();
            let is_broken = matches!(frame, Some(Err(_)));
            self.ahead.push_back(frame);
            if is_broken || is_over {
                return !is_broken && self.tail.is_between_events();
            }
            let data = data.unwrap_or_default();
            self.tail.push(&data);
            if self.tail.has_event() {
                return true;
            }
        }
    }
}

impl PeekedBody {
    /// Returns the data that was received ahead, and whether the body ends with it.
    pub fn received(&self) -> (Bytes, bool) {
        let mut data = BytesMut::new();
        let mut is_over = false;
        for frame in &self.ahead {
            match frame {
                Some(Ok(frame)) => {
                    data.extend_from_slice(frame.data_ref().map_or(&[][..], AsRef::as_ref))
                }
                Some(Err(_)) | None => is_over = true,
            }
        }
        (data.freeze(), is_over)
    }
}

impl Body for PeekedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<ReadFrame> {
        if let Some(frame) = self.ahead.pop_front() {
            return Poll::Ready(frame);
        }
        Pin::new(&mut self.incoming).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.ahead.is_empty() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
