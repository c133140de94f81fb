//! The keeper of one runner: the daemon that holds the runner's lease and sends it orders.
//!
//! This module decides who may send orders, which orders may be sent and what counts as loaded.
//!
//! If the runner honours fencing numbers, the number consists of a generation and an attempt. The
//! generation grows with every slot that is removed from the table, and it is raised at the runner
//! before the slot is removed; a keeper that missed the removal cannot raise the number and so
//! cannot load into the removed slot. Attempts let another keeper take over while the table is
//! down.
//!
//! If the runner ignores fencing numbers, the lease row alone decides who may send orders. An order
//! is written to that row before it is sent, and it counts until no copy of it can arrive any more.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_protocol::placement::{ReplicaState, RunnerListing};
use dotterellane_units::{
    ByteSize, ClockInstant, FenceNumber, HostId, HostIncarnation, ModelId, RowVersion, UpstreamId,
};

use crate::leases::{
    HeldItem, HolderStatus, LoadIntent, RunnerLease, fence_generation, first_fence,
};
use crate::memory_account::{MemoryAccount, listed_items};
use crate::placement::SlotState;

/// Greatest time after an order was sent at which a copy of it can still arrive at the runner.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(60);

/// Properties of a runner, from the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerProfile {
    /// Name of the runner.
    pub runner: UpstreamId,
    /// Accelerator memory of the runner.
    pub capacity: ByteSize,
    /// Whether the runner refuses orders with an outdated fencing number.
    pub honours_fencing: bool,
}

/// The lease row and the runner's slots, from one consistent read of the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseView {
    /// The lease; `None` if it was never taken.
    pub lease: Option<RunnerLease>,
    /// Version of the lease row.
    pub version: RowVersion,
    /// The runner's slots by model.
    pub slots: BTreeMap<ModelId, SlotState>,
}

/// Action that the keeper requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeeperAction {
    /// Read the lease row and the runner's slots in one consistent read.
    ReadLease,
    /// Write the lease row if its version is `expected`, and remove a slot in the same transaction.
    WriteLease {
        /// Version that the lease row must have.
        expected: RowVersion,
        /// Content of the lease row after the write.
        lease: RunnerLease,
        /// Model whose slot is removed; `None` if no slot is.
        removed: Option<ModelId>,
    },
    /// Raise the fencing number at the runner to this value.
    RaiseFence(FenceNumber),
    /// Request the listing of what the runner holds.
    List,
    /// Order the runner to load a model or an adapter.
    Load {
        /// Model or adapter to load.
        item: HeldItem,
        /// Memory that the item takes on the runner.
        memory: ByteSize,
        /// Fencing number of the order.
        fence: FenceNumber,
    },
    /// Order the runner to unload a model or an adapter.
    Unload {
        /// Model or adapter to unload.
        item: HeldItem,
        /// Fencing number of the order.
        fence: FenceNumber,
    },
}

/// Result of a write to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect and gave the row this version.
    Committed(RowVersion),
    /// The row had another version; nothing took effect.
    Conflict,
    /// The table did not take the write; nothing took effect.
    Unavailable,
    /// No response came; the write may have taken effect.
    Lost,
}

/// Result of an order to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The runner carried the order out.
    Done,
    /// The runner refused the order because it has seen this higher fencing number.
    Stale(FenceNumber),
    /// The runner refused the order, or the load failed.
    Refused,
    /// No response came; the order may still take effect.
    Unanswered,
}

/// Answer of a keeper to a wake: a request to load an item on its runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WakeAnswer {
    /// The item is loaded and serves requests.
    Serving,
    /// The item is being loaded.
    Coming,
    /// The model has no decided slot on the runner.
    NoSlot,
    /// The runner has too little free memory; this much is missing.
    NoMemory(ByteSize),
    /// This host does not hold the runner's lease.
    NotKeeper,
    /// Another operation must end first; the caller should ask again.
    Busy,
}

