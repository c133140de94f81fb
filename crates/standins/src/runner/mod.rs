//! A stand-in model engine.

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

/// Start of the paths of the control interface.
const CONTROL_PREFIX: &str = "/control/";

/// How fast a stand-in runner is.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// Time to the first token of a loaded model.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_gap: Duration,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self { first_token: Duration::from_millis(60), token_gap: Duration::from_millis(15) }
    }
}

/// A stand-in runner: what it has loaded and what it was asked.
#[derive(Clone, Debug)]
pub struct StandinRunner {
    options: RunnerOptions,
    /// The control side.
    pub control: RunnerControl,
    state: Arc<Mutex<RunnerState>>,
}

/// What a stand-in runner keeps.
#[derive(Debug, Default)]
pub struct RunnerState {
    /// Names of loaded models and adapters, with the number of requests each has run.
    pub loaded: BTreeMap<String, u64>,
    /// Header names of the last request, for tests of what reaches an upstream.
    pub last_headers: Vec<(String, String)>,
}

impl Default for StandinRunner {
    fn default() -> Self {
        Self::new(RunnerOptions::default())
    }
}

impl StandinRunner {
    /// Makes a runner with nothing loaded.
    pub fn new(options: RunnerOptions) -> Self {
        let control = RunnerControl::new(EngineOptions::default(), WeightStore::default());
        Self { options, control, state: Arc::default() }
    }

    /// Sets the engine and the weight store that it loads from.
    #[must_use]
    pub fn with_engine(mut self, engine: EngineOptions, store: WeightStore) -> Self {
        self.control = RunnerControl::new(engine, store);
        self
    }

    /// Starts to listen.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start(&self) -> std::io::Result<StandinServer> {
        let runner = self.clone();
        http_server::start(move |request| {
            let runner = runner.clone();
            async move {
                match request.uri().path().starts_with(CONTROL_PREFIX) {
                    true => runner.answer_order(request).await,
                    false => runner.answer(request).await,
                }
            }
        })
        .await
    }

    /// Locks what the runner keeps.
    pub fn state(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
