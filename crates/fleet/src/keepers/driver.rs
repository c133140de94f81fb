//! Drives the keeper state machine of one runner: feeds it table reads, order results and requests
//! for loads, performs its actions, and reports the runner's replicas to the dispatchers.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_decisions::cold_start::{EvictionCandidate, LoadSpeeds, choose_evictions};
use dotterellane_decisions::keeper::{
    ItemState, KeeperAction, LeaseView, RunnerKeeper, WakeAnswer,
};
use dotterellane_decisions::leases::{HeldItem, HolderStatus, RunnerLease};
use dotterellane_decisions::placement::SlotState;
use dotterellane_platform::TableRow;
use dotterellane_protocol::PlacementMessage;
use dotterellane_protocol::placement::{CacheTier, ReplicaReport, ReplicaState, RunnerListing};
use dotterellane_units::{
    AdapterId, ByteSize, ClockInstant, ModelId, RowVersion, TeamId, UpstreamId,
};
use dotterellane_upstream::orders::{OrderError, RunnerOrders};
use spdlog::info;

use super::orders::{KeeperEvent, OrderTask, load_version, order_result};
use crate::placement::{RunnerSlots, RuntimeContext, RuntimeEvent, decode, lease_key, slots_key};

/// Time between two listings of what a runner holds.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two reports of a replica whose state does not change.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time between two requests to the load queue for the same load.
const LOAD_REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// Time without an answer of the load queue after which a load starts without its grant.
const LOAD_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a draining replica is unloaded if its dispatcher never reported its use.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the fencing number is raised while no listing of the runner has ended yet, so that
/// raises which are not answered do not follow each other at once.
const FENCE_PAUSE: Duration = Duration::from_millis(250);

/// A requested load that has not been completed.
pub(super) struct PendingWake {
    /// Team of the earliest request that waits for the load.
    pub(super) team: TeamId,
    pub(super) deadline: ClockInstant,
    /// When the load queue was first asked, last asked and last heard.
    pub(super) asked: Option<(ClockInstant, ClockInstant, ClockInstant)>,
    /// Whether the load queue has granted the load.
    pub(super) granted: bool,
}

/// Latest report of a dispatcher on how its replica is used.
pub(super) struct ModelUsage {
    /// Whether requests hold permits for the replica.
    pub(super) busy: bool,
    pub(super) last_used: ClockInstant,
    /// How long the replica stays loaded while idle.
    pub(super) hold: Duration,
    pub(super) heard_at: ClockInstant,
}

/// The keeper of one runner with its pending loads, drains and reports.
pub(super) struct KeeperDriver {
    pub(super) keeper: RunnerKeeper,
    orders: RunnerOrders,
    /// Where the runner caches the weights of each model.
    tiers: BTreeMap<ModelId, CacheTier>,
    /// Requests that run or wait on the runner.
    active_requests: u32,
    /// When the newest listing ended.
    listed_at: Option<ClockInstant>,
    /// When the listing in flight was started.
    listing_since: Option<ClockInstant>,
    /// Loads that dispatchers asked for.
    pub(super) wakes: BTreeMap<HeldItem, PendingWake>,
    /// Loads granted by the load queue and not reported as done yet.
    load_grants: Vec<HeldItem>,
    pub(super) usage: BTreeMap<ModelId, ModelUsage>,
    /// Items that dispatchers shall stop using, and since when, before they are unloaded.
    draining: BTreeMap<HeldItem, ClockInstant>,
    /// Newest report on each model, and when it was sent.
    reported: BTreeMap<ModelId, (ReplicaReport, ClockInstant)>,
    /// Whether the lease row must be read before the next periodic read.
    pub(super) needs_read: bool,
}

impl KeeperDriver {
    pub(super) fn new(keeper: RunnerKeeper, orders: RunnerOrders) -> Self {
        Self {
            keeper,
            orders,
            tiers: BTreeMap::new(),
            active_requests: 0,
            listed_at: None,
            listing_since: None,
            wakes: BTreeMap::new(),
            load_grants: Vec::new(),
            usage: BTreeMap::new(),
            draining: BTreeMap::new(),
            reported: BTreeMap::new(),
            needs_read: false,
        }
    }

