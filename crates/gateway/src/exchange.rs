//! One call of an upstream on a connection of its own.
//!
//! A connection carries one call: what an upstream sends beyond its answer, or late, then cannot
//! reach another request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dotterellane_upstream::connect::connect_tcp;
use dotterellane_upstream::head_limit::{HeadLimit, HeadLimited, SendCheck};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

/// Time within which a connection must open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest answer that is read whole, in bytes.
pub const MAX_WHOLE_BYTES: usize = 16 << 20;

/// Part of each answer that needs none of the shared memory, in bytes.
const FREE_ANSWER_BYTES: usize = 64 << 10;

/// Memory that the rest of all answers that are read whole may take together, in KiB.
const SHARED_ANSWER_KILOBYTES: usize = 24 << 10;

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
    /// No byte of the request was sent, since it was no longer to be.
    #[error("send to {peer}: it is no longer to be sent")]
    Withheld {
        /// Address of the upstream.
        peer: SocketAddr,
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

/// Opens a connection to an upstream. `may_send` is asked again when the first byte goes out.
///
/// # Errors
/// Fails if it does not open within `span` or the longest time that a connection may take.
pub async fn open(
    peer: SocketAddr,
    span: Duration,
    may_send: SendCheck,
) -> Result<OpenConnection, ExchangeError> {
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
    let stream = HeadLimited::new(stream, limit.clone()).with_check(may_send);
    let stream = TokioIo::new(stream);
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
    if answer.is_err() && limit.is_withheld() {
        return Err(ExchangeError::Withheld { peer });
    }
    let answer = answer.map_err(|mut failure| match failure.take_message() {
        Some(_) => not_sent("the connection closed before the request was sent".to_owned()),
        None => broken(failure.into_error().to_string()),
    })?;
    limit.lift();
    Ok(answer)
}

/// Memory that answers share while they are read whole.
#[derive(Debug)]
pub struct AnswerMemory {
    kilobytes: Semaphore,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self { kilobytes: Semaphore::new(SHARED_ANSWER_KILOBYTES) }
    }
}

/// The part of the shared memory that one answer holds, until this is dropped.
struct MemoryHold<'a> {
    memory: &'a AnswerMemory,
    held: Option<SemaphorePermit<'a>>,
    kilobytes: usize,
}

impl MemoryHold<'_> {
    /// Takes what an answer of `bytes` needs; tells whether it is there.
    fn grow(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(FREE_ANSWER_BYTES).div_ceil(1 << 10);
        let missing = wanted.saturating_sub(self.kilobytes);
        let taken = u32::try_from(missing)
            .ok()
            .and_then(|missing| self.memory.kilobytes.try_acquire_many(missing).ok());
        let Some(permit) = taken else { return false };
        match &mut self.held {
            Some(held) => held.merge(permit),
            None => self.held = Some(permit),
        }
        self.kilobytes = self.kilobytes.max(wanted);
        true
    }
}

/// Reads the rest of an answer whole.
///
/// # Errors
/// Fails if the answer breaks off, is too long or does not end in time, or if long answers hold all the
/// memory that they share.
pub async fn read_whole(
    peer: SocketAddr,
    answer: Response<Incoming>,
    span: Duration,
    memory: &AnswerMemory,
) -> Result<(StatusCode, HeaderMap, Bytes), ExchangeError> {
    let broken = |cause: String| ExchangeError::Broken { step: "read answer", peer, cause };
    let (head, body) = answer.into_parts();
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(broken("the body is encoded although none was asked for".to_owned()));
    }
    let body = timeout(span, collect(body, memory))
        .await
        .map_err(|_elapsed| broken(format!("no whole answer within {span:?}")))?
        .map_err(broken)?;
    Ok((head.status, head.headers, body))
}

async fn collect(mut body: Incoming, memory: &AnswerMemory) -> Result<Bytes, String> {
    let mut hold = MemoryHold { memory, held: None, kilobytes: 0 };
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|error| error.to_string())?.into_data().unwrap_or_default();
        let length = collected.len() + data.len();
        if length > MAX_WHOLE_BYTES {
            return Err(format!("it is longer than {MAX_WHOLE_BYTES} bytes"));
        }
        if !hold.grow(length) {
            return Err(format!("no memory is left for more than {} bytes", collected.len()));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
