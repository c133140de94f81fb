//! The keeper of one runner: who may order, what may be ordered, what counts as loaded.
//!
//! With a runner that honours fencing numbers, the number is a pair of generation and attempt.
//! The generation grows whenever a slot leaves the table, and the runner hears of it before the
//! table does; a keeper that missed the removal cannot raise the number and so cannot load into
//! the lost slot. Attempts let a keeper take over while the table is down.
//!
//! With a runner that ignores fencing numbers, the lease row alone decides, an order is written
//! down before it is sent, and an order counts until no copy of it can arrive any more.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_protocol::placement::{ReplicaState, RunnerListing};
use dotterellane_units::{
    ByteSize, ClockInstant, FenceNumber, HostId, HostIncarnation, ModelId, RowVersion, UpstreamId,
};

use crate::leases::{
    HeldItem, HolderStatus, LoadIntent, RunnerLease, fence_generation, first_fence,
};
use crate::memory_ledger::{MemoryLedger, listed_items};
use crate::placement::SlotState;

/// Longest time for which a copy of an order may still arrive at a runner.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(60);

/// What is known of a runner beforehand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerProfile {
    /// Name of the runner.
    pub runner: UpstreamId,
    /// Accelerator memory.
    pub capacity: ByteSize,
    /// Whether it refuses orders with an old fencing number.
    pub honours_fencing: bool,
}

/// The lease row and the runner's slots, read from the table at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseView {
    /// The lease, `None` if it was never taken.
    pub lease: Option<RunnerLease>,
    /// Version of its row.
    pub version: RowVersion,
    /// The runner's slots.
    pub slots: BTreeMap<ModelId, SlotState>,
}

/// What the keeper wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeeperAction {
    /// Read the lease row and the runner's slots at one moment.
    ReadLease,
    /// Write the lease row if its version is `expected`, and remove a slot along with it.
    WriteLease {
        /// Version that the row must have.
        expected: RowVersion,
        /// The new row.
        lease: RunnerLease,
        /// Slot to remove in the same transaction.
        removed: Option<ModelId>,
    },
    /// Raise the fencing number at the runner.
    RaiseFence(FenceNumber),
    /// Ask the runner what it holds.
    List,
    /// Order a load.
    Load {
        /// What to load.
        item: HeldItem,
        /// Memory that it takes.
        memory: ByteSize,
        /// Fencing number of the order.
        fence: FenceNumber,
    },
    /// Order an unload.
    Unload {
        /// What to unload.
        item: HeldItem,
        /// Fencing number of the order.
        fence: FenceNumber,
    },
}

/// How the table took a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// It took effect; the row's new version.
    Committed(RowVersion),
    /// Another write came first.
    Conflict,
    /// Nothing took effect.
    Unavailable,
    /// It may have taken effect.
    Lost,
}

/// How a runner answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// It was carried out.
    Done,
    /// The runner has seen a higher fencing number.
    Stale(FenceNumber),
    /// The runner refused, or the load failed.
    Refused,
    /// No answer came.
    Unanswered,
}

/// How a keeper takes a wake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WakeAnswer {
    /// It serves already.
    Serving,
    /// It is on its way.
    Coming,
    /// The model has no decided slot on this runner.
    NoSlot,
    /// The memory does not suffice; this much is missing.
    NoMemory(ByteSize),
    /// This host does not keep the runner.
    NotKeeper,
    /// Another step has to end first; ask again.
    Busy,
}

/// How far an item has come, as the keeper knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// The intent is being written.
    Intended,
    /// The load is ordered.
    Loading,
    /// It serves.
    Loaded,
    /// The unload is ordered.
    Unloading,
    /// It may be on the runner, or may yet be loaded by an order under way.
    Uncertain,
}