/// State of a model or adapter on the runner, as the keeper knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// The load order is being written to the lease row and not sent yet.
    Intended,
    /// The load order was sent.
    Loading,
    /// The item is loaded.
    Loaded,
    /// The unload order was sent.
    Unloading,
    /// The item may be on the runner, or an order in transit may still load it.
    Uncertain,
}

#[derive(Clone, Debug)]
struct KeptItem {
    state: ItemState,
    /// Whether the response to one of this keeper's orders is outstanding.
    ordered: bool,
    /// Latest time at which a copy of the load order can arrive.
    order_ends: ClockInstant,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum KeeperPhase {
    /// This host does not hold the lease.
    Absent,
    /// The lease row is being written.
    Claiming,
    /// The lease is taken; the fencing number is being raised, or the first listing is awaited.
    Settling,
    /// This host holds the lease and may send orders.
    Holding,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    lease: RunnerLease,
    removed: Option<ModelId>,
    /// When the write was found to be unanswered; `None` before that.
    lost_at: Option<ClockInstant>,
}

/// Keeper of one runner, as run on one host.
///
/// Every host runs one; the lease and the fencing number ensure that the runner takes orders from
/// one of them at a time.
#[derive(Clone, Debug)]
pub struct RunnerKeeper {
    profile: RunnerProfile,
    host: HostId,
    incarnation: HostIncarnation,
    phase: KeeperPhase,
    view: LeaseView,
    /// Fencing number that this keeper last raised at the runner.
    fence: FenceNumber,
    /// Fencing number that is being raised.
    raising: Option<FenceNumber>,
    /// Model whose slot is removed once the number is raised.
    removing: Option<ModelId>,
    /// Item that is unloaded once the number is raised.
    unloading: Option<HeldItem>,
    /// Write to the table whose result is outstanding.
    writing: Option<PendingWrite>,
    account: MemoryAccount,
    items: BTreeMap<HeldItem, KeptItem>,
    /// When an order last started or ended; a listing requested before may not show its effect.
    changed_at: ClockInstant,
}

impl RunnerKeeper {
    /// Returns a keeper that does not hold the lease.
    pub fn new(profile: RunnerProfile, host: HostId, incarnation: HostIncarnation) -> Self {
        let account = MemoryAccount::new(profile.capacity);
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
            account,
            items: BTreeMap::new(),
            changed_at: ClockInstant(0),
        }
    }

    /// Returns whether this host holds the lease and may send orders.
    pub fn holds_lease(&self) -> bool {
        self.phase == KeeperPhase::Holding
    }

    /// Returns the lease row and the slots as last read or written.
    pub fn view(&self) -> &LeaseView {
        &self.view
    }

    /// Returns the account of the runner's memory.
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Returns the state of an item; `None` if it is not on the runner.
    pub fn item_state(&self, item: &HeldItem) -> Option<ItemState> {
        self.items.get(item).map(|kept| kept.state)
    }

    /// Returns all known items on the runner with their states.
    pub fn items(&self) -> impl Iterator<Item = (&HeldItem, ItemState)> {
        self.items.iter().map(|(item, kept)| (item, kept.state))
    }

