//! The control interface of a runner; the only place that knows its wire format.

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

/// Longest wait for an answer that needs no load.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the end of a load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest answer of a runner, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Paths of the control interface.
pub mod paths {
    /// Raises the fencing number.
    pub const FENCE: &str = "/control/fence";
    /// Lists what the runner holds.
    pub const LISTING: &str = "/control/listing";
    /// Loads a model or an adapter.
    pub const LOAD: &str = "/control/load";
    /// Unloads a model or an adapter.
    pub const UNLOAD: &str = "/control/unload";
}

/// Raises the fencing number.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FenceOrder {
    /// The new number; accepted if higher than every number seen.
    pub fence: FenceNumber,
}

/// Loads a model, or an adapter onto a loaded model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadOrder {
    /// Fencing number of the keeper.
    pub fence: FenceNumber,
    /// Model to load, or base of the adapter.
    pub model: ModelId,
    /// Adapter to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// Version of the model, or of the adapter.
    pub version: VersionLabel,
    /// Accelerator memory that the load may take, KV reserve included.
    pub memory: ByteSize,
}

/// Unloads a model with its adapters, or one adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UnloadOrder {
    /// Fencing number of the keeper.
    pub fence: FenceNumber,
    /// Model to unload, or base of the adapter.
    pub model: ModelId,
    /// Adapter to unload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

/// The body of a refused order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRefusal {
    /// Highest fencing number that the runner has seen.
    pub fence: FenceNumber,
    /// Why the order was refused.
    pub cause: String,
}

/// Why an order did not succeed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum OrderError {
    /// The runner has seen a higher fencing number; nothing was done.
    #[error("{step}: runner at {peer} has seen the fencing number {current}")]
    Stale {
        /// What was ordered.
        step: &'static str,
        /// Address of the runner.
        peer: String,
        /// Highest fencing number that the runner has seen.
        current: FenceNumber,
    },
    /// The runner refused, or the load failed; what was ordered is not loaded.
    #[error("{step}: runner at {peer} refused: {cause}")]
    Refused {
        /// What was ordered.
        step: &'static str,
        /// Address of the runner.
        peer: String,
        /// What the runner said.
        cause: String,
    },
    /// No answer came: the order may or may not be carried out, now or later.
    #[error("{step}: no answer of runner at {peer}: {cause}")]
    Unanswered {
        /// What was ordered.
        step: &'static str,
        /// Address of the runner.
        peer: String,
        /// What was seen.
        cause: String,
    },
}

type FenceCall =
    dyn Fn(FenceOrder) -> BoxFuture<'static, Result<RunnerListing, OrderError>> + Send + Sync;
type ListCall = dyn Fn() -> BoxFuture<'static, Result<RunnerListing, OrderError>> + Send + Sync;
type LoadCall = dyn Fn(LoadOrder) -> BoxFuture<'static, Result<(), OrderError>> + Send + Sync;
type UnloadCall = dyn Fn(UnloadOrder) -> BoxFuture<'static, Result<(), OrderError>> + Send + Sync;

/// The control interface of one runner as the rest of dotterellane sees it.
#[derive(Clone)]
pub struct RunnerOrders {
    raise_fence: Arc<FenceCall>,
    list: Arc<ListCall>,
    load: Arc<LoadCall>,
    unload: Arc<UnloadCall>,
}

impl RunnerOrders {
    /// Builds the interface from its calls.
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

    /// Speaks HTTP with the runner at `address`, each order on a fresh connection and sent once.
    pub fn http(address: SocketAddr) -> Self {
        let channel = OrderChannel::new(address);
        let (raiser, lister, loader, unloader) =
            (channel.clone(), channel.clone(), channel.clone(), channel);
        Self::new(
            move |order| raiser.clone().post("raise fence", paths::FENCE, order, ANSWER_TIMEOUT),
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

    /// Raises the fencing number and lists what the runner holds at that moment.
    ///
    /// # Errors
    /// Fails if the runner has seen this number or a higher one, or does not answer.
    pub async fn raise_fence(&self, order: FenceOrder) -> Result<RunnerListing, OrderError> {
        (self.raise_fence)(order).await
    }

    /// Lists what the runner holds, its memory and its load.
    ///
    /// # Errors
    /// Fails if the runner does not answer.
    pub async fn list(&self) -> Result<RunnerListing, OrderError> {
        (self.list)().await
    }

    /// Loads a model or an adapter and waits until it serves.
    ///
    /// # Errors
    /// Fails if the runner refuses or does not answer.
    pub async fn load(&self, order: LoadOrder) -> Result<(), OrderError> {
        (self.load)(order).await
    }

    /// Unloads a model or an adapter and waits until its memory is free.
    ///
    /// # Errors
    /// Fails if the runner refuses or does not answer.
    pub async fn unload(&self, order: UnloadOrder) -> Result<(), OrderError> {
        (self.unload)(order).await
    }
}

impl fmt::Debug for RunnerOrders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RunnerOrders")
    }
}

/// The body of a carried-out order.
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
        // A pooled connection may have been forgotten by the other end, and the client would
        // repeat an order on it.
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
        self.call(step, Method::GET, path, Bytes::new(), ANSWER_TIMEOUT).await
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
            .map_err(|_| self.unanswered(step, format!("nothing within {timeout:?}")))??;
        self.read_answer(step, status, &content)
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
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let content =
            body.collect().await.map_err(|error| self.unanswered(step, error.to_string()))?;
        Ok((status, content.to_bytes()))
    }

    fn read_answer<A>(
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