#[derive(Clone, Debug)]
struct KeptItem {
    state: ItemState,
    /// Whether the answer to an order of this keeper is outstanding.
    ordered: bool,
    /// When the last copy of its load order can arrive.
    order_ends: ClockInstant,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum KeeperPhase {
    /// Another host orders, or nobody.
    Absent,
    /// The lease is being written.
    Claiming,
    /// The fencing number is being raised, or the first listing is awaited.
    Settling,
    /// This host orders.
    Holding,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    lease: RunnerLease,
    removed: Option<ModelId>,
    /// When the answer was found to be lost.
    lost_at: Option<ClockInstant>,
}

/// The keeper of one runner on one host.
#[derive(Clone, Debug)]
pub struct RunnerKeeper {
    profile: RunnerProfile,
    host: HostId,
    incarnation: HostIncarnation,
    phase: KeeperPhase,
    view: LeaseView,
    fence: FenceNumber,
    raising: Option<FenceNumber>,
    removing: Option<ModelId>,
    unloading: Option<HeldItem>,
    writing: Option<PendingWrite>,
    ledger: MemoryLedger,
    items: BTreeMap<HeldItem, KeptItem>,
    changed_at: ClockInstant,
}

impl RunnerKeeper {
    /// Starts without the lease.
    pub fn new(profile: RunnerProfile, host: HostId, incarnation: HostIncarnation) -> Self {
        let ledger = MemoryLedger::new(profile.capacity);
        Self {
            profile,
            host,
            incarnation,
            phase: KeeperPhase::Absent,
            view: LeaseView::default(),
            fence: FenceNumber(0),
            raising: None,
            removing: None,
            unloading: None,
            writing: None,
            ledger,
            items: BTreeMap::new(),
            changed_at: ClockInstant(0),
        }
    }

    /// Tells whether this host orders.
    pub fn holds_lease(&self) -> bool {
        self.phase == KeeperPhase::Holding
    }

    /// Returns the last view of the table.
    pub fn view(&self) -> &LeaseView {
        &self.view
    }

    /// Returns the memory ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the state of an item, `None` if it is not on the runner.
    pub fn item_state(&self, item: &HeldItem) -> Option<ItemState> {
        self.items.get(item).map(|kept| kept.state)
    }

    /// Returns all items with their states.
    pub fn items(&self) -> impl Iterator<Item = (&HeldItem, ItemState)> {
        self.items.iter().map(|(item, kept)| (item, kept.state))
    }

    /// Takes in what the table held when it was asked at `asked_at` or later.
    pub fn on_view(
        &mut self,
        now: ClockInstant,
        asked_at: ClockInstant,
        view: LeaseView,
    ) -> Vec<KeeperAction> {
        if view.version < self.view.version {
            return Vec::new();
        }
        if let Some(pending) = &self.writing {
            let doubtful = pending.lost_at.is_some_and(|lost_at| asked_at >= lost_at);
            return if doubtful { self.resolve_write(now, view) } else { Vec::new() };
        }
        self.view = view;
        let generation = self.view.lease.as_ref().map_or(0, |lease| lease.generation);
        let overtaken = !self.profile.honours_fencing || generation > fence_generation(self.fence);
        if self.holds_lease() && !self.owns_row() && overtaken {
            self.step_down();
        }
        Vec::new()
    }

    /// Finds out from the table whether a write whose answer was lost took effect.
    fn resolve_write(&mut self, now: ClockInstant, view: LeaseView) -> Vec<KeeperAction> {
        let Some(pending) = &self.writing else { return Vec::new() };
        let written = view.lease.as_ref() == Some(&pending.lease);
        let result = match (written, view.version == self.view.version) {
            (true, false) => WriteResult::Committed(view.version),
            (_, true) => WriteResult::Unavailable,
            (false, false) => WriteResult::Conflict,
        };
        self.view = view;
        self.on_written(now, result)
    }

