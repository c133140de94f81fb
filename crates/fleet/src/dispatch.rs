//! The dispatchers of this host, and the permit requests of this host's own callers.
//!
//! Each model has one dispatcher in the fleet, on the host that holds the role for it. A request
//! waits in the dispatcher's queue until a replica of the model can take one more, then gets a
//! permit. This module exchanges messages between the requesting hosts, the dispatchers and the
//! keepers, and repeats what may have been lost.

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

use crate::placement::RuntimeContext;
use crate::{CallOutcome, DispatchPermit, PermitRefusal, PermitRequest};

/// Time after which an unanswered request to a dispatcher is sent again.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(300);
/// Unanswered requests to one host after which the next candidate for the role is asked.
const ATTEMPTS_PER_HOST: u32 = 2;
/// Most hashes of prompt blocks sent to a dispatcher; bounds the length of the message.
const MAX_PREFIX_BLOCKS: usize = 48;
/// Requests that may wait for each request that a model can run at the same time.
const QUEUE_PER_PERMIT: usize = 16;
/// Time that a new dispatcher waits for reports of replicas before it refuses requests because no
/// runner has a slot.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Time without a report after which a replica is forgotten.
const REPLICA_LIFETIME: Duration = Duration::from_secs(30);
/// Time between two reports to a keeper of how its replica is used.
const USAGE_PERIOD: Duration = Duration::from_secs(1);
/// Estimated duration of an eviction.
const EVICTION_TIME: Duration = Duration::from_millis(500);
/// Least time that a replica stays loaded while idle.
const MIN_HOLD: Duration = Duration::from_secs(5);

/// Answer to a permit request.
pub(crate) type PermitAnswer = Result<DispatchPermit, PermitRefusal>;

/// A permit request of this host that has not been answered.
struct WaitingRequest {
    acquire: AcquireRequest,
    deadline: ClockInstant,
    answer: oneshot::Sender<PermitAnswer>,
    /// Host that was asked last.
    dispatcher: Option<HostId>,
    /// When the newest message was sent to `dispatcher`.
    asked_at: Option<ClockInstant>,
    /// Messages to `dispatcher` since it last answered.
    unanswered: u32,
    /// Hosts that did not answer; cleared once all candidates are among them.
    skipped_hosts: Vec<HostId>,
}

/// The dispatcher of one model, with what this host knows of the model's replicas.
struct HostedDispatcher {
    dispatcher: ModelDispatcher,
    /// When the dispatcher was created.
    since: ClockInstant,
    replicas: BTreeMap<UpstreamId, ReportedReplica>,
    /// Gaps between uses of the model, which decide how long idle replicas stay loaded.
    gaps: GapHistogram,
    last_used: ClockInstant,
    /// Requests that came before any replica was reported: host, request and deadline.
    deferred: Vec<(HostId, AcquireRequest, ClockInstant)>,
}

/// Newest report of a keeper on the slot of a model.
struct ReportedReplica {
    /// When the keeper was last sent the replica's usage.
    usage_sent_at: Option<ClockInstant>,
    reported_at: ClockInstant,
    /// Whether the replica is loading, loaded or unloading.
    on_runner: bool,
    tier: CacheTier,
}

/// The dispatchers of this host, and the permit requests that it waits for.
pub(crate) struct DispatchService {
    hosted: BTreeMap<ModelId, HostedDispatcher>,
    waiting: BTreeMap<RequestId, WaitingRequest>,
    /// Dispatcher of each permit that this host's callers hold, by request and permit number.
    granted_by: BTreeMap<(RequestId, u64), HostId>,
    /// First permit number of the newest dispatcher here.
    first_number: u64,
}

impl DispatchService {
    pub(crate) fn new() -> Self {
        // A dispatcher must not reuse permit numbers of an earlier one on another host.
        let first_number = u64::from(rand::random::<u32>()) << 24;
        Self {
            hosted: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted_by: BTreeMap::new(),
            first_number,
        }
    }

