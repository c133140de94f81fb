//! A connection on which the head of an answer may take only so many bytes.
//!
//! Heads that announce another answer may come without end, and the protocol's library reads on for as
//! long as they do, without a pause in which a deadline could be noticed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes of all heads of one answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that the head of an answer may still take on a connection.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self { left: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)) }
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

/// A connection that fails once a head is too long.
#[derive(Debug)]
pub struct HeadLimited {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimited {
    /// Bounds what is read from `stream` while `limit` is not lifted.
    pub fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
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
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
