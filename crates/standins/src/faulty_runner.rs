//! A runner with an OpenAI-like interface that serves correctly or with an injected fault.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::raw_http::{
    ConnectionAction, RawRequest, RawServer, send_chunk, send_chunked_head, send_response,
    send_with_length,
};

const OK: &str = "200 OK";

/// A fault injected into a runner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RunnerFault {
    /// No fault.
    #[default]
    None,
    /// Responses carry the id of another request.
    MismatchedId,
    /// Responses begin after this delay.
    Delayed(Duration),
    /// The connection closes before the declared length, or before the stream's `[DONE]` event.
    Truncated,
    /// The stream ends correctly for HTTP, but without its `[DONE]` event.
    NoEndMarker,
    /// More bytes follow the declared length, or the `[DONE]` event.
    ExtraBytes,
    /// The connection closes after this many tokens, in the middle of an event. Resumed streams
    /// count the tokens that the caller has already.
    ClosesAfter(u64),
    /// The connection stays open, and no response is ever sent.
    Silent,
    /// The stream stalls after this many tokens, counted like those of [`Self::ClosesAfter`].
    SilentAfter(u64),
    /// A connection stalls after its first response, while new connections work.
    SilentWhenReused,
    /// A request whose body contains this text crashes the whole runner.
    CrashOn(String),
    /// Requests are rejected with 503 and the `x-not-run` header.
    NotRun,
    /// The request runs, and the connection closes without a response.
    ResponseLost,
}

#[derive(Debug, Default)]
struct RunnerState {
    fault: RunnerFault,
    chunk_pause: Duration,
    seen: Vec<RawRequest>,
    cancelled: u64,
}

/// A runner on a loopback port, with faults that can be changed while it runs.
#[derive(Debug)]
pub struct FaultyRunner {
    server: RawServer,
    state: Arc<Mutex<RunnerState>>,
}

impl FaultyRunner {
    /// Starts a runner without a fault.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(RunnerState::default()));
        let stop_handle: Arc<OnceLock<AbortHandle>> = Arc::default();
        let (server_state, crash) = (state.clone(), stop_handle.clone());
        let server = RawServer::start(move |request, stream| {
            serve_request(server_state.clone(), crash.clone(), request, stream).boxed()
        })
        .await?;
        let _ = stop_handle.set(server.stop_handle());
        Ok(Self { server, state })
    }

    /// Returns the address that the runner listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects `fault` into the requests that arrive from now on.
    pub fn set_fault(&self, fault: RunnerFault) {
        lock(&self.state).fault = fault;
    }

    /// Sets the delay after each chunk of a stream; zero by default.
    pub fn set_chunk_pause(&self, pause: Duration) {
        lock(&self.state).chunk_pause = pause;
    }

    /// Returns all requests received so far, including rejected ones.
    pub fn seen(&self) -> Vec<RawRequest> {
        lock(&self.state).seen.clone()
    }

    /// Returns the number of streams that the client closed before their end.
    pub fn cancelled(&self) -> u64 {
        lock(&self.state).cancelled
    }

    /// Crashes the runner: every connection breaks, and no new one is accepted.
    pub fn crash(&self) {
        self.server.stop();
    }
}

fn lock(state: &Mutex<RunnerState>) -> MutexGuard<'_, RunnerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_request(
    state: Arc<Mutex<RunnerState>>,
    stop_handle: Arc<OnceLock<AbortHandle>>,
    request: RawRequest,
    stream: &mut TcpStream,
) -> io::Result<ConnectionAction> {
    let (fault, pause) = {
        let mut state = lock(&state);
        state.seen.push(request.clone());
        (state.fault.clone(), state.chunk_pause)
    };
    match &fault {
        RunnerFault::Delayed(delay) => sleep(*delay).await,
        RunnerFault::Silent => return Ok(ConnectionAction::Stall),
        RunnerFault::SilentWhenReused if request.index > 0 => return Ok(ConnectionAction::Stall),
        RunnerFault::CrashOn(text) if contains(&request.body, text) => {
            stop_handle.get().inspect(|stop_handle| stop_handle.abort());
            return Ok(ConnectionAction::Close);
        }
        RunnerFault::ResponseLost => return Ok(ConnectionAction::Close),
        RunnerFault::NotRun => {
            let id = request.header("x-request-id").unwrap_or_default();
            let headers = [("x-request-id", id), ("x-not-run", "true"), ("retry-after", "7")];
            send_response(stream, "503 Service Unavailable", &headers, b"{}").await?;
            return Ok(ConnectionAction::Keep);
        }
        _ => (),
    }
    let fields: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    if fields["stream"] == json!(true) {
        let outcome = send_stream(&fault, pause, &request, &fields, stream).await;
        if outcome.is_err() {
            lock(&state).cancelled += 1;
        }
        return outcome;
    }
    send_document(&fault, &request, &fields, stream).await
}

