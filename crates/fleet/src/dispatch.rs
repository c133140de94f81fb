//! The dispatchers of this host, and its own requests for permits.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_decisions::cold_start::LoadSpeeds;
use dotterellane_decisions::dispatch::{
    DispatchAction, DispatchLimits, ModelDispatcher, SlotReadiness,
};
use dotterellane_decisions::keep_alive::{COLD_START_WEIGHT, GapHistogram};
use dotterellane_protocol::dispatch::{AcquireRequest, PermitDenial, PermitOutcome};
use dotterellane_protocol::placement::{CacheTier, ReplicaReport, ReplicaState};
use dotterellane_protocol::{DispatchMessage, PeerMessage, PlacementMessage};
use dotterellane_units::{ByteSize, ClockInstant, HostId, ModelId, RequestId, UpstreamId};
use tokio::sync::oneshot;

use crate::placement::DeskContext;
use crate::{CallOutcome, DispatchPermit, PermitRefusal, PermitRequest};

/// Time after which a question to a dispatcher is repeated.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Questions without an answer after which the next host in line is asked.
const ASKS_PER_HOST: u32 = 2;
/// Most blocks of a prompt that are sent to a dispatcher; bounds the message.
const MAX_PREFIX: usize = 48;
/// Requests that wait at most, for each place of a model.
const QUEUE_PER_PLACE: usize = 16;
/// Time for which a new dispatcher waits for reports before it says that no runner has a slot.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after which a place that is not reported any more is forgotten.
const PLACE_LIFETIME: Duration = Duration::from_secs(30);
/// How often a keeper is told how its replica is used.
const USAGE_PERIOD: Duration = Duration::from_secs(1);
/// Time that an eviction is expected to take.
const EVICTION_TIME: Duration = Duration::from_millis(500);
/// Least time that an idle replica stays loaded.
const MIN_HOLD: Duration = Duration::from_secs(5);

/// The answer to a request for a permit.
pub(crate) type PermitAnswer = Result<DispatchPermit, PermitRefusal>;

/// A request of this host's entry that waits.
struct WaitingAsk {
    ask: AcquireRequest,
    deadline: ClockInstant,
    answer: oneshot::Sender<PermitAnswer>,
    dispatcher: Option<HostId>,
    asked_at: Option<ClockInstant>,
    unheard: u32,
    passed_over: Vec<HostId>,
}

struct ModelSeat {
    dispatcher: ModelDispatcher,
    since: ClockInstant,
    reports: BTreeMap<UpstreamId, ReportedPlace>,
    gaps: GapHistogram,
    last_used: ClockInstant,
    /// Requests that came before any place was known.
    early: Vec<(HostId, AcquireRequest, ClockInstant)>,
}

struct ReportedPlace {
    keeper_told: Option<ClockInstant>,
    heard_at: ClockInstant,
    ready: bool,
    tier: CacheTier,
}

/// Dispatchers that this host holds, and requests that it waits for.
pub(crate) struct DispatchDesk {
    seats: BTreeMap<ModelId, ModelSeat>,
    waiting: BTreeMap<RequestId, WaitingAsk>,
    /// Dispatcher of each permit that this host's entry holds.
    granted_by: BTreeMap<(RequestId, u64), HostId>,
    first_number: u64,
}

impl DispatchDesk {
    pub(crate) fn new() -> Self {
        // Numbers of successive dispatchers must not meet.
        let first_number = u64::from(rand::random::<u32>()) << 24;
        Self {
            seats: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted_by: BTreeMap::new(),
            first_number,
        }
    }

    /// Takes a request of this host's entry.
    pub(crate) fn on_ask(
        &mut self,
        context: &DeskContext,
        request: PermitRequest,
        answer: oneshot::Sender<PermitAnswer>,
    ) {
        let now = context.now();
        if !context.document().models.contains_key(&request.model) {
            let _ = answer.send(Err(PermitRefusal::NoRunner { model: request.model }));
            return;
        }
        let mut prefix = request.prefix;
        prefix.truncate(MAX_PREFIX);
        let ask = AcquireRequest {
            request: request.request,
            team: request.team,
            model: request.model,
            adapter: request.adapter,
            tokens: request.tokens,
            prefix,
            excluded: request.excluded,
            remaining: request.deadline.since(now),
        };
        let waiting = WaitingAsk {
            ask,
            deadline: request.deadline,
            answer,
            dispatcher: None,
            asked_at: None,
            unheard: 0,
            passed_over: Vec::new(),
        };
        self.waiting.insert(request.request, waiting);
        self.send_ask(context, request.request);
    }

