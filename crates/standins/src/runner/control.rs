//! The control interface of a stand-in runner, which executes fence, load and unload orders.
//!
//! A load takes a time that depends on its size and on where the weights come from, an unload a
//! fixed time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_protocol::placement::{CacheTier, ReplicaState};
use dotterellane_units::{AdapterId, ByteSize, ModelId};
use dotterellane_upstream::orders::{
    FenceOrder, LoadOrder, OrderDone, OrderRefusal, UnloadOrder, paths,
};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::StandinRunner;
use super::engine::{EngineOptions, EngineRefusal, LoadStart, SimulatedEngine};
use crate::http_server::{ResponseBody, json_response};
use crate::weight_store::{LoadKind, WeightStore};

/// Time that an adapter load takes when the weight store runs it at full speed.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);
/// Duration of an unload.
const UNLOAD_DURATION: Duration = Duration::from_millis(50);
/// Interval at which a load order polls an earlier load of the same model.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Speed of one load from the weight store, in bytes per second.
const STORE_SPEED: f64 = 8.0 * (1_u64 << 30) as f64;
/// Speed of a load from the runner's disk, in bytes per second.
const DISK_SPEED: f64 = 16.0 * (1_u64 << 30) as f64;
/// Speed of a load from the machine's memory, in bytes per second.
const MEMORY_SPEED: f64 = 64.0 * (1_u64 << 30) as f64;

/// Control interface of a stand-in runner; clones share the engine.
#[derive(Clone, Debug)]
pub struct RunnerControl {
    engine: Arc<Mutex<SimulatedEngine>>,
    store: WeightStore,
}

impl RunnerControl {
    /// Creates a control interface whose engine loads from `store`.
    pub fn new(options: EngineOptions, store: WeightStore) -> Self {
        Self { engine: Arc::new(Mutex::new(SimulatedEngine::new(options))), store }
    }

    /// Locks the engine's state.
    pub fn engine(&self) -> MutexGuard<'_, SimulatedEngine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinRunner {
    /// Executes an order. Does so to its end even if the keeper (the daemon that holds the runner's
    /// lease) closes the connection.
    pub(crate) async fn handle_order(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let Ok(body) = request.into_body().collect().await else {
            return json_response(
                StatusCode::BAD_REQUEST,
                &json!({"error": "request body was cut off"}),
            );
        };
        let body = body.to_bytes();
        let runner = self.clone();
        let order = async move {
            match (method, path.as_str()) {
                (Method::GET, paths::LISTING) => {
                    json_response(StatusCode::OK, &json!(runner.control.engine().listing()))
                }
                (Method::POST, paths::FENCE) => runner.fence_order(&body),
                (Method::POST, paths::LOAD) => runner.load_order(&body).await,
                (Method::POST, paths::UNLOAD) => runner.unload_order(&body).await,
                _ => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
            }
        };
        match tokio::spawn(order).await {
            Ok(response) => response,
            Err(error) => {
                let error = json!({"error": error.to_string()});
                json_response(StatusCode::INTERNAL_SERVER_ERROR, &error)
            }
        }
    }

    fn fence_order(&self, body: &[u8]) -> Response<ResponseBody> {
        let order: FenceOrder = match parse_order(body) {
            Ok(order) => order,
            Err(refusal) => return self.refusal_response(refusal),
        };
        let raised = self.control.engine().raise_fence(&order);
        match raised {
            Ok(listing) => json_response(StatusCode::OK, &json!(listing)),
            Err(refusal) => self.refusal_response(refusal),
        }
    }

