//! Dispatcher of one model: a bounded queue of requests, and permits to send them to runners.
//!
//! A request is sent to a runner only with a permit, and each replica has a limited number of
//! permits. The runners are those with a slot of the model; a replica is loaded there on demand.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_protocol::dispatch::{AcquireRequest, PermitDenial, PermitOutcome};
use dotterellane_units::{AdapterId, ClockInstant, HostId, RequestId, TeamId, UpstreamId};

use crate::ejection::EjectionState;
use crate::fairness::DeficitQueue;
use crate::prefix::PrefixView;

/// Tokens that a team is served in one turn of the deficit round robin.
const TOKENS_PER_TURN: u64 = 4_096;
/// Estimated duration of a call before the first has ended.
const INITIAL_CALL_TIME: Duration = Duration::from_millis(500);
/// Divisor of the step by which the estimated duration of a call moves towards that of each ended
/// call.
const CALL_TIME_DIVISOR: u32 = 8;
/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Decrease of a runner's score for each request on it; each cached block of the prompt adds 1.
const LOAD_PENALTY: f64 = 0.5;
/// Time after which a wake is repeated if the replica is not ready.
const WAKE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which another slot is woken if the replica is not ready.
const WAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of one model's dispatcher, from the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchLimits {
    /// Concurrent requests per replica.
    pub concurrency: u32,
    /// Most requests in the queue.
    pub queue: usize,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Request for a permit, as received.
    pub ask: AcquireRequest,
    /// Host that received the caller's request and asked for the permit.
    pub entry: HostId,
    /// Deadline of the caller's request.
    pub deadline: ClockInstant,
}

/// Readiness of a model's slot on a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotReadiness {
    /// The replica is loaded and serves requests.
    Ready,
    /// The replica is being loaded and expected to be ready at this time.
    Loading(ClockInstant),
    /// No replica is loaded; a load is expected to take this long.
    Unloaded(Duration),
    /// The runner is leaving: issued permits stay valid there, new ones are issued for other
    /// runners.
    Leaving,
}

/// Action that a dispatcher requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Issue a permit.
    Grant {
        /// Host that asked.
        entry: HostId,
        /// Request that the permit is for.
        request: RequestId,
        /// Number of the permit.
        number: u64,
        /// Runner that the request is sent to.
        runner: UpstreamId,
        /// Priority on the runner; smaller values run first.
        priority: u32,
    },
    /// Refuse a permit.
    Refuse {
        /// Host that asked.
        entry: HostId,
        /// Request that the permit was asked for.
        request: RequestId,
        /// Reason of the refusal.
        denial: PermitDenial,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Ask the runner's keeper to load the replica or an adapter.
    Wake {
        /// Runner with a decided slot.
        runner: UpstreamId,
        /// Adapter to load; `None` for the model alone.
        adapter: Option<AdapterId>,
        /// Team of the waiting request.
        team: TeamId,
        /// Earliest deadline of the waiting requests.
        deadline: ClockInstant,
    },
}

#[derive(Clone, Debug)]
struct RunnerSlot {
    state: SlotReadiness,
    adapters: Vec<AdapterId>,
    /// Requests on the runner without a permit of this dispatcher, from the runner's last report.
    other_requests: u32,
    /// Permits of this dispatcher for the runner that are not yet released.
    permits: u32,
    ejection: EjectionState,
    prefixes: PrefixView,
    /// When the keeper was last asked to load something on the runner.
    woken_at: Option<ClockInstant>,
}

#[derive(Clone, Debug)]
struct IssuedPermit {
    request: RequestId,
    runner: UpstreamId,
    entry: HostId,
    granted_at: ClockInstant,
    deadline: ClockInstant,
}

/// Dispatcher of one model.
#[derive(Clone, Debug)]
pub struct ModelDispatcher {
    limits: DispatchLimits,
    queue: DeficitQueue<QueuedRequest>,
    slots: BTreeMap<UpstreamId, RunnerSlot>,
    permits: BTreeMap<u64, IssuedPermit>,
    next_number: u64,
    /// Estimated duration of a call, from the grant of its permit to the release.
    call_time: Duration,
}

impl ModelDispatcher {
    /// Returns a dispatcher with an empty queue and no slots.
    ///
    /// Permit numbers start at `first_number`, which must be chosen so that the numbers of an
    /// earlier dispatcher of the model are not reused.
    pub fn new(limits: DispatchLimits, first_number: u64) -> Self {
        Self {
            limits,
            queue: DeficitQueue::new(TOKENS_PER_TURN),
            slots: BTreeMap::new(),
            permits: BTreeMap::new(),
            next_number: first_number,
            call_time: INITIAL_CALL_TIME,
        }
    }

