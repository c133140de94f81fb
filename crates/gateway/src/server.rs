//! The servers that callers, the balancer and operators connect to.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_upstream::connect::enable_dead_peer_detection;
use dotterellane_upstream::lingering::LingeringStream;
use futures::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::answer::answer;
use crate::document::DEFAULT_IDLE;
use crate::state::Host;

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time within which a caller sends its first request on a connection, when connections are closed.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Smallest read buffer that the HTTP library allows, in bytes.
const LEAST_HEAD_BYTES: usize = 8 * 1024;

/// Serves callers until no more connections are to be accepted.
pub async fn serve_callers(listener: TcpListener, host: Arc<Host>) {
    let serve = |stream| host.tasks.spawn(serve_caller(stream, host.clone()));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = host.closed.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                serve(stream);
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { cause = error.to_string().as_str() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Closing the socket resets connections that wait to be accepted.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve(stream);
    }
}

async fn serve_caller(stream: TcpStream, host: Arc<Host>) {
    if let Err(error) = enable_dead_peer_detection(&stream) {
        spdlog::warn!("connection of a caller cannot be bounded", kv: {
            cause = error.to_string().as_str(),
        });
        return;
    }
    let limits = host.state().caller_limits();
    let asked = Notify::new();
    let service = service_fn(|request: Request<Incoming>| {
        asked.notify_one();
        // The connection keeps this future for its life; what it needs until the answer must not stay.
        let answering = Box::pin(answer(host.clone(), request));
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts idle time as part of the next head, so that this bounds both.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(LingeringStream::new(stream)), service);
    let mut connection = pin!(connection);
    // A connection that breaks is its caller's matter; holds are released by their drop.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = host.closing.cancelled() => {}
    }
    // One that was just opened has a request under way.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = timeout(FIRST_REQUEST_WAIT, asked.notified()) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Answers the balancer's question whether this host takes callers, and serves metrics.
pub async fn serve_status(listener: TcpListener, host: Arc<Host>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_question(stream, host.clone()));
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { cause = error.to_string().as_str() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_question(stream: TcpStream, host: Arc<Host>) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = status_answer(&host, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE)
        .serve_connection(TokioIo::new(stream), service);
    // The balancer asks again by itself.
    let _ = connection.await;
}

fn status_answer(host: &Host, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        "/metrics" => (StatusCode::OK, Bytes::from(host.metrics.render())),
        _ if is_ready(host) => (StatusCode::OK, Bytes::from_static(b"ready\n")),
        _ => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n")),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Tells whether this host should get new callers.
fn is_ready(host: &Host) -> bool {
    let state = host.state();
    !host.leaving.is_cancelled() && state.is_fresh(host.now())
}

/// Binds a listening socket.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn listen(step: &'static str, address: std::net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| io::Error::new(error.kind(), format!("{step} on {address}: {error}")))
}
