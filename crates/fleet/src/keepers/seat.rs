//! The keeper of one runner, with what it waits for.

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

use super::orders::{KeeperNews, OrderTask, load_version, order_result};
use crate::placement::{DeskContext, RunnerSlots, RuntimeEvent, decode, lease_key, slots_key};

/// How often a runner is asked what it holds.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// How often a replica is reported without a change.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// How often a turn at the weight store is asked for again.
const TURN_ASK_PERIOD: Duration = Duration::from_millis(500);
/// Time after which a load goes ahead if the load queue is not heard.
const TURN_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time after which an unload goes ahead if the dispatcher is not heard.
const DRAIN_PATIENCE: Duration = Duration::from_secs(2);
/// Pause before a fencing number is raised again after no answer.
const FENCE_PAUSE: Duration = Duration::from_millis(250);

/// A wake that was asked for and is not done.
pub(super) struct PendingWake {
    pub(super) team: TeamId,
    pub(super) deadline: ClockInstant,
    /// When the load queue was first asked, last asked and last heard.
    pub(super) asked: Option<(ClockInstant, ClockInstant, ClockInstant)>,
    pub(super) turn: bool,
}

/// What a dispatcher told last of a replica's use.
pub(super) struct ModelUsage {
    pub(super) busy: bool,
    pub(super) last_used: ClockInstant,
    pub(super) hold: Duration,
    pub(super) heard_at: ClockInstant,
}

/// The keeper of one runner, with what it waits for.
pub(super) struct KeeperSeat {
    pub(super) keeper: RunnerKeeper,
    orders: RunnerOrders,
    tiers: BTreeMap<ModelId, CacheTier>,
    busy: u32,
    listed_at: Option<ClockInstant>,
    listing_since: Option<ClockInstant>,
    pub(super) wakes: BTreeMap<HeldItem, PendingWake>,
    turns: Vec<HeldItem>,
    pub(super) usage: BTreeMap<ModelId, ModelUsage>,
    draining: BTreeMap<HeldItem, ClockInstant>,
    reported: BTreeMap<ModelId, (ReplicaReport, ClockInstant)>,
    pub(super) wants_read: bool,
}

impl KeeperSeat {
    pub(super) fn new(keeper: RunnerKeeper, orders: RunnerOrders) -> Self {
        Self {
            keeper,
            orders,
            tiers: BTreeMap::new(),
            busy: 0,
            listed_at: None,
            listing_since: None,
            wakes: BTreeMap::new(),
            turns: Vec::new(),
            usage: BTreeMap::new(),
            draining: BTreeMap::new(),
            reported: BTreeMap::new(),
            wants_read: false,
        }
    }

    pub(super) fn on_tick(&mut self, context: &DeskContext, runner: &UpstreamId) {
        let now = context.now();
        let due = self.listed_at.is_none_or(|at| now.since(at) >= LIST_PERIOD);
        let first = context.keeper_of(runner).as_ref() == Some(&context.host);
        if due && self.listing_since.is_none() && (self.keeper.holds_lease() || first) {
            self.act(context, runner, vec![KeeperAction::List]);
        }
        let actions = self.keeper.on_tick();
        self.act(context, runner, actions);
        self.start_drains(now);
        self.drain(context, runner);
        self.process_wakes(context, runner);
        self.report(context, runner);
        if self.keeper.holds_lease() && !first {
            let actions = self.keeper.release();
            self.act(context, runner, actions);
        }
    }

    pub(super) fn on_rows(
        &mut self,
        context: &DeskContext,
        runner: &UpstreamId,
        asked_at: ClockInstant,
        found: Option<&BTreeMap<String, TableRow>>,
    ) {
        if let Some(found) = found {
            self.wants_read = false;
            let Some(view) = read_view(found, runner) else { return };
            let actions = self.keeper.on_view(context.now(), asked_at, view);
            self.act(context, runner, actions);
        }
        if context.keeper_of(runner).as_ref() == Some(&context.host) {
            let holder = self.keeper.view().lease.as_ref();
            let Some(evidence) = holder_evidence(context, holder) else { return };
            let actions = self.keeper.claim(evidence, found.is_some());
            self.act(context, runner, actions);
        }
    }