    /// Advances listings, drains, loads and reports; gives the lease back if another host is the
    /// preferred keeper.
    pub(super) fn on_tick(&mut self, context: &RuntimeContext, runner: &UpstreamId) {
        let now = context.now();
        let due = self.listed_at.is_none_or(|at| now.since(at) >= LIST_PERIOD);
        let preferred = context.keeper_of(runner).as_ref() == Some(&context.host);
        if due && self.listing_since.is_none() && (self.keeper.holds_lease() || preferred) {
            self.perform(context, runner, vec![KeeperAction::List]);
        }
        let actions = self.keeper.on_tick();
        self.perform(context, runner, actions);
        self.start_drains(now);
        self.drain(context, runner);
        self.process_wakes(context, runner);
        self.report(context, runner);
        if self.keeper.holds_lease() && !preferred {
            let actions = self.keeper.release();
            self.perform(context, runner, actions);
        }
    }

    /// Handles the rows read at `asked_at` or later, and claims the lease if this host is the
    /// preferred keeper; `found` is `None` if the read failed.
    pub(super) fn on_rows(
        &mut self,
        context: &RuntimeContext,
        runner: &UpstreamId,
        asked_at: ClockInstant,
        found: Option<&BTreeMap<String, TableRow>>,
    ) {
        if let Some(found) = found {
            self.needs_read = false;
            let Some(view) = read_view(found, runner) else { return };
            let actions = self.keeper.on_view(context.now(), asked_at, view);
            self.perform(context, runner, actions);
        }
        if context.keeper_of(runner).as_ref() == Some(&context.host) {
            let holder = self.keeper.view().lease.as_ref();
            let Some(evidence) = holder_evidence(context, holder) else { return };
            let actions = self.keeper.claim(evidence, found.is_some());
            self.perform(context, runner, actions);
        }
    }

    /// Handles the result of an order or write.
    pub(super) fn on_event(
        &mut self,
        context: &RuntimeContext,
        runner: &UpstreamId,
        event: KeeperEvent,
    ) {
        let now = context.now();
        let held = self.keeper.holds_lease();
        let actions = match event {
            KeeperEvent::Written(result) => self.keeper.on_written(now, result),
            KeeperEvent::Fence(Ok(listing)) => {
                self.note_listing(&listing);
                self.keeper.on_fence(now, Ok(listing))
            }
            KeeperEvent::Fence(Err(OrderError::Stale { current, .. })) => {
                self.keeper.on_fence(now, Err(current))
            }
            KeeperEvent::Fence(Err(_)) => self.keeper.on_fence_unanswered(),
            KeeperEvent::Listed(asked_at, listing) => {
                self.listing_since = None;
                self.listed_at = Some(now);
                match listing {
                    Ok(listing) => {
                        self.note_listing(&listing);
                        self.keeper.on_listed(asked_at, &listing)
                    }
                    Err(_) => Vec::new(),
                }
            }
            KeeperEvent::Loaded(item, result) => {
                self.end_load_grant(context, runner, &item);
                self.keeper.on_load(now, &item, order_result(&result))
            }
            KeeperEvent::Unloaded(item, result) => {
                self.keeper.on_unload(now, &item, order_result(&result))
            }
        };
        self.perform(context, runner, actions);
        if held != self.keeper.holds_lease() {
            info!("keeper of {}: {}", runner, if held { "stepped down" } else { "holds" });
        }
        self.process_wakes(context, runner);
        self.report(context, runner);
    }

    /// Records the load and the cached weights that the runner lists.
    fn note_listing(&mut self, listing: &RunnerListing) {
        self.active_requests = listing.running + listing.queued;
        self.tiers =
            listing.cached.iter().map(|cached| (cached.model.clone(), cached.tier)).collect();
    }

    /// Adds a requested load; for an adapter, the load of its base model as well.
    pub(super) fn add_wake(&mut self, item: HeldItem, wake: PendingWake) {
        if item.adapter.is_some() {
            let base = HeldItem::model(item.model.clone());
            let base_wake = PendingWake { team: wake.team.clone(), ..wake };
            self.add_wake(base, base_wake);
            let team = wake.team;
            let wake = PendingWake { team, deadline: wake.deadline, asked: None, granted: false };
            self.insert_wake(item, wake);
            return;
        }
        self.insert_wake(item, wake);
    }

    fn insert_wake(&mut self, item: HeldItem, wake: PendingWake) {
        let deadline = wake.deadline;
        let kept = self.wakes.entry(item).or_insert(wake);
        kept.deadline = kept.deadline.max(deadline);
    }