    /// Takes the lease if the holder's state allows it; called while this host is first in line.
    ///
    /// `table_up` is false when the table does not answer.
    pub fn claim(&mut self, evidence: HolderStatus, table_up: bool) -> Vec<KeeperAction> {
        let unrecorded = self.holds_lease() && self.raising.is_none() && !self.owns_row();
        if self.writing.is_some() || !(self.phase == KeeperPhase::Absent || unrecorded) {
            return Vec::new();
        }
        let free = match &self.view.lease {
            None => true,
            Some(lease) => {
                lease.released || evidence == HolderStatus::Dead || self.is_predecessor(lease)
            }
        };
        let silent = evidence == HolderStatus::Silent && self.profile.honours_fencing;
        let resumed = self.view.lease.as_ref().is_some_and(|lease| self.is_own(lease));
        match (table_up, free || silent || resumed) {
            (_, false) => Vec::new(),
            (true, true) => self.claim_row(),
            (false, true) if self.profile.honours_fencing && !unrecorded => self.claim_fence(),
            (false, true) => Vec::new(),
        }
    }

    /// Gives the lease back if no order is under way.
    pub fn release(&mut self) -> Vec<KeeperAction> {
        let settled = |kept: &KeptItem| matches!(kept.state, ItemState::Loaded);
        let idle = self.raising.is_none() && self.items.values().all(settled);
        let Some(lease) = self.view.lease.clone().filter(|lease| self.is_own(lease)) else {
            return Vec::new();
        };
        if !self.holds_lease() || self.writing.is_some() || !idle {
            return Vec::new();
        }
        let lease = RunnerLease { released: true, ..self.lease_row(lease.generation) };
        self.write(lease, None)
    }

    /// Takes in how the table took the last write.
    pub fn on_written(&mut self, now: ClockInstant, result: WriteResult) -> Vec<KeeperAction> {
        let Some(mut pending) = self.writing.take() else { return Vec::new() };
        if result == WriteResult::Lost {
            pending.lost_at = Some(now);
            self.writing = Some(pending);
            return vec![KeeperAction::ReadLease];
        }
        match result {
            WriteResult::Committed(version) => self.on_committed(now, pending, version),
            WriteResult::Conflict => {
                self.step_down();
                vec![KeeperAction::ReadLease]
            }
            WriteResult::Unavailable | WriteResult::Lost => self.on_write_failed(),
        }
    }

    fn on_committed(
        &mut self,
        now: ClockInstant,
        pending: PendingWrite,
        version: RowVersion,
    ) -> Vec<KeeperAction> {
        let released = pending.lease.released;
        self.view.version = version;
        self.view.lease = Some(pending.lease);
        if let Some(model) = &pending.removed {
            self.view.slots.remove(model);
        }
        if released {
            self.step_down();
            return Vec::new();
        }
        if self.phase == KeeperPhase::Claiming {
            return self.settle(now);
        }
        let generation = self.view.lease.as_ref().map_or(0, |lease| lease.generation);
        if self.profile.honours_fencing && generation > fence_generation(self.fence) {
            return self.raise(first_fence(generation));
        }
        self.order_intended(now)
    }

    fn on_write_failed(&mut self) -> Vec<KeeperAction> {
        self.drop_intended();
        if self.phase != KeeperPhase::Claiming {
            return Vec::new();
        }
        self.phase = KeeperPhase::Absent;
        if self.profile.honours_fencing { self.claim_fence() } else { Vec::new() }
    }

    /// Takes in the answer to a raised fencing number: the listing, or the number seen.
    pub fn on_fence(
        &mut self,
        now: ClockInstant,
        raised: Result<RunnerListing, FenceNumber>,
    ) -> Vec<KeeperAction> {
        let Some(fence) = self.raising.take() else { return Vec::new() };
        match raised {
            Ok(listing) => {
                self.fence = fence;
                self.changed_at = now;
                self.adopt(now, &listing, true);
                self.phase = KeeperPhase::Holding;
                match self.unloading.take() {
                    Some(item) => self.order_unload(now, &item),
                    None => self.finish_removal(),
                }
            }
            Err(current) => self.on_fence_refused(fence, current),
        }
    }

    /// Takes in that the runner did not answer when the number was raised.
    pub fn on_fence_unanswered(&mut self) -> Vec<KeeperAction> {
        // The number may have been raised; the next attempt needs a higher one.
        let Some(fence) = self.raising else { return Vec::new() };
        self.raise(fence.next())
    }