    /// Applies a read of the table that was sent at `asked_at`.
    ///
    /// A view that is older than the known one is ignored. While a write is unanswered, a later
    /// read shows whether it took effect.
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
            let read_later = pending.lost_at.is_some_and(|lost_at| asked_at >= lost_at);
            return if read_later { self.resolve_write(now, view) } else { Vec::new() };
        }
        self.view = view;
        let generation = self.view.lease.as_ref().map_or(0, |lease| lease.generation);
        let overtaken = !self.profile.honours_fencing || generation > fence_generation(self.fence);
        if self.holds_lease() && !self.owns_row() && overtaken {
            self.step_down();
        }
        Vec::new()
    }

    /// Determines from `view` whether the unanswered write took effect.
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

    /// Takes the lease if `holder`, the status of its last known holder, allows it; called while
    /// this host is the preferred keeper.
    ///
    /// `table_up` is `false` if the table does not respond; then the lease can only be taken by
    /// raising the fencing number at the runner.
    pub fn claim(&mut self, holder: HolderStatus, table_up: bool) -> Vec<KeeperAction> {
        // A lease that was taken by the fencing number alone is written to the row later.
        let unrecorded = self.holds_lease() && self.raising.is_none() && !self.owns_row();
        if self.writing.is_some() || !(self.phase == KeeperPhase::Absent || unrecorded) {
            return Vec::new();
        }
        let free = match &self.view.lease {
            None => true,
            Some(lease) => {
                lease.released || holder == HolderStatus::Dead || self.is_predecessor(lease)
            }
        };
        let silent = holder == HolderStatus::Silent && self.profile.honours_fencing;
        let resumed = self.view.lease.as_ref().is_some_and(|lease| self.is_own(lease));
        match (table_up, free || silent || resumed) {
            (_, false) => Vec::new(),
            (true, true) => self.claim_by_row(),
            (false, true) if self.profile.honours_fencing && !unrecorded => self.claim_by_fence(),
            (false, true) => Vec::new(),
        }
    }

    /// Releases the lease if no order is outstanding.
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
        self.write_lease(lease, None)
    }

    /// Applies the result of the last write to the table.
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
            return self.begin_settling(now);
        }
        let generation = self.view.lease.as_ref().map_or(0, |lease| lease.generation);
        if self.profile.honours_fencing && generation > fence_generation(self.fence) {
            return self.raise_fence(first_fence(generation));
        }
        self.order_intended_loads(now)
    }

    fn on_write_failed(&mut self) -> Vec<KeeperAction> {
        self.drop_intended_items();
        if self.phase != KeeperPhase::Claiming {
            return Vec::new();
        }
        self.phase = KeeperPhase::Absent;
        if self.profile.honours_fencing { self.claim_by_fence() } else { Vec::new() }
    }

    /// Applies the runner's response to a raise of the fencing number: its listing, or the higher
    /// number that it has seen.
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
                self.apply_listing(now, &listing, true);
                self.phase = KeeperPhase::Holding;
                match self.unloading.take() {
                    Some(item) => self.order_unload(now, &item),
                    None => self.finish_removal(),
                }
            }
            Err(current) => self.on_fence_refused(fence, current),
        }
    }

    /// Retries a raise of the fencing number to which the runner did not respond.
    pub fn on_fence_unanswered(&mut self) -> Vec<KeeperAction> {
        // The raise may have taken effect, so the next attempt needs a higher number.
        let Some(fence) = self.raising else { return Vec::new() };
        self.raise_fence(fence.next())
    }

    fn on_fence_refused(&mut self, tried: FenceNumber, current: FenceNumber) -> Vec<KeeperAction> {
        let settling = self.phase == KeeperPhase::Settling;
        let same_generation = fence_generation(current) <= fence_generation(tried);
        if same_generation && (settling || current <= self.fence.max(tried)) {
            return self.raise_fence(current.next());
        }
        self.step_down();
        vec![KeeperAction::ReadLease]
    }

    /// Applies a listing that was requested at `asked_at`.
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
        // A listing requested before the last change may not show it.
        if asked_at < self.changed_at && !settling {
            return Vec::new();
        }
        if self.profile.honours_fencing && self.has_lost_items(listing) {
            // A copy of the load order may still arrive; the runner refuses it after a higher
            // number.
            return self.raise_fence(self.fence.next());
        }
        if self.profile.honours_fencing && settling {
            return Vec::new();
        }
        self.apply_listing(asked_at, listing, false);
        self.phase = KeeperPhase::Holding;
        Vec::new()
    }

    /// Loads an item that takes `memory`, if its slot, the free memory and running operations allow
    /// it.
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
        self.account.reserve_unchecked(item.clone(), memory);
        let order_ends = now + ORDER_LIFETIME;
        let kept = KeptItem { state: ItemState::Intended, ordered: true, order_ends };
        self.items.insert(item.clone(), kept);
        self.changed_at = now;
        let generation = self.view.lease.as_ref().map_or(0, |lease| lease.generation);
        let actions = if self.profile.honours_fencing {
            self.order_intended_loads(now)
        } else {
            let lease = self.lease_row(generation);
            self.write_lease(lease, None)
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
        if memory > self.account.free() {
            return WakeAnswer::NoMemory(memory - self.account.free());
        }
        WakeAnswer::Coming
    }

    /// Unloads an item; does nothing unless the item is loaded.
    pub fn unload(&mut self, now: ClockInstant, item: &HeldItem) -> Vec<KeeperAction> {
        let loaded = self.item_state(item) == Some(ItemState::Loaded);
        if !self.holds_lease() || self.raising.is_some() || !loaded {
            return Vec::new();
        }
        if self.profile.honours_fencing {
            // Raises the number first, so that a late copy of the load order cannot load it again.
            self.unloading = Some(item.clone());
            return self.raise_fence(self.fence.next());
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

    /// Applies the result of a load order.
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
            OrderResult::Stale(current) if current <= self.fence => self.order_load(now, item),
            OrderResult::Stale(_) => {
                self.step_down();
                vec![KeeperAction::ReadLease]
            }
            OrderResult::Refused | OrderResult::Unanswered => {
                self.set_state(now, item, ItemState::Uncertain);
                self.resolve_uncertain()
            }
        }
    }

    /// Applies the result of an unload order.
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
                self.resolve_uncertain()
            }
        }
    }

    /// Resolves uncertain items and removes retiring slots that hold nothing; called periodically.
    pub fn on_tick(&mut self) -> Vec<KeeperAction> {
        if !self.holds_lease() || self.raising.is_some() || self.writing.is_some() {
            return Vec::new();
        }
        if self.items.values().any(|kept| kept.state == ItemState::Uncertain) {
            return self.resolve_uncertain();
        }
        let retiring = self.view.slots.iter().find(|(model, state)| {
            **state == SlotState::Retiring && !self.items.keys().any(|item| item.model == **model)
        });
        match retiring.map(|(model, _)| model.clone()) {
            Some(model) => self.begin_removal(model),
            None => Vec::new(),
        }
    }

    /// Returns the loaded models whose slot is retiring.
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
            return self.write_lease(row, Some(model));
        }
        self.removing = Some(model);
        let generation = fence_generation(self.fence).max(lease.generation) + 1;
        self.raise_fence(first_fence(generation))
    }

    fn finish_removal(&mut self) -> Vec<KeeperAction> {
        let Some(model) = self.removing.take() else { return Vec::new() };
        if self.items.keys().any(|item| item.model == model) {
            return Vec::new();
        }
        let row = self.lease_row(fence_generation(self.fence));
        self.write_lease(row, Some(model))
    }

    fn claim_by_row(&mut self) -> Vec<KeeperAction> {
        let (generation, intents) = match &self.view.lease {
            None => (1, Vec::new()),
            Some(lease) => (lease.generation + 1, lease.intents.clone()),
        };
        if self.phase == KeeperPhase::Absent {
            self.phase = KeeperPhase::Claiming;
        }
        let lease = RunnerLease { intents, ..self.lease_row(generation) };
        self.write_lease(lease, None)
    }

    fn claim_by_fence(&mut self) -> Vec<KeeperAction> {
        let Some(lease) = &self.view.lease else { return Vec::new() };
        let number = first_fence(lease.generation).max(self.fence).next();
        if fence_generation(number) != lease.generation {
            return Vec::new();
        }
        self.phase = KeeperPhase::Settling;
        self.raise_fence(number)
    }

    fn begin_settling(&mut self, now: ClockInstant) -> Vec<KeeperAction> {
        self.phase = KeeperPhase::Settling;
        self.forget_items();
        let Some(lease) = self.view.lease.clone() else { return Vec::new() };
        if self.profile.honours_fencing {
            return self.raise_fence(first_fence(lease.generation).max(self.fence.next()));
        }
        for intent in lease.intents {
            let order_ends = now + ORDER_LIFETIME;
            self.account.reserve_unchecked(intent.item.clone(), intent.memory);
            let kept = KeptItem { state: ItemState::Uncertain, ordered: false, order_ends };
            self.items.insert(intent.item, kept);
        }
        vec![KeeperAction::List]
    }

    /// Replaces the known items by those that the runner lists.
    ///
    /// `fenced_off` tells that the runner refuses all earlier orders.
    fn apply_listing(&mut self, at: ClockInstant, listing: &RunnerListing, fenced_off: bool) {
        let fencing = self.profile.honours_fencing;
        let states = listed_states(listing);
        let gone = |item: &HeldItem, kept: &KeptItem| {
            !states.contains_key(item) && (fenced_off || (!fencing && at >= kept.order_ends))
        };
        let lost: Vec<HeldItem> = self
            .items
            .iter()
            .filter(|(item, kept)| gone(item, kept))
            .map(|(item, _)| item.clone())
            .collect();
        for item in lost {
            self.account.free_item(&item);
            self.items.remove(&item);
        }
        for (item, kept) in &mut self.items {
            let absent = !states.contains_key(item);
            if absent && !kept.ordered {
                kept.state = ItemState::Uncertain;
            }
        }
        self.account.note_listing(listing);
        for (item, state) in states {
            let order_ends = at + ORDER_LIFETIME;
            let listed = KeptItem { state, ordered: false, order_ends };
            let kept = self.items.entry(item).or_insert(listed);
            let progressed = kept.state == ItemState::Loading && state == ItemState::Loaded;
            if !kept.ordered || progressed {
                kept.state = state;
            }
        }
    }

    /// Returns whether the runner lost an item, or its fencing number in a restart.
    fn has_lost_items(&self, listing: &RunnerListing) -> bool {
        let states = listed_states(listing);
        let lost =
            |(item, kept): (&HeldItem, &KeptItem)| !kept.ordered && !states.contains_key(item);
        // A restarted runner may have lost the fencing number.
        listing.fence < self.fence || self.items.iter().any(lost)
    }

    /// Finds out the state of uncertain items: by a raised number, after which no earlier order can
    /// take effect, or else by a listing.
    fn resolve_uncertain(&mut self) -> Vec<KeeperAction> {
        if self.profile.honours_fencing {
            self.raise_fence(self.fence.next())
        } else {
            vec![KeeperAction::List]
        }
    }

    fn raise_fence(&mut self, number: FenceNumber) -> Vec<KeeperAction> {
        self.raising = Some(number);
        vec![KeeperAction::RaiseFence(number)]
    }

    fn write_lease(&mut self, lease: RunnerLease, removed: Option<ModelId>) -> Vec<KeeperAction> {
        let expected = self.view.version;
        let pending =
            PendingWrite { lease: lease.clone(), removed: removed.clone(), lost_at: None };
        self.writing = Some(pending);
        vec![KeeperAction::WriteLease { expected, lease, removed }]
    }

    fn order_intended_loads(&mut self, now: ClockInstant) -> Vec<KeeperAction> {
        let intended: Vec<HeldItem> = self.items_in(ItemState::Intended);
        intended.iter().flat_map(|item| self.order_load(now, item)).collect()
    }

    fn order_load(&mut self, now: ClockInstant, item: &HeldItem) -> Vec<KeeperAction> {
        self.set_state(now, item, ItemState::Loading);
        let (memory, fence) = (self.account.held(item), self.fence);
        vec![KeeperAction::Load { item: item.clone(), memory, fence }]
    }

    fn drop_intended_items(&mut self) {
        for item in self.items_in(ItemState::Intended) {
            self.items.remove(&item);
            self.account.free_item(&item);
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
            self.account.free_item(&other);
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
        self.account = MemoryAccount::new(self.profile.capacity);
    }

    fn lease_row(&self, generation: u64) -> RunnerLease {
        let intent =
            |item: &HeldItem| LoadIntent { item: item.clone(), memory: self.account.held(item) };
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