    /// Moves every pending load one step on.
    pub(super) fn process_wakes(&mut self, context: &RuntimeContext, runner: &UpstreamId) {
        let items: Vec<HeldItem> = self.wakes.keys().cloned().collect();
        for item in items {
            self.process_wake(context, runner, &item);
        }
    }

    /// Makes room for a load, asks the load queue for it or starts it, whichever is next; drops it
    /// if it is done, too late or this host does not hold the lease.
    fn process_wake(&mut self, context: &RuntimeContext, runner: &UpstreamId, item: &HeldItem) {
        let now = context.now();
        let loaded = self.keeper.item_state(item) == Some(ItemState::Loaded);
        let late = self.wakes.get(item).is_none_or(|wake| wake.deadline <= now);
        if loaded || late || !self.keeper.holds_lease() {
            self.wakes.remove(item);
            return self.end_load_grant(context, runner, item);
        }
        let base = HeldItem::model(item.model.clone());
        let waits_for_base =
            item.adapter.is_some() && self.keeper.item_state(&base) != Some(ItemState::Loaded);
        let Some(memory) = needed_memory(context, item) else { return };
        if waits_for_base || self.keeper.item_state(item).is_some() {
            return;
        }
        let free = self.keeper.account().free();
        if memory > free {
            self.make_room(context, runner, memory - free);
            return;
        }
        if !self.may_load(context, runner, item) {
            return;
        }
        let (answer, actions) = self.keeper.wake(now, item, memory);
        self.perform(context, runner, actions);
        if answer == WakeAnswer::Coming {
            self.report(context, runner);
        }
    }

    /// Returns whether the load may start: it reads a cached copy, is granted, or the load queue
    /// does not answer. Otherwise asks the load queue, if that is due.
    fn may_load(&mut self, context: &RuntimeContext, runner: &UpstreamId, item: &HeldItem) -> bool {
        let now = context.now();
        let tier = self.tiers.get(&item.model).copied().unwrap_or_default();
        if item.adapter.is_none() && tier != CacheTier::Remote {
            return true;
        }
        let Some(wake) = self.wakes.get_mut(item) else { return false };
        if wake.granted {
            return true;
        }
        let (first, last, heard) = wake.asked.unwrap_or((now, now - LOAD_REQUEST_PERIOD, now));
        if now.since(heard.max(first)) >= LOAD_QUEUE_TIMEOUT {
            return true;
        }
        if now.since(last) >= LOAD_REQUEST_PERIOD {
            wake.asked = Some((first, now, heard));
            if let Some(host) = context.load_queue_host() {
                let message = PlacementMessage::LoadRequest {
                    runner: runner.clone(),
                    model: item.model.clone(),
                    adapter: item.adapter.clone(),
                    team: wake.team.clone(),
                    remaining: wake.deadline.since(now),
                    size: needed_memory(context, item).unwrap_or_default(),
                };
                context.send_placement(&host, message);
            }
        }
        false
    }

    /// Handles a grant of the load queue; one that is no longer needed is given back.
    pub(super) fn on_load_grant(
        &mut self,
        context: &RuntimeContext,
        runner: &UpstreamId,
        item: HeldItem,
    ) {
        if let Some(wake) = self.wakes.get_mut(&item) {
            wake.granted = true;
            if !self.load_grants.contains(&item) {
                self.load_grants.push(item);
            }
            return self.process_wakes(context, runner);
        }
        if !self.load_grants.contains(&item) {
            self.load_grants.push(item.clone());
        }
        if self.keeper.item_state(&item) != Some(ItemState::Loading) {
            self.end_load_grant(context, runner, &item);
        }
    }

    /// Tells the load queue that `item` needs no grant any more, if one was requested or granted.
    fn end_load_grant(&mut self, context: &RuntimeContext, runner: &UpstreamId, item: &HeldItem) {
        let asked = self.wakes.get(item).is_some_and(|wake| wake.asked.is_some());
        let granted = self.load_grants.contains(item);
        self.load_grants.retain(|grant| grant != item);
        if !(asked || granted) {
            return;
        }
        if let Some(host) = context.load_queue_host() {
            let HeldItem { model, adapter } = item.clone();
            let done = PlacementMessage::LoadDone { runner: runner.clone(), model, adapter };
            context.send_placement(&host, done);
        }
    }

