//! A connection that limits the size of response heads and checks that a request may still be sent.
//!
//! An upstream may send informational (1xx) heads forever. The HTTP library keeps reading them
//! without yielding, so that no timeout can fire; the size limit ends such a call.
//!
//! A request may wait in the runtime's queue, for long if the host is suspended meanwhile. The
//! check runs right before the first byte is written.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes of all heads of one response, informational ones included.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The byte budget of the next response head on a connection. Clones share the budget.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    /// `usize::MAX` while the limit is lifted.
    left: Arc<AtomicUsize>,
    withheld: Arc<AtomicBool>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self { left: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)), withheld: Arc::default() }
    }
}

impl HeadLimit {
    /// Starts the budget for the head of the next response.
    pub fn arm(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit once the head has arrived, so that the body is not counted.
    pub fn lift(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Returns whether the send check failed, so that no byte of the request was written.
    pub fn is_withheld(&self) -> bool {
        self.withheld.load(Ordering::Relaxed)
    }

    fn is_exhausted(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn consume(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// Returns whether the request may still be sent.
pub type SendCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// A connection that fails when a response head exceeds the limit, or when the request may no
/// longer be sent.
pub struct HeadLimited<S> {
    stream: S,
    limit: HeadLimit,
    may_send: Option<SendCheck>,
}

impl<S> HeadLimited<S> {
    /// Wraps `stream`; reads count against `limit` while it is not lifted.
    pub fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit, may_send: None }
    }

    /// Calls `may_send` before the first byte is written; writes fail if it returns `false`.
    #[must_use]
    pub fn with_check(self, may_send: SendCheck) -> Self {
        Self { may_send: Some(may_send), ..self }
    }

    fn check_send(&mut self) -> io::Result<()> {
        match self.may_send.take() {
            Some(may_send) if !may_send() => {
                self.may_send = Some(may_send);
                self.limit.withheld.store(true, Ordering::Relaxed);
                Err(io::Error::other("request may no longer be sent"))
            }
            _ => Ok(()),
        }
    }
}

impl<S> fmt::Debug for HeadLimited<S>
where
    S: fmt::Debug,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeadLimited").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl<S> AsyncRead for HeadLimited<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exhausted() {
            return Poll::Ready(Err(io::Error::other("response head is too long")));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.limit.consume(buffer.filled().len() - before);
        polled
    }
}

impl<S> AsyncWrite for HeadLimited<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_send()?;
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_send()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
