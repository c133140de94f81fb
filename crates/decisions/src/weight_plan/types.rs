//! Inputs and outputs of the weight plan: profiles, runner reports, demand and orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_units::{AdapterId, ByteSize, ModelId, TokenCount, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::allowed_regions::AllowedRegions;

/// Memory and load times of one model, from the service's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Memory that the weights take on a runner.
    pub weights: ByteSize,
    /// Memory that one adapter of the model takes on a runner.
    pub adapter_weights: ByteSize,
    /// Time to load the model from the weight store while few loads run there.
    pub store_load: Duration,
    /// Time to load the model from the runner's disk.
    pub disk_load: Duration,
    /// Time to load the model from the runner's host memory.
    pub memory_load: Duration,
}

/// The models of a service and the limits of its runners, from the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Models of the service.
    pub models: BTreeMap<ModelId, ModelProfile>,
    /// Memory that one runner has for weights and adapters.
    pub capacity: ByteSize,
    /// Most adapters that one runner may hold.
    pub adapter_slots: usize,
    /// Loads from the weight store that may start per second, over all runners.
    pub loads_per_second: f64,
    /// Memory of one runner for the tokens of its requests; `None` if it is not stated.
    pub request_memory: Option<TokenCount>,
}

/// A model that is loaded on a runner, with its loaded adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldModel {
    /// The loaded model.
    pub model: ModelId,
    /// Adapters that are loaded with it.
    pub adapters: Vec<AdapterId>,
}

/// State of a runner, from its row in the directory or from the runner itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerReport {
    /// When the runner started, in milliseconds; a restart under the same name has a later value.
    pub started_at: u64,
    /// Revision of the row in the directory, which grows with each change; zero in a runner's own
    /// report.
    pub revision: u64,
    /// Orders that the runner has accepted since its start; `None` in rows of the directory.
    pub accepted: Option<u64>,
    /// Whether the runner is shutting down and takes no new work.
    pub draining: bool,
    /// Whether the runner is carrying out an order; always `false` in rows of the directory.
    pub busy: bool,
    /// Models and adapters that are loaded.
    pub held: Vec<HeldModel>,
    /// Models whose weights are cached in the runner's host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are cached on the runner's disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// What an order asks of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a model, or an adapter of a loaded model.
    Load,
    /// Unload a model with its adapters, or one adapter.
    Unload,
}

/// An order to a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Runner that carries out the order.
    pub runner: UpstreamId,
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// Model to load or unload, or the model of the adapter.
    pub model: ModelId,
    /// Adapter to load or unload; `None` for the model itself.
    pub adapter: Option<AdapterId>,
    /// Number of orders that the runner must have accepted before this one; it refuses the order
    /// otherwise.
    pub expected_sequence: u64,
    /// Where the weights are loaded from; `None` unless the order loads a model.
    pub tier: Option<LoadTier>,
}

/// Where weights are loaded from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadTier {
    /// The runner's host memory.
    Memory,
    /// The runner's disk.
    Disk,
    /// The weight store.
    Store,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The runner accepted the order and carries it out.
    Accepted,
    /// The runner is already in the ordered state.
    Holds,
    /// The runner is carrying out another order, or it has accepted an order that the plan did not
    /// count.
    Busy,
    /// The runner cannot carry out the order.
    Refused,
    /// No response came: the order may take effect now, later or never.
    Unanswered,
}

/// Requests at one host that wait for a model to be loaded.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WaitingModel {
    /// Model that the requests need.
    pub model: ModelId,
    /// Adapter that the requests need; `None` for the model alone.
    pub adapter: Option<AdapterId>,
    /// Regions in which the requests may run.
    pub regions: AllowedRegions,
    /// Number of waiting requests.
    pub count: u32,
    /// Sum of the worth of the requests, by which waiting models are ordered: for each request, the
    /// prompt tokens plus ten times the response tokens, or 1,000 if these are unknown.
    pub worth: u32,
}

/// Requests of one host that are running on one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunningModel {
    /// Runner that serves the requests.
    pub runner: UpstreamId,
    /// Model that the requests use.
    pub model: ModelId,
    /// Adapter that the requests use; `None` for the model alone.
    pub adapter: Option<AdapterId>,
    /// Number of running requests.
    pub count: u32,
}

/// Demand of one host for the models of one service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostDemand {
    /// Requests that wait, by model and adapter.
    pub waiting: Vec<WaitingModel>,
    /// Requests that run, by runner, model and adapter.
    pub running: Vec<RunningModel>,
    /// Number of requests that arrived since the host's last report, by model.
    pub arrivals: Vec<(ModelId, u32)>,
}
