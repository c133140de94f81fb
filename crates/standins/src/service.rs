//! A plain service (an upstream that serves no models), which counts how often each call has run.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::raw_http::{ConnectionAction, RawRequest, RawServer, send_response, send_with_length};

/// A fault injected into a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceFault {
    /// No fault.
    #[default]
    None,
    /// The call runs, and the connection closes without a response.
    ResponseLost,
    /// The call runs, and its response is sent after this delay.
    Slow(Duration),
    /// Calls are rejected with 503 and the `x-not-run` header.
    NotRun,
    /// The call runs, and its response ends before the declared length.
    Truncated,
    /// The call runs, and no response is ever sent.
    Silent,
}

#[derive(Debug, Default)]
struct ServiceState {
    fault: ServiceFault,
    runs: BTreeMap<String, u64>,
    seen: Vec<RawRequest>,
}

/// A plain service on a loopback port, with faults that can be changed while it runs.
#[derive(Debug)]
pub struct PlainService {
    server: RawServer,
    state: Arc<Mutex<ServiceState>>,
}

impl PlainService {
    /// Starts a service without a fault.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let server_state = state.clone();
        let server = RawServer::start(move |request, stream| {
            serve_request(server_state.clone(), request, stream).boxed()
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects `fault` into the calls that arrive from now on.
    pub fn set_fault(&self, fault: ServiceFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns how often a call with this body has run.
    pub fn runs(&self, body: &str) -> u64 {
        lock(&self.state).runs.get(body).copied().unwrap_or(0)
    }

    /// Returns all requests received so far, including rejected ones.
    pub fn seen(&self) -> Vec<RawRequest> {
        lock(&self.state).seen.clone()
    }

    /// Crashes the service: every connection breaks, and no new one is accepted.
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
        ServiceFault::None => send_response(stream, "200 OK", &headers, &content).await?,
        ServiceFault::Slow(delay) => {
            sleep(delay).await;
            send_response(stream, "200 OK", &headers, &content).await?;
        }
        ServiceFault::ResponseLost => return Ok(ConnectionAction::Close),
        ServiceFault::Silent => return Ok(ConnectionAction::Stall),
        ServiceFault::Truncated => {
            send_with_length(stream, "200 OK", &headers, &content, content.len() + 1).await?;
            return Ok(ConnectionAction::Close);
        }
        ServiceFault::NotRun => {
            let headers = [("x-request-id", id.as_str()), ("x-not-run", "true")];
            send_response(stream, "503 Service Unavailable", &headers, b"{}").await?;
        }
    }
    Ok(ConnectionAction::Keep)
}
