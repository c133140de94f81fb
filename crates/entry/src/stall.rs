//! Connections whose peer takes no data for too long are broken.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// A connection that breaks when a write waits for longer than a bound.
pub struct StallGuard<S> {
    stream: S,
    bound: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Guards `stream`.
    pub fn new(stream: S, bound: Duration) -> Self {
        Self { stream, bound, waiting: None }
    }

    fn bound_wait<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.waiting = None;
            return polled;
        }
        let bound = self.bound;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(bound)));
        if waiting.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S> AsyncRead for StallGuard<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S> AsyncWrite for StallGuard<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, content);
        self.bound_wait(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.bound_wait(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.bound_wait(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.bound_wait(cx, polled)
    }
}

impl<S> fmt::Debug for StallGuard<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StallGuard")
    }
}