    /// Replaces the limits after a change of the configuration.
    pub fn set_limits(&mut self, limits: DispatchLimits) {
        self.limits = limits;
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of permits that are issued and not yet released.
    pub fn permits_out(&self) -> usize {
        self.permits.len()
    }

    /// Updates a slot: its readiness, its loaded adapters and the number of requests on its runner.
    pub fn on_slot(
        &mut self,
        now: ClockInstant,
        runner: &UpstreamId,
        state: SlotReadiness,
        adapters: Vec<AdapterId>,
        requests: u32,
    ) -> Vec<DispatchAction> {
        let slot = self.slots.entry(runner.clone()).or_insert_with(|| RunnerSlot {
            state: state.clone(),
            adapters: Vec::new(),
            other_requests: 0,
            permits: 0,
            ejection: EjectionState::default(),
            prefixes: PrefixView::default(),
            woken_at: None,
        });
        if slot.state == SlotReadiness::Ready && state != SlotReadiness::Ready {
            slot.prefixes.clear();
        }
        slot.state = state;
        slot.adapters = adapters;
        // The runner's report includes requests with a permit of this dispatcher that had arrived.
        slot.other_requests = requests.saturating_sub(slot.permits);
        self.advance(now)
    }

    /// Removes a slot.
    pub fn on_slot_removed(
        &mut self,
        now: ClockInstant,
        runner: &UpstreamId,
    ) -> Vec<DispatchAction> {
        self.slots.remove(runner);
        self.advance(now)
    }

    /// Returns the number of permits for a runner that are issued and not yet released.
    pub fn permits_on(&self, runner: &UpstreamId) -> u32 {
        self.slots.get(runner).map_or(0, |slot| slot.permits)
    }

    /// Returns the runners that have a slot.
    pub fn runners(&self) -> impl Iterator<Item = &UpstreamId> {
        self.slots.keys()
    }

    /// Returns the assumed content of a runner's prefix cache; `None` if the runner has no slot.
    pub fn prefixes_mut(&mut self, runner: &UpstreamId) -> Option<&mut PrefixView> {
        self.slots.get_mut(runner).map(|slot| &mut slot.prefixes)
    }

    /// Queues a request for a permit, or refuses it at once if it cannot be served in time.
    ///
    /// Asking again for the same request repeats its permit.
    pub fn ask(
        &mut self,
        now: ClockInstant,
        entry: HostId,
        ask: AcquireRequest,
    ) -> Vec<DispatchAction> {
        let deadline = now + ask.remaining;
        let open = self.permits.iter().find(|(_, permit)| permit.request == ask.request);
        if let Some((number, permit)) = open {
            let (runner, number) = (permit.runner.clone(), *number);
            let (entry, request) = (permit.entry.clone(), permit.request);
            return vec![DispatchAction::Grant { entry, request, number, runner, priority: 0 }];
        }
        if self.is_queued(ask.request) {
            return Vec::new();
        }
        if let Some((denial, retry_after)) = self.denial(now, &ask, deadline) {
            let request = ask.request;
            return vec![DispatchAction::Refuse { entry, request, denial, retry_after }];
        }
        let (team, cost) = (ask.team.clone(), ask.tokens.0);
        self.queue.push(&team, cost, deadline, QueuedRequest { ask, entry, deadline });
        self.advance(now)
    }

    /// Removes a request that is no longer wanted from the queue, or releases its permit.
    pub fn withdraw(&mut self, now: ClockInstant, request: RequestId) -> Vec<DispatchAction> {
        self.queue.remove_if(|queued, _| queued.ask.request == request);
        let open = self.permits.iter().find(|(_, permit)| permit.request == request);
        match open.map(|(number, _)| *number) {
            Some(number) => self.release(now, number, PermitOutcome::Abandoned),
            None => Vec::new(),
        }
    }

    /// Releases a permit; does nothing if it has been released already.
    pub fn release(
        &mut self,
        now: ClockInstant,
        number: u64,
        outcome: PermitOutcome,
    ) -> Vec<DispatchAction> {
        let Some(permit) = self.permits.remove(&number) else { return Vec::new() };
        if let Some(slot) = self.slots.get_mut(&permit.runner) {
            slot.permits = slot.permits.saturating_sub(1);
            match outcome {
                PermitOutcome::Answered => slot.ejection.note_success(),
                PermitOutcome::Refused | PermitOutcome::Broken => slot.ejection.note_failure(now),
                PermitOutcome::Abandoned => slot.ejection.note_unused(),
            }
        }
        if outcome == PermitOutcome::Answered {
            let taken = now.since(permit.granted_at);
            let kept = self.call_time * (CALL_TIME_DIVISOR - 1);
            self.call_time = (kept + taken) / CALL_TIME_DIVISOR;
        }
        self.advance(now)
    }

    /// Refuses requests that can no longer be served in time, releases permits whose deadline has
    /// passed and repeats wakes; called periodically.
    pub fn on_tick(&mut self, now: ClockInstant) -> Vec<DispatchAction> {
        let overdue = self.permits.iter().filter(|(_, permit)| permit.deadline <= now);
        let overdue: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        let mut actions = Vec::new();
        for number in overdue {
            actions.extend(self.release(now, number, PermitOutcome::Abandoned));
        }
        actions.extend(self.advance(now));
        actions
    }

    fn advance(&mut self, now: ClockInstant) -> Vec<DispatchAction> {
        let mut actions = self.grant_waiting(now);
        actions.extend(self.refuse_unservable(now));
        actions.extend(self.wake_for_waiting(now));
        actions
    }

    fn grant_waiting(&mut self, now: ClockInstant) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        loop {
            let (slots, limits) = (&self.slots, &self.limits);
            let fits =
                |queued: &QueuedRequest| best_slot(slots, limits, now, &queued.ask).is_some();
            let Some((_, queued)) = self.queue.pop_if(fits) else { return actions };
            if let Some(runner) = best_slot(&self.slots, &self.limits, now, &queued.ask) {
                actions.push(self.grant(now, runner, queued));
            }
        }
    }

