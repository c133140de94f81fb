//! The state of the fleet as one daemon sees it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The state of the fleet as one daemon sees it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(default)]
pub struct FleetOverview {
    /// Use of each team's share.
    pub teams: Vec<TeamUse>,
    /// State of each model.
    pub models: Vec<ModelUse>,
    /// Memory of each runner.
    pub runners: Vec<RunnerUse>,
    /// The hosts of the system.
    pub hosts: Vec<HostState>,
    /// Times from a request for a model that was not loaded to its first token.
    pub cold_starts: ColdStarts,
    /// Refused requests by cause since the daemon started.
    pub refusals: Vec<RefusalCount>,
    /// The platform's table.
    pub table: TableHealth,
    /// When keys were last used; keys never used are absent.
    pub keys: Vec<KeyUse>,
}

/// Use of one team's share.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct TeamUse {
    /// Name of the team.
    pub team: String,
    /// The team's rate, in tokens a second.
    pub rate: f64,
    /// Tokens charged a second, over the last minute.
    pub used: f64,
    /// Tokens that can be admitted at once.
    pub level: u64,
    /// The team's burst, in tokens.
    pub burst: u64,
    /// Requests refused for being over the rate.
    pub refused_over_rate: u64,
    /// Requests refused although inside the rate.
    pub refused_in_rate: u64,
}

/// Whether a model is ready.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelState {
    /// At least one replica is loaded.
    Loaded,
    /// None is loaded, one is loading.
    Loading,
    /// No replica at all.
    #[default]
    Idle,
}

/// State of one model.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ModelUse {
    /// Name of the model.
    pub model: String,
    /// Whether it is ready.
    pub state: ModelState,
    /// Decided slots.
    pub decided: u32,
    /// Runners that hold a loaded replica.
    pub loaded_on: Vec<String>,
    /// Runners that load a replica.
    pub loading_on: Vec<String>,
    /// Requests that wait for it.
    pub waiting: u32,
}

/// Memory of one runner.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RunnerUse {
    /// Name of the runner.
    pub runner: String,
    /// Its failure domain.
    pub domain: String,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Accelerator memory in use or reserved, in bytes.
    pub used: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Whether it answers.
    pub answers: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// State of one host of the system.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct HostState {
    /// Name of the host.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it was heard lately.
    pub alive: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Times from a request for a model that was not loaded to its first token.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ColdStarts {
    /// Number of cold starts since the daemon started.
    pub count: u64,
    /// Half of them took at most this, in seconds.
    pub p50_seconds: f64,
    /// 95 in 100 took at most this, in seconds.
    pub p95_seconds: f64,
    /// 99 in 100 took at most this, in seconds.
    pub p99_seconds: f64,
}

/// Refused requests of one cause.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RefusalCount {
    /// Why they were refused.
    pub cause: String,
    /// How many.
    pub count: u64,
}

/// The platform's table as this daemon sees it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct TableHealth {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Seconds since the last answer; absent before the first one.
    pub answered_ago_seconds: Option<f64>,
    /// Calls that failed since the daemon started.
    pub failures: u64,
}

/// When a key was last used.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct KeyUse {
    /// Public part of the key.
    pub key: String,
    /// Seconds since its last request.
    pub used_ago_seconds: f64,
}