    pub(super) fn on_news(&mut self, context: &DeskContext, runner: &UpstreamId, news: KeeperNews) {
        let now = context.now();
        let held = self.keeper.holds_lease();
        let actions = match news {
            KeeperNews::Written(result) => self.keeper.on_written(now, result),
            KeeperNews::Fence(Ok(listing)) => {
                self.note_listing(&listing);
                self.keeper.on_fence(now, Ok(listing))
            }
            KeeperNews::Fence(Err(OrderError::Stale { current, .. })) => {
                self.keeper.on_fence(now, Err(current))
            }
            KeeperNews::Fence(Err(_)) => self.keeper.on_fence_unanswered(),
            KeeperNews::Listed(asked_at, listing) => {
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
            KeeperNews::Loaded(item, result) => {
                self.end_turn(context, runner, &item);
                self.keeper.on_load(now, &item, order_result(&result))
            }
            KeeperNews::Unloaded(item, result) => {
                self.keeper.on_unload(now, &item, order_result(&result))
            }
        };
        self.act(context, runner, actions);
        if held != self.keeper.holds_lease() {
            info!("keeper of {}: {}", runner, if held { "stepped down" } else { "holds" });
        }
        self.process_wakes(context, runner);
        self.report(context, runner);
    }

    fn note_listing(&mut self, listing: &RunnerListing) {
        self.busy = listing.running + listing.queued;
        self.tiers =
            listing.cached.iter().map(|cached| (cached.model.clone(), cached.tier)).collect();
    }

    pub(super) fn add_wake(&mut self, item: HeldItem, wake: PendingWake) {
        if item.adapter.is_some() {
            let base = HeldItem::model(item.model.clone());
            let same = PendingWake { team: wake.team.clone(), ..wake };
            self.add_wake(base, same);
            let team = wake.team;
            let wake = PendingWake { team, deadline: wake.deadline, asked: None, turn: false };
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

    pub(super) fn process_wakes(&mut self, context: &DeskContext, runner: &UpstreamId) {
        let items: Vec<HeldItem> = self.wakes.keys().cloned().collect();
        for item in items {
            self.process_wake(context, runner, &item);
        }
    }

    fn process_wake(&mut self, context: &DeskContext, runner: &UpstreamId, item: &HeldItem) {
        let now = context.now();
        let loaded = self.keeper.item_state(item) == Some(ItemState::Loaded);
        let late = self.wakes.get(item).is_none_or(|wake| wake.deadline <= now);
        if loaded || late || !self.keeper.holds_lease() {
            self.wakes.remove(item);
            return self.end_turn(context, runner, item);
        }
        let base = HeldItem::model(item.model.clone());
        let waits_for_base =
            item.adapter.is_some() && self.keeper.item_state(&base) != Some(ItemState::Loaded);
        let Some(memory) = needed_memory(context, item) else { return };
        if waits_for_base || self.keeper.item_state(item).is_some() {
            return;
        }
        let free = self.keeper.ledger().free();
        if memory > free {
            self.make_room(context, runner, memory - free);
            return;
        }
        if !self.has_turn(context, runner, item) {
            return;
        }
        let (answer, actions) = self.keeper.wake(now, item, memory);
        self.act(context, runner, actions);
        if answer == WakeAnswer::Coming {
            self.report(context, runner);
        }
    }

    /// Tells whether the load may go ahead; asks the load queue as needed.
    fn has_turn(&mut self, context: &DeskContext, runner: &UpstreamId, item: &HeldItem) -> bool {
        let now = context.now();
        let tier = self.tiers.get(&item.model).copied().unwrap_or_default();
        if item.adapter.is_none() && tier != CacheTier::Remote {
            return true;
        }
        let Some(wake) = self.wakes.get_mut(item) else { return false };
        if wake.turn {
            return true;
        }
        let (first, last, heard) = wake.asked.unwrap_or((now, now - TURN_ASK_PERIOD, now));
        if now.since(heard.max(first)) >= TURN_PATIENCE {
            return true;
        }
        if now.since(last) >= TURN_ASK_PERIOD {
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

    pub(super) fn take_turn(&mut self, context: &DeskContext, runner: &UpstreamId, item: HeldItem) {
        if let Some(wake) = self.wakes.get_mut(&item) {
            wake.turn = true;
            if !self.turns.contains(&item) {
                self.turns.push(item);
            }
            return self.process_wakes(context, runner);
        }
        if !self.turns.contains(&item) {
            self.turns.push(item.clone());
        }
        if self.keeper.item_state(&item) != Some(ItemState::Loading) {
            self.end_turn(context, runner, &item);
        }
    }

    fn end_turn(&mut self, context: &DeskContext, runner: &UpstreamId, item: &HeldItem) {
        let asked = self.wakes.get(item).is_some_and(|wake| wake.asked.is_some());
        let given = self.turns.contains(item);
        self.turns.retain(|turn| turn != item);
        if !(asked || given) {
            return;
        }
        if let Some(host) = context.load_queue_host() {
            let HeldItem { model, adapter } = item.clone();
            let done = PlacementMessage::LoadDone { runner: runner.clone(), model, adapter };
            context.send_placement(&host, done);
        }
    }

    /// Starts to drain idle replicas until enough memory is on its way.
    fn make_room(&mut self, context: &DeskContext, runner: &UpstreamId, missing: ByteSize) {
        let now = context.now();
        let leaving = |item: &HeldItem, state: ItemState| {
            self.draining.contains_key(item) || state == ItemState::Unloading
        };
        let coming: ByteSize = self
            .keeper
            .items()
            .filter(|(item, state)| leaving(item, *state))
            .map(|(item, _)| self.keeper.ledger().held(item))
            .sum();
        if coming >= missing {
            return;
        }
        let candidates: Vec<EvictionCandidate> = self
            .keeper
            .items()
            .filter_map(|(item, state)| self.candidate(now, item, state))
            .collect();
        for victim in choose_evictions(now, missing - coming, &candidates).unwrap_or_default() {
            self.draining.insert(victim, now);
        }
        self.report(context, runner);
    }

    fn candidate(
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
        let memory = adapters.map(|(other, _)| self.keeper.ledger().held(other)).sum();
        let tier = self.tiers.get(&item.model).copied().unwrap_or_default();
        Some(EvictionCandidate {
            item: item.clone(),
            memory,
            last_used: usage.map_or(ClockInstant(0), |usage| usage.last_used.min(now)),
            hold: usage.map_or(Duration::ZERO, |usage| usage.hold),
            load_time: LoadSpeeds::default().load_time(memory, tier),
        })
    }

    /// Starts to drain what has been idle for long enough, or whose slot retires.
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

    /// Unloads what its dispatcher has stopped using.
    pub(super) fn drain(&mut self, context: &DeskContext, runner: &UpstreamId) {
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
            let answered = usage.is_some_and(|usage| usage.heard_at > since && !usage.busy);
            if answered || (usage.is_none() && now.since(since) >= DRAIN_PATIENCE) {
                let actions = self.keeper.unload(now, &item);
                self.act(context, runner, actions);
            }
        }
    }

    /// Tells dispatchers how their replicas fare.
    fn report(&mut self, context: &DeskContext, runner: &UpstreamId) {
        if !self.keeper.holds_lease() {
            self.reported.clear();
            return;
        }
        let now = context.now();
        let models: Vec<ModelId> = self.keeper.view().slots.keys().cloned().collect();
        for model in models {
            let report = self.replica_report(runner, &model);
            let known = self.reported.get(&model);
            let fresh =
                known.is_some_and(|(old, at)| *old == report && now.since(*at) < REPORT_PERIOD);
            if fresh {
                continue;
            }
            self.reported.insert(model.clone(), (report.clone(), now));
            if let Some(host) = context.dispatcher_of(&model) {
                context.send_placement(&host, PlacementMessage::Replica(report));
            }
        }
    }

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
            free: self.keeper.ledger().free(),
            busy: self.busy,
        }
    }

    pub(super) fn act(
        &mut self,
        context: &DeskContext,
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
                    self.wants_read = true;
                    continue;
                }
                KeeperAction::List => self.listing_since = Some(context.now()),
                _ => (),
            }
            let (now, versions) = (context.now(), load_version(context, &action));
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                let news = task.carry_out(action, now, versions).await;
                let _ = events.send(RuntimeEvent::Keeper(runner, news));
            });
        }
    }
}

fn read_view(found: &BTreeMap<String, TableRow>, runner: &UpstreamId) -> Option<LeaseView> {
    let slots: RunnerSlots = decode(found, &slots_key(runner))?;
    let row = found.get(&lease_key(runner));
    let lease: Option<RunnerLease> = match row {
        Some(row) => Some(serde_json::from_slice(&row.value).ok()?),
        None => None,
    };
    let version = row.map_or(RowVersion(0), |row| row.version);
    Some(LeaseView { lease, version, slots: slots.slots })
}

/// Returns what the members tell of a lease's holder, `None` while they are not known.
fn holder_evidence(context: &DeskContext, lease: Option<&RunnerLease>) -> Option<HolderStatus> {
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

fn needed_memory(context: &DeskContext, item: &HeldItem) -> Option<ByteSize> {
    match &item.adapter {
        None => {
            let model = context.document().models.get(&item.model)?;
            Some(model.memory + model.kv_reserve)
        }
        Some(adapter) => Some(context.document().adapters.get(adapter)?.memory),
    }
}
