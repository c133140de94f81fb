//! What a runner's memory is promised to.

use std::collections::BTreeMap;

use dotterellane_protocol::placement::RunnerListing;
use dotterellane_units::{AdapterId, ByteSize, ModelId};

use crate::leases::HeldItem;

/// Memory of one runner as its keeper counts it.
///
/// An item counts from before its load is ordered until the runner confirms that it is gone.
/// Memory that the runner reports beyond the items it lists counts as well, so that the sum is
/// never below the runner's own report, however late that report is.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    capacity: ByteSize,
    items: BTreeMap<HeldItem, ByteSize>,
    unlisted: ByteSize,
}

impl MemoryLedger {
    /// Starts a ledger over `capacity` with nothing held.
    pub fn new(capacity: ByteSize) -> Self {
        Self { capacity, items: BTreeMap::new(), unlisted: ByteSize::default() }
    }

    /// Promises `size` to `item`; tells whether it fits. A promise to an item that has one is
    /// widened if need be.
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

    /// Counts `item` whether it fits or not, since it may be on the runner already.
    pub fn force(&mut self, item: HeldItem, size: ByteSize) {
        let held = self.items.entry(item).or_default();
        *held = (*held).max(size);
    }

    /// Frees the memory of an item that the runner no longer holds.
    pub fn free_item(&mut self, item: &HeldItem) {
        self.items.remove(item);
    }

    /// Takes in the runner's own figures.
    pub fn note_listing(&mut self, listing: &RunnerListing) {
        let mut listed = ByteSize::default();
        for (item, size) in listed_items(listing) {
            listed += size;
            self.force(item, size);
        }
        self.unlisted = listing.used - listed;
        self.capacity = listing.capacity;
    }

    /// Returns the memory in use or promised.
    pub fn committed(&self) -> ByteSize {
        self.unlisted + self.items.values().copied().sum()
    }

    /// Returns the memory that can still be promised.
    pub fn free(&self) -> ByteSize {
        self.capacity - self.committed()
    }

    /// Returns the accelerator memory.
    pub fn capacity(&self) -> ByteSize {
        self.capacity
    }

    /// Returns the memory promised to `item`.
    pub fn held(&self, item: &HeldItem) -> ByteSize {
        self.items.get(item).copied().unwrap_or_default()
    }
}

/// Returns the models and adapters of a listing with their memory.
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
