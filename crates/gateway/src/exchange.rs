//! One call to an upstream on its own connection.
//!
//! Connections are not reused, so that data which an upstream sends late or after its response
//! cannot be taken for the response to another request.

use std::fmt::Display;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_units::ByteSize;
use dotterellane_upstream::connect::connect_tcp;
use dotterellane_upstream::head_limit::{HeadLimit, HeadLimited, SendCheck};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::grown_capacity;
use crate::response_memory::ResponseMemory;

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum size of the buffer into which a response is read, in bytes: a head must fit in.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Size up to which a response does not fill a larger read buffer than that of its head.
const SHORT_RESPONSE_BYTES: usize = 8 << 10;

/// What the kernel may hold of received bytes for a connection. With less, loopback connections lose
/// their segments of 64 KiB and wait to send them again.
const UNREAD_BYTES: usize = 32 << 10;

/// Maximum size of a response that is buffered completely, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// What a failure to connect says about the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectFailure {
    /// Nothing listens at its address.
    Refused,
    /// Nobody answered for all of [`CONNECT_TIMEOUT`].
    Unanswered,
    /// Nothing: too little time was left, or this host is short of something.
    Unrelated,
}

/// A call that failed without a usable response.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("connect to {peer}: {cause}")]
    NotSent {
        /// Address of the upstream.
        peer: SocketAddr,
        /// Underlying error as text.
        cause: String,
        /// What the failure says about the upstream.
        failure: ConnectFailure,
    },
    /// No byte of the request was sent, as the send check no longer allowed it.
    #[error("send to {peer}: no longer allowed")]
    Withheld {
        /// Address of the upstream.
        peer: SocketAddr,
    },
    /// The request was sent, at least in part.
    #[error("{step} at {peer}: {cause}")]
    Broken {
        /// Step of the call that failed.
        step: &'static str,
        /// Address of the upstream.
        peer: SocketAddr,
        /// Underlying error as text.
        cause: String,
    },
}

/// An established connection on which nothing has been sent.
#[derive(Debug)]
pub struct OpenConnection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    limit: HeadLimit,
}

/// A call to an upstream.
#[derive(Clone, Debug)]
pub struct Exchange<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers without the content length, which the call sets.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Maximum time from sending the request until the response head has arrived.
    pub head_timeout: Duration,
}

/// Connects to an upstream and prepares the connection for a call, as [`connect`] and [`prepare`].
///
/// # Errors
/// Fails as these do.
pub async fn open(
    peer: SocketAddr,
    span: Duration,
    may_send: SendCheck,
) -> Result<OpenConnection, ExchangeError> {
    prepare(peer, connect(peer, span).await?, may_send).await
}

/// Connects to an upstream.
///
/// # Errors
/// Fails if the connection is not established within `span` and [`CONNECT_TIMEOUT`].
pub async fn connect(peer: SocketAddr, span: Duration) -> Result<TcpStream, ExchangeError> {
    let failed = |cause: String, failure| ExchangeError::NotSent { peer, cause, failure };
    let not_sent = |cause: String| failed(cause, ConnectFailure::Unrelated);
    let longest = CONNECT_TIMEOUT.min(span);
    let opening = timeout(longest, connect_tcp(peer)).await;
    let stream = opening
        .map_err(|_elapsed| {
            let waited_out = longest == CONNECT_TIMEOUT;
            let unanswered = ConnectFailure::Unanswered;
            let failure = if waited_out { unanswered } else { ConnectFailure::Unrelated };
            failed(format!("no connection within {longest:?}"), failure)
        })?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => failed(error.to_string(), ConnectFailure::Refused),
            _ => not_sent(error.to_string()),
        })?;
    bound_unread(&stream);
    Ok(stream)
}

/// Prepares a connection to an upstream for a call. `may_send` is called right before the first byte
/// is written; if it returns `false`, the call fails with [`ExchangeError::Withheld`].
///
/// # Errors
/// Fails if the connection is closed.
pub async fn prepare<S>(
    peer: SocketAddr,
    stream: S,
    may_send: SendCheck,
) -> Result<OpenConnection, ExchangeError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let limit = HeadLimit::default();
    let stream = HeadLimited::new(stream, limit.clone()).with_check(may_send);
    let stream = TokioIo::new(stream);
    let (sender, driver) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(stream)
        .await
        .map_err(|error| ExchangeError::NotSent {
            peer,
            cause: error.to_string(),
            failure: ConnectFailure::Unrelated,
        })?;
    // Connection errors reach the call through the sender and the body.
    tokio::spawn(driver);
    Ok(OpenConnection { peer, sender, limit })
}