    /// Handles a permit request of this host; the result is sent to `answer`.
    pub(crate) fn on_acquire(
        &mut self,
        context: &RuntimeContext,
        request: PermitRequest,
        answer: oneshot::Sender<PermitAnswer>,
    ) {
        let now = context.now();
        if !context.document().models.contains_key(&request.model) {
            let _ = answer.send(Err(PermitRefusal::NoRunner { model: request.model }));
            return;
        }
        let mut prefix = request.prefix;
        prefix.truncate(MAX_PREFIX_BLOCKS);
        let acquire = AcquireRequest {
            request: request.request,
            team: request.team,
            model: request.model,
            adapter: request.adapter,
            tokens: request.tokens,
            prefix,
            excluded: request.excluded,
            remaining: request.deadline.since(now),
        };
        let waiting = WaitingRequest {
            acquire,
            deadline: request.deadline,
            answer,
            dispatcher: None,
            asked_at: None,
            unanswered: 0,
            skipped_hosts: Vec::new(),
        };
        self.waiting.insert(request.request, waiting);
        self.send_acquire(context, request.request);
    }

    /// Handles that the caller of this host stopped waiting for a permit.
    pub(crate) fn on_withdraw(
        &mut self,
        context: &RuntimeContext,
        model: &ModelId,
        request: RequestId,
    ) {
        let waiting = self.waiting.remove(&request);
        let Some(host) = waiting.and_then(|waiting| waiting.dispatcher) else { return };
        let message = DispatchMessage::Withdraw { model: model.clone(), request };
        context.send(&host, PeerMessage::Dispatch(message));
    }

