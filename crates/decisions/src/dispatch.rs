//! The dispatcher of one model: a bounded queue, and permits for places on runners.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_protocol::dispatch::{AcquireRequest, PermitDenial, PermitOutcome};
use dotterellane_units::{AdapterId, ClockInstant, HostId, RequestId, TeamId, UpstreamId};

use crate::ejection::EjectionState;
use crate::fairness::DeficitQueue;
use crate::prefix::PrefixView;

/// Tokens that a team is served in one turn.
const TURN_TOKENS: u64 = 4_096;
/// Expected time of one call before any has ended.
const FIRST_ESTIMATE: Duration = Duration::from_millis(500);
/// Weight of the newest call in the expected time of one call, as a divisor.
const ESTIMATE_DIVISOR: u32 = 8;
/// Least time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Requests on a runner that outweigh one cached block of a prompt.
const LOAD_WEIGHT: f64 = 0.5;
/// Time after which a replica that was asked for is asked for again.
const WAKE_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Time after which another slot is tried if a wake brought nothing.
const WAKE_LIFETIME: Duration = Duration::from_secs(5);

/// Bounds of one model's dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchLimits {
    /// Requests that one replica runs side by side.
    pub concurrency: u32,
    /// Most requests that wait.
    pub queue: usize,
}

/// A request that waits for a permit.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// What was asked.
    pub ask: AcquireRequest,
    /// Host that asked.
    pub entry: HostId,
    /// When the caller must have been answered.
    pub deadline: ClockInstant,
}

/// How far a model's slot on a runner has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlaceState {
    /// The replica serves.
    Ready,
    /// The replica is on its way and expected at this time.
    Coming(ClockInstant),
    /// Nothing is loaded; a wake is expected to take this long.
    Asleep(Duration),
    /// The runner is leaving: permits that are out end there, new ones go elsewhere.
    Leaving,
}

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Give a permit.
    Grant {
        /// Host that asked.
        entry: HostId,
        /// Request that holds it.
        request: RequestId,
        /// Number of the permit.
        number: u64,
        /// Runner that the request goes to.
        runner: UpstreamId,
        /// Priority at the engine; smaller runs first.
        priority: u32,
    },
    /// Give no permit.
    Refuse {
        /// Host that asked.
        entry: HostId,
        /// Request that asked.
        request: RequestId,
        /// Why.
        denial: PermitDenial,
        /// When to come back.
        retry_after: Duration,
    },
    /// Ask the keeper of a runner for a replica or an adapter.
    Wake {
        /// Runner with a decided slot.
        runner: UpstreamId,
        /// Adapter that is wanted.
        adapter: Option<AdapterId>,
        /// Team whose request waits.
        team: TeamId,
        /// When the earliest request must have been answered.
        deadline: ClockInstant,
    },
}

#[derive(Clone, Debug)]
struct RunnerPlace {
    state: PlaceState,
    adapters: Vec<AdapterId>,
    /// Requests of others on the runner, from its last report.
    others: u32,
    permits: u32,
    ejection: EjectionState,
    prefixes: PrefixView,
    woken_at: Option<ClockInstant>,
}

#[derive(Clone, Debug)]
struct OpenPermit {
    request: RequestId,
    runner: UpstreamId,
    entry: HostId,
    granted_at: ClockInstant,
    deadline: ClockInstant,
}

/// The dispatcher of one model.
#[derive(Clone, Debug)]
pub struct ModelDispatcher {
    limits: DispatchLimits,
    queue: DeficitQueue<QueuedRequest>,
    places: BTreeMap<UpstreamId, RunnerPlace>,
    permits: BTreeMap<u64, OpenPermit>,
    next_number: u64,
    call_time: Duration,
}

impl ModelDispatcher {
    /// Starts with an empty queue and no slot. Permit numbers start at `first_number`, which a
    /// new dispatcher picks so that it does not repeat those of an earlier one.
    pub fn new(limits: DispatchLimits, first_number: u64) -> Self {
        Self {
            limits,
            queue: DeficitQueue::new(TURN_TOKENS),
            places: BTreeMap::new(),
            permits: BTreeMap::new(),
            next_number: first_number,
            call_time: FIRST_ESTIMATE,
        }
    }

