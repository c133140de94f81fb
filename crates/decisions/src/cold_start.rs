//! Chooses the slot to load a model in and the idle items to evict for it, from a snapshot of the
//! state.

use std::time::Duration;

use dotterellane_protocol::placement::CacheTier;
use dotterellane_units::{ByteSize, ClockInstant, UpstreamId};

use crate::leases::HeldItem;

/// Speeds at which checkpoints are read, in bytes per second, and the fixed time of every load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSpeeds {
    /// Speed from the host memory of the runner's machine.
    pub memory: f64,
    /// Speed from the machine's disk.
    pub disk: f64,
    /// Speed from the weight store, for one load at full speed.
    pub remote: f64,
    /// Time of a load in addition to reading the checkpoint.
    pub fixed: Duration,
}

impl Default for LoadSpeeds {
    fn default() -> Self {
        const GIBIBYTE: f64 = (1_u64 << 30) as f64;
        Self {
            memory: 64.0 * GIBIBYTE,
            disk: 16.0 * GIBIBYTE,
            remote: 8.0 * GIBIBYTE,
            fixed: Duration::ZERO,
        }
    }
}

impl LoadSpeeds {
    /// Returns the time of a load of `size` from `tier` at full speed.
    pub fn load_time(&self, size: ByteSize, tier: CacheTier) -> Duration {
        let speed = match tier {
            CacheTier::Memory => self.memory,
            CacheTier::Disk => self.disk,
            CacheTier::Remote => self.remote,
        };
        self.fixed + Duration::from_secs_f64(size.0 as f64 / speed)
    }
}

/// A decided slot that a replica could be loaded in.
#[derive(Clone, Debug, PartialEq)]
pub struct WakeCandidate {
    /// Runner of the slot.
    pub runner: UpstreamId,
    /// Time of a load on the runner, including the wait in the load queue.
    pub load_time: Duration,
    /// Free memory of the runner.
    pub free: ByteSize,
    /// Memory of idle replicas that can be evicted.
    pub evictable: ByteSize,
    /// Time of an eviction on the runner.
    pub eviction_time: Duration,
}

/// Returns the slot in which a replica that takes `memory` is ready soonest; `None` if none has
/// room.
pub fn choose_slot(candidates: &[WakeCandidate], memory: ByteSize) -> Option<&WakeCandidate> {
    let expected = |slot: &WakeCandidate| {
        let room = if slot.free >= memory { Duration::ZERO } else { slot.eviction_time };
        slot.load_time + room
    };
    let fitting = candidates.iter().filter(|slot| slot.free + slot.evictable >= memory);
    // Among equal times, the runner with the most free memory avoids later evictions.
    fitting.min_by_key(|slot| (expected(slot), std::cmp::Reverse(slot.free), &slot.runner))
}

/// An idle item that could be evicted.
#[derive(Clone, Debug, PartialEq)]
pub struct EvictionCandidate {
    /// Model or adapter that would be unloaded.
    pub item: HeldItem,
    /// Memory that its eviction frees.
    pub memory: ByteSize,
    /// When the item was last used.
    pub last_used: ClockInstant,
    /// Time for which the idle item stays loaded while its memory is not needed.
    pub hold: Duration,
    /// Time of loading the item again.
    pub load_time: Duration,
}

/// Returns the items to unload to free `missing`; `None` if all of them do not free enough.
///
/// Items that were idle for longer than their hold time go first. Otherwise the order is by load
/// time per freed byte and per idle time, lowest first.
pub fn choose_evictions(
    now: ClockInstant,
    missing: ByteSize,
    candidates: &[EvictionCandidate],
) -> Option<Vec<HeldItem>> {
    let mut order: Vec<&EvictionCandidate> = candidates.iter().collect();
    let rank = |candidate: &EvictionCandidate| {
        let idle = now.since(candidate.last_used);
        let overdue = idle >= candidate.hold;
        let reload_cost = candidate.load_time.as_secs_f64()
            / candidate.memory.0.max(1) as f64
            / idle.as_secs_f64().max(0.001);
        (!overdue, reload_cost)
    };
    order.sort_by(|a, b| {
        let (a, b) = (rank(a), rank(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    let mut freed = ByteSize::default();
    let mut evicted = Vec::new();
    for candidate in order {
        if freed >= missing {
            break;
        }
        freed += candidate.memory;
        evicted.push(candidate.item.clone());
    }
    (freed >= missing).then_some(evicted)
}