    pub(crate) fn on_withdraw(
        &mut self,
        context: &DeskContext,
        model: &ModelId,
        request: RequestId,
    ) {
        let waiting = self.waiting.remove(&request);
        let Some(host) = waiting.and_then(|waiting| waiting.dispatcher) else { return };
        let message = DispatchMessage::Withdraw { model: model.clone(), request };
        context.send(&host, PeerMessage::Dispatch(message));
    }

    pub(crate) fn on_release(
        &mut self,
        context: &DeskContext,
        permit: &DispatchPermit,
        outcome: CallOutcome,
    ) {
        let key = (permit.request, permit.number);
        let Some(host) = self.granted_by.remove(&key) else { return };
        let message = DispatchMessage::Release {
            model: permit.model.clone(),
            request: permit.request,
            number: permit.number,
            outcome: permit_outcome(outcome),
        };
        context.send(&host, PeerMessage::Dispatch(message));
    }

    pub(crate) fn on_message(
        &mut self,
        context: &DeskContext,
        from: &HostId,
        message: DispatchMessage,
    ) {
        match message {
            DispatchMessage::Acquire(ask) => self.on_peer_ask(context, from, ask),
            DispatchMessage::Withdraw { model, request } => {
                let now = context.now();
                let Some(seat) = self.seats.get_mut(&model) else { return };
                seat.early.retain(|(_, ask, _)| ask.request != request);
                let actions = seat.dispatcher.withdraw(now, request);
                act(context, &model, actions);
            }
            DispatchMessage::Release { model, number, outcome, .. } => {
                let now = context.now();
                let Some(seat) = self.seats.get_mut(&model) else { return };
                seat.last_used = now;
                let actions = seat.dispatcher.release(now, number, outcome);
                act(context, &model, actions);
            }
            DispatchMessage::Queued { request } => {
                if let Some(waiting) = self.waiting.get_mut(&request) {
                    waiting.unheard = 0;
                }
            }
            DispatchMessage::Granted { request, number, runner, priority } => {
                self.on_granted(context, from, request, number, &runner, priority);
            }
            DispatchMessage::Refused { request, denial, retry_after } => {
                let Some(waiting) = self.waiting.remove(&request) else { return };
                let model = waiting.ask.model;
                let _ = waiting.answer.send(Err(refusal(model, denial, retry_after)));
            }
        }
    }

    /// Follows a keeper's report.
    pub(crate) fn on_replica(&mut self, context: &DeskContext, report: &ReplicaReport) {
        let now = context.now();
        if context.dispatcher_of(&report.model).as_ref() != Some(&context.host) {
            return;
        }
        let Some(entry) = context.document().models.get(&report.model) else { return };
        let memory = entry.memory + entry.kv_reserve;
        let upstream = context.document().upstreams.get(&report.runner);
        let leaving = upstream.is_none_or(|upstream| upstream.leaving);
        let Some(seat) = self.seat(context, &report.model) else { return };
        let state = if leaving { SlotReadiness::Leaving } else { place_state(now, report, memory) };
        let place = seat.reports.entry(report.runner.clone()).or_insert(ReportedPlace {
            keeper_told: None,
            heard_at: now,
            ready: false,
            tier: report.tier,
        });
        place.heard_at = now;
        place.tier = report.tier;
        place.ready = report.state.is_some();
        if report.state == Some(ReplicaState::Unloading) {
            // The keeper waits to hear that the replica is no longer used.
            place.keeper_told = None;
        }
        let (adapters, busy) = (report.adapters.clone(), report.busy);
        let mut actions = seat.dispatcher.on_slot(now, &report.runner, state, adapters, busy);
        for (entry, mut ask, deadline) in std::mem::take(&mut seat.early) {
            ask.remaining = deadline.since(now);
            actions.extend(seat.dispatcher.ask(now, entry, ask));
        }
        act(context, &report.model, actions);
        self.tell_keepers(context, &report.model);
    }

    pub(crate) fn on_tick(&mut self, context: &DeskContext) {
        let now = context.now();
        let models: Vec<ModelId> = self.seats.keys().cloned().collect();
        for model in models {
            self.tick_model(context, now, &model);
        }
        let requests: Vec<RequestId> = self.waiting.keys().copied().collect();
        for request in requests {
            self.tick_waiting(context, now, request);
        }
    }

