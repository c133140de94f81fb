//! Which slot wakes, and what makes room for it. Functions over a snapshot.

use std::time::Duration;

use dotterellane_protocol::placement::CacheTier;
use dotterellane_units::{ByteSize, ClockInstant, UpstreamId};

use crate::leases::HeldItem;

/// Speeds at which checkpoints are read, in bytes a second, and what every load takes besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSpeeds {
    /// From the machine's memory.
    pub memory: f64,
    /// From the machine's disk.
    pub disk: f64,
    /// From the weight store, one load at full speed.
    pub remote: f64,
    /// Time besides the reading.
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
    /// Returns the time that a load of `size` takes from `tier` at full speed.
    pub fn load_time(&self, size: ByteSize, tier: CacheTier) -> Duration {
        let speed = match tier {
            CacheTier::Memory => self.memory,
            CacheTier::Disk => self.disk,
            CacheTier::Remote => self.remote,
        };
        self.fixed + Duration::from_secs_f64(size.0 as f64 / speed)
    }
}

/// A decided slot that could be woken.
#[derive(Clone, Debug, PartialEq)]
pub struct WakeCandidate {
    /// Runner that it is on.
    pub runner: UpstreamId,
    /// Time that the load takes there, the wait before the weight store included.
    pub load_time: Duration,
    /// Memory that is free.
    pub free: ByteSize,
    /// Memory of idle replicas that can be evicted.
    pub evictable: ByteSize,
    /// Time that an eviction takes.
    pub eviction_time: Duration,
}

/// Returns the slot that serves a replica of `memory` soonest, `None` if none has room.
pub fn choose_slot(offers: &[WakeCandidate], memory: ByteSize) -> Option<&WakeCandidate> {
    let expected = |offer: &WakeCandidate| {
        let room = if offer.free >= memory { Duration::ZERO } else { offer.eviction_time };
        offer.load_time + room
    };
    let roomy = offers.iter().filter(|offer| offer.free + offer.evictable >= memory);
    // Of equal ones the runner with the most free memory: fewer evictions later.
    roomy.min_by_key(|offer| (expected(offer), std::cmp::Reverse(offer.free), &offer.runner))
}

/// An idle item that could be evicted.
#[derive(Clone, Debug, PartialEq)]
pub struct EvictionCandidate {
    /// What would be unloaded.
    pub item: HeldItem,
    /// Memory that it frees.
    pub memory: ByteSize,
    /// When it was last used.
    pub last_used: ClockInstant,
    /// How long it would be kept without need.
    pub hold: Duration,
    /// Time that loading it again takes.
    pub load_time: Duration,
}

/// Returns what to unload to free `missing`: least lost first, `None` if it does not suffice.
///
/// What is overdue goes first, then what costs least to load again for the memory it frees.
pub fn choose_evictions(
    now: ClockInstant,
    missing: ByteSize,
    candidates: &[EvictionCandidate],
) -> Option<Vec<HeldItem>> {
    let mut order: Vec<&EvictionCandidate> = candidates.iter().collect();
    let rank = |victim: &EvictionCandidate| {
        let idle = now.since(victim.last_used);
        let overdue = idle >= victim.hold;
        let regret = victim.load_time.as_secs_f64()
            / victim.memory.0.max(1) as f64
            / idle.as_secs_f64().max(0.001);
        (!overdue, regret)
    };
    order.sort_by(|a, b| {
        let (a, b) = (rank(a), rank(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    let mut freed = ByteSize::default();
    let mut victims = Vec::new();
    for victim in order {
        if freed >= missing {
            break;
        }
        freed += victim.memory;
        victims.push(victim.item.clone());
    }
    (freed >= missing).then_some(victims)
}
