//! Lease rows and fencing numbers, which ensure that one keeper at a time sends orders to a runner.
//!
//! The keeper is the daemon that holds the runner's lease.

use dotterellane_units::{AdapterId, ByteSize, FenceNumber, HostId, HostIncarnation, ModelId};
use serde::{Deserialize, Serialize};

/// Low bits of a fencing number, which count the attempts within one generation.
const ATTEMPT_BITS: u32 = 24;

/// A model or an adapter that is, or may be, on a runner.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct HeldItem {
    /// The model, or the base model of the adapter.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterId>,
}

impl HeldItem {
    /// Returns the item for a model.
    pub fn model(model: ModelId) -> Self {
        Self { model, adapter: None }
    }

    /// Returns the item for an adapter of `model`.
    pub fn adapter(model: ModelId, adapter: AdapterId) -> Self {
        Self { model, adapter: Some(adapter) }
    }
}

/// A load that a keeper may have ordered; written to the lease row before the order is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadIntent {
    /// Model or adapter to load.
    pub item: HeldItem,
    /// Memory that the item takes on the runner.
    pub memory: ByteSize,
}

/// Lease row of a runner, which names its keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerLease {
    /// Host that holds the lease and sends the orders.
    pub keeper: HostId,
    /// Incarnation of the keeper's daemon.
    pub incarnation: HostIncarnation,
    /// Grows with each takeover through the table and each removal of a slot.
    pub generation: u64,
    /// Whether the keeper has released the lease.
    pub released: bool,
    /// Items that a runner without fencing may hold or may still load; empty for other runners.
    pub intents: Vec<LoadIntent>,
}

/// What a host knows about the holder of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderStatus {
    /// The holder was heard from recently.
    Live,
    /// The holder was not heard from for longer than the heartbeat period; it may be alive.
    Silent,
    /// The holder runs no more: it left, a later incarnation took its address, or the platform's
    /// host list no longer contains it.
    Dead,
}

/// Returns the first fencing number of `generation`.
pub fn first_fence(generation: u64) -> FenceNumber {
    FenceNumber(generation << ATTEMPT_BITS)
}

/// Returns the generation of a fencing number.
pub fn fence_generation(fence: FenceNumber) -> u64 {
    fence.0 >> ATTEMPT_BITS
}