    fn grant(
        &mut self,
        now: ClockInstant,
        runner: UpstreamId,
        queued: QueuedRequest,
    ) -> DispatchAction {
        let number = self.next_number;
        self.next_number += 1;
        if let Some(slot) = self.slots.get_mut(&runner) {
            slot.permits += 1;
            slot.ejection.note_sent();
            slot.prefixes.note_stored(&queued.ask.prefix);
        }
        let QueuedRequest { ask, entry, deadline } = queued;
        let request = ask.request;
        let permit = IssuedPermit {
            request,
            runner: runner.clone(),
            entry: entry.clone(),
            granted_at: now,
            deadline,
        };
        self.permits.insert(number, permit);
        DispatchAction::Grant { entry, request, number, runner, priority: 0 }
    }

    fn refuse_unservable(&mut self, now: ClockInstant) -> Vec<DispatchAction> {
        let (slots, call_time) = (&self.slots, self.call_time);
        let unservable = |queued: &QueuedRequest, deadline: ClockInstant| {
            let ready = ready_at(slots, now, &queued.ask);
            ready.is_none_or(|ready| ready + call_time > deadline)
        };
        let removed = self.queue.remove_if(unservable);
        let refused = removed.into_iter().map(|(_, queued)| {
            let ready = ready_at(&self.slots, now, &queued.ask);
            let denial = match ready {
                Some(_) => PermitDenial::TooLate,
                None => PermitDenial::NoRunner,
            };
            let retry_after = retry_after(now, ready);
            let (entry, request) = (queued.entry, queued.ask.request);
            DispatchAction::Refuse { entry, request, denial, retry_after }
        });
        refused.collect()
    }

    fn wake_for_waiting(&mut self, now: ClockInstant) -> Vec<DispatchAction> {
        let mut wanted = Vec::new();
        // Iterates over the queue; nothing is removed.
        self.queue.remove_if(|queued, deadline| {
            let (team, adapter) = (queued.ask.team.clone(), queued.ask.adapter.clone());
            wanted.push((deadline, team, adapter, queued.ask.excluded.clone()));
            false
        });
        wanted.sort_by_key(|(deadline, ..)| *deadline);
        let mut actions = Vec::new();
        let mut seen = Vec::new();
        for (deadline, team, adapter, excluded) in wanted {
            if seen.contains(&adapter) {
                continue;
            }
            seen.push(adapter.clone());
            let Some(runner) = self.slot_to_wake(now, adapter.as_ref(), &excluded) else {
                continue;
            };
            if let Some(slot) = self.slots.get_mut(&runner) {
                let due = slot.woken_at.is_none_or(|at| now.since(at) >= WAKE_RETRY_INTERVAL);
                if due {
                    slot.woken_at = Some(now);
                    actions.push(DispatchAction::Wake { runner, adapter, team, deadline });
                }
            }
        }
        actions
    }

