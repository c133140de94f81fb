//! State of the fleet as one daemon knows it, for operators.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of the fleet as one daemon knows it; unknown values are null.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(default)]
pub struct FleetOverview {
    /// Token bucket and refusals of each team.
    pub teams: Vec<TeamUse>,
    /// State of each model; null if unknown.
    pub models: Option<Vec<ModelUse>>,
    /// Memory use of each runner.
    pub runners: Vec<RunnerUse>,
    /// Hosts of the installation.
    pub hosts: Vec<HostState>,
    /// Times from a request for a model that was not loaded to the first token; null if unknown.
    pub cold_starts: Option<ColdStarts>,
    /// Refused requests by cause since the daemon started; null if unknown.
    pub refusals: Option<Vec<RefusalCount>>,
    /// Reachability of the platform's table.
    pub table: TableHealth,
    /// Last use of each caller's key; keys without a known use are absent.
    pub keys: Vec<KeyUse>,
}

/// Token bucket and refusals of one team.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct TeamUse {
    /// Id of the team.
    pub team: String,
    /// Refill rate of the token bucket, in tokens per second.
    pub rate: f64,
    /// Average tokens charged per second over the last minute; null if unknown.
    pub used: Option<f64>,
    /// Balance of the token bucket: tokens that can be charged now; null if unknown.
    pub level: Option<u64>,
    /// Capacity of the token bucket, in tokens.
    pub burst: u64,
    /// Requests refused because the team exceeded its rate; null if unknown.
    pub refused_over_rate: Option<u64>,
    /// Requests refused although the team was within its rate; null if unknown.
    pub refused_in_rate: Option<u64>,
}

/// Readiness of a model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelState {
    /// At least one replica is loaded.
    Loaded,
    /// No replica is loaded, but at least one is loading.
    Loading,
    /// No replica is loaded or loading.
    #[default]
    Idle,
}

/// State of one model.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ModelUse {
    /// Id of the model.
    pub model: String,
    /// Readiness of the model.
    pub state: ModelState,
    /// Number of decided slots: places on runners where a replica may be loaded.
    pub decided: u32,
    /// Runners with a loaded replica.
    pub loaded_on: Vec<String>,
    /// Runners with a replica that is loading.
    pub loading_on: Vec<String>,
    /// Number of requests that wait for a replica.
    pub waiting: u32,
}

/// Memory use and status of one runner.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RunnerUse {
    /// Id of the runner.
    pub runner: String,
    /// Failure domain of the runner.
    pub domain: String,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Accelerator memory in use or reserved, in bytes; null if unknown.
    pub used: Option<u64>,
    /// Number of requests that the runner is running; null if unknown.
    pub running: Option<u32>,
    /// Whether the runner responds; null if unknown.
    pub answers: Option<bool>,
    /// Whether the runner is leaving and gets no new work.
    pub leaving: bool,
}

/// State of one host of the installation.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct HostState {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Whether the daemon has recently received a heartbeat of the host.
    pub alive: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Times from a request for a model that was not loaded to the first token.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ColdStarts {
    /// Number of cold starts since the daemon started.
    pub count: u64,
    /// Median, in seconds.
    pub p50_seconds: f64,
    /// 95th percentile, in seconds.
    pub p95_seconds: f64,
    /// 99th percentile, in seconds.
    pub p99_seconds: f64,
}

/// Number of requests refused for one cause.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RefusalCount {
    /// Cause of the refusals.
    pub cause: String,
    /// Number of requests refused for this cause since the daemon started.
    pub count: u64,
}

/// Reachability of the platform's table from this daemon.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct TableHealth {
    /// Whether the table is reachable, as far as the daemon knows.
    pub reachable: bool,
    /// Time since the last response of the table, in seconds; null if unknown.
    pub answered_ago_seconds: Option<f64>,
    /// Number of calls that failed since the daemon started; null if unknown.
    pub failures: Option<u64>,
}

/// Last use of a caller's key.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct KeyUse {
    /// Id of the key, which is its public part.
    pub key: String,
    /// Time since the last request with the key, in seconds.
    pub used_ago_seconds: f64,
}