    fn tick_model(&mut self, context: &DeskContext, now: ClockInstant, model: &ModelId) {
        let own = context.dispatcher_of(model).as_ref() == Some(&context.host);
        let Some(seat) = self.seats.get_mut(model) else { return };
        if !own && seat.dispatcher.permits_out() == 0 && seat.dispatcher.queued() == 0 {
            self.seats.remove(model);
            return;
        }
        let mut actions = Vec::new();
        let gone: Vec<UpstreamId> = seat
            .reports
            .iter()
            .filter(|(_, place)| now.since(place.heard_at) >= PLACE_LIFETIME)
            .map(|(runner, _)| runner.clone())
            .collect();
        for runner in gone {
            seat.reports.remove(&runner);
            actions.extend(seat.dispatcher.on_slot_removed(now, &runner));
        }
        if now.since(seat.since) >= SETTLE_TIME {
            for (entry, mut ask, deadline) in std::mem::take(&mut seat.early) {
                ask.remaining = deadline.since(now);
                actions.extend(seat.dispatcher.ask(now, entry, ask));
            }
        }
        actions.extend(seat.dispatcher.on_tick(now));
        act(context, model, actions);
        self.tell_keepers(context, model);
    }

    /// Asks again, asks the next host in line, or gives up.
    fn tick_waiting(&mut self, context: &DeskContext, now: ClockInstant, request: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        if waiting.deadline <= now {
            let model = waiting.ask.model.clone();
            let Some(waiting) = self.waiting.remove(&request) else { return };
            let refused = PermitRefusal::TooLate { model, retry_after: ASK_TIMEOUT };
            let _ = waiting.answer.send(Err(refused));
            return;
        }
        let due = waiting.asked_at.is_none_or(|at| now.since(at) >= ASK_TIMEOUT);
        if !due {
            return;
        }
        if waiting.unheard >= ASKS_PER_HOST {
            waiting.passed_over.extend(waiting.dispatcher.take());
            waiting.unheard = 0;
        }
        self.send_ask(context, request);
    }

    fn send_ask(&mut self, context: &DeskContext, request: RequestId) {
        let now = context.now();
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        let line = context.line("dispatcher", waiting.ask.model.as_str());
        let Some(host) = line.iter().find(|host| !waiting.passed_over.contains(host)) else {
            waiting.passed_over.clear();
            return;
        };
        waiting.dispatcher = Some(host.clone());
        waiting.asked_at = Some(now);
        waiting.unheard += 1;
        let remaining = waiting.deadline.since(now);
        let ask = AcquireRequest { remaining, ..waiting.ask.clone() };
        context.send(host, PeerMessage::Dispatch(DispatchMessage::Acquire(ask)));
    }

    fn on_peer_ask(&mut self, context: &DeskContext, from: &HostId, ask: AcquireRequest) {
        let now = context.now();
        let (model, request) = (ask.model.clone(), ask.request);
        let Some(seat) = self.seat(context, &model) else { return };
        let idle = seat.dispatcher.permits_out() == 0 && seat.dispatcher.queued() == 0;
        if idle && seat.early.is_empty() {
            seat.gaps.note_gap(now.since(seat.last_used));
        }
        seat.last_used = now;
        let placeless = seat.dispatcher.runners().next().is_none();
        if placeless && now.since(seat.since) < SETTLE_TIME {
            if !seat.early.iter().any(|(_, early, _)| early.request == request) {
                let deadline = now + ask.remaining;
                seat.early.push((from.clone(), ask, deadline));
            }
            let queued = DispatchMessage::Queued { request };
            return context.send(from, PeerMessage::Dispatch(queued));
        }
        let actions = seat.dispatcher.ask(now, from.clone(), ask);
        let queued = DispatchMessage::Queued { request };
        context.send(from, PeerMessage::Dispatch(queued));
        act(context, &model, actions);
    }

    fn on_granted(
        &mut self,
        context: &DeskContext,
        from: &HostId,
        request: RequestId,
        number: u64,
        runner: &UpstreamId,
        priority: u32,
    ) {
        if self.granted_by.contains_key(&(request, number)) {
            return;
        }
        let upstream = context.document().upstreams.get(runner);
        let Some(waiting) = self.waiting.remove(&request) else {
            // Nobody waits any more; the dispatcher learns of it by the withdrawal.
            return;
        };
        let model = waiting.ask.model;
        let Some(upstream) = upstream else {
            let _ = waiting.answer.send(Err(PermitRefusal::NoRunner { model }));
            return;
        };
        self.granted_by.insert((request, number), from.clone());
        let (runner, address) = (runner.clone(), upstream.address);
        let permit = DispatchPermit { number, request, model, runner, address, priority };
        if let Err(Ok(permit)) = waiting.answer.send(Ok(permit)) {
            self.on_release(context, &permit, CallOutcome::Abandoned);
        }
    }

