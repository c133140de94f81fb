//! Messages about loading models, and the state that runners report.
//!
//! The keeper of a runner is the daemon that holds the runner's lease; it alone sends load and
//! unload orders to the runner. A wake asks a keeper to load a model for which requests wait. The
//! load queue of the fleet grants loads, and so limits how many read from the weight store at once.
use std::time::Duration;

use dotterellane_units::{
    AdapterId, ByteSize, FenceNumber, ModelId, TeamId, UpstreamId, VersionLabel,
};
use serde::{Deserialize, Serialize};

/// Storage from which a runner can load a checkpoint, fastest first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheTier {
    /// Memory of the runner's machine.
    Memory,
    /// Disk of the runner's machine.
    Disk,
    /// Weight store; the runner's machine has no cached copy.
    #[default]
    Remote,
}

/// State of a replica or an adapter on its runner.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaState {
    /// The weights are being loaded.
    Loading,
    /// Ready to serve requests.
    Loaded,
    /// Being removed; the memory is still in use.
    Unloading,
}

/// Adapter on a runner, as the runner reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListedAdapter {
    /// Adapter.
    pub adapter: AdapterId,
    /// Version of the adapter's weights.
    pub version: VersionLabel,
    /// State on the runner.
    pub state: ReplicaState,
    /// Accelerator memory in use by the adapter.
    pub memory: ByteSize,
}

/// Replica of a model on a runner, as the runner reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListedReplica {
    /// Model.
    pub model: ModelId,
    /// Version of the model's weights.
    pub version: VersionLabel,
    /// State on the runner.
    pub state: ReplicaState,
    /// Accelerator memory in use, including the reserve for the KV cache, without adapters.
    pub memory: ByteSize,
    /// Adapters loaded for this replica.
    pub adapters: Vec<ListedAdapter>,
}

/// Checkpoint of which the runner's machine has a cached copy.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CachedCheckpoint {
    /// Model that the checkpoint belongs to.
    pub model: ModelId,
    /// Fastest tier that has a copy.
    pub tier: CacheTier,
}

/// State that a runner reports of itself; it may lag behind the orders that the runner accepted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerListing {
    /// Incarnation of the runner; grows with each of its restarts.
    pub incarnation: u64,
    /// Highest fencing number that the runner has seen; 0 if it ignores fencing numbers.
    pub fence: FenceNumber,
    /// Total accelerator memory.
    pub capacity: ByteSize,
    /// Accelerator memory in use or reserved for loads.
    pub used: ByteSize,
    /// Replicas that are loading, loaded or unloading.
    pub replicas: Vec<ListedReplica>,
    /// Checkpoints with a cached copy in memory or on disk; those not listed have none.
    pub cached: Vec<CachedCheckpoint>,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub queued: u32,
}

/// State of a replica, as the runner's keeper reports it to the dispatchers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReplicaReport {
    /// Model of the replica.
    pub model: ModelId,
    /// Runner of the replica.
    pub runner: UpstreamId,
    /// State on the runner, `None` if the runner does not hold the replica.
    pub state: Option<ReplicaState>,
    /// Adapters of the replica that are ready to serve requests.
    pub adapters: Vec<AdapterId>,
    /// Fastest tier from which the runner can load the checkpoint.
    pub tier: CacheTier,
    /// Free accelerator memory of the runner.
    pub free: ByteSize,
    /// Number of requests that run or wait on the runner, over all models.
    pub busy: u32,
}

/// Messages about loading models and the state of their replicas.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PlacementMessage {
    /// Dispatcher to keeper: asks to load a model for which requests wait.
    Wake {
        /// Model to load.
        model: ModelId,
        /// Adapter to load on top of the model.
        adapter: Option<AdapterId>,
        /// Runner that the placement has assigned to the model.
        runner: UpstreamId,
        /// Team of the waiting request with the earliest deadline.
        team: TeamId,
        /// Time left until that deadline.
        remaining: Duration,
    },
    /// Keeper to dispatchers: state of a replica; sent on each change and repeated at intervals.
    Replica(ReplicaReport),
    /// Keeper to load queue: requests the grant of a load from the weight store.
    LoadRequest {
        /// Runner that will load.
        runner: UpstreamId,
        /// Model to load, or model of the adapter.
        model: ModelId,
        /// Adapter to load, `None` to load the model itself.
        adapter: Option<AdapterId>,
        /// Team of the waiting request with the earliest deadline.
        team: TeamId,
        /// Time left until that deadline.
        remaining: Duration,
        /// Accelerator memory that the load needs.
        size: ByteSize,
    },
    /// Load queue to keeper: grants the load.
    LoadGrant {
        /// Runner that may load.
        runner: UpstreamId,
        /// Model to load, or model of the adapter.
        model: ModelId,
        /// Adapter to load, `None` to load the model itself.
        adapter: Option<AdapterId>,
    },
    /// Keeper to load queue: the load has ended or is no longer wanted, so its grant is free.
    LoadDone {
        /// Runner that was to load.
        runner: UpstreamId,
        /// Model that was to be loaded, or model of the adapter.
        model: ModelId,
        /// Adapter that was to be loaded, `None` for the model itself.
        adapter: Option<AdapterId>,
    },
    /// Load queue to keeper: the request is queued and is granted later.
    LoadQueued {
        /// Runner that waits for the grant.
        runner: UpstreamId,
        /// Model to load, or model of the adapter.
        model: ModelId,
        /// Adapter to load, `None` to load the model itself.
        adapter: Option<AdapterId>,
    },
    /// Dispatcher to keeper: use of a replica; sent at intervals.
    Usage {
        /// Model of the replica.
        model: ModelId,
        /// Runner of the replica.
        runner: UpstreamId,
        /// Whether a permit for the replica is granted and not yet released.
        busy: bool,
        /// Time since the last use of the model.
        idle: Duration,
        /// How long the replica must stay loaded while idle.
        hold: Duration,
    },
}