    fn on_fence_refused(&mut self, tried: FenceNumber, current: FenceNumber) -> Vec<KeeperAction> {
        let settling = self.phase == KeeperPhase::Settling;
        let same_generation = fence_generation(current) <= fence_generation(tried);
        if same_generation && (settling || current <= self.fence.max(tried)) {
            return self.raise(current.next());
        }
        self.step_down();
        vec![KeeperAction::ReadLease]
    }

    /// Takes in a listing that was asked for at `asked_at`.
    pub fn on_listed(
        &mut self,
        asked_at: ClockInstant,
        listing: &RunnerListing,
    ) -> Vec<KeeperAction> {
        let settling = self.phase == KeeperPhase::Settling;
        let usable = self.raising.is_none() && (self.holds_lease() || settling);
        if !usable {
            return Vec::new();
        }
        // What was asked before the last change may not show it.
        if asked_at < self.changed_at && !settling {
            return Vec::new();
        }
        if self.profile.honours_fencing && self.lost_items(listing) {
            // A copy of the load order may still arrive; a higher number shuts it out.
            return self.raise(self.fence.next());
        }
        if self.profile.honours_fencing && settling {
            return Vec::new();
        }
        self.adopt(asked_at, listing, false);
        self.phase = KeeperPhase::Holding;
        Vec::new()
    }

    /// Wakes an item that takes `memory`.
    pub fn wake(
        &mut self,
        now: ClockInstant,
        item: &HeldItem,
        memory: ByteSize,
    ) -> (WakeAnswer, Vec<KeeperAction>) {
        let answer = self.wake_answer(item, memory);
        if answer != WakeAnswer::Coming || self.items.contains_key(item) {
            return (answer, Vec::new());
        }
        self.ledger.force(item.clone(), memory);
        let order_ends = now + ORDER_LIFETIME;
        let kept = KeptItem { state: ItemState::Intended, ordered: true, order_ends };
        self.items.insert(item.clone(), kept);
        self.changed_at = now;
        let generation = self.view.lease.as_ref().map_or(0, |lease| lease.generation);
        let actions = if self.profile.honours_fencing {
            self.order_intended(now)
        } else {
            let lease = self.lease_row(generation);
            self.write(lease, None)
        };
        (answer, actions)
    }

    fn wake_answer(&self, item: &HeldItem, memory: ByteSize) -> WakeAnswer {
        if !self.holds_lease() {
            return WakeAnswer::NotKeeper;
        }
        if let Some(kept) = self.items.get(item) {
            return match kept.state {
                ItemState::Loaded => WakeAnswer::Serving,
                ItemState::Intended | ItemState::Loading => WakeAnswer::Coming,
                ItemState::Unloading | ItemState::Uncertain => WakeAnswer::Busy,
            };
        }
        let base = HeldItem::model(item.model.clone());
        if self.view.slots.get(&item.model) != Some(&SlotState::Decided) {
            return WakeAnswer::NoSlot;
        }
        if item.adapter.is_some() && self.item_state(&base) != Some(ItemState::Loaded) {
            return WakeAnswer::Busy;
        }
        if self.raising.is_some() || self.writing.is_some() || self.removing.is_some() {
            return WakeAnswer::Busy;
        }
        if memory > self.ledger.free() {
            return WakeAnswer::NoMemory(memory - self.ledger.free());
        }
        WakeAnswer::Coming
    }

    /// Orders an unload of a loaded item.
    pub fn unload(&mut self, now: ClockInstant, item: &HeldItem) -> Vec<KeeperAction> {
        let loaded = self.item_state(item) == Some(ItemState::Loaded);
        if !self.holds_lease() || self.raising.is_some() || !loaded {
            return Vec::new();
        }
        if self.profile.honours_fencing {
            // A late copy of the load order must not bring the item back.
            self.unloading = Some(item.clone());
            return self.raise(self.fence.next());
        }
        self.order_unload(now, item)
    }

