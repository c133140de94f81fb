//! The servers for callers, the load balancer's readiness checks, and metrics.

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

use crate::body::{GatewayBody, HeldBody};
use crate::caller_memory::{CallerLink, NotedStream};
use crate::document::DEFAULT_IDLE;
use crate::evacuations;
use crate::exchange::bound_unread;
use crate::handler::handle_request;
use crate::state::Host;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for the first request on a new connection when connections are being closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum read buffer size that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts and serves callers until the daemon stops accepting connections.
pub async fn serve_callers(listener: TcpListener, host: Arc<Host>) {
    // Connections that were not accepted yet have the bound of the listener.
    bound_unread(&listener);
    let serve = |stream: TcpStream| {
        let link = host.caller_memory.connect();
        host.tasks.spawn(serve_caller(stream, host.clone(), link))
    };
    loop {
        let accepting = async {
            host.caller_memory.place().await;
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = accepting => accepted,
            () = host.closed.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                serve(stream);
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { cause = error.to_string().as_str() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the socket would reset connections that wait in the accept queue.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve(stream);
    }
}

async fn serve_caller(stream: TcpStream, host: Arc<Host>, link: Arc<CallerLink>) {
    if let Err(error) = enable_dead_peer_detection(&stream) {
        spdlog::warn!("socket options rejected; connection closed", kv: {
            cause = error.to_string().as_str(),
        });
        return;
    }
    let limits = host.state().caller_limits();
    let first_request = Notify::new();
    let service = service_fn(|request: Request<Incoming>| {
        first_request.notify_one();
        // The connection keeps the service's future after it completed. Boxing frees what it used.
        let answering = Box::pin(handle_request(host.clone(), link.clone(), request));
        let link = link.clone();
        async move { Ok::<_, Infallible>(hold_answer(link, answering.await)) }
    });
    let stream = NotedStream::new(LingeringStream::new(stream), link.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts idle time towards reading the next head, so this limits both.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Errors of a caller's connection are not reported; guards release their counts on drop.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = link.closed() => return,
        () = host.closing.cancelled() => {}
    }
    // A connection that was just opened has its first request on the way.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = timeout(FIRST_REQUEST_TIMEOUT, first_request.notified()) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = link.closed() => {}
    }
}

/// Counts the answer as held until the caller has taken it.
fn hold_answer(link: Arc<CallerLink>, response: Response<GatewayBody>) -> Response<HeldBody> {
    link.note_answer();
    response.map(|body| HeldBody::new(body, link))
}

/// Serves readiness checks and metrics until the daemon ends.
pub async fn serve_status(listener: TcpListener, host: Arc<Host>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_status_connection(stream, host.clone()));
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { cause = error.to_string().as_str() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_status_connection(stream: TcpStream, host: Arc<Host>) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = status_response(&host, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE)
        .serve_connection(TokioIo::new(stream), service);
    // Errors are not reported; the client tries again.
    let _ = connection.await;
}

fn status_response(host: &Host, path: &str) -> Response<Full<Bytes>> {
    host.caller_memory.show_use();
    let (status, body) = match path {
        "/metrics" => {
            evacuations::count_running(host);
            (StatusCode::OK, Bytes::from(host.metrics.render()))
        }
        _ if is_ready(host) => (StatusCode::OK, Bytes::from_static(b"ready\n")),
        _ => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from(describe_unready(host))),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Returns whether the load balancer should send callers to this host.
fn is_ready(host: &Host) -> bool {
    let state = host.state();
    !host.leaving.is_cancelled() && state.is_fresh(host.now())
}

fn describe_unready(host: &Host) -> String {
    match &host.state().configuration_row.fault {
        Some(fault) => format!("not ready: newest configuration cannot be used: {fault}\n"),
        None => "not ready\n".to_owned(),
    }
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
