//! HTTP/1.1 calls to upstreams over pooled connections.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use dotterellane_units::RequestId;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::timeout;

use crate::connect::connect_tcp;
use crate::head_limit::{HeadLimit, HeadLimited};
use crate::pool::{PooledConnection, UpstreamPool};

/// Header with the request id; upstreams echo it in the response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the value `true` on a response whose upstream did not run any of the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Timeouts of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// From the start of connecting until the connection is established.
    pub connect: Duration,
    /// From sending the request until the response head has arrived.
    pub first_byte: Duration,
}

/// One call to an upstream.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Id sent with the request; a response with another id is rejected.
    pub request: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers to send; the `host` and request id headers are set by the call.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Whether to open a new connection for this call only, instead of using the pool.
    pub dedicated_connection: bool,
    /// Whether a response without a request id is rejected even on a new connection; one with
    /// another id always is.
    pub echo_required: bool,
    /// Timeouts of the call.
    pub limits: CallLimits,
}

/// The kind of failure of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// No connection could be established, or the request could not be built.
    Connect,
    /// The connection failed.
    Broken,
    /// No data arrived within the timeout.
    TimedOut,
    /// The response carries the id of another request, or none where one is required.
    MismatchedId,
    /// The response body ended early.
    Incomplete,
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "connect failed",
            Self::Broken => "connection failed",
            Self::TimedOut => "timed out",
            Self::MismatchedId => "mismatched request id",
            Self::Incomplete => "incomplete response",
        })
    }
}

/// A failed call to an upstream.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{step} at {peer}: {fault}: {cause}")]
pub struct CallError {
    /// Step of the call that failed.
    pub step: &'static str,
    /// Address of the upstream.
    pub peer: SocketAddr,
    /// Kind of failure.
    pub fault: CallFault,
    /// Underlying error as text.
    pub cause: String,
    /// Whether a byte of the request may have reached the upstream.
    pub reached: bool,
    /// Whether the connection was taken from the pool.
    pub reused: bool,
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct OpenResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Response headers as received.
    pub headers: HeaderMap,
    /// Body, read by polling.
    pub body: ResponseBody,
}

