//! Account of a runner's accelerator memory: which model or adapter it is reserved for.

use std::collections::BTreeMap;

use dotterellane_protocol::placement::RunnerListing;
use dotterellane_units::{AdapterId, ByteSize, ModelId};

use crate::leases::HeldItem;

/// Memory of one runner, as counted by the keeper that holds the runner's lease.
///
/// An item is counted from before its load is ordered until the runner confirms that it is gone.
/// Memory that the runner reports in use beyond its listed items is counted as well, so that the
/// sum is never below the runner's own report, even if that report is late.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    capacity: ByteSize,
    items: BTreeMap<HeldItem, ByteSize>,
    /// Memory that the runner last reported in use beyond its listed items.
    unlisted: ByteSize,
}

impl MemoryAccount {
    /// Creates an account of `capacity` without reservations.
    pub fn new(capacity: ByteSize) -> Self {
        Self { capacity, items: BTreeMap::new(), unlisted: ByteSize::default() }
    }

    /// Reserves `size` for `item`; returns whether it fits. An existing reservation is enlarged if
    /// it is smaller.
    pub fn reserve(&mut self, item: HeldItem, size: ByteSize) -> bool {
        let held = self.items.get(&item).copied().unwrap_or_default();
        if size <= held {
            return true;
        }
        if size - held > self.free() {
            return false;
        }
        self.items.insert(item, size);
        true
    }

    /// Reserves `size` for `item` even beyond the capacity, since it may be on the runner already.
    pub fn reserve_unchecked(&mut self, item: HeldItem, size: ByteSize) {
        let held = self.items.entry(item).or_default();
        *held = (*held).max(size);
    }

    /// Releases the reservation of an item that the runner no longer holds.
    pub fn free_item(&mut self, item: &HeldItem) {
        self.items.remove(item);
    }

    /// Applies the capacity, the memory in use and the listed items that the runner reports.
    pub fn note_listing(&mut self, listing: &RunnerListing) {
        let mut listed = ByteSize::default();
        for (item, size) in listed_items(listing) {
            listed += size;
            self.reserve_unchecked(item, size);
        }
        self.unlisted = listing.used - listed;
        self.capacity = listing.capacity;
    }

    /// Returns the memory that is in use or reserved.
    pub fn committed(&self) -> ByteSize {
        self.unlisted + self.items.values().copied().sum()
    }

    /// Returns the memory that can still be reserved.
    pub fn free(&self) -> ByteSize {
        self.capacity - self.committed()
    }

    /// Returns the runner's accelerator memory, as last reported.
    pub fn capacity(&self) -> ByteSize {
        self.capacity
    }

    /// Returns the memory reserved for `item`; zero if there is no reservation.
    pub fn held(&self, item: &HeldItem) -> ByteSize {
        self.items.get(item).copied().unwrap_or_default()
    }
}

/// Returns the models and adapters of a listing with the memory that each takes.
pub fn listed_items(listing: &RunnerListing) -> impl Iterator<Item = (HeldItem, ByteSize)> {
    listing.replicas.iter().flat_map(|replica| {
        let model: &ModelId = &replica.model;
        let adapters = replica.adapters.iter().map(move |held| {
            let adapter: AdapterId = held.adapter.clone();
            (HeldItem::adapter(model.clone(), adapter), held.memory)
        });
        std::iter::once((HeldItem::model(model.clone()), replica.memory)).chain(adapters)
    })
}
