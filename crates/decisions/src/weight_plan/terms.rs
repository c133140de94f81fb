//! What the plan is told and what it gives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_units::{AdapterId, ByteSize, ModelId, UpstreamId};
use serde::{Deserialize, Serialize};

/// What a service says of one of its models.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Memory that its weights take.
    pub weights: ByteSize,
    /// Memory that one of its adapters takes.
    pub adapter_weights: ByteSize,
    /// Time to load it from the weight store when few loads run.
    pub store_load: Duration,
    /// Time to load it from the runner's disk.
    pub disk_load: Duration,
    /// Time to load it from the runner's own memory.
    pub memory_load: Duration,
}

/// What a service says of its models and runners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelProfile>,
    /// Memory of one runner for weights and adapters.
    pub capacity: ByteSize,
    /// Adapters that one runner may hold.
    pub adapter_slots: usize,
    /// Loads from the weight store that may start a second over all runners.
    pub loads_per_second: f64,
}

/// A model that a runner holds, with its adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldModel {
    /// Model.
    pub model: ModelId,
    /// Adapters of it.
    pub adapters: Vec<AdapterId>,
}

/// What the directory or a runner itself says of the runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerReport {
    /// Start of the runner, in milliseconds; tells a restart under the same name.
    pub started_at: u64,
    /// Number of the directory's row; grows with each. Zero for a runner's own report.
    pub revision: u64,
    /// Orders that it has accepted since its start; rows of the directory do not tell.
    pub accepted: Option<u64>,
    /// Whether it leaves.
    pub draining: bool,
    /// Whether it carries out an order; rows of the directory do not tell.
    pub busy: bool,
    /// What it holds.
    pub held: Vec<HeldModel>,
    /// Models whose weights are in its own memory or on its disk.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are on its disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// What is ordered of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a model, or an adapter of a model that is present.
    Load,
    /// Drop a model with its adapters, or one adapter.
    Unload,
}

/// An order to a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Runner that is ordered.
    pub runner: UpstreamId,
    /// What to do.
    pub kind: OrderKind,
    /// Model.
    pub model: ModelId,
    /// Adapter of it, if the order is about one.
    pub adapter: Option<AdapterId>,
    /// Orders that the runner must have accepted before.
    pub expected_sequence: u64,
    /// Where a model's weights come from; `None` for other orders.
    pub tier: Option<LoadTier>,
}

/// Where weights are loaded from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadTier {
    /// The runner's memory.
    Memory,
    /// The runner's disk.
    Disk,
    /// The weight store.
    Store,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The runner carries it out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the runner has accepted other orders meanwhile.
    Busy,
    /// The runner cannot take it.
    Refused,
    /// No answer came: it may be carried out now, later or never.
    Unanswered,
}

/// Requests that wait for a model at one host.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WaitingModel {
    /// Model.
    pub model: ModelId,
    /// Adapter, if the model alone does not do.
    pub adapter: Option<AdapterId>,
    /// Requests that wait.
    pub count: u32,
    /// What they are worth together, in thousandths.
    pub worth: u32,
}

/// Requests that run on one runner for one host.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunningModel {
    /// Runner.
    pub runner: UpstreamId,
    /// Model.
    pub model: ModelId,
    /// Adapter.
    pub adapter: Option<AdapterId>,
    /// Requests that run.
    pub count: u32,
}

/// What one host asks of the models of one service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostDemand {
    /// What waits.
    pub waiting: Vec<WaitingModel>,
    /// What runs.
    pub running: Vec<RunningModel>,
    /// Requests that came since the last report, by model.
    pub arrivals: Vec<(ModelId, u32)>,
}
