//! Client of a runner's control interface. Only this module knows its wire format, JSON over HTTP.
//!
//! A keeper, the daemon that holds a runner's lease, sends orders to load and unload models. Every
//! order carries the fencing number of that lease, so that the runner rejects orders of earlier
//! holders.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_protocol::placement::RunnerListing;
use dotterellane_units::{AdapterId, ByteSize, FenceNumber, ModelId, VersionLabel};
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Response timeout of calls that load and unload nothing.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Response timeout of loads and unloads.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum size of a runner's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// URL paths of the control interface.
pub mod paths {
    /// Raises the fencing number.
    pub const FENCE: &str = "/control/fence";
    /// Lists the loaded models and adapters, the memory and the load.
    pub const LISTING: &str = "/control/listing";
    /// Loads a model or an adapter.
    pub const LOAD: &str = "/control/load";
    /// Unloads a model or an adapter.
    pub const UNLOAD: &str = "/control/unload";
}

/// Order to raise the runner's fencing number.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FenceOrder {
    /// The new number; accepted if higher than every number the runner has seen.
    pub fence: FenceNumber,
}

/// Order to load a model, or an adapter onto a loaded model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadOrder {
    /// Fencing number of the keeper's lease on the runner.
    pub fence: FenceNumber,
    /// Model to load, or base model of the adapter.
    pub model: ModelId,
    /// Adapter to load; `None` to load the model itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// Version to load, of the adapter if there is one, else of the model.
    pub version: VersionLabel,
    /// Accelerator memory that the load may take, in bytes, including the KV cache reserve.
    pub memory: ByteSize,
}

/// Order to unload a model with its adapters, or one adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UnloadOrder {
    /// Fencing number of the keeper's lease on the runner.
    pub fence: FenceNumber,
    /// Model to unload, or base model of the adapter.
    pub model: ModelId,
    /// Adapter to unload; `None` to unload the model itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

/// Response body of a rejected order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRefusal {
    /// Highest fencing number that the runner has seen.
    pub fence: FenceNumber,
    /// Reason given by the runner.
    pub cause: String,
}

/// Failure of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum OrderError {
    /// The runner has seen a higher fencing number; the order was not carried out.
    #[error("{step}: runner at {peer} has seen fencing number {current}")]
    Stale {
        /// Name of the order, for error messages.
        step: &'static str,
        /// Address of the runner.
        peer: String,
        /// Highest fencing number that the runner has seen.
        current: FenceNumber,
    },
    /// The runner rejected the order, was unreachable, or failed to load; the model or adapter is
    /// not loaded.
    #[error("{step}: runner at {peer} refused: {cause}")]
    Refused {
        /// Name of the order, for error messages.
        step: &'static str,
        /// Address of the runner.
        peer: String,
        /// Reason given by the runner, or the connection error.
        cause: String,
    },
    /// No valid response arrived: the order may or may not be carried out, now or later.
    #[error("{step}: no response from runner at {peer}: {cause}")]
    Unanswered {
        /// Name of the order, for error messages.
        step: &'static str,
        /// Address of the runner.
        peer: String,
        /// Underlying error as text.
        cause: String,
    },
}

type FenceCall =
    dyn Fn(FenceOrder) -> BoxFuture<'static, Result<RunnerListing, OrderError>> + Send + Sync;
type ListCall = dyn Fn() -> BoxFuture<'static, Result<RunnerListing, OrderError>> + Send + Sync;
type LoadCall = dyn Fn(LoadOrder) -> BoxFuture<'static, Result<(), OrderError>> + Send + Sync;
type UnloadCall = dyn Fn(UnloadOrder) -> BoxFuture<'static, Result<(), OrderError>> + Send + Sync;

/// The control interface of one runner, independent of its wire format.
///
/// Clones share the same functions. Tests and simulations build it from their own with
/// [`Self::new`].
#[derive(Clone)]
pub struct RunnerOrders {
    raise_fence: Arc<FenceCall>,
    list: Arc<ListCall>,
    load: Arc<LoadCall>,
    unload: Arc<UnloadCall>,
}

impl RunnerOrders {
    /// Creates the interface from one function per operation.
    pub fn new<R, RF, I, IF, L, LF, U, UF>(raise_fence: R, list: I, load: L, unload: U) -> Self
    where
        R: Fn(FenceOrder) -> RF + Send + Sync + 'static,
        RF: Future<Output = Result<RunnerListing, OrderError>> + Send + 'static,
        I: Fn() -> IF + Send + Sync + 'static,
        IF: Future<Output = Result<RunnerListing, OrderError>> + Send + 'static,
        L: Fn(LoadOrder) -> LF + Send + Sync + 'static,
        LF: Future<Output = Result<(), OrderError>> + Send + 'static,
        U: Fn(UnloadOrder) -> UF + Send + Sync + 'static,
        UF: Future<Output = Result<(), OrderError>> + Send + 'static,
    {
        Self {
            raise_fence: Arc::new(move |order| Box::pin(raise_fence(order))),
            list: Arc::new(move || Box::pin(list())),
            load: Arc::new(move |order| Box::pin(load(order))),
            unload: Arc::new(move |order| Box::pin(unload(order))),
        }
    }