    /// Sends a permit of this host back to its dispatcher.
    pub(crate) fn on_release(
        &mut self,
        context: &RuntimeContext,
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

    /// Handles a message between the requesting hosts and the dispatchers.
    pub(crate) fn on_message(
        &mut self,
        context: &RuntimeContext,
        from: &HostId,
        message: DispatchMessage,
    ) {
        match message {
            DispatchMessage::Acquire(acquire) => self.on_peer_acquire(context, from, acquire),
            DispatchMessage::Withdraw { model, request } => {
                let now = context.now();
                let Some(hosted) = self.hosted.get_mut(&model) else { return };
                hosted.deferred.retain(|(_, acquire, _)| acquire.request != request);
                let actions = hosted.dispatcher.withdraw(now, request);
                perform(context, &model, actions);
            }
            DispatchMessage::Release { model, number, outcome, .. } => {
                let now = context.now();
                let Some(hosted) = self.hosted.get_mut(&model) else { return };
                hosted.last_used = now;
                let actions = hosted.dispatcher.release(now, number, outcome);
                perform(context, &model, actions);
            }
            DispatchMessage::Queued { request } => {
                if let Some(waiting) = self.waiting.get_mut(&request) {
                    waiting.unanswered = 0;
                }
            }
            DispatchMessage::Granted { request, number, runner, priority } => {
                self.on_granted(context, from, request, number, &runner, priority);
            }
            DispatchMessage::Refused { request, denial, retry_after } => {
                let Some(waiting) = self.waiting.remove(&request) else { return };
                let model = waiting.acquire.model;
                let _ = waiting.answer.send(Err(refusal(model, denial, retry_after)));
            }
        }
    }

    /// Handles a keeper's report on the slot of a model that this host dispatches.
    pub(crate) fn on_replica(&mut self, context: &RuntimeContext, report: &ReplicaReport) {
        let now = context.now();
        if context.dispatcher_of(&report.model).as_ref() != Some(&context.host) {
            return;
        }
        let Some(entry) = context.document().models.get(&report.model) else { return };
        let memory = entry.memory + entry.kv_reserve;
        let upstream = context.document().upstreams.get(&report.runner);
        let leaving = upstream.is_none_or(|upstream| upstream.leaving);
        let Some(hosted) = self.hosted_dispatcher(context, &report.model) else { return };
        let state =
            if leaving { SlotReadiness::Leaving } else { slot_readiness(now, report, memory) };
        let replica = hosted.replicas.entry(report.runner.clone()).or_insert(ReportedReplica {
            usage_sent_at: None,
            reported_at: now,
            on_runner: false,
            tier: report.tier,
        });
        replica.reported_at = now;
        replica.tier = report.tier;
        replica.on_runner = report.state.is_some();
        if report.state == Some(ReplicaState::Unloading) {
            // The keeper unloads only after a report that the replica is not in use: send one now.
            replica.usage_sent_at = None;
        }
        let (adapters, busy) = (report.adapters.clone(), report.busy);
        let mut actions = hosted.dispatcher.on_slot(now, &report.runner, state, adapters, busy);
        for (from, mut acquire, deadline) in std::mem::take(&mut hosted.deferred) {
            acquire.remaining = deadline.since(now);
            actions.extend(hosted.dispatcher.ask(now, from, acquire));
        }
        perform(context, &report.model, actions);
        self.report_usage(context, &report.model);
    }

    /// Advances all dispatchers, and repeats requests that have not been answered.
    pub(crate) fn on_tick(&mut self, context: &RuntimeContext) {
        let now = context.now();
        let models: Vec<ModelId> = self.hosted.keys().cloned().collect();
        for model in models {
            self.tick_model(context, now, &model);
        }
        let requests: Vec<RequestId> = self.waiting.keys().copied().collect();
        for request in requests {
            self.retry_waiting(context, now, request);
        }
    }

    /// Advances one dispatcher; drops it if another host has the role and nothing is left here.
    fn tick_model(&mut self, context: &RuntimeContext, now: ClockInstant, model: &ModelId) {
        let own = context.dispatcher_of(model).as_ref() == Some(&context.host);
        let Some(hosted) = self.hosted.get_mut(model) else { return };
        if !own && hosted.dispatcher.permits_out() == 0 && hosted.dispatcher.queued() == 0 {
            self.hosted.remove(model);
            return;
        }
        let mut actions = Vec::new();
        let expired: Vec<UpstreamId> = hosted
            .replicas
            .iter()
            .filter(|(_, replica)| now.since(replica.reported_at) >= REPLICA_LIFETIME)
            .map(|(runner, _)| runner.clone())
            .collect();
        for runner in expired {
            hosted.replicas.remove(&runner);
            actions.extend(hosted.dispatcher.on_slot_removed(now, &runner));
        }
        if now.since(hosted.since) >= DISCOVERY_TIME {
            for (from, mut acquire, deadline) in std::mem::take(&mut hosted.deferred) {
                acquire.remaining = deadline.since(now);
                actions.extend(hosted.dispatcher.ask(now, from, acquire));
            }
        }
        actions.extend(hosted.dispatcher.on_tick(now));
        perform(context, model, actions);
        self.report_usage(context, model);
    }

    /// Refuses a waiting request whose deadline has passed; otherwise, if an answer is overdue,
    /// asks again, after [`ATTEMPTS_PER_HOST`] attempts the next candidate.
    fn retry_waiting(&mut self, context: &RuntimeContext, now: ClockInstant, request: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        if waiting.deadline <= now {
            let model = waiting.acquire.model.clone();
            let Some(waiting) = self.waiting.remove(&request) else { return };
            let refused = PermitRefusal::TooLate { model, retry_after: ACQUIRE_TIMEOUT };
            let _ = waiting.answer.send(Err(refused));
            return;
        }
        let due = waiting.asked_at.is_none_or(|at| now.since(at) >= ACQUIRE_TIMEOUT);
        if !due {
            return;
        }
        if waiting.unanswered >= ATTEMPTS_PER_HOST {
            waiting.skipped_hosts.extend(waiting.dispatcher.take());
            waiting.unanswered = 0;
        }
        self.send_acquire(context, request);
    }

    /// Sends a waiting request to the first candidate that has not been skipped.
    fn send_acquire(&mut self, context: &RuntimeContext, request: RequestId) {
        let now = context.now();
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        let candidates = context.role_candidates("dispatcher", waiting.acquire.model.as_str());
        let Some(host) = candidates.iter().find(|host| !waiting.skipped_hosts.contains(host))
        else {
            waiting.skipped_hosts.clear();
            return;
        };
        waiting.dispatcher = Some(host.clone());
        waiting.asked_at = Some(now);
        waiting.unanswered += 1;
        let remaining = waiting.deadline.since(now);
        let acquire = AcquireRequest { remaining, ..waiting.acquire.clone() };
        context.send(host, PeerMessage::Dispatch(DispatchMessage::Acquire(acquire)));
    }

    /// Handles a permit request of another host, or of this one, at the model's dispatcher.
    fn on_peer_acquire(
        &mut self,
        context: &RuntimeContext,
        from: &HostId,
        acquire: AcquireRequest,
    ) {
        let now = context.now();
        let (model, request) = (acquire.model.clone(), acquire.request);
        let Some(hosted) = self.hosted_dispatcher(context, &model) else { return };
        let idle = hosted.dispatcher.permits_out() == 0 && hosted.dispatcher.queued() == 0;
        if idle && hosted.deferred.is_empty() {
            hosted.gaps.note_gap(now.since(hosted.last_used));
        }
        hosted.last_used = now;
        let no_replica = hosted.dispatcher.runners().next().is_none();
        if no_replica && now.since(hosted.since) < DISCOVERY_TIME {
            if !hosted.deferred.iter().any(|(_, deferred, _)| deferred.request == request) {
                let deadline = now + acquire.remaining;
                hosted.deferred.push((from.clone(), acquire, deadline));
            }
            let queued = DispatchMessage::Queued { request };
            return context.send(from, PeerMessage::Dispatch(queued));
        }
        let actions = hosted.dispatcher.ask(now, from.clone(), acquire);
        let queued = DispatchMessage::Queued { request };
        context.send(from, PeerMessage::Dispatch(queued));
        perform(context, &model, actions);
    }

    /// Hands a granted permit to the waiting caller, or gives it back if the caller is gone.
    fn on_granted(
        &mut self,
        context: &RuntimeContext,
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
            // The caller has withdrawn; the dispatcher is told by the `Withdraw` message.
            return;
        };
        let model = waiting.acquire.model;
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

    /// Returns the dispatcher of a model, created if need be; `None` if the model is not
    /// configured.
    fn hosted_dispatcher(
        &mut self,
        context: &RuntimeContext,
        model: &ModelId,
    ) -> Option<&mut HostedDispatcher> {
        let entry = context.document().models.get(model)?;
        let limits = DispatchLimits {
            concurrency: entry.concurrency,
            queue: QUEUE_PER_PERMIT * entry.concurrency as usize * entry.max_slots as usize,
        };
        let now = context.now();
        if !self.hosted.contains_key(model) {
            self.first_number += 1 << 20;
            let hosted = HostedDispatcher {
                dispatcher: ModelDispatcher::new(limits.clone(), self.first_number),
                since: now,
                replicas: BTreeMap::new(),
                gaps: GapHistogram::default(),
                last_used: now,
                deferred: Vec::new(),
            };
            self.hosted.insert(model.clone(), hosted);
        }
        let hosted = self.hosted.get_mut(model)?;
        hosted.dispatcher.set_limits(limits);
        Some(hosted)
    }

    /// Sends the keepers of a model's replicas how those are used, if that is due.
    fn report_usage(&mut self, context: &RuntimeContext, model: &ModelId) {
        let now = context.now();
        let Some(entry) = context.document().models.get(model) else { return };
        let Some(hosted) = self.hosted.get_mut(model) else { return };
        let memory = entry.memory + entry.kv_reserve;
        for (runner, replica) in &mut hosted.replicas {
            let due = replica.usage_sent_at.is_none_or(|at| now.since(at) >= USAGE_PERIOD);
            if !(replica.on_runner && due) {
                continue;
            }
            replica.usage_sent_at = Some(now);
            let busy = hosted.dispatcher.permits_on(runner) > 0;
            let load_time = LoadSpeeds::default().load_time(memory, replica.tier);
            let hold =
                hosted.gaps.keep_alive(load_time.mul_f64(COLD_START_WEIGHT)).hold.max(MIN_HOLD);
            let usage = PlacementMessage::Usage {
                model: model.clone(),
                runner: runner.clone(),
                busy,
                idle: now.since(hosted.last_used),
                hold,
            };
            if let Some(keeper) = context.keeper_of(runner) {
                context.send_placement(&keeper, usage);
            }
        }
    }
}

/// Performs the actions of the dispatcher of `model`.
fn perform(context: &RuntimeContext, model: &ModelId, actions: Vec<DispatchAction>) {
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

/// Returns how soon the slot of a keeper's report can serve, with an estimate of the time to load.
fn slot_readiness(now: ClockInstant, report: &ReplicaReport, memory: ByteSize) -> SlotReadiness {
    let load_time = LoadSpeeds::default().load_time(memory, report.tier);
    let eviction_time = if report.free >= memory { Duration::ZERO } else { EVICTION_TIME };
    match report.state {
        Some(ReplicaState::Loaded) => SlotReadiness::Ready,
        Some(ReplicaState::Loading) => SlotReadiness::Loading(now + load_time),
        Some(ReplicaState::Unloading) => SlotReadiness::Unloaded(load_time + EVICTION_TIME),
        None => SlotReadiness::Unloaded(load_time + eviction_time),
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
