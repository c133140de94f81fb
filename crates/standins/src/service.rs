//! A plain service that counts how often each call has run.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::raw_http::{ConnectionAction, RawRequest, RawServer, send_whole, send_with_length};

/// What goes wrong at a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// The call runs, and the connection closes without an answer.
    AnswerLost,
    /// The call runs, and its answer comes after a pause.
    Slow(Duration),
    /// Nothing is run, and this is said.
    NotRun,
    /// The call runs, and its answer is cut off.
    Truncated,
    /// The call runs and nothing is ever answered.
    Silent,
}

#[derive(Debug, Default)]
struct ServiceState {
    fault: ServiceFault,
    runs: BTreeMap<String, u64>,
    seen: Vec<RawRequest>,
}

/// A plain service on a port of its own.
#[derive(Debug)]
pub struct PlainService {
    server: RawServer,
    state: Arc<Mutex<ServiceState>>,
}

impl PlainService {
    /// Starts a service that does nothing wrong yet.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let served = state.clone();
        let server = RawServer::start(move |request, stream| {
            serve_request(served.clone(), request, stream).boxed()
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns how often the call with this body has run.
    pub fn runs(&self, body: &str) -> u64 {
        lock(&self.state).runs.get(body).copied().unwrap_or(0)
    }

    /// Returns the requests that have come, also those refused.
    pub fn seen(&self) -> Vec<RawRequest> {
        lock(&self.state).seen.clone()
    }

    /// Dies: every connection breaks, and no new one is accepted.
    pub fn crash(&self) {
        self.server.stop();
    }
}

fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_request(
    state: Arc<Mutex<ServiceState>>,
    request: RawRequest,
    stream: &mut TcpStream,
) -> io::Result<ConnectionAction> {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    let (fault, run) = {
        let mut state = lock(&state);
        state.seen.push(request.clone());
        let fault = state.fault;
        let runs = state.runs.entry(body.clone()).or_default();
        *runs += u64::from(fault != ServiceFault::NotRun);
        (fault, *runs)
    };
    let document =
        json!({"path": request.target, "method": request.method, "body": body, "run": run});
    let content = document.to_string().into_bytes();
    let headers = [("x-request-id", id.as_str()), ("content-type", "application/json")];
    match fault {
        ServiceFault::None => send_whole(stream, "200 OK", &headers, &content).await?,
        ServiceFault::Slow(delay) => {
            sleep(delay).await;
            send_whole(stream, "200 OK", &headers, &content).await?;
        }
        ServiceFault::AnswerLost => return Ok(ConnectionAction::Close),
        ServiceFault::Silent => return Ok(ConnectionAction::Stall),
        ServiceFault::Truncated => {
            send_with_length(stream, "200 OK", &headers, &content, content.len() + 1).await?;
            return Ok(ConnectionAction::Close);
        }
        ServiceFault::NotRun => {
            let headers = [("x-request-id", id.as_str()), ("x-not-run", "true")];
            send_whole(stream, "503 Service Unavailable", &headers, b"{}").await?;
        }
    }
    Ok(ConnectionAction::Keep)
}