    fn order_unload(&mut self, now: ClockInstant, item: &HeldItem) -> Vec<KeeperAction> {
        if self.item_state(item) != Some(ItemState::Loaded) {
            return Vec::new();
        }
        self.set_state(now, item, ItemState::Unloading);
        vec![KeeperAction::Unload { item: item.clone(), fence: self.fence }]
    }

    /// Takes in the answer to a load order.
    pub fn on_load(
        &mut self,
        now: ClockInstant,
        item: &HeldItem,
        result: OrderResult,
    ) -> Vec<KeeperAction> {
        if self.item_state(item) != Some(ItemState::Loading) {
            return Vec::new();
        }
        match result {
            OrderResult::Done => {
                self.set_state(now, item, ItemState::Loaded);
                Vec::new()
            }
            OrderResult::Stale(current) if current <= self.fence => self.order_again(now, item),
            OrderResult::Stale(_) => {
                self.step_down();
                vec![KeeperAction::ReadLease]
            }
            OrderResult::Refused | OrderResult::Unanswered => {
                self.set_state(now, item, ItemState::Uncertain);
                self.resolve()
            }
        }
    }

    /// Takes in the answer to an unload order.
    pub fn on_unload(
        &mut self,
        now: ClockInstant,
        item: &HeldItem,
        result: OrderResult,
    ) -> Vec<KeeperAction> {
        if self.item_state(item) != Some(ItemState::Unloading) {
            return Vec::new();
        }
        match result {
            OrderResult::Done => {
                self.forget_unloaded(now, item);
                Vec::new()
            }
            OrderResult::Stale(current) if current > self.fence => {
                self.step_down();
                vec![KeeperAction::ReadLease]
            }
            OrderResult::Stale(_) | OrderResult::Refused | OrderResult::Unanswered => {
                self.set_state(now, item, ItemState::Uncertain);
                self.resolve()
            }
        }
    }

    /// Does what is due: resolves doubts and removes retiring slots that hold nothing.
    pub fn on_tick(&mut self) -> Vec<KeeperAction> {
        if !self.holds_lease() || self.raising.is_some() || self.writing.is_some() {
            return Vec::new();
        }
        if self.items.values().any(|kept| kept.state == ItemState::Uncertain) {
            return self.resolve();
        }
        let retiring = self.view.slots.iter().find(|(model, state)| {
            **state == SlotState::Retiring && !self.items.keys().any(|item| item.model == **model)
        });
        match retiring.map(|(model, _)| model.clone()) {
            Some(model) => self.begin_removal(model),
            None => Vec::new(),
        }
    }

    /// Returns loaded models whose slot is retiring.
    pub fn retiring(&self) -> impl Iterator<Item = &HeldItem> {
        self.items
            .iter()
            .filter(|(item, kept)| {
                item.adapter.is_none()
                    && kept.state == ItemState::Loaded
                    && self.view.slots.get(&item.model) == Some(&SlotState::Retiring)
            })
            .map(|(item, _)| item)
    }

    fn begin_removal(&mut self, model: ModelId) -> Vec<KeeperAction> {
        let Some(lease) = self.view.lease.clone().filter(|lease| self.is_own(lease)) else {
            return Vec::new();
        };
        if !self.profile.honours_fencing {
            let row = self.lease_row(lease.generation + 1);
            return self.write(row, Some(model));
        }
        self.removing = Some(model);
        let generation = fence_generation(self.fence).max(lease.generation) + 1;
        self.raise(first_fence(generation))
    }

    fn finish_removal(&mut self) -> Vec<KeeperAction> {
        let Some(model) = self.removing.take() else { return Vec::new() };
        if self.items.keys().any(|item| item.model == model) {
            return Vec::new();
        }
        let row = self.lease_row(fence_generation(self.fence));
        self.write(row, Some(model))
    }

