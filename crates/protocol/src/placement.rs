//! Wakes of models, keepers of runners and what a runner holds.

use std::time::Duration;

use dotterellane_units::{
    AdapterId, ByteSize, FenceNumber, ModelId, TeamId, UpstreamId, VersionLabel,
};
use serde::{Deserialize, Serialize};

/// Where a runner finds a checkpoint that it does not have on its accelerator.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheTier {
    /// In the memory of the runner's machine.
    Memory,
    /// On the disk of the runner's machine.
    Disk,
    /// In the weight store alone.
    #[default]
    Remote,
}

/// How far a replica or an adapter has come on its runner.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaState {
    /// Its weights are on their way.
    Loading,
    /// It serves.
    Loaded,
    /// It is being removed; its memory is still taken.
    Unloading,
}

/// An adapter that a runner holds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListedAdapter {
    /// Name of the adapter.
    pub adapter: AdapterId,
    /// Version of the adapter.
    pub version: VersionLabel,
    /// How far it has come.
    pub state: ReplicaState,
    /// Accelerator memory that it takes.
    pub memory: ByteSize,
}

/// A replica that a runner holds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListedReplica {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the model.
    pub version: VersionLabel,
    /// How far it has come.
    pub state: ReplicaState,
    /// Accelerator memory that it takes, KV reserve included, adapters not.
    pub memory: ByteSize,
    /// Adapters on top of it.
    pub adapters: Vec<ListedAdapter>,
}

/// A checkpoint that a runner's machine caches.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CachedCheckpoint {
    /// Name of the model.
    pub model: ModelId,
    /// The best tier that it is cached in.
    pub tier: CacheTier,
}

/// What a runner says of itself; it may lag.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerListing {
    /// Grows with each restart of the runner.
    pub incarnation: u64,
    /// Highest fencing number that the runner has seen; 0 if it ignores them.
    pub fence: FenceNumber,
    /// Accelerator memory.
    pub capacity: ByteSize,
    /// Accelerator memory in use or promised to loads.
    pub used: ByteSize,
    /// What is loading, loaded or unloading.
    pub replicas: Vec<ListedReplica>,
    /// Cached checkpoints; a model that is not named is cached nowhere.
    pub cached: Vec<CachedCheckpoint>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the engine.
    pub queued: u32,
}

/// A replica as its keeper tells the dispatchers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReplicaReport {
    /// Name of the model.
    pub model: ModelId,
    /// Runner that holds it.
    pub runner: UpstreamId,
    /// How far it has come; `None` when it is not on the runner.
    pub state: Option<ReplicaState>,
    /// Adapters that serve on it.
    pub adapters: Vec<AdapterId>,
    /// Where its checkpoint is cached.
    pub tier: CacheTier,
    /// Accelerator memory that is free on the runner.
    pub free: ByteSize,
    /// Requests that run or wait on the runner.
    pub busy: u32,
}

/// Wakes of models and keepers of runners.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PlacementMessage {
    /// A dispatcher asks the keeper of `runner` to load a model into its decided slot.
    Wake {
        /// Model to load.
        model: ModelId,
        /// Adapter to load on top of it.
        adapter: Option<AdapterId>,
        /// Runner that has a decided slot.
        runner: UpstreamId,
        /// Team that the earliest waiting request runs for.
        team: TeamId,
        /// Time left until that request's deadline.
        remaining: Duration,
    },
    /// A keeper tells how a replica fares; sent on each change and repeated at intervals.
    Replica(ReplicaReport),
    /// A keeper asks the fleet's load queue for a turn at the weight store.
    LoadRequest {
        /// Runner that will load.
        runner: UpstreamId,
        /// Model that it loads.
        model: ModelId,
        /// Adapter, if only an adapter is loaded.
        adapter: Option<AdapterId>,
        /// Team that waits.
        team: TeamId,
        /// Time left until the deadline of the earliest request that waits.
        remaining: Duration,
        /// Size of the weights.
        size: ByteSize,
    },
    /// The load queue gives a turn.
    LoadGrant {
        /// Runner that may load.
        runner: UpstreamId,
        /// Model that it may load.
        model: ModelId,
        /// Adapter, if only an adapter is loaded.
        adapter: Option<AdapterId>,
    },
    /// A keeper gives its turn back.
    LoadDone {
        /// Runner that loaded.
        runner: UpstreamId,
        /// Model that it loaded.
        model: ModelId,
        /// Adapter, if only an adapter was loaded.
        adapter: Option<AdapterId>,
    },
    /// The load queue has a load and will give it a turn later.
    LoadQueued {
        /// Runner that waits.
        runner: UpstreamId,
        /// Model that it will load.
        model: ModelId,
        /// Adapter, if only an adapter is loaded.
        adapter: Option<AdapterId>,
    },
    /// A dispatcher tells a keeper how a replica is used; sent at intervals.
    Usage {
        /// Model of the replica.
        model: ModelId,
        /// Runner that holds it.
        runner: UpstreamId,
        /// Whether permits are out.
        busy: bool,
        /// Time since the last use.
        idle: Duration,
        /// How long the replica shall stay loaded while idle.
        hold: Duration,
    },
}