    /// Follows changed limits.
    pub fn set_limits(&mut self, limits: DispatchLimits) {
        self.limits = limits;
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of permits that are out.
    pub fn permits_out(&self) -> usize {
        self.permits.len()
    }

    /// Follows a slot: its state, its adapters and the requests on its runner.
    pub fn on_place(
        &mut self,
        now: ClockInstant,
        runner: &UpstreamId,
        state: PlaceState,
        adapters: Vec<AdapterId>,
        busy: u32,
    ) -> Vec<DispatchAction> {
        let place = self.places.entry(runner.clone()).or_insert_with(|| RunnerPlace {
            state: state.clone(),
            adapters: Vec::new(),
            others: 0,
            permits: 0,
            ejection: EjectionState::default(),
            prefixes: PrefixView::default(),
            woken_at: None,
        });
        if place.state == PlaceState::Ready && state != PlaceState::Ready {
            place.prefixes.clear();
        }
        place.state = state;
        place.adapters = adapters;
        // The report counts our own permits too, as far as they had arrived.
        place.others = busy.saturating_sub(place.permits);
        self.advance(now)
    }

    /// Forgets a slot that was removed.
    pub fn on_place_removed(
        &mut self,
        now: ClockInstant,
        runner: &UpstreamId,
    ) -> Vec<DispatchAction> {
        self.places.remove(runner);
        self.advance(now)
    }

    /// Returns the number of permits that are out on a runner.
    pub fn permits_on(&self, runner: &UpstreamId) -> u32 {
        self.places.get(runner).map_or(0, |place| place.permits)
    }

    /// Returns the runners that have a slot.
    pub fn runners(&self) -> impl Iterator<Item = &UpstreamId> {
        self.places.keys()
    }

    /// Returns what is believed of a runner's prefix cache.
    pub fn prefixes_mut(&mut self, runner: &UpstreamId) -> Option<&mut PrefixView> {
        self.places.get_mut(runner).map(|place| &mut place.prefixes)
    }

    /// Takes a request. Asking again gives the same permit again.
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
        if self.waits(ask.request) {
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

    /// Forgets a request that is no longer wanted, and gives its permit back.
    pub fn withdraw(&mut self, now: ClockInstant, request: RequestId) -> Vec<DispatchAction> {
        self.queue.remove_if(|queued, _| queued.ask.request == request);
        let open = self.permits.iter().find(|(_, permit)| permit.request == request);
        match open.map(|(number, _)| *number) {
            Some(number) => self.release(now, number, PermitOutcome::Abandoned),
            None => Vec::new(),
        }
    }

    /// Takes a permit back; one that is not out any more changes nothing.
    pub fn release(
        &mut self,
        now: ClockInstant,
        number: u64,
        outcome: PermitOutcome,
    ) -> Vec<DispatchAction> {
        let Some(permit) = self.permits.remove(&number) else { return Vec::new() };
        if let Some(place) = self.places.get_mut(&permit.runner) {
            place.permits = place.permits.saturating_sub(1);
            match outcome {
                PermitOutcome::Answered => place.ejection.note_success(),
                PermitOutcome::Refused | PermitOutcome::Broken => place.ejection.note_failure(now),
                PermitOutcome::Abandoned => place.ejection.note_unused(),
            }
        }
        if outcome == PermitOutcome::Answered {
            let taken = now.since(permit.granted_at);
            let kept = self.call_time * (ESTIMATE_DIVISOR - 1);
            self.call_time = (kept + taken) / ESTIMATE_DIVISOR;
        }
        self.advance(now)
    }

    /// Does what time alone brings: refuses requests that can no longer be served in time,
    /// takes back permits whose deadline passed, and wakes again what did not come.
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
        actions.extend(self.refuse_hopeless(now));
        actions.extend(self.wake_for_waiting(now));
        actions
    }

    fn grant_waiting(&mut self, now: ClockInstant) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        loop {
            let (places, limits) = (&self.places, &self.limits);
            let fits =
                |queued: &QueuedRequest| best_place(places, limits, now, &queued.ask).is_some();
            let Some((_, queued)) = self.queue.pop_if(fits) else { return actions };
            if let Some(runner) = best_place(&self.places, &self.limits, now, &queued.ask) {
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
        if let Some(place) = self.places.get_mut(&runner) {
            place.permits += 1;
            place.ejection.note_sent();
            place.prefixes.note_stored(&queued.ask.prefix);
        }
        let QueuedRequest { ask, entry, deadline } = queued;
        let request = ask.request;
        let permit = OpenPermit {
            request,
            runner: runner.clone(),
            entry: entry.clone(),
            granted_at: now,
            deadline,
        };
        self.permits.insert(number, permit);
        DispatchAction::Grant { entry, request, number, runner, priority: 0 }
    }

    fn refuse_hopeless(&mut self, now: ClockInstant) -> Vec<DispatchAction> {
        let (places, call_time) = (&self.places, self.call_time);
        let hopeless = |queued: &QueuedRequest, deadline: ClockInstant| {
            let ready = ready_at(places, now, &queued.ask);
            ready.is_none_or(|ready| ready + call_time > deadline)
        };
        let given_up = self.queue.remove_if(hopeless);
        let refused = given_up.into_iter().map(|(_, queued)| {
            let ready = ready_at(&self.places, now, &queued.ask);
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
        // Nothing is removed: the queue is only looked through.
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
            let Some(runner) = self.place_to_wake(now, adapter.as_ref(), &excluded) else {
                continue;
            };
            if let Some(place) = self.places.get_mut(&runner) {
                let due = place.woken_at.is_none_or(|at| now.since(at) >= WAKE_AGAIN_AFTER);
                if due {
                    place.woken_at = Some(now);
                    actions.push(DispatchAction::Wake { runner, adapter, team, deadline });
                }
            }
        }
        actions
    }

    /// Picks where to wake: nothing while a replica is ready or coming, except for an adapter
    /// that no ready replica has; else the slot that is ready soonest.
    fn place_to_wake(
        &self,
        now: ClockInstant,
        adapter: Option<&AdapterId>,
        excluded: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let usable = |place: &&(&UpstreamId, &RunnerPlace)| {
            let takes_requests = place.1.state != PlaceState::Leaving;
            takes_requests && !excluded.contains(place.0) && place.1.ejection.allows(now)
        };
        let places: Vec<(&UpstreamId, &RunnerPlace)> = self.places.iter().collect();
        let ready = places.iter().filter(usable).filter(|(_, p)| p.state == PlaceState::Ready);
        if let Some(adapter) = adapter {
            let ready: Vec<_> = ready.collect();
            if ready.iter().any(|(_, place)| place.adapters.contains(adapter)) {
                return None;
            }
            let base = ready.iter().min_by_key(|(_, place)| place.permits + place.others);
            if let Some((runner, _)) = base {
                return Some((*runner).clone());
            }
        } else if ready.count() > 0 {
            return None;
        }
        // A wake under way is kept to: a second replica would double the load.
        let unwoken =
            |place: &RunnerPlace| place.woken_at.is_none_or(|at| now.since(at) >= WAKE_LIFETIME);
        let soonest = places
            .iter()
            .filter(usable)
            .min_by_key(|(runner, place)| (unwoken(place), place.expected_at(now), *runner));
        soonest.map(|(runner, _)| (*runner).clone())
    }

    fn denial(
        &self,
        now: ClockInstant,
        ask: &AcquireRequest,
        deadline: ClockInstant,
    ) -> Option<(PermitDenial, Duration)> {
        let Some(ready) = ready_at(&self.places, now, ask) else {
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

    /// Returns the time that a new request is expected to wait for those served before it.
    fn queue_wait(&self, ask: &AcquireRequest, deadline: ClockInstant) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let cost = ask.tokens.0.max(1);
        let ahead = self.queue.cost_ahead(&ask.team, deadline).div_ceil(cost);
        let ahead = ahead.min(self.queue.len() as u64) as f64;
        let ready = self.places.values().filter(|place| place.state == PlaceState::Ready).count();
        let places = (ready.max(1) as u32 * self.limits.concurrency).max(1);
        self.call_time.mul_f64(ahead / f64::from(places))
    }

    fn waits(&mut self, request: RequestId) -> bool {
        let mut found = false;
        self.queue.remove_if(|queued, _| {
            found |= queued.ask.request == request;
            false
        });
        found
    }
}

impl RunnerPlace {
    /// Returns when a replica is expected here, `None` if none will take new requests.
    fn expected_at(&self, now: ClockInstant) -> Option<ClockInstant> {
        match &self.state {
            PlaceState::Ready => Some(now.max(self.ejection.returns_at())),
            PlaceState::Coming(at) => Some(now.max(*at)),
            PlaceState::Asleep(load_time) => Some(now + *load_time),
            PlaceState::Leaving => None,
        }
    }

    fn load(&self) -> u32 {
        self.permits + self.others
    }
}

/// Returns the best runner with a free place for the request now.
fn best_place(
    places: &BTreeMap<UpstreamId, RunnerPlace>,
    limits: &DispatchLimits,
    now: ClockInstant,
    ask: &AcquireRequest,
) -> Option<UpstreamId> {
    let usable = |(runner, place): &(&UpstreamId, &RunnerPlace)| {
        place.state == PlaceState::Ready
            && place.permits < limits.concurrency
            && place.ejection.allows(now)
            && !ask.excluded.contains(runner)
            && ask.adapter.as_ref().is_none_or(|adapter| place.adapters.contains(adapter))
    };
    let score = |place: &RunnerPlace| {
        place.prefixes.matched(&ask.prefix) as f64 - LOAD_WEIGHT * f64::from(place.load())
    };
    let best = places.iter().filter(usable).max_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)));
    best.map(|(runner, _)| runner.clone())
}

/// Returns when a replica for the request is expected, `None` if no slot can take it.
fn ready_at(
    places: &BTreeMap<UpstreamId, RunnerPlace>,
    now: ClockInstant,
    ask: &AcquireRequest,
) -> Option<ClockInstant> {
    let usable = places.iter().filter(|(runner, _)| !ask.excluded.contains(runner));
    usable.filter_map(|(_, place)| place.expected_at(now)).min()
}

fn retry_after(now: ClockInstant, ready: Option<ClockInstant>) -> Duration {
    ready.map_or(MIN_RETRY_AFTER, |ready| ready.since(now).max(MIN_RETRY_AFTER))
}
