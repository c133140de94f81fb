//! Lingering close: delivers the last response to a client that is still sending its request.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Maximum time to wait for the client to close after the last response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of bytes to read and discard in that time.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of bytes discarded per read.
const SCRATCH_BYTES: usize = 4 * 1024;

/// A client's connection with lingering close.
///
/// Closing a socket that has unread data resets the connection, and the client may lose a response
/// that was already sent, such as the rejection of an oversized body. Shutdown therefore closes the
/// write half first, then discards what the client still sends until it closes, within a time and a
/// size limit.
#[derive(Debug)]
pub struct LingeringStream<S> {
    stream: S,
    /// Ends the lingering; set when the write half is closed.
    linger_end: Option<Pin<Box<Sleep>>>,
    discarded: usize,
}

impl<S> LingeringStream<S> {
    /// Wraps an accepted connection.
    pub fn new(stream: S) -> Self {
        Self { stream, linger_end: None, discarded: 0 }
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
        if this.linger_end.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let linger_end = this.linger_end.get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        let mut scratch = [0; SCRATCH_BYTES];
        while this.discarded < LINGER_BYTES && linger_end.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buffer))?;
            let count = buffer.filled().len();
            if count == 0 {
                break;
            }
            this.discarded = this.discarded.saturating_add(count);
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