    /// Starts to drain idle replicas until those and the unloads in progress will free `missing`.
    fn make_room(&mut self, context: &RuntimeContext, runner: &UpstreamId, missing: ByteSize) {
        let now = context.now();
        let leaving = |item: &HeldItem, state: ItemState| {
            self.draining.contains_key(item) || state == ItemState::Unloading
        };
        let expected: ByteSize = self
            .keeper
            .items()
            .filter(|(item, state)| leaving(item, *state))
            .map(|(item, _)| self.keeper.account().held(item))
            .sum();
        if expected >= missing {
            return;
        }
        let candidates: Vec<EvictionCandidate> = self
            .keeper
            .items()
            .filter_map(|(item, state)| self.eviction_candidate(now, item, state))
            .collect();
        for victim in choose_evictions(now, missing - expected, &candidates).unwrap_or_default() {
            self.draining.insert(victim, now);
        }
        self.report(context, runner);
    }

    /// Returns `item` as a candidate for eviction; `None` unless it is a loaded model that is
    /// neither in use, wanted nor draining.
    fn eviction_candidate(
        &self,
        now: ClockInstant,
        item: &HeldItem,
        state: ItemState,
    ) -> Option<EvictionCandidate> {
        let usage = self.usage.get(&item.model);
        let busy = usage.is_some_and(|usage| usage.busy);
        let wanted = self.wakes.keys().any(|wake| wake.model == item.model);
        let usable = state == ItemState::Loaded && item.adapter.is_none();
        if busy || wanted || !usable || self.draining.contains_key(item) {
            return None;
        }
        let adapters = self.keeper.items().filter(|(other, _)| other.model == item.model);
        let memory = adapters.map(|(other, _)| self.keeper.account().held(other)).sum();
        let tier = self.tiers.get(&item.model).copied().unwrap_or_default();
        Some(EvictionCandidate {
            item: item.clone(),
            memory,
            last_used: usage.map_or(ClockInstant(0), |usage| usage.last_used.min(now)),
            hold: usage.map_or(Duration::ZERO, |usage| usage.hold),
            load_time: LoadSpeeds::default().load_time(memory, tier),
        })
    }

    /// Starts to drain replicas that have been idle for their hold time or whose slot retires.
    fn start_drains(&mut self, now: ClockInstant) {
        let overdue = |item: &HeldItem| {
            let usage = self.usage.get(&item.model);
            usage.is_some_and(|usage| !usage.busy && now.since(usage.last_used) >= usage.hold)
        };
        let wanted = |item: &HeldItem| self.wakes.keys().any(|wake| wake.model == item.model);
        let loaded = self.keeper.items().filter(|(item, state)| {
            item.adapter.is_none() && *state == ItemState::Loaded && overdue(item) && !wanted(item)
        });
        let drained: Vec<HeldItem> =
            loaded.map(|(item, _)| item).chain(self.keeper.retiring()).cloned().collect();
        for item in drained {
            self.draining.entry(item).or_insert(now);
        }
    }

    /// Unloads draining replicas that their dispatcher has stopped using.
    pub(super) fn drain(&mut self, context: &RuntimeContext, runner: &UpstreamId) {
        let now = context.now();
        let draining: Vec<(HeldItem, ClockInstant)> =
            self.draining.iter().map(|(item, since)| (item.clone(), *since)).collect();
        for (item, since) in draining {
            if self.keeper.item_state(&item) != Some(ItemState::Loaded)
                || !self.keeper.holds_lease()
            {
                self.draining.remove(&item);
                continue;
            }
            let usage = self.usage.get(&item.model);
            let unused = usage.is_some_and(|usage| usage.heard_at > since && !usage.busy);
            if unused || (usage.is_none() && now.since(since) >= DRAIN_TIMEOUT) {
                let actions = self.keeper.unload(now, &item);
                self.perform(context, runner, actions);
            }
        }
    }

    /// Sends the dispatchers the state of their replicas, on each change and periodically.
    fn report(&mut self, context: &RuntimeContext, runner: &UpstreamId) {
        if !self.keeper.holds_lease() {
            self.reported.clear();
            return;
        }
        let now = context.now();
        let models: Vec<ModelId> = self.keeper.view().slots.keys().cloned().collect();
        for model in models {
            let report = self.replica_report(runner, &model);
            let last = self.reported.get(&model);
            let up_to_date =
                last.is_some_and(|(old, at)| *old == report && now.since(*at) < REPORT_PERIOD);
            if up_to_date {
                continue;
            }
            self.reported.insert(model.clone(), (report.clone(), now));
            if let Some(host) = context.dispatcher_of(&model) {
                context.send_placement(&host, PlacementMessage::Replica(report));
            }
        }
    }

