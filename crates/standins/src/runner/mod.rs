//! A stand-in for a runner: an OpenAI-like model server with a control interface for load orders.

pub mod control;
pub mod engine;
pub mod serving;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use self::control::RunnerControl;
use self::engine::EngineOptions;
use crate::http_server::{self, StandinServer};
use crate::weight_store::WeightStore;

/// Path prefix of the control interface.
const CONTROL_PREFIX: &str = "/control/";

/// Response times of a stand-in runner.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// Delay before the first token of a loaded model.
    pub first_token: Duration,
    /// Delay between two tokens.
    pub token_gap: Duration,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self { first_token: Duration::from_millis(60), token_gap: Duration::from_millis(15) }
    }
}

/// A stand-in runner; clones share its state.
#[derive(Clone, Debug)]
pub struct StandinRunner {
    options: RunnerOptions,
    /// Its control interface.
    pub control: RunnerControl,
    state: Arc<Mutex<RunnerState>>,
}

/// Serving state of a stand-in runner.
#[derive(Debug, Default)]
pub struct RunnerState {
    /// Loaded models and adapters by name, with the number of requests each has run.
    pub loaded: BTreeMap<String, u64>,
    /// Names and values of the headers of the last request, for tests that check what reaches an
    /// upstream.
    pub last_headers: Vec<(String, String)>,
}

impl Default for StandinRunner {
    fn default() -> Self {
        Self::new(RunnerOptions::default())
    }
}

impl StandinRunner {
    /// Creates a runner with nothing loaded, default engine options and a weight store of its own.
    pub fn new(options: RunnerOptions) -> Self {
        let control = RunnerControl::new(EngineOptions::default(), WeightStore::default());
        Self { options, control, state: Arc::default() }
    }

    /// Replaces the engine and the weight store that it loads from.
    #[must_use]
    pub fn with_engine(mut self, engine: EngineOptions, store: WeightStore) -> Self {
        self.control = RunnerControl::new(engine, store);
        self
    }

    /// Starts to listen on a loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(&self) -> std::io::Result<StandinServer> {
        let runner = self.clone();
        http_server::start(move |request| {
            let runner = runner.clone();
            async move {
                match request.uri().path().starts_with(CONTROL_PREFIX) {
                    true => runner.handle_order(request).await,
                    false => runner.handle(request).await,
                }
            }
        })
        .await
    }

    /// Locks the serving state.
    pub fn state(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