    fn claim_row(&mut self) -> Vec<KeeperAction> {
        let (generation, intents) = match &self.view.lease {
            None => (1, Vec::new()),
            Some(lease) => (lease.generation + 1, lease.intents.clone()),
        };
        if self.phase == KeeperPhase::Absent {
            self.phase = KeeperPhase::Claiming;
        }
        let lease = RunnerLease { intents, ..self.lease_row(generation) };
        self.write(lease, None)
    }

    fn claim_fence(&mut self) -> Vec<KeeperAction> {
        let Some(lease) = &self.view.lease else { return Vec::new() };
        let number = first_fence(lease.generation).max(self.fence).next();
        if fence_generation(number) != lease.generation {
            return Vec::new();
        }
        self.phase = KeeperPhase::Settling;
        self.raise(number)
    }

    fn settle(&mut self, now: ClockInstant) -> Vec<KeeperAction> {
        self.phase = KeeperPhase::Settling;
        self.forget_items();
        let Some(lease) = self.view.lease.clone() else { return Vec::new() };
        if self.profile.honours_fencing {
            return self.raise(first_fence(lease.generation).max(self.fence.next()));
        }
        for intent in lease.intents {
            let order_ends = now + ORDER_LIFETIME;
            self.ledger.force(intent.item.clone(), intent.memory);
            let kept = KeptItem { state: ItemState::Uncertain, ordered: false, order_ends };
            self.items.insert(intent.item, kept);
        }
        vec![KeeperAction::List]
    }

    /// Replaces what the keeper knows by what the runner lists.
    ///
    /// `shut_out` tells that no earlier order can arrive any more.
    fn adopt(&mut self, at: ClockInstant, listing: &RunnerListing, shut_out: bool) {
        let fencing = self.profile.honours_fencing;
        let states = listed_states(listing);
        let gone = |item: &HeldItem, kept: &KeptItem| {
            !states.contains_key(item) && (shut_out || (!fencing && at >= kept.order_ends))
        };
        let lost: Vec<HeldItem> = self
            .items
            .iter()
            .filter(|(item, kept)| gone(item, kept))
            .map(|(item, _)| item.clone())
            .collect();
        for item in lost {
            self.ledger.free_item(&item);
            self.items.remove(&item);
        }
        for (item, kept) in &mut self.items {
            let absent = !states.contains_key(item);
            if absent && !kept.ordered {
                kept.state = ItemState::Uncertain;
            }
        }
        self.ledger.note_listing(listing);
        for (item, state) in states {
            let order_ends = at + ORDER_LIFETIME;
            let fresh = KeptItem { state, ordered: false, order_ends };
            let kept = self.items.entry(item).or_insert(fresh);
            let progressed = kept.state == ItemState::Loading && state == ItemState::Loaded;
            if !kept.ordered || progressed {
                kept.state = state;
            }
        }
    }

    fn lost_items(&self, listing: &RunnerListing) -> bool {
        let states = listed_states(listing);
        let lost =
            |(item, kept): (&HeldItem, &KeptItem)| !kept.ordered && !states.contains_key(item);
        // A restarted runner may have forgotten the number.
        listing.fence < self.fence || self.items.iter().any(lost)
    }

    fn resolve(&mut self) -> Vec<KeeperAction> {
        if self.profile.honours_fencing {
            self.raise(self.fence.next())
        } else {
            vec![KeeperAction::List]
        }
    }

    fn raise(&mut self, number: FenceNumber) -> Vec<KeeperAction> {
        self.raising = Some(number);
        vec![KeeperAction::RaiseFence(number)]
    }

    fn write(&mut self, lease: RunnerLease, removed: Option<ModelId>) -> Vec<KeeperAction> {
        let expected = self.view.version;
        let pending =
            PendingWrite { lease: lease.clone(), removed: removed.clone(), lost_at: None };
        self.writing = Some(pending);
        vec![KeeperAction::WriteLease { expected, lease, removed }]
    }

    fn order_intended(&mut self, now: ClockInstant) -> Vec<KeeperAction> {
        let intended: Vec<HeldItem> = self.items_in(ItemState::Intended);
        intended.iter().flat_map(|item| self.order_again(now, item)).collect()
    }