fn contains(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}

fn response_id(fault: &RunnerFault, request: &RawRequest) -> String {
    match fault {
        RunnerFault::MismatchedId => "00000000000000000000000000000000".to_owned(),
        _ => request.header("x-request-id").unwrap_or_default().to_owned(),
    }
}

async fn send_document(
    fault: &RunnerFault,
    request: &RawRequest,
    fields: &Value,
    stream: &mut TcpStream,
) -> io::Result<ConnectionAction> {
    let tokens = fields["max_tokens"].as_u64().unwrap_or(0);
    let text: String = (0..tokens).map(|number| format!("t{number} ")).collect();
    let document = json!({
        "id": "answer", "object": "chat.completion", "model": fields["model"],
        "choices": [{"index": 0, "message": {"role": "assistant", "content": text},
                     "text": text, "finish_reason": "length"}],
        "usage": {"prompt_tokens": 3, "completion_tokens": tokens, "total_tokens": 3 + tokens},
    });
    let body = document.to_string().into_bytes();
    let id = response_id(fault, request);
    let headers = [("x-request-id", id.as_str()), ("content-type", "application/json")];
    match fault {
        RunnerFault::Truncated => {
            send_with_length(stream, OK, &headers, &body, body.len() + 10).await?;
            Ok(ConnectionAction::Close)
        }
        RunnerFault::ExtraBytes => {
            // The extra bytes look like the response to the next request.
            let mut content = body.clone();
            content.extend_from_slice(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother");
            send_with_length(stream, OK, &headers, &content, body.len()).await?;
            Ok(ConnectionAction::Keep)
        }
        _ => {
            send_response(stream, OK, &headers, &body).await?;
            Ok(ConnectionAction::Keep)
        }
    }
}

async fn send_stream(
    fault: &RunnerFault,
    pause: Duration,
    request: &RawRequest,
    fields: &Value,
    stream: &mut TcpStream,
) -> io::Result<ConnectionAction> {
    let tokens = fields["max_tokens"].as_u64().unwrap_or(0);
    let resume_from = request.header("x-resume-from").and_then(|text| text.parse().ok());
    let id = response_id(fault, request);
    let headers = [("x-request-id", id.as_str()), ("content-type", "text/event-stream")];
    send_chunked_head(stream, OK, &headers).await?;
    for number in resume_from.unwrap_or(0)..tokens {
        match fault {
            RunnerFault::ClosesAfter(chunks) if number >= *chunks => {
                // Leaves a partial event on the wire before the connection closes.
                send_chunk(stream, b"data: {\"choices\":[{\"del").await?;
                return Ok(ConnectionAction::Close);
            }
            RunnerFault::SilentAfter(chunks) if number >= *chunks => {
                return Ok(ConnectionAction::Stall);
            }
            _ => (),
        }
        send_chunk(stream, token_event(fields, number).as_bytes()).await?;
        pause_unless_closed(stream, pause).await?;
    }
    let usage =
        json!({"prompt_tokens": 3, "completion_tokens": tokens, "total_tokens": 3 + tokens});
    let last =
        json!({"id": "answer", "object": "chat.completion.chunk", "choices": [], "usage": usage});
    send_chunk(stream, format!("data: {last}\n\n").as_bytes()).await?;
    if *fault == RunnerFault::Truncated {
        return Ok(ConnectionAction::Close);
    }
    if *fault == RunnerFault::NoEndMarker {
        send_chunk(stream, b"").await?;
        return Ok(ConnectionAction::Keep);
    }
    send_chunk(stream, b"data: [DONE]\n\n").await?;
    if *fault == RunnerFault::ExtraBytes {
        send_chunk(stream, b"data: {\"other\":true}\n\n").await?;
    }
    send_chunk(stream, b"").await?;
    Ok(ConnectionAction::Keep)
}

fn token_event(fields: &Value, number: u64) -> String {
    let event = json!({
        "id": "answer", "object": "chat.completion.chunk", "model": fields["model"],
        "choices": [{"index": 0, "delta": {"content": format!("t{number} ")}, "finish_reason": null}],
    });
    format!("data: {event}\n\n")
}

/// Waits for `pause`; fails as soon as the peer closes the connection.
async fn pause_unless_closed(stream: &TcpStream, pause: Duration) -> io::Result<()> {
    if pause.is_zero() {
        return Ok(());
    }
    tokio::select! {
        () = sleep(pause) => Ok(()),
        ready = stream.readable() => {
            ready?;
            let mut byte = [0];
            match stream.try_read(&mut byte) {
                Ok(0) => Err(io::ErrorKind::ConnectionReset.into()),
                Ok(_) => Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
                Err(error) => Err(error),
            }
        }
    }
}
