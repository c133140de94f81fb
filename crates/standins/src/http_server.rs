//! The HTTP server that every stand-in listens with.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

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

/// Body of a stand-in's answer; an error breaks the connection off.
pub type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A running stand-in; it stops when dropped.
#[derive(Debug)]
pub struct StandinServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Ends it, and all its connections, when cancelled.
    pub stop: CancellationToken,
    _guard: DropGuard,
}

/// Listens on a loopback port chosen by the system and answers with `handler`.
///
/// # Errors
/// Fails if no port can be had.
pub async fn start<H, HF>(handler: H) -> std::io::Result<StandinServer>
where
    H: Fn(Request<Incoming>) -> HF + Clone + Send + Sync + 'static,
    HF: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    tokio::spawn(stop.clone().run_until_cancelled_owned(accept(listener, handler, stop.clone())));
    Ok(StandinServer { address, stop: stop.clone(), _guard: stop.drop_guard() })
}

async fn accept<H, HF>(listener: TcpListener, handler: H, stop: CancellationToken)
where
    H: Fn(Request<Incoming>) -> HF + Clone + Send + Sync + 'static,
    HF: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let stop = stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        }));
    }
}

/// Answers with `status` and a whole body.
pub fn whole_answer<B>(status: StatusCode, content_type: &str, body: B) -> Response<AnswerBody>
where
    B: Into<Bytes>,
{
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        answer.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    answer
}

/// Answers with a JSON value.
pub fn json_answer(status: StatusCode, value: &serde_json::Value) -> Response<AnswerBody> {
    whole_answer(status, "application/json", value.to_string())
}
