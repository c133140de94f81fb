//! The server that callers connect to.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_upstream::connect::bound_silence;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::answer_request;
use crate::context::{EntryContext, SharedContext};

/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS_PER_CONNECTION: u32 = 1_000;

/// Time between two HTTP/2 pings to a silent caller, and until its answer.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a server ended.
#[derive(Debug, Error)]
#[error("{step} on {address}: {source}")]
pub struct ServeError {
    /// What was being done.
    pub step: &'static str,
    /// Address of the server.
    pub address: SocketAddr,
    /// What was seen.
    pub source: io::Error,
}

/// Serves callers until `shutdown`, then for the balancer's lag, then until every answer is whole.
///
/// # Errors
/// Fails if the listener has no address.
pub async fn serve(
    listener: TcpListener,
    context: EntryContext,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let context = Arc::new(context);
    let closing = CancellationToken::new();
    let tasks = TaskTracker::new();
    let places = Arc::new(Semaphore::new(context.limits.connections));
    let lag = context.limits.shutdown_lag;
    let stop = async {
        shutdown.cancelled().await;
        tokio::time::sleep(lag).await;
    };
    let mut stop = pin!(stop);
    loop {
        let place = tokio::select! {
            place = places.clone().acquire_owned() => place.map_err(io::Error::other)?,
            () = &mut stop => break,
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tasks.spawn(serve_stream(stream, context.clone(), closing.clone(), place));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            () = &mut stop => break,
        }
    }
    drop(listener);
    closing.cancel();
    tasks.close();
    tasks.wait().await;
    Ok(())
}

async fn serve_stream(
    stream: TcpStream,
    context: SharedContext,
    closing: CancellationToken,
    place: OwnedSemaphorePermit,
) {
    if bound_silence(&stream).is_ok() {
        serve_connection(stream, context, closing).await;
    }
    drop(place);
}

async fn serve_connection<S>(stream: S, context: SharedContext, closing: CancellationToken)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let builder = connection_builder(&context);
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(answer_request(context, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A connection that breaks is its caller's matter; holds are released by their drop.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

fn connection_builder(context: &EntryContext) -> Builder<TokioExecutor> {
    let header_bytes = usize::try_from(context.limits.headers.0).unwrap_or(usize::MAX);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(context.limits.head_read)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL);
    builder
}

/// Smallest read buffer that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