/// Bounds what the kernel holds of received bytes that were not read: they count as memory of the
/// process.
pub fn bound_unread<S>(socket: S)
where
    S: AsFd,
{
    // A system that keeps its own bound may refuse this.
    let _ = set_socket_recv_buffer_size(socket, UNREAD_BYTES);
}

/// Sends a call and returns its response with the body still unread.
///
/// # Errors
/// Fails if no response head arrives in time; the error tells whether anything was sent.
pub async fn exchange(
    connection: OpenConnection,
    call: Exchange<'_>,
) -> Result<Response<Incoming>, ExchangeError> {
    let OpenConnection { peer, mut sender, limit } = connection;
    let failure = ConnectFailure::Unrelated;
    let not_sent = |cause: String| ExchangeError::NotSent { peer, cause, failure };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() =
        call.target.parse().map_err(|_| not_sent(format!("invalid target {:?}", call.target)))?;
    *request.headers_mut() = call.headers;
    let headers = request.headers_mut();
    if !headers.contains_key(HOST) {
        let name = HeaderValue::from_str(&peer.to_string());
        headers.insert(HOST, name.map_err(|error| not_sent(error.to_string()))?);
    }
    if !call.body.is_empty() || *call.method != Method::GET {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let broken = |cause: String| ExchangeError::Broken { step: "await response", peer, cause };
    let sent = timeout(call.head_timeout, sender.try_send_request(request)).await;
    let response =
        sent.map_err(|_elapsed| broken(format!("no response within {:?}", call.head_timeout)))?;
    if response.is_err() && limit.is_withheld() {
        return Err(ExchangeError::Withheld { peer });
    }
    let response = response.map_err(|mut failure| match failure.take_message() {
        Some(_) => not_sent("the connection closed before the request was sent".to_owned()),
        None => broken(failure.into_error().to_string()),
    })?;
    limit.lift();
    Ok(response)
}

/// Reads the complete body of a response.
///
/// # Errors
/// Fails if the response breaks off, is too long, is encoded or does not end within `span`, or if it
/// has to give way as the shared memory is used up.
pub async fn read_whole<B>(
    peer: SocketAddr,
    response: Response<B>,
    span: Duration,
    memory: &ResponseMemory,
) -> Result<(StatusCode, HeaderMap, Bytes), ExchangeError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let broken = |cause: String| ExchangeError::Broken { step: "read response", peer, cause };
    let (head, body) = response.into_parts();
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(broken("unexpected content-encoding".to_owned()));
    }
    let body = timeout(span, collect(peer, body, memory))
        .await
        .map_err(|_elapsed| broken(format!("no complete response within {span:?}")))?
        .map_err(broken)?;
    Ok((head.status, head.headers, body))
}

/// Reads a body completely, within [`MAX_RESPONSE_BYTES`] and what `memory` has left for a response
/// of `peer`.
///
/// # Errors
/// Fails if the body breaks off, is too long or has to give way; the error tells which.
pub async fn collect<B>(
    peer: SocketAddr,
    mut body: B,
    memory: &ResponseMemory,
) -> Result<Bytes, String>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let reservation = memory.open(peer);
    let expected = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut collected = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = reservation.revoked() => {
                return Err(format!("out of shared memory after {} bytes", collected.len()));
            }
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let data = frame.map_err(|error| error.to_string())?.into_data().unwrap_or_default();
        let length = collected.len() + data.len();
        if length > MAX_RESPONSE_BYTES {
            return Err(format!("longer than {MAX_RESPONSE_BYTES} bytes"));
        }
        if length > collected.capacity() {
            let capacity = grown_capacity(length, expected, MAX_RESPONSE_BYTES);
            let buffer = if capacity > SHORT_RESPONSE_BYTES { READ_BUFFER_BYTES } else { 0 };
            reservation.grow(ByteSize((capacity + buffer) as u64));
            if reservation.is_revoked() {
                continue;
            }
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    collected.shrink_to_fit();
    Ok(Bytes::from(collected))
}