    /// Creates the interface of the runner at `address`, over HTTP. Every call uses a new
    /// connection and is never retried.
    pub fn http(address: SocketAddr) -> Self {
        let channel = OrderChannel::new(address);
        let (raiser, lister, loader, unloader) =
            (channel.clone(), channel.clone(), channel.clone(), channel);
        Self::new(
            move |order| raiser.clone().post("raise fence", paths::FENCE, order, RESPONSE_TIMEOUT),
            move || lister.clone().get("list", paths::LISTING),
            move |order| {
                let call = loader.clone().post("load", paths::LOAD, order, LOAD_TIMEOUT);
                async move { call.await.map(|_: OrderDone| ()) }
            },
            move |order| {
                let call = unloader.clone().post("unload", paths::UNLOAD, order, LOAD_TIMEOUT);
                async move { call.await.map(|_: OrderDone| ()) }
            },
        )
    }

    /// Raises the fencing number and returns what the runner holds at that moment.
    ///
    /// # Errors
    /// Fails if the runner has seen this number or a higher one, or does not respond.
    pub async fn raise_fence(&self, order: FenceOrder) -> Result<RunnerListing, OrderError> {
        (self.raise_fence)(order).await
    }

    /// Returns what the runner holds, its memory and its load.
    ///
    /// # Errors
    /// Fails if the runner does not respond.
    pub async fn list(&self) -> Result<RunnerListing, OrderError> {
        (self.list)().await
    }

    /// Loads a model or an adapter and waits until it is ready to serve.
    ///
    /// # Errors
    /// Fails if the runner rejects the order or does not respond.
    pub async fn load(&self, order: LoadOrder) -> Result<(), OrderError> {
        (self.load)(order).await
    }

    /// Unloads a model or an adapter and waits until its memory is free.
    ///
    /// # Errors
    /// Fails if the runner rejects the order or does not respond.
    pub async fn unload(&self, order: UnloadOrder) -> Result<(), OrderError> {
        (self.unload)(order).await
    }
}

impl fmt::Debug for RunnerOrders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RunnerOrders")
    }
}

/// Response body of a completed load or unload; empty.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderDone {}

#[derive(Clone)]
struct OrderChannel {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl OrderChannel {
    fn new(address: SocketAddr) -> Self {
        // The runner may have dropped a pooled connection, and the client would then send the order
        // again on another one.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build_http();
        Self { address, client }
    }

    async fn post<O, A>(
        self,
        step: &'static str,
        path: &'static str,
        order: O,
        timeout: Duration,
    ) -> Result<A, OrderError>
    where
        O: Serialize,
        A: DeserializeOwned,
    {
        let body =
            serde_json::to_vec(&order).map_err(|error| self.unanswered(step, error.to_string()))?;
        self.call(step, Method::POST, path, Bytes::from(body), timeout).await
    }

    async fn get<A>(self, step: &'static str, path: &'static str) -> Result<A, OrderError>
    where
        A: DeserializeOwned,
    {
        self.call(step, Method::GET, path, Bytes::new(), RESPONSE_TIMEOUT).await
    }

    async fn call<A>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<A, OrderError>
    where
        A: DeserializeOwned,
    {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.unanswered(step, error.to_string()))?;
        let exchange = self.exchange(step, request);
        let (status, content) = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| self.unanswered(step, format!("no response within {timeout:?}")))??;
        self.read_response(step, status, &content)
    }

    async fn exchange(
        &self,
        step: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), OrderError> {
        let response = self.client.request(request).await.map_err(|error| {
            let cause = error.to_string();
            if error.is_connect() {
                self.refused(step, cause)
            } else {
                self.unanswered(step, cause)
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let content =
            body.collect().await.map_err(|error| self.unanswered(step, error.to_string()))?;
        Ok((status, content.to_bytes()))
    }

    fn read_response<A>(
        &self,
        step: &'static str,
        status: StatusCode,
        content: &[u8],
    ) -> Result<A, OrderError>
    where
        A: DeserializeOwned,
    {
        if status.is_success() {
            return serde_json::from_slice(content)
                .map_err(|error| self.unanswered(step, error.to_string()));
        }
        let refusal: OrderRefusal = serde_json::from_slice(content)
            .map_err(|error| self.unanswered(step, format!("{status}: {error}")))?;
        let peer = self.address.to_string();
        match status {
            StatusCode::CONFLICT => Err(OrderError::Stale { step, peer, current: refusal.fence }),
            _ => Err(OrderError::Refused { step, peer, cause: refusal.cause }),
        }
    }

    fn refused(&self, step: &'static str, cause: String) -> OrderError {
        OrderError::Refused { step, peer: self.address.to_string(), cause }
    }

    fn unanswered(&self, step: &'static str, cause: String) -> OrderError {
        OrderError::Unanswered { step, peer: self.address.to_string(), cause }
    }
}