    async fn load_order(&self, body: &[u8]) -> Response<ResponseBody> {
        let order: LoadOrder = match parse_order(body) {
            Ok(order) => order,
            Err(refusal) => return self.refusal_response(refusal),
        };
        let (started, incarnation) = {
            let mut engine = self.control.engine();
            (engine.begin_load(&order), engine.incarnation())
        };
        match started {
            Err(refusal) => return self.refusal_response(refusal),
            Ok(LoadStart::Loaded) => (),
            Ok(LoadStart::Joined) => self.wait_for_load(&order).await,
            Ok(LoadStart::Started(tier)) => {
                self.read_weights(&order, tier).await;
                self.finish_load(&order, incarnation);
            }
        }
        let loaded = self.control.engine().replica_state(&order.model);
        match loaded {
            Some(ReplicaState::Loaded) => json_response(StatusCode::OK, &json!(OrderDone {})),
            _ => self.refusal_response(EngineRefusal::Refused("load interrupted".to_owned())),
        }
    }

    async fn read_weights(&self, order: &LoadOrder, tier: CacheTier) {
        if order.adapter.is_some() {
            return self.control.store.load(LoadKind::Adapter, ADAPTER_LOAD_TIME).await;
        }
        match tier {
            CacheTier::Memory => tokio::time::sleep(read_time(order.memory, MEMORY_SPEED)).await,
            CacheTier::Disk => tokio::time::sleep(read_time(order.memory, DISK_SPEED)).await,
            CacheTier::Remote => {
                let work = read_time(order.memory, STORE_SPEED);
                self.control.store.load(LoadKind::Model, work).await;
            }
        }
    }

    fn finish_load(&self, order: &LoadOrder, incarnation: u64) {
        let mut engine = self.control.engine();
        if engine.incarnation() != incarnation {
            return;
        }
        engine.finish_load(&order.model, order.adapter.as_ref());
        let name = served_name(&order.model, order.adapter.as_ref());
        if engine.replica_state(&order.model) == Some(ReplicaState::Loaded) {
            self.state().loaded.entry(name).or_insert(0);
        }
    }

    async fn wait_for_load(&self, order: &LoadOrder) {
        loop {
            let state = self.control.engine().replica_state(&order.model);
            if matches!(state, None | Some(ReplicaState::Loaded)) {
                return;
            }
            tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        }
    }

    async fn unload_order(&self, body: &[u8]) -> Response<ResponseBody> {
        let order: UnloadOrder = match parse_order(body) {
            Ok(order) => order,
            Err(refusal) => return self.refusal_response(refusal),
        };
        let started = self.control.engine().begin_unload(&order);
        match started {
            Err(refusal) => return self.refusal_response(refusal),
            Ok(false) => (),
            Ok(true) => {
                self.state().loaded.remove(&served_name(&order.model, order.adapter.as_ref()));
                tokio::time::sleep(UNLOAD_DURATION).await;
                self.control.engine().finish_unload(&order.model, order.adapter.as_ref());
            }
        }
        json_response(StatusCode::OK, &json!(OrderDone {}))
    }

    /// Crashes and restarts the engine, which loses all loaded models and adapters.
    pub fn crash_engine(&self) {
        self.control.engine().crash();
        self.state().loaded.clear();
    }

    fn refusal_response(&self, refusal: EngineRefusal) -> Response<ResponseBody> {
        let fence = self.control.engine().fence();
        let (status, cause) = match refusal {
            EngineRefusal::Stale(_) => (StatusCode::CONFLICT, "stale fencing number".to_owned()),
            EngineRefusal::Refused(cause) => (StatusCode::UNPROCESSABLE_ENTITY, cause),
        };
        json_response(status, &json!(OrderRefusal { fence, cause }))
    }
}

fn served_name(model: &ModelId, adapter: Option<&AdapterId>) -> String {
    adapter.map_or_else(|| model.to_string(), ToString::to_string)
}

fn read_time(size: ByteSize, speed: f64) -> Duration {
    Duration::from_secs_f64(size.0 as f64 / speed)
}

fn parse_order<O>(body: &[u8]) -> Result<O, EngineRefusal>
where
    O: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| EngineRefusal::Refused(error.to_string()))
}
