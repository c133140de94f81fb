//! The server that callers connect to.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_upstream::connect::enable_dead_peer_detection;
use dotterellane_upstream::lingering::LingeringStream;
use http::header::CONNECTION;
use http::{HeaderValue, StatusCode, Version};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::answer::answer_request;
use crate::context::{EntryContext, SharedContext};
use crate::stall::StallGuard;
use crate::streams::sweep_streams;
use crate::tls::TlsIdentity;

/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS_PER_CONNECTION: u32 = 1_000;

/// Time between two HTTP/2 pings to a silent caller, and until its answer.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `shutdown`, then for the balancer's lag, then until every answer is whole.
///
/// # Errors
/// Fails if the listener cannot be used.
pub async fn serve(
    listener: TcpListener,
    context: EntryContext,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let context = Arc::new(context);
    let closing = CancellationToken::new();
    let ended = CancellationToken::new();
    let _end_guard = ended.clone().drop_guard();
    tokio::spawn(sweep_streams(context.clone(), ended.clone()));
    if let Some(tls) = &context.tls {
        tokio::spawn(tls.clone().follow_files(ended.clone()));
    }
    accept_until_leaving(&listener, &context, &closing, &shutdown).await?;
    drop(listener);
    closing.cancel();
    context.tasks.close();
    context.tasks.wait().await;
    Ok(())
}

async fn accept_until_leaving(
    listener: &TcpListener,
    context: &SharedContext,
    closing: &CancellationToken,
    shutdown: &CancellationToken,
) -> io::Result<()> {
    let places = Arc::new(Semaphore::new(context.limits.connections));
    let left = async {
        shutdown.cancelled().await;
        context.leaving.cancel();
        // The balancer's list of hosts lags; callers still come meanwhile.
        tokio::time::sleep(context.limits.shutdown_lag).await;
    };
    let mut left = pin!(left);
    loop {
        let place = tokio::select! {
            place = places.clone().acquire_owned() => place.map_err(io::Error::other)?,
            () = &mut left => return Ok(()),
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let served = serve_stream(stream, context.clone(), closing.clone(), place);
                    context.tasks.spawn(served);
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            () = &mut left => return Ok(()),
        }
    }
}

async fn serve_stream(
    stream: TcpStream,
    context: SharedContext,
    closing: CancellationToken,
    place: OwnedSemaphorePermit,
) {
    if enable_dead_peer_detection(&stream).is_err() {
        return;
    }
    let stream = LingeringStream::new(StallGuard::new(stream, context.limits.write_stall));
    match context.tls.as_ref().map(TlsIdentity::acceptor) {
        None => serve_connection(stream, context, closing).await,
        Some(acceptor) => {
            let accepting = timeout(context.limits.head_read, acceptor.accept(stream));
            if let Ok(Ok(stream)) = accepting.await {
                serve_connection(stream, context, closing).await;
            }
        }
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
        // The connection keeps this future for its life; what it needs until the answer does not stay.
        let version = request.version();
        let answering = Box::pin(answer_request(context, request));
        async move {
            let mut response = answering.await;
            if version < Version::HTTP_2 && leaves_body(response.status()) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
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

/// Tells whether part of the request may be unread, so that the connection cannot be used again.
fn leaves_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT)
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
