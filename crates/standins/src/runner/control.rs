//! The control interface of a stand-in runner: it takes orders and needs time for them.

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
use crate::http_server::{AnswerBody, json_answer};
use crate::weight_store::{LoadKind, WeightStore};

/// Work of an adapter load at the weight store.
const ADAPTER_WORK: Duration = Duration::from_millis(20);
/// Time that an unload takes.
const UNLOAD_TIME: Duration = Duration::from_millis(50);
/// How often an order looks whether an earlier one has ended.
const JOIN_POLL: Duration = Duration::from_millis(5);
/// Speed at which one load reads from the weight store, in bytes a second.
const STORE_SPEED: f64 = 8.0 * (1_u64 << 30) as f64;
/// Speed at which a runner reads from its disk, in bytes a second.
const DISK_SPEED: f64 = 16.0 * (1_u64 << 30) as f64;
/// Speed at which a runner reads from its machine's memory, in bytes a second.
const MEMORY_SPEED: f64 = 64.0 * (1_u64 << 30) as f64;

/// The control side of a stand-in runner.
#[derive(Clone, Debug)]
pub struct RunnerControl {
    engine: Arc<Mutex<SimulatedEngine>>,
    store: WeightStore,
}

impl RunnerControl {
    /// Makes an engine that loads from `store`.
    pub fn new(options: EngineOptions, store: WeightStore) -> Self {
        Self { engine: Arc::new(Mutex::new(SimulatedEngine::new(options))), store }
    }

    /// Locks the engine.
    pub fn engine(&self) -> MutexGuard<'_, SimulatedEngine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinRunner {
    /// Takes an order; carries on with it also if the keeper hangs up.
    pub(crate) async fn answer_order(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let Ok(body) = request.into_body().collect().await else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({"error": "body broke off"}));
        };
        let body = body.to_bytes();
        let runner = self.clone();
        let order = async move {
            match (method, path.as_str()) {
                (Method::GET, paths::LISTING) => {
                    json_answer(StatusCode::OK, &json!(runner.control.engine().listing()))
                }
                (Method::POST, paths::FENCE) => runner.fence_order(&body),
                (Method::POST, paths::LOAD) => runner.load_order(&body).await,
                (Method::POST, paths::UNLOAD) => runner.unload_order(&body).await,
                _ => json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
            }
        };
        match tokio::spawn(order).await {
            Ok(answer) => answer,
            Err(error) => {
                let error = json!({"error": error.to_string()});
                json_answer(StatusCode::INTERNAL_SERVER_ERROR, &error)
            }
        }
    }

    fn fence_order(&self, body: &[u8]) -> Response<AnswerBody> {
        let order: FenceOrder = match parse_order(body) {
            Ok(order) => order,
            Err(refusal) => return self.refusal_answer(refusal),
        };
        let raised = self.control.engine().raise_fence(&order);
        match raised {
            Ok(listing) => json_answer(StatusCode::OK, &json!(listing)),
            Err(refusal) => self.refusal_answer(refusal),
        }
    }

    async fn load_order(&self, body: &[u8]) -> Response<AnswerBody> {
        let order: LoadOrder = match parse_order(body) {
            Ok(order) => order,
            Err(refusal) => return self.refusal_answer(refusal),
        };
        let (started, incarnation) = {
            let mut engine = self.control.engine();
            (engine.begin_load(&order), engine.incarnation())
        };
        match started {
            Err(refusal) => return self.refusal_answer(refusal),
            Ok(LoadStart::Loaded) => (),
            Ok(LoadStart::Joined) => self.join(&order).await,
            Ok(LoadStart::Started(tier)) => {
                self.fetch(&order, tier).await;
                self.finish_load(&order, incarnation);
            }
        }
        let loaded = self.control.engine().replica_state(&order.model);
        match loaded {
            Some(ReplicaState::Loaded) => json_answer(StatusCode::OK, &json!(OrderDone {})),
            _ => self.refusal_answer(EngineRefusal::Refused("the load was ended".to_owned())),
        }
    }

    async fn fetch(&self, order: &LoadOrder, tier: CacheTier) {
        if order.adapter.is_some() {
            return self.control.store.load(LoadKind::Adapter, ADAPTER_WORK).await;
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

    async fn join(&self, order: &LoadOrder) {
        loop {
            let state = self.control.engine().replica_state(&order.model);
            if matches!(state, None | Some(ReplicaState::Loaded)) {
                return;
            }
            tokio::time::sleep(JOIN_POLL).await;
        }
    }

    async fn unload_order(&self, body: &[u8]) -> Response<AnswerBody> {
        let order: UnloadOrder = match parse_order(body) {
            Ok(order) => order,
            Err(refusal) => return self.refusal_answer(refusal),
        };
        let begun = self.control.engine().begin_unload(&order);
        match begun {
            Err(refusal) => return self.refusal_answer(refusal),
            Ok(false) => (),
            Ok(true) => {
                self.state().loaded.remove(&served_name(&order.model, order.adapter.as_ref()));
                tokio::time::sleep(UNLOAD_TIME).await;
                self.control.engine().finish_unload(&order.model, order.adapter.as_ref());
            }
        }
        json_answer(StatusCode::OK, &json!(OrderDone {}))
    }

    /// Loses everything that is loaded, as a restarted engine does.
    pub fn crash_engine(&self) {
        self.control.engine().crash();
        self.state().loaded.clear();
    }

    fn refusal_answer(&self, refusal: EngineRefusal) -> Response<AnswerBody> {
        let fence = self.control.engine().fence();
        let (status, cause) = match refusal {
            EngineRefusal::Stale(_) => (StatusCode::CONFLICT, "fencing number is old".to_owned()),
            EngineRefusal::Refused(cause) => (StatusCode::UNPROCESSABLE_ENTITY, cause),
        };
        json_answer(status, &json!(OrderRefusal { fence, cause }))
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
