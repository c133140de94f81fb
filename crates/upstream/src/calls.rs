//! Calls of upstreams over HTTP/1.1.

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

/// Header that carries the request id to the upstream and back.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header by which an upstream says that it ran nothing of the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Times that one call may take.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// From the start of the connection until it is open.
    pub connect: Duration,
    /// From the request until the head of the answer.
    pub first_byte: Duration,
}

/// One call of an upstream.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Request that is made; its id must come back.
    pub request: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers that may pass to the upstream.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether a connection that was used before must not carry the call.
    pub dedicated_connection: bool,
    /// Whether an answer without the request's id is refused; one with another id always is.
    pub echo_required: bool,
    /// Times that the call may take.
    pub limits: CallLimits,
}

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// No connection could be opened.
    Connect,
    /// The connection broke.
    Broken,
    /// Nothing came for too long.
    TimedOut,
    /// The answer names another request.
    MismatchedId,
    /// The answer ended early, or is not what the protocol allows.
    Incomplete,
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "no connection",
            Self::Broken => "connection broke",
            Self::TimedOut => "connection is silent",
            Self::MismatchedId => "answer of another request",
            Self::Incomplete => "answer is incomplete",
        })
    }
}

/// Why a call gave no whole answer.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{step} at {peer}: {fault}: {cause}")]
pub struct CallError {
    /// What was being done.
    pub step: &'static str,
    /// Address of the upstream.
    pub peer: SocketAddr,
    /// What went wrong.
    pub fault: CallFault,
    /// What was seen.
    pub cause: String,
    /// Whether a byte of the request may have reached the upstream.
    pub reached: bool,
    /// Whether the connection had carried other calls before.
    pub reused: bool,
}

/// The head of an answer, and its body to be read.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: AnswerBody,
}

impl OpenAnswer {
    /// Tells whether the upstream said that it ran nothing.
    pub fn says_not_run(&self) -> bool {
        let refused =
            matches!(self.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        refused && self.headers.get(NOT_RUN).is_some_and(|value| value == "true")
    }
}

/// Sends a call and waits for the head of its answer.
///
/// # Errors
/// Fails if no answer to this request comes in time; the error tells whether a byte was sent.
pub async fn send_call(pool: &UpstreamPool, call: &CallRequest) -> Result<OpenAnswer, CallError> {
    let mut connection = open_connection(pool, call).await?;
    let mut message = build_message(call)?;
    loop {
        connection.head_limit.arm();
        let sending = connection.sender.try_send_request(message);
        let Ok(sent) = timeout(call.limits.first_byte, sending).await else {
            pool.invalidate(call.address);
            let cause = format!("no answer within {:?}", call.limits.first_byte);
            let error = call_error(call, "await answer", CallFault::TimedOut, cause, true);
            return Err(CallError { reused: connection.reused, ..error });
        };
        let mut failure = match sent {
            Ok(response) => {
                connection.head_limit.lift();
                return accept_answer(pool, call, connection, response);
            }
            Err(failure) => failure,
        };
        let unsent = failure.take_message();
        let cause = failure.into_error().to_string();
        match unsent {
            // A pooled connection that was closed meanwhile has carried nothing.
            Some(unsent) if connection.reused => {
                message = unsent;
                connection = open_fresh(pool, call).await?;
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
    open_fresh(pool, call).await
}

async fn open_fresh(
    pool: &UpstreamPool,
    call: &CallRequest,
) -> Result<PooledConnection, CallError> {
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
    // Its errors reach the call through the sender and the body.
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

fn accept_answer(
    pool: &UpstreamPool,
    call: &CallRequest,
    connection: PooledConnection,
    response: Response<Incoming>,
) -> Result<OpenAnswer, CallError> {
    let (head, incoming) = response.into_parts();
    let echoed = head.headers.get(REQUEST_ID);
    // Dropping the connection here closes it: what follows on it cannot be trusted either.
    let crossed = match echoed {
        Some(echoed) => echoed.as_bytes() != call.request.to_string().as_bytes(),
        None => call.echo_required,
    };
    if crossed {
        let cause = format!("the answer names request {echoed:?}");
        return Err(call_error(call, "check answer", CallFault::MismatchedId, cause, true));
    }
    let body = AnswerBody {
        incoming,
        reused: connection.reused,
        connection: Some(connection),
        pool: pool.clone(),
        peer: call.address,
        reusable: !call.dedicated_connection,
    };
    Ok(OpenAnswer { status: head.status, headers: head.headers, body })
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

/// The body of an answer; its connection goes back to the pool once it was read to its end.
pub struct AnswerBody {
    incoming: Incoming,
    connection: Option<PooledConnection>,
    reused: bool,
    pool: UpstreamPool,
    peer: SocketAddr,
    reusable: bool,
}

impl AnswerBody {
    /// Returns the address of the upstream.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Tells whether the connection had carried other calls before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Polls for the next data; `None` at the end that the protocol marks.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, CallError>> {
        loop {
            match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    // Trailers of an upstream are of no use to callers.
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Ok(Some(data)));
                }
                Some(Err(error)) => return Poll::Ready(Err(self.body_error(&error))),
                None => {
                    self.give_back();
                    return Poll::Ready(Ok(None));
                }
            }
        }
    }

    /// Reads the next data; `None` at the end that the protocol marks.
    ///
    /// # Errors
    /// Fails if the connection breaks before that end.
    pub async fn data(&mut self) -> Result<Option<Bytes>, CallError> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Tells the pool that this connection went silent.
    pub fn invalidate(&mut self) {
        self.connection = None;
        self.pool.invalidate(self.peer);
    }

    fn give_back(&mut self) {
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
        CallError { step: "read answer", peer: self.peer, fault, cause, reached: true, reused }
    }
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerBody").field("peer", &self.peer).finish_non_exhaustive()
    }
}

/// Returns the length that an answer declares, if any.
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
