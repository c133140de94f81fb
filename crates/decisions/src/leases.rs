//! Rows and numbers that give a runner's orders to one keeper at a time.

use dotterellane_units::{AdapterId, ByteSize, FenceNumber, HostId, HostIncarnation, ModelId};
use serde::{Deserialize, Serialize};

/// Bits of a fencing number that count attempts within one generation.
const ATTEMPT_BITS: u32 = 24;

/// A model or an adapter on a runner.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct HeldItem {
    /// The model, or the base of the adapter.
    pub model: ModelId,
    /// The adapter, `None` for the model itself.
    pub adapter: Option<AdapterId>,
}

impl HeldItem {
    /// Names a model.
    pub fn model(model: ModelId) -> Self {
        Self { model, adapter: None }
    }

    /// Names an adapter on a model.
    pub fn adapter(model: ModelId, adapter: AdapterId) -> Self {
        Self { model, adapter: Some(adapter) }
    }
}

/// A load that a keeper may have ordered; written before the order is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadIntent {
    /// What is loaded.
    pub item: HeldItem,
    /// Memory that it takes.
    pub memory: ByteSize,
}

/// The row that names a runner's keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerLease {
    /// Host that gives orders.
    pub keeper: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// Grows with each takeover through the table and each removal of a slot.
    pub generation: u64,
    /// Whether the keeper has given the lease back.
    pub released: bool,
    /// Everything that a runner without fencing may hold or may yet load.
    pub intents: Vec<LoadIntent>,
}

/// What a host knows of the holder of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderStatus {
    /// It was heard lately.
    Live,
    /// It was not heard for longer than a heartbeat should take; it may be alive.
    Silent,
    /// It said goodbye, a new incarnation took its address, or the host list dropped it.
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