    fn seat(&mut self, context: &DeskContext, model: &ModelId) -> Option<&mut ModelSeat> {
        let entry = context.document().models.get(model)?;
        let limits = DispatchLimits {
            concurrency: entry.concurrency,
            queue: QUEUE_PER_PLACE * entry.concurrency as usize * entry.max_slots as usize,
        };
        let now = context.now();
        if !self.seats.contains_key(model) {
            self.first_number += 1 << 20;
            let seat = ModelSeat {
                dispatcher: ModelDispatcher::new(limits.clone(), self.first_number),
                since: now,
                reports: BTreeMap::new(),
                gaps: GapHistogram::default(),
                last_used: now,
                early: Vec::new(),
            };
            self.seats.insert(model.clone(), seat);
        }
        let seat = self.seats.get_mut(model)?;
        seat.dispatcher.set_limits(limits);
        Some(seat)
    }

    /// Tells the keepers of a model's replicas how they are used.
    fn tell_keepers(&mut self, context: &DeskContext, model: &ModelId) {
        let now = context.now();
        let Some(entry) = context.document().models.get(model) else { return };
        let Some(seat) = self.seats.get_mut(model) else { return };
        let memory = entry.memory + entry.kv_reserve;
        for (runner, place) in &mut seat.reports {
            let due = place.keeper_told.is_none_or(|at| now.since(at) >= USAGE_PERIOD);
            if !(place.ready && due) {
                continue;
            }
            place.keeper_told = Some(now);
            let busy = seat.dispatcher.permits_on(runner) > 0;
            let load_time = LoadSpeeds::default().load_time(memory, place.tier);
            let hold =
                seat.gaps.keep_alive(load_time.mul_f64(COLD_START_WEIGHT)).hold.max(MIN_HOLD);
            let usage = PlacementMessage::Usage {
                model: model.clone(),
                runner: runner.clone(),
                busy,
                idle: now.since(seat.last_used),
                hold,
            };
            if let Some(keeper) = context.keeper_of(runner) {
                context.send_placement(&keeper, usage);
            }
        }
    }
}

fn act(context: &DeskContext, model: &ModelId, actions: Vec<DispatchAction>) {
    let now = context.now();
    for action in actions {
        match action {
            DispatchAction::Grant { entry, request, number, runner, priority } => {
                let granted = DispatchMessage::Granted { request, number, runner, priority };
                context.send(&entry, PeerMessage::Dispatch(granted));
            }
            DispatchAction::Refuse { entry, request, denial, retry_after } => {
                let refused = DispatchMessage::Refused { request, denial, retry_after };
                context.send(&entry, PeerMessage::Dispatch(refused));
            }
            DispatchAction::Wake { runner, adapter, team, deadline } => {
                let Some(keeper) = context.keeper_of(&runner) else { continue };
                let (model, remaining) = (model.clone(), deadline.since(now));
                let wake = PlacementMessage::Wake { model, adapter, runner, team, remaining };
                context.send_placement(&keeper, wake);
            }
        }
    }
}

fn place_state(now: ClockInstant, report: &ReplicaReport, memory: ByteSize) -> SlotReadiness {
    let load_time = LoadSpeeds::default().load_time(memory, report.tier);
    let room = if report.free >= memory { Duration::ZERO } else { EVICTION_TIME };
    match report.state {
        Some(ReplicaState::Loaded) => SlotReadiness::Ready,
        Some(ReplicaState::Loading) => SlotReadiness::Loading(now + load_time),
        Some(ReplicaState::Unloading) => SlotReadiness::Unloaded(load_time + EVICTION_TIME),
        None => SlotReadiness::Unloaded(load_time + room),
    }
}

fn permit_outcome(outcome: CallOutcome) -> PermitOutcome {
    match outcome {
        CallOutcome::Answered => PermitOutcome::Answered,
        CallOutcome::Refused => PermitOutcome::Refused,
        CallOutcome::Broken => PermitOutcome::Broken,
        CallOutcome::Abandoned => PermitOutcome::Abandoned,
    }
}

fn refusal(model: ModelId, denial: PermitDenial, retry_after: Duration) -> PermitRefusal {
    match denial {
        PermitDenial::TooLate => PermitRefusal::TooLate { model, retry_after },
        PermitDenial::QueueFull => PermitRefusal::QueueFull { model, retry_after },
        PermitDenial::NoRunner => PermitRefusal::NoRunner { model },
    }
}
