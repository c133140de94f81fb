//! One call of an upstream on a connection of its own.
//!
//! A connection carries one call: what an upstream sends beyond its answer, or late, then cannot
//! reach another request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_upstream::connect::connect_tcp;
use dotterellane_upstream::head_limit::{HeadLimit, HeadLimited};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::timeout;

/// Time within which a connection must open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest answer that is read whole, in bytes.
pub const MAX_WHOLE_BYTES: usize = 16 << 20;

/// Why a call gave no answer.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("connect to {peer}: {cause}")]
    NotSent {
        /// Address of the upstream.
        peer: SocketAddr,
        /// What was seen.
        cause: String,
        /// Whether nobody listens there.
        refused: bool,
    },
    /// The request was sent, at least in part.
    #[error("{step} at {peer}: {cause}")]
    Broken {
        /// What was being done.
        step: &'static str,
        /// Address of the upstream.
        peer: SocketAddr,
        /// What was seen.
        cause: String,
    },
}

/// A connection over which nothing was sent yet.
#[derive(Debug)]
pub struct OpenConnection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    limit: HeadLimit,
}

/// A call of an upstream.
#[derive(Clone, Debug)]
pub struct Exchange<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers, without the body's length.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Time until the head of the answer.
    pub head_timeout: Duration,
}

/// Opens a connection to an upstream.
///
/// # Errors
/// Fails if it does not open within `span` or the longest time that a connection may take.
pub async fn open(peer: SocketAddr, span: Duration) -> Result<OpenConnection, ExchangeError> {
    let not_sent = |cause: String| ExchangeError::NotSent { peer, cause, refused: false };
    let opening = timeout(CONNECT_TIMEOUT.min(span), connect_tcp(peer)).await;
    let stream = opening
        .map_err(|_elapsed| not_sent(format!("no connection within {CONNECT_TIMEOUT:?}")))?
        .map_err(|error| ExchangeError::NotSent {
            peer,
            cause: error.to_string(),
            refused: error.kind() == ErrorKind::ConnectionRefused,
        })?;
    let limit = HeadLimit::default();
    let stream = TokioIo::new(HeadLimited::new(stream, limit.clone()));
    let (sender, driver) = hyper::client::conn::http1::handshake(stream)
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    // Its errors reach the call through the sender and the body.
    tokio::spawn(driver);
    Ok(OpenConnection { peer, sender, limit })
}

/// Sends a call and returns the head of its answer with the body still to be read.
///
/// # Errors
/// Fails if no answer comes in time; the error tells whether anything was sent.
pub async fn exchange(
    connection: OpenConnection,
    call: Exchange<'_>,
) -> Result<Response<Incoming>, ExchangeError> {
    let OpenConnection { peer, mut sender, limit } = connection;
    let not_sent = |cause: String| ExchangeError::NotSent { peer, cause, refused: false };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() =
        call.target.parse().map_err(|_| not_sent(format!("bad target {:?}", call.target)))?;
    *request.headers_mut() = call.headers;
    let headers = request.headers_mut();
    if !headers.contains_key(HOST) {
        let name = HeaderValue::from_str(&peer.to_string());
        headers.insert(HOST, name.map_err(|error| not_sent(error.to_string()))?);
    }
    if !call.body.is_empty() || *call.method != Method::GET {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let broken = |cause: String| ExchangeError::Broken { step: "await answer", peer, cause };
    let sent = timeout(call.head_timeout, sender.try_send_request(request)).await;
    let answer = sent.map_err(|_elapsed| broken(format!("silent for {:?}", call.head_timeout)))?;
    let answer = answer.map_err(|mut failure| match failure.take_message() {
        Some(_) => not_sent("the connection closed before the request was sent".to_owned()),
        None => broken(failure.into_error().to_string()),
    })?;
    limit.lift();
    Ok(answer)
}

/// Reads the rest of an answer whole.
///
/// # Errors
/// Fails if the answer breaks off, is too long or does not end in time.
pub async fn read_whole(
    peer: SocketAddr,
    answer: Response<Incoming>,
    span: Duration,
) -> Result<(StatusCode, HeaderMap, Bytes), ExchangeError> {
    let broken = |cause: String| ExchangeError::Broken { step: "read answer", peer, cause };
    let (head, body) = answer.into_parts();
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(broken("the body is encoded although none was asked for".to_owned()));
    }
    let reading = timeout(span, Limited::new(body, MAX_WHOLE_BYTES).collect()).await;
    let body = reading
        .map_err(|_elapsed| broken(format!("no whole answer within {span:?}")))?
        .map_err(|error| broken(error.to_string()))?;
    Ok((head.status, head.headers, body.to_bytes()))
}