    /// Returns the report on the slot of `model` on this runner.
    fn replica_report(&self, runner: &UpstreamId, model: &ModelId) -> ReplicaReport {
        let item = HeldItem::model(model.clone());
        let retiring = self.keeper.view().slots.get(model) == Some(&SlotState::Retiring);
        let state = match self.keeper.item_state(&item) {
            Some(ItemState::Loaded) if self.draining.contains_key(&item) || retiring => {
                Some(ReplicaState::Unloading)
            }
            Some(ItemState::Loaded) => Some(ReplicaState::Loaded),
            Some(ItemState::Intended | ItemState::Loading) => Some(ReplicaState::Loading),
            Some(ItemState::Unloading | ItemState::Uncertain) => Some(ReplicaState::Unloading),
            None => None,
        };
        let loaded = self
            .keeper
            .items()
            .filter(|(other, state)| other.model == *model && *state == ItemState::Loaded);
        let adapters: Vec<AdapterId> =
            loaded.filter_map(|(other, _)| other.adapter.clone()).collect();
        ReplicaReport {
            model: model.clone(),
            runner: runner.clone(),
            state,
            adapters,
            tier: self.tiers.get(model).copied().unwrap_or_default(),
            free: self.keeper.account().free(),
            busy: self.active_requests,
        }
    }

    /// Performs the actions of the keeper, each in a task that sends its result as an event.
    pub(super) fn perform(
        &mut self,
        context: &RuntimeContext,
        runner: &UpstreamId,
        actions: Vec<KeeperAction>,
    ) {
        for action in actions {
            let task = OrderTask {
                orders: self.orders.clone(),
                table: context.table.clone(),
                runner: runner.clone(),
            };
            let (runner, events) = (runner.clone(), context.events.clone());
            let pause = match (&action, self.listed_at) {
                (KeeperAction::RaiseFence(_), Some(_)) => Duration::ZERO,
                (KeeperAction::RaiseFence(_), None) => FENCE_PAUSE,
                _ => Duration::ZERO,
            };
            match action {
                KeeperAction::ReadLease => {
                    self.needs_read = true;
                    continue;
                }
                KeeperAction::List => self.listing_since = Some(context.now()),
                _ => (),
            }
            let (now, version) = (context.now(), load_version(context, &action));
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                let event = task.perform(action, now, version).await;
                let _ = events.send(RuntimeEvent::Keeper(runner, event));
            });
        }
    }
}

/// Decodes the lease and slots of `runner`; `None` if a row is malformed.
fn read_view(found: &BTreeMap<String, TableRow>, runner: &UpstreamId) -> Option<LeaseView> {
    let slots: RunnerSlots = decode(found, &slots_key(runner))?;
    let row = found.get(&lease_key(runner));
    let lease: Option<RunnerLease> = match row {
        Some(row) => Some(serde_json::from_slice(&row.value).ok()?),
        None => None,
    };
    let version = row.map_or(RowVersion::ABSENT, |row| row.version);
    Some(LeaseView { lease, version, slots: slots.slots })
}

/// Returns whether the holder of `lease` is alive according to the member view; `None` while this
/// host itself is not in that view.
fn holder_evidence(context: &RuntimeContext, lease: Option<&RunnerLease>) -> Option<HolderStatus> {
    let members = &context.members.members;
    if !members.iter().any(|member| member.host == context.host) {
        return None;
    }
    let Some(lease) = lease else { return Some(HolderStatus::Dead) };
    let holder = members.iter().find(|member| member.host == lease.keeper);
    Some(match holder {
        None => HolderStatus::Dead,
        Some(member) if member.incarnation > lease.incarnation => HolderStatus::Dead,
        Some(member) if member.alive => HolderStatus::Live,
        Some(_) => HolderStatus::Silent,
    })
}

/// Returns the memory that loading `item` takes; `None` if it is not configured.
fn needed_memory(context: &RuntimeContext, item: &HeldItem) -> Option<ByteSize> {
    match &item.adapter {
        None => {
            let model = context.document().models.get(&item.model)?;
            Some(model.memory + model.kv_reserve)
        }
        Some(adapter) => Some(context.document().adapters.get(adapter)?.memory),
    }
}
