//! The HTTP server that most stand-ins listen with.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Body of a stand-in's response; an error aborts the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct StandinServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Ends the server and all its connections when cancelled.
    pub stop: CancellationToken,
    /// Ends the connections that are open now when cancelled.
    connections: Arc<Mutex<CancellationToken>>,
    _guard: DropGuard,
}

impl StandinServer {
    /// Breaks all open connections, as a restart of the server does, and accepts new ones.
    pub fn break_connections(&self) {
        let next = self.stop.child_token();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *connections, next).cancel();
    }
}

/// Serves requests with `handler` on a loopback port chosen by the system.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn start<H, HF>(handler: H) -> std::io::Result<StandinServer>
where
    H: Fn(Request<Incoming>) -> HF + Clone + Send + Sync + 'static,
    HF: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let connections = Arc::new(Mutex::new(stop.child_token()));
    let accepting = accept(listener, handler, connections.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
    Ok(StandinServer { address, stop: stop.clone(), connections, _guard: stop.drop_guard() })
}

async fn accept<H, HF>(
    listener: TcpListener,
    handler: H,
    connections: Arc<Mutex<CancellationToken>>,
) where
    H: Fn(Request<Incoming>) -> HF + Clone + Send + Sync + 'static,
    HF: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let stop = connections.lock().unwrap_or_else(PoisonError::into_inner).clone();
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        }));
    }
}

/// Returns a response with `status` and a complete body.
pub fn full_response<B>(status: StatusCode, content_type: &str, body: B) -> Response<ResponseBody>
where
    B: Into<Bytes>,
{
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// Returns a response with `status` and `value` as its JSON body.
pub fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<ResponseBody> {
    full_response(status, "application/json", value.to_string())
}