impl OpenResponse {
    /// Returns whether the upstream refused the request without starting it: a 503 or 429 with the
    /// [`NOT_RUN`] header.
    pub fn says_not_run(&self) -> bool {
        let refused =
            matches!(self.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        refused && self.headers.get(NOT_RUN).is_some_and(|value| value == "true")
    }
}

/// Sends a call and waits for the response head.
///
/// # Errors
/// Fails if no response to this request arrives in time; [`CallError::reached`] tells whether the
/// upstream may have received any of it.
pub async fn send_call(pool: &UpstreamPool, call: &CallRequest) -> Result<OpenResponse, CallError> {
    let mut connection = open_connection(pool, call).await?;
    let mut message = build_message(call)?;
    loop {
        connection.head_limit.arm();
        let sending = connection.sender.try_send_request(message);
        let Ok(sent) = timeout(call.limits.first_byte, sending).await else {
            pool.invalidate(call.address);
            let cause = format!("no response within {:?}", call.limits.first_byte);
            let error = call_error(call, "await response", CallFault::TimedOut, cause, true);
            return Err(CallError { reused: connection.reused, ..error });
        };
        let mut failure = match sent {
            Ok(response) => {
                connection.head_limit.lift();
                return accept_response(pool, call, connection, response);
            }
            Err(failure) => failure,
        };
        let unsent = failure.take_message();
        let cause = failure.into_error().to_string();
        match unsent {
            // The peer closed the pooled connection before anything was sent on it.
            Some(unsent) if connection.reused => {
                message = unsent;
                connection = open_new(pool, call).await?;
            }
            unsent => {
                let reached = unsent.is_none();
                return Err(call_error(call, "send call", CallFault::Broken, cause, reached));
            }
        }
    }
}

async fn open_connection(
    pool: &UpstreamPool,
    call: &CallRequest,
) -> Result<PooledConnection, CallError> {
    if !call.dedicated_connection
        && let Some(connection) = pool.take(call.address)
    {
        return Ok(connection);
    }
    open_new(pool, call).await
}

async fn open_new(pool: &UpstreamPool, call: &CallRequest) -> Result<PooledConnection, CallError> {
    let failed = |cause: String| call_error(call, "connect", CallFault::Connect, cause, false);
    let generation = pool.generation(call.address);
    let Ok(connected) = timeout(call.limits.connect, connect_tcp(call.address)).await else {
        return Err(failed(format!("no connection within {:?}", call.limits.connect)));
    };
    let stream = connected.map_err(|error| failed(error.to_string()))?;
    let head_limit = HeadLimit::default();
    let stream = TokioIo::new(HeadLimited::new(stream, head_limit.clone()));
    let (sender, driver) = hyper::client::conn::http1::handshake(stream)
        .await
        .map_err(|error| failed(error.to_string()))?;
    // Connection errors reach the call through the sender and the body.
    tokio::spawn(driver);
    Ok(PooledConnection { sender, head_limit, address: call.address, generation, reused: false })
}

fn build_message(call: &CallRequest) -> Result<Request<Full<Bytes>>, CallError> {
    let mut message = Request::builder()
        .method(call.method.clone())
        .uri(call.target.as_str())
        .body(Full::new(call.body.clone()))
        .map_err(|error| {
            call_error(call, "build call", CallFault::Connect, error.to_string(), false)
        })?;
    let headers = message.headers_mut();
    *headers = call.headers.clone();
    headers.insert(HOST, text_value(&call.address.to_string()));
    headers.insert(REQUEST_ID, text_value(&call.request.to_string()));
    Ok(message)
}

fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn accept_response(
    pool: &UpstreamPool,
    call: &CallRequest,
    connection: PooledConnection,
    response: Response<Incoming>,
) -> Result<OpenResponse, CallError> {
    let (head, incoming) = response.into_parts();
    let echoed = head.headers.get(REQUEST_ID);
    // Dropping the connection closes it: later responses on it can't be trusted either. On a
    // connection that carried calls before, only the id tells an earlier response from this one.
    let mismatched = match echoed {
        Some(echoed) => echoed.as_bytes() != call.request.to_string().as_bytes(),
        None => call.echo_required || connection.reused,
    };
    if mismatched {
        let cause = format!("response has request id {echoed:?}");
        return Err(call_error(call, "check response", CallFault::MismatchedId, cause, true));
    }
    let body = ResponseBody {
        incoming,
        reused: connection.reused,
        connection: Some(connection),
        pool: pool.clone(),
        peer: call.address,
        reusable: !call.dedicated_connection && echoed.is_some(),
    };
    Ok(OpenResponse { status: head.status, headers: head.headers, body })
}

fn call_error(
    call: &CallRequest,
    step: &'static str,
    fault: CallFault,
    cause: String,
    reached: bool,
) -> CallError {
    CallError { step, peer: call.address, fault, cause, reached, reused: false }
}

/// The body of a response. Its connection returns to the pool once the body has been read to the
/// end.
pub struct ResponseBody {
    incoming: Incoming,
    connection: Option<PooledConnection>,
    reused: bool,
    pool: UpstreamPool,
    peer: SocketAddr,
    reusable: bool,
}

impl ResponseBody {
    /// Returns the address of the upstream.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the connection was taken from the pool.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Polls for the next data; `None` at the end of the body.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, CallError>> {
        loop {
            match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Ok(Some(data)));
                }
                Some(Err(error)) => return Poll::Ready(Err(self.body_error(&error))),
                None => {
                    self.return_connection();
                    return Poll::Ready(Ok(None));
                }
            }
        }
    }

    /// Reads the next data; `None` at the end of the body.
    ///
    /// # Errors
    /// Fails if the connection fails before the end.
    pub async fn data(&mut self) -> Result<Option<Bytes>, CallError> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Closes this connection and the idle ones to the same address, after a timeout on this one.
    pub fn invalidate(&mut self) {
        self.connection = None;
        self.pool.invalidate(self.peer);
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take()
            && self.reusable
        {
            self.pool.put(connection);
        }
    }

    fn body_error(&mut self, error: &hyper::Error) -> CallError {
        self.connection = None;
        let fault =
            if error.is_incomplete_message() { CallFault::Incomplete } else { CallFault::Broken };
        let cause = error.to_string();
        let reused = self.reused;
        CallError { step: "read response", peer: self.peer, fault, cause, reached: true, reused }
    }
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerBody").field("peer", &self.peer).finish_non_exhaustive()
    }
}

/// Returns the value of the `content-length` header, if present and valid.
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
