//! Connections whose last answer reaches a caller that is still sending.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Longest time that a caller may go on sending after the last answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Most that is read and dropped of it, in bytes.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes dropped with one read.
const SCRATCH_BYTES: usize = 4 * 1024;

/// Connection of a caller that is closed without losing the last answer.
///
/// Closing a socket with unread data resets the connection, and the caller may then lose an answer
/// that was sent before, such as the refusal of a body that is too long. So the end of answers is
/// announced first, and what still comes is dropped until the caller closes, within bounds.
#[derive(Debug)]
pub struct LingeringStream<S> {
    stream: S,
    /// Set once the end of answers was announced.
    end: Option<Pin<Box<Sleep>>>,
    dropped: usize,
}

impl<S> LingeringStream<S> {
    /// Wraps an accepted connection.
    pub fn new(stream: S) -> Self {
        Self { stream, end: None, dropped: 0 }
    }
}

impl<S> AsyncRead for LingeringStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buffer)
    }
}

impl<S> AsyncWrite for LingeringStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.end.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let end = this.end.get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        let mut scratch = [0; SCRATCH_BYTES];
        while this.dropped < LINGER_BYTES && end.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buffer))?;
            let count = buffer.filled().len();
            if count == 0 {
                break;
            }
            this.dropped = this.dropped.saturating_add(count);
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, buffers)
    }
}
