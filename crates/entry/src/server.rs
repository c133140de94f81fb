//! HTTP server for callers.

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

use crate::context::{EntryContext, SharedContext};
use crate::handler::handle_request;
use crate::stall::StallGuard;
use crate::streams::sweep_streams;
use crate::tls::TlsIdentity;

/// Largest number of open streams per HTTP/2 connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 1_000;

/// Interval of HTTP/2 pings to an idle caller; a caller that does not acknowledge one within the
/// same time is disconnected.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Delay after an error of `accept`, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers until `shutdown` is cancelled, then shuts down gracefully.
///
/// New connections are accepted for another [`EntryLimits::shutdown_delay`]; then all requests in
/// flight are completed.
///
/// [`EntryLimits::shutdown_delay`]: crate::EntryLimits::shutdown_delay
///
/// # Errors
/// Fails if no connection can be accepted any more.
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
        tokio::spawn(tls.clone().reload_periodically(ended.clone()));
    }
    accept_until_shutdown(&listener, &context, &closing, &shutdown).await?;
    drop(listener);
    closing.cancel();
    context.tasks.close();
    context.tasks.wait().await;
    Ok(())
}

async fn accept_until_shutdown(
    listener: &TcpListener,
    context: &SharedContext,
    closing: &CancellationToken,
    shutdown: &CancellationToken,
) -> io::Result<()> {
    let connection_slots = Arc::new(Semaphore::new(context.limits.connections));
    let delay_over = async {
        shutdown.cancelled().await;
        context.leaving.cancel();
        // Load balancers keep sending requests until they notice that this host is leaving.
        tokio::time::sleep(context.limits.shutdown_delay).await;
    };
    let mut delay_over = pin!(delay_over);
    loop {
        let slot = tokio::select! {
            slot = connection_slots.clone().acquire_owned() => slot.map_err(io::Error::other)?,
            () = &mut delay_over => return Ok(()),
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let served = serve_stream(stream, context.clone(), closing.clone(), slot);
                    context.tasks.spawn(served);
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = &mut delay_over => return Ok(()),
        }
    }
}

async fn serve_stream(
    stream: TcpStream,
    context: SharedContext,
    closing: CancellationToken,
    slot: OwnedSemaphorePermit,
) {
    if enable_dead_peer_detection(&stream).is_err() {
        return;
    }
    let stream = LingeringStream::new(StallGuard::new(stream, context.limits.write_timeout));
    match context.tls.as_ref().map(TlsIdentity::acceptor) {
        None => serve_connection(stream, context, closing).await,
        Some(acceptor) => {
            let accepting = timeout(context.limits.head_timeout, acceptor.accept(stream));
            if let Ok(Ok(stream)) = accepting.await {
                serve_connection(stream, context, closing).await;
            }
        }
    }
    drop(slot);
}

async fn serve_connection<S>(stream: S, context: SharedContext, closing: CancellationToken)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let builder = connection_builder(&context);
    let service = service_fn(move |request| {
        let context = context.clone();
        // hyper keeps the service future for the life of the connection; boxing the handler frees
        // its state as soon as the response is made.
        let version = request.version();
        let answering = Box::pin(handle_request(context, request));
        async move {
            let mut response = answering.await;
            if version < Version::HTTP_2 && may_leave_unread_body(response.status()) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Errors of a connection concern only its caller; guards give charges and permits back.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Returns whether part of the request body may be unread, so that an HTTP/1 connection cannot be
/// reused.
fn may_leave_unread_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT)
}

fn connection_builder(context: &EntryContext) -> Builder<TokioExecutor> {
    let header_bytes = usize::try_from(context.limits.headers.0).unwrap_or(usize::MAX);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(context.limits.head_timeout)
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
