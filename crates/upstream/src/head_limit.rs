//! A connection on which the head of an answer may take only so many bytes, and that asks before it
//! sends.
//!
//! Heads that announce another answer may come without end, and the protocol's library reads on for as
//! long as they do, without a pause in which a deadline could be noticed.
//!
//! What is to be sent may wait in the runtime's queue, for long where the host stands still meanwhile.
//! Whether it may go out is asked when its first byte does.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes of all heads of one answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that the head of an answer may still take on a connection.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left: Arc<AtomicUsize>,
    withheld: Arc<AtomicBool>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self { left: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)), withheld: Arc::default() }
    }
}

impl HeadLimit {
    /// Bounds what is read from now on: the head of the next answer.
    pub fn arm(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Notes that the head has arrived: what follows is the body.
    pub fn lift(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Tells whether the message was not to be sent any more, so that no byte of it went out.
    pub fn is_withheld(&self) -> bool {
        self.withheld.load(Ordering::Relaxed)
    }

    fn is_used_up(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn use_up(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// Tells whether a message may still go out.
pub type SendCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// A connection that fails once a head is too long, or if its message may no longer go out.
pub struct HeadLimited {
    stream: TcpStream,
    limit: HeadLimit,
    may_send: Option<SendCheck>,
}

impl HeadLimited {
    /// Bounds what is read from `stream` while `limit` is not lifted.
    pub fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit, may_send: None }
    }

    /// Asks `may_send` before the first byte goes out.
    #[must_use]
    pub fn with_check(self, may_send: SendCheck) -> Self {
        Self { may_send: Some(may_send), ..self }
    }

    fn check_send(&mut self) -> io::Result<()> {
        match self.may_send.take() {
            Some(may_send) if !may_send() => {
                self.may_send = Some(may_send);
                self.limit.withheld.store(true, Ordering::Relaxed);
                Err(io::Error::other("the message may no longer be sent"))
            }
            _ => Ok(()),
        }
    }
}

impl fmt::Debug for HeadLimited {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeadLimited").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_used_up() {
            return Poll::Ready(Err(io::Error::other("the head of the answer is too long")));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.limit.use_up(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for HeadLimited {
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
