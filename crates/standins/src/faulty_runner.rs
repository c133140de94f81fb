//! A runner that answers as an OpenAI-like engine does, or wrongly, as it is told.

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
    ConnectionAction, RawRequest, RawServer, send_chunk, send_chunked_head, send_whole,
    send_with_length,
};

const OK: &str = "200 OK";

/// What goes wrong at a runner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RunnerFault {
    /// Nothing.
    #[default]
    None,
    /// Answers name another request.
    MismatchedId,
    /// Answers begin after a pause.
    Delayed(Duration),
    /// The connection closes before the declared length, or before the final mark.
    Truncated,
    /// The answer ends as HTTP demands, but before its final mark.
    NoEndMarker,
    /// More comes than was declared, or after the final mark.
    ExtraBytes,
    /// The connection closes after this many chunks.
    ClosesAfter(u64),
    /// Nothing is ever answered.
    Silent,
    /// Nothing more comes after this many chunks.
    SilentAfter(u64),
    /// A connection falls silent after its first answer, while new ones work.
    SilentWhenReused,
    /// The whole runner dies of a request whose body contains this text.
    CrashOn(String),
    /// Nothing is run, and this is said.
    NotRun,
    /// The request runs and the connection closes without an answer.
    AnswerLost,
}

#[derive(Debug, Default)]
struct RunnerState {
    fault: RunnerFault,
    chunk_pause: Duration,
    seen: Vec<RawRequest>,
    cancelled: u64,
}

/// A runner on a port of its own.
#[derive(Debug)]
pub struct FaultyRunner {
    server: RawServer,
    state: Arc<Mutex<RunnerState>>,
}

impl FaultyRunner {
    /// Starts a runner that does nothing wrong yet.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(RunnerState::default()));
        let stopper: Arc<OnceLock<AbortHandle>> = Arc::default();
        let (served, crash) = (state.clone(), stopper.clone());
        let server = RawServer::start(move |request, stream| {
            serve_request(served.clone(), crash.clone(), request, stream).boxed()
        })
        .await?;
        let _ = stopper.set(server.stopper());
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: RunnerFault) {
        lock(&self.state).fault = fault;
    }

    /// Sets the time between two chunks.
    pub fn set_chunk_pause(&self, pause: Duration) {
        lock(&self.state).chunk_pause = pause;
    }

    /// Returns the requests that have come, also those refused.
    pub fn seen(&self) -> Vec<RawRequest> {
        lock(&self.state).seen.clone()
    }

    /// Returns the number of streams whose connection closed before their end.
    pub fn cancelled(&self) -> u64 {
        lock(&self.state).cancelled
    }

    /// Dies: every connection breaks, and no new one is accepted.
    pub fn crash(&self) {
        self.server.stop();
    }
}

fn lock(state: &Mutex<RunnerState>) -> MutexGuard<'_, RunnerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_request(
    state: Arc<Mutex<RunnerState>>,
    stopper: Arc<OnceLock<AbortHandle>>,
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
            stopper.get().inspect(|stopper| stopper.abort());
            return Ok(ConnectionAction::Close);
        }
        RunnerFault::AnswerLost => return Ok(ConnectionAction::Close),
        RunnerFault::NotRun => {
            let id = request.header("x-request-id").unwrap_or_default();
            let headers = [("x-request-id", id), ("x-not-run", "true"), ("retry-after", "7")];
            send_whole(stream, "503 Service Unavailable", &headers, b"{}").await?;
            return Ok(ConnectionAction::Keep);
        }
        _ => (),
    }
    let fields: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    if fields["stream"] == json!(true) {
        let served = send_stream(&fault, pause, &request, &fields, stream).await;
        if served.is_err() {
            lock(&state).cancelled += 1;
        }
        return served;
    }
    send_document(&fault, &request, &fields, stream).await
}

fn contains(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}

fn answer_id(fault: &RunnerFault, request: &RawRequest) -> String {
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
    let id = answer_id(fault, request);
    let headers = [("x-request-id", id.as_str()), ("content-type", "application/json")];
    match fault {
        RunnerFault::Truncated => {
            send_with_length(stream, OK, &headers, &body, body.len() + 10).await?;
            Ok(ConnectionAction::Close)
        }
        RunnerFault::ExtraBytes => {
            // The excess looks like an answer to whatever is asked next.
            let mut content = body.clone();
            content.extend_from_slice(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother");
            send_with_length(stream, OK, &headers, &content, body.len()).await?;
            Ok(ConnectionAction::Keep)
        }
        _ => {
            send_whole(stream, OK, &headers, &body).await?;
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
    let id = answer_id(fault, request);
    let headers = [("x-request-id", id.as_str()), ("content-type", "text/event-stream")];
    send_chunked_head(stream, OK, &headers).await?;
    for number in resume_from.unwrap_or(0)..tokens {
        match fault {
            RunnerFault::ClosesAfter(chunks) if number >= *chunks => {
                // A part of an event is out already when the runner dies.
                send_chunk(stream, b"data: {\"choices\":[{\"del").await?;
                return Ok(ConnectionAction::Close);
            }
            RunnerFault::SilentAfter(chunks) if number >= *chunks => {
                return Ok(ConnectionAction::Stall);
            }
            _ => (),
        }
        send_chunk(stream, token_event(fields, number).as_bytes()).await?;
        wait_or_cancelled(stream, pause).await?;
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

/// Waits between two chunks; fails as soon as the peer has closed the connection.
async fn wait_or_cancelled(stream: &TcpStream, pause: Duration) -> io::Result<()> {
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