    /// Returns the runner to wake; `None` if a ready replica can serve the request or no slot is
    /// usable.
    ///
    /// An adapter that no ready replica has is loaded on the least loaded of them. Without a ready
    /// replica, the slot that was woken already is chosen, or else the one that will be ready
    /// soonest.
    fn slot_to_wake(
        &self,
        now: ClockInstant,
        adapter: Option<&AdapterId>,
        excluded: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let usable = |slot: &&(&UpstreamId, &RunnerSlot)| {
            let takes_requests = slot.1.state != SlotReadiness::Leaving;
            takes_requests && !excluded.contains(slot.0) && slot.1.ejection.allows(now)
        };
        let slots: Vec<(&UpstreamId, &RunnerSlot)> = self.slots.iter().collect();
        let ready =
            slots.iter().filter(usable).filter(|(_, slot)| slot.state == SlotReadiness::Ready);
        if let Some(adapter) = adapter {
            let ready: Vec<_> = ready.collect();
            if ready.iter().any(|(_, slot)| slot.adapters.contains(adapter)) {
                return None;
            }
            let base = ready.iter().min_by_key(|(_, slot)| slot.permits + slot.other_requests);
            if let Some((runner, _)) = base {
                return Some((*runner).clone());
            }
        } else if ready.count() > 0 {
            return None;
        }
        // Prefers the slot that was woken recently: waking another would load a second replica.
        let not_waking =
            |slot: &RunnerSlot| slot.woken_at.is_none_or(|at| now.since(at) >= WAKE_TIMEOUT);
        let soonest = slots
            .iter()
            .filter(usable)
            .min_by_key(|(runner, slot)| (not_waking(slot), slot.expected_at(now), *runner));
        soonest.map(|(runner, _)| (*runner).clone())
    }

    /// Returns why the request cannot get a permit in time, and the time after which to retry;
    /// `None` if it can.
    fn denial(
        &self,
        now: ClockInstant,
        ask: &AcquireRequest,
        deadline: ClockInstant,
    ) -> Option<(PermitDenial, Duration)> {
        let Some(ready) = ready_at(&self.slots, now, ask) else {
            return Some((PermitDenial::NoRunner, MIN_RETRY_AFTER));
        };
        let expected = ready.max(now) + self.queue_wait(ask, deadline);
        if expected + self.call_time > deadline {
            return Some((PermitDenial::TooLate, retry_after(now, Some(expected))));
        }
        if self.queue.len() >= self.limits.queue {
            return Some((PermitDenial::QueueFull, retry_after(now, Some(expected))));
        }
        None
    }

    /// Estimates how long a new request waits in the queue.
    fn queue_wait(&self, ask: &AcquireRequest, deadline: ClockInstant) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let cost = ask.tokens.0.max(1);
        let ahead = self.queue.cost_ahead(&ask.team, deadline).div_ceil(cost);
        let ahead = ahead.min(self.queue.len() as u64) as f64;
        let ready = self.slots.values().filter(|slot| slot.state == SlotReadiness::Ready).count();
        let capacity = (ready.max(1) as u32 * self.limits.concurrency).max(1);
        self.call_time.mul_f64(ahead / f64::from(capacity))
    }

    fn is_queued(&mut self, request: RequestId) -> bool {
        let mut found = false;
        self.queue.remove_if(|queued, _| {
            found |= queued.ask.request == request;
            false
        });
        found
    }
}

impl RunnerSlot {
    /// Returns when the replica is expected to be ready; `None` if it takes no new requests.
    fn expected_at(&self, now: ClockInstant) -> Option<ClockInstant> {
        match &self.state {
            SlotReadiness::Ready => Some(now.max(self.ejection.returns_at())),
            SlotReadiness::Loading(at) => Some(now.max(*at)),
            SlotReadiness::Unloaded(load_time) => Some(now + *load_time),
            SlotReadiness::Leaving => None,
        }
    }

    fn load(&self) -> u32 {
        self.permits + self.other_requests
    }
}

/// Returns the runner that can take the request now and has the best score: the number of cached
/// prompt blocks minus a penalty for its load.
fn best_slot(
    slots: &BTreeMap<UpstreamId, RunnerSlot>,
    limits: &DispatchLimits,
    now: ClockInstant,
    ask: &AcquireRequest,
) -> Option<UpstreamId> {
    let usable = |(runner, slot): &(&UpstreamId, &RunnerSlot)| {
        slot.state == SlotReadiness::Ready
            && slot.permits < limits.concurrency
            && slot.ejection.allows(now)
            && !ask.excluded.contains(runner)
            && ask.adapter.as_ref().is_none_or(|adapter| slot.adapters.contains(adapter))
    };
    let score = |slot: &RunnerSlot| {
        slot.prefixes.matched(&ask.prefix) as f64 - LOAD_PENALTY * f64::from(slot.load())
    };
    let best = slots.iter().filter(usable).max_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)));
    best.map(|(runner, _)| runner.clone())
}

/// Returns when a replica for the request is expected to be ready; `None` if no slot can take it.
fn ready_at(
    slots: &BTreeMap<UpstreamId, RunnerSlot>,
    now: ClockInstant,
    ask: &AcquireRequest,
) -> Option<ClockInstant> {
    let usable = slots.iter().filter(|(runner, _)| !ask.excluded.contains(runner));
    usable.filter_map(|(_, slot)| slot.expected_at(now)).min()
}

fn retry_after(now: ClockInstant, ready: Option<ClockInstant>) -> Duration {
    ready.map_or(MIN_RETRY_AFTER, |ready| ready.since(now).max(MIN_RETRY_AFTER))
}