    fn order_again(&mut self, now: ClockInstant, item: &HeldItem) -> Vec<KeeperAction> {
        self.set_state(now, item, ItemState::Loading);
        let (memory, fence) = (self.ledger.held(item), self.fence);
        vec![KeeperAction::Load { item: item.clone(), memory, fence }]
    }

    fn drop_intended(&mut self) {
        for item in self.items_in(ItemState::Intended) {
            self.items.remove(&item);
            self.ledger.free_item(&item);
        }
    }

    fn items_in(&self, state: ItemState) -> Vec<HeldItem> {
        let found = self.items.iter().filter(|(_, kept)| kept.state == state);
        found.map(|(item, _)| item.clone()).collect()
    }

    fn set_state(&mut self, now: ClockInstant, item: &HeldItem, state: ItemState) {
        self.changed_at = now;
        if let Some(kept) = self.items.get_mut(item) {
            kept.state = state;
            kept.ordered =
                matches!(state, ItemState::Intended | ItemState::Loading | ItemState::Unloading);
            if state == ItemState::Loading {
                kept.order_ends = now + ORDER_LIFETIME;
            }
        }
    }

    fn forget_unloaded(&mut self, now: ClockInstant, item: &HeldItem) {
        self.changed_at = now;
        let gone = |other: &HeldItem| {
            other.model == item.model && (item.adapter.is_none() || other == item)
        };
        let items: Vec<HeldItem> = self.items.keys().filter(|other| gone(other)).cloned().collect();
        for other in items {
            let late = self.items.get(&other).is_some_and(|kept| now < kept.order_ends);
            if late && !self.profile.honours_fencing {
                self.set_state(now, &other, ItemState::Uncertain);
                continue;
            }
            self.items.remove(&other);
            self.ledger.free_item(&other);
        }
    }

    fn step_down(&mut self) {
        self.phase = KeeperPhase::Absent;
        self.raising = None;
        self.removing = None;
        self.unloading = None;
        self.writing = None;
        self.forget_items();
    }

    fn forget_items(&mut self) {
        self.items.clear();
        self.ledger = MemoryLedger::new(self.profile.capacity);
    }

    fn lease_row(&self, generation: u64) -> RunnerLease {
        let intent =
            |item: &HeldItem| LoadIntent { item: item.clone(), memory: self.ledger.held(item) };
        let intents = match self.profile.honours_fencing {
            true => Vec::new(),
            false => self.items.keys().map(intent).collect(),
        };
        RunnerLease {
            keeper: self.host.clone(),
            incarnation: self.incarnation,
            generation,
            released: false,
            intents,
        }
    }

    fn owns_row(&self) -> bool {
        self.view.lease.as_ref().is_some_and(|lease| self.is_own(lease))
    }

    fn is_own(&self, lease: &RunnerLease) -> bool {
        lease.keeper == self.host && lease.incarnation == self.incarnation && !lease.released
    }

    fn is_predecessor(&self, lease: &RunnerLease) -> bool {
        lease.keeper == self.host && lease.incarnation < self.incarnation
    }
}

fn listed_states(listing: &RunnerListing) -> BTreeMap<HeldItem, ItemState> {
    let state = |state| match state {
        ReplicaState::Loading => ItemState::Loading,
        ReplicaState::Loaded => ItemState::Loaded,
        ReplicaState::Unloading => ItemState::Unloading,
    };
    let replicas = listing.replicas.iter().flat_map(|replica| {
        let adapters = replica.adapters.iter().map(move |held| {
            (HeldItem::adapter(replica.model.clone(), held.adapter.clone()), state(held.state))
        });
        std::iter::once((HeldItem::model(replica.model.clone()), state(replica.state)))
            .chain(adapters)
    });
    let states: BTreeMap<HeldItem, ItemState> = replicas.collect();
    debug_assert_eq!(states.len(), listed_items(listing).count());
    states
}
