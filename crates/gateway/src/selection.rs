//! Selects the upstream for a request, and waits until one can run it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::quarantine::{
    CrashSummary, RequestIdentity, RequestSuspicion, UpstreamStart,
};
use dotterellane_decisions::room_account::{RoomRequest, RoomShortage};
use dotterellane_decisions::run_times::{LateRequest, RunKind};
use dotterellane_decisions::send_permits::SendPermit;
use dotterellane_decisions::upstream_choice::choose_upstream;
use dotterellane_units::{ClockInstant, ServiceId, SoftwareVersion, UpstreamId};
use http::StatusCode;
use tokio::time::timeout;

use crate::candidates::{CandidateSet, collect_candidates};
use crate::crashes::InFlightGuard;
use crate::dispatch::{NO_UPSTREAM_RETRY_AFTER, RequestProgress};
use crate::guards::{RoomWaiter, RunningGuard, WaitingGuard};
use crate::handler::{Admission, GatewayCall, admit};
use crate::permit_search::{PermitSearch, PermitStep};
use crate::permits::request_permit;
use crate::refusal::GatewayRefusal;
use crate::state::{GatewayRunKind, Host, HostState, WaitingRequest};
use crate::stream_versions::AllowedVersions;
use crate::stream_versions::history::want_history;

/// Interval between two attempts to select an upstream if no change wakes the request before.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest interval between two attempts, while a permit is held whose upstream cannot be used.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(2);

/// `retry-after` while no upstream of a service is where a request may run: hosts learn within about
/// this time that an evacuation was taken back, or that an upstream can be reached again.
const DISPLACED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `retry-after` of a request whose service was moved: the next one goes to the new service.
const MOVED_RETRY_AFTER: Duration = Duration::ZERO;

/// Fraction of the idle timeout for which a request waits until a runner holds its model.
const MAX_WAIT_FRACTION: f64 = 0.6;

/// Time after SIGTERM for which requests still wait for an upstream.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(1_500);

/// An upstream selected for a request, which is counted as running there.
#[derive(Debug)]
pub struct SelectedUpstream {
    /// Name of the upstream.
    pub name: UpstreamId,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
    /// Version of its software, as its row states it.
    pub version: Option<SoftwareVersion>,
    /// The permit to send there, if the upstream has a rate limit.
    pub permit: Option<Box<SendPermit>>,
    /// Whether another upstream could run the request that neither failed recently nor was tried.
    pub replaceable: bool,
    /// Number of upstreams that could run the request.
    pub candidates: usize,
    /// Number of requests that the fleet was known to run there, without this one.
    pub running: u32,
    /// Counts the request as running there; removed on drop.
    pub running_guard: RunningGuard,
    /// Counts the request as a suspect if the upstream crashes; removed on drop. `None` once the
    /// upstream has failed.
    pub in_flight: Option<InFlightGuard>,
}

/// Result of one attempt to select an upstream.
#[derive(Debug)]
enum Selection {
    /// An upstream that can run the request now.
    Selected(Box<SelectedUpstream>),
    /// Upstreams could run it if they had room.
    Full(RoomShortage),
    /// Only upstreams with a rate limit can run it.
    Limited(PermitStep),
}

/// Why no upstream was selected for a request.
#[derive(Debug)]
pub enum SelectionFailure {
    /// The configuration no longer leads to the service that was picked for the request.
    ServiceMoved,
    /// The request is refused.
    Refused(GatewayRefusal),
}

impl From<GatewayRefusal> for SelectionFailure {
    fn from(refusal: GatewayRefusal) -> Self {
        Self::Refused(refusal)
    }
}

impl SelectionFailure {
    /// Returns the refusal of a request that is not tried again.
    pub fn into_refusal(self) -> GatewayRefusal {
        match self {
            Self::ServiceMoved => GatewayRefusal::not_run("service_moved", MOVED_RETRY_AFTER),
            Self::Refused(refusal) => refusal,
        }
    }
}

/// Selects an upstream that can run the request now; waits for one if there is none, unless an
/// upstream is at work on the request already.
///
/// # Errors
/// Fails if there is none in time, or if the configuration no longer allows the request.
pub async fn select_upstream(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &mut Admission,
    progress: &RequestProgress,
) -> Result<SelectedUpstream, SelectionFailure> {
    let mut waiting: Option<WaitingGuard> = None;
    let mut has_waited = false;
    let started = host.now();
    let may_wait = progress.silent.is_none();
    let longest = admission.route.idle_timeout().mul_f64(MAX_WAIT_FRACTION);
    let latest = if may_wait { started + longest } else { started };
    let team = admission.team.as_ref().map(|(team, _)| team.clone());
    let mut room = RoomRequest { memory: call.head.size().max_memory(), has_waited: false };
    let mut room_wait: Option<RoomWaiter> = None;
    let mut search = PermitSearch::new(team, admission.priority(), progress.deadline, latest);
    loop {
        let changed = host.holdings_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        search.expire(host.now());
        let Some(left) = progress.remaining(host) else {
            return Err(refusal_at_deadline(call, has_waited).into());
        };
        let selection = try_select(host, call, admission, progress, &search, &room)?;
        let is_full = matches!(selection, Selection::Full(_));
        match selection {
            Selection::Selected(selected) => {
                if waiting.is_some() {
                    let waited = host.now().since(started);
                    host.metrics.model_wait.observe(waited.as_secs_f64());
                }
                return Ok(*selected);
            }
            Selection::Limited(PermitStep::Request(request)) => {
                let upstream = request.upstream.clone();
                search.record(upstream, request_permit(host, request).await);
                continue;
            }
            Selection::Limited(PermitStep::TooLate(slot)) => {
                if let Some(wait) = wait_past(host, call, admission, progress, latest, slot) {
                    return Err(GatewayRefusal::not_run("upstreams_at_rate_limit", wait).into());
                }
            }
            Selection::Full(RoomShortage::TooLarge) => {
                return Err(GatewayRefusal::not_run("too_large", NO_UPSTREAM_RETRY_AFTER).into());
            }
            Selection::Full(_) if room_wait.is_none() => room_wait = Some(RoomWaiter::new(host)),
            Selection::Full(_) | Selection::Limited(PermitStep::Wait | PermitStep::Nothing) => {}
        }
        room.has_waited = true;
        if let Some(refusal) =
            refusal_of_wait(host, call, admission, progress, latest, is_full, &search)
        {
            return Err(refusal.into());
        }
        if let Some(choice) = &call.head.model
            && waiting.as_ref().is_none_or(|guard| guard.regions() != &admission.regions)
            && may_wait
            && !is_full
        {
            let worth = call.head.tokens.map_or(1_000, |(prompt, output)| {
                prompt.0.saturating_add(output.0.saturating_mul(10))
            });
            let waiting_request = WaitingRequest {
                service: progress.service.clone(),
                choice: choice.clone(),
                regions: admission.regions.clone(),
                worth: u32::try_from(worth).unwrap_or(u32::MAX),
            };
            waiting = Some(WaitingGuard::new(host, waiting_request));
        }
        if progress.allowed == AllowedVersions::Settled {
            want_history(host);
        }
        let until_slot = search.slot_in(host.now()).unwrap_or(RECHECK_INTERVAL);
        let longest = RECHECK_INTERVAL.min(left).min(until_slot.max(MIN_RECHECK_INTERVAL));
        has_waited = true;
        let _woken = timeout(longest, changed).await;
    }
}

/// Returns why the request can't wait any longer for an upstream; `None` if it may.
fn refusal_of_wait(
    host: &Host,
    call: &GatewayCall,
    admission: &Admission,
    progress: &RequestProgress,
    latest: ClockInstant,
    is_full: bool,
    search: &PermitSearch,
) -> Option<GatewayRefusal> {
    let (now, stop) = (host.now(), host.state().stop);
    if stop.is_some_and(|stop| now.since(stop.requested) > SHUTDOWN_WAIT) {
        return Some(GatewayRefusal::leaving());
    }
    let displacement =
        host.state().directory.displacement(now, &progress.service, &admission.regions);
    if let Some(reason) = displacement {
        return Some(GatewayRefusal::not_run(reason, DISPLACED_RETRY_AFTER));
    }
    if let Some(pause) = pause_past(host, call, admission, progress, latest) {
        return Some(GatewayRefusal::not_run("upstreams_want_a_pause", pause));
    }
    let is_over = now > latest && search.slot_in(now).is_none();
    let reason = if is_full { "upstreams_full" } else { "no_place_soon" };
    is_over.then(|| GatewayRefusal::not_run(reason, NO_UPSTREAM_RETRY_AFTER))
}

/// Returns the refusal of a request whose deadline is too near for another attempt.
fn refusal_at_deadline(call: &GatewayCall, has_waited: bool) -> GatewayRefusal {
    let reason = match &call.head.model {
        _ if !has_waited => "deadline_too_near",
        Some(_) => "no_runner_holds_model",
        None => "no_upstream",
    };
    GatewayRefusal::not_run(reason, NO_UPSTREAM_RETRY_AFTER)
}

/// Returns the time until an upstream accepts the request, at `slot` or at the end of a pause,
/// unless that is before `latest` and the deadline.
fn wait_past(
    host: &Host,
    call: &GatewayCall,
    admission: &Admission,
    progress: &RequestProgress,
    latest: ClockInstant,
    slot: ClockInstant,
) -> Option<Duration> {
    let now = host.now();
    let choice = call.head.model.as_ref();
    let (service, regions) = (&progress.service, &admission.regions);
    let pause_end = host.state().directory.next_pause_end(now, service, choice, regions);
    match pause_end {
        Some(end) if end <= latest.min(progress.deadline) => None,
        Some(end) => Some(end.min(slot).since(now)),
        None => Some(slot.since(now)),
    }
}

/// Returns the time until an upstream accepts the request, if all that could run it asked for a
/// pause that ends after `latest` or after the deadline.
fn pause_past(
    host: &Host,
    call: &GatewayCall,
    admission: &Admission,
    progress: &RequestProgress,
    latest: ClockInstant,
) -> Option<Duration> {
    let now = host.now();
    let state = host.state();
    let choice = call.head.model.as_ref();
    let (service, regions) = (&progress.service, &admission.regions);
    let end = state.directory.first_pause_end(now, service, choice, regions)?;
    (end > latest.min(progress.deadline)).then(|| end.since(now))
}

/// Selects an upstream that can run the request now.
fn try_select(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &mut Admission,
    progress: &RequestProgress,
    search: &PermitSearch,
    room: &RoomRequest,
) -> Result<Selection, SelectionFailure> {
    let now = host.now();
    let mut state = host.state();
    // The configuration may have changed or become stale while the request waited.
    *admission = admit(host, &state, call)?;
    if progress.follows_route(admission) && !admission.route.leads_to(&progress.service) {
        return Err(SelectionFailure::ServiceMoved);
    }
    let kind = run_kind(call, admission, &progress.service);
    if !ends_before_stop(&state, now, &kind, progress.deadline) {
        return Err(GatewayRefusal::leaving().into());
    }
    let suspicion = state.crashes.suspicion(now, &progress.identity);
    if suspicion == RequestSuspicion::Quarantined {
        let summary = state.crashes.summary(now, &progress.identity);
        drop(state);
        log_quarantined(call, summary);
        let refusal = GatewayRefusal::fixed(StatusCode::SERVICE_UNAVAILABLE, "crashes_upstreams");
        return Err(refusal.into());
    }
    let candidates =
        collect_candidates(host, &state, now, call, progress, &admission.regions, room);
    let CandidateSet { limited, open, full } = &candidates;
    let permitted = limited.iter().find(|candidate| search.due(now, &candidate.name).is_some());
    let tie_break = id_hash(call.head.request_id.as_bytes());
    let price = host.settings.spill.as_ref();
    let Some(chosen) = permitted.or_else(|| choose_upstream(open, price, tie_break)) else {
        if let (true, Some((_, shortage))) = (limited.is_empty(), full.first()) {
            full.iter().for_each(|(candidate, _)| state.room.note_wanted(&candidate.name));
            return Ok(Selection::Full(*shortage));
        }
        return Ok(Selection::Limited(search.next_step(&state, now, limited)));
    };
    if let Some(request) = search.offer(&mut state, now, limited) {
        return Ok(Selection::Limited(PermitStep::Request(request)));
    }
    let name = chosen.name.clone();
    let permit = search.due(now, &name).cloned().map(Box::new);
    let replaceable = open.iter().any(|one| one.name != name && !one.tried && !one.failing);
    let running = chosen.room.load.requests;
    let Some(entry) = state.directory.get(&name).map(|known| &known.entry) else {
        return Ok(Selection::Limited(PermitStep::Nothing));
    };
    let (address, started_at) = (entry.address, entry.report.started_at);
    let version = entry.version.clone();
    let start = UpstreamStart { upstream: name.clone(), started_at: Some(started_at) };
    if !state.crashes.try_start(now, &progress.identity, &start) {
        return Ok(Selection::Limited(PermitStep::Nothing));
    }
    note_suspicion(host, &mut state, call, &progress.identity, suspicion);
    let domain = if chosen.same_domain { "own" } else { "other" };
    host.metrics.selections.with_label_values(&[domain]).inc();
    let in_flight = Some(InFlightGuard::new(host, progress.identity.clone(), start));
    let choice = call.head.model.clone();
    let running_guard =
        RunningGuard::new(host, &mut state, name.clone(), choice, kind, room.memory);
    let candidates = candidates.count();
    Ok(Selection::Selected(Box::new(SelectedUpstream {
        name,
        address,
        service: progress.service.clone(),
        started_at,
        version,
        permit,
        replaceable,
        candidates,
        running,
        running_guard,
        in_flight,
    })))
}

/// Returns the kind of a request's run at an upstream of `service`.
pub fn run_kind(call: &GatewayCall, admission: &Admission, service: &ServiceId) -> GatewayRunKind {
    let model = call.head.model.as_ref().map(|choice| choice.model.clone());
    RunKind { group: (service.clone(), admission.route.kind), member: model }
}

/// Returns whether a run that is due at `deadline` is expected to end before this process does;
/// always before SIGTERM.
pub fn ends_before_stop(
    state: &HostState,
    now: ClockInstant,
    kind: &GatewayRunKind,
    deadline: ClockInstant,
) -> bool {
    let Some(stop) = &state.stop else { return true };
    let (_, calls) = &kind.group;
    let repeatable = calls.is_repeatable();
    let request = LateRequest { kind, left: deadline.since(now), repeatable };
    state.run_times.may_begin(now, stop, &request)
}

/// Counts a request that runs although something is held against it, and logs a trial.
fn note_suspicion(
    host: &Host,
    state: &mut HostState,
    call: &GatewayCall,
    identity: &RequestIdentity,
    suspicion: RequestSuspicion,
) {
    if suspicion == RequestSuspicion::Nothing {
        return;
    }
    host.metrics.suspected_runs.with_label_values(&[suspicion.as_str()]).inc();
    if suspicion == RequestSuspicion::OnTrial {
        let summary = state.crashes.summary(host.now(), identity);
        spdlog::warn!("request with a quarantined part runs on trial", kv: {
            request = call.head.request_id.as_str(),
            suspect = summary.suspect.to_string().as_str(),
            crashes = summary.crashes,
        });
    }
}

fn log_quarantined(call: &GatewayCall, summary: CrashSummary) {
    spdlog::warn!("quarantined request refused", kv: {
        request = call.head.request_id.as_str(),
        suspect = summary.suspect.to_string().as_str(),
        crashes = summary.crashes,
        companions = summary.companions,
    });
}

/// Returns a hash of a request's id, so that repetitions of a request go the same way.
pub fn id_hash(id: &[u8]) -> u64 {
    let digest = blake3::hash(id);
    let mut hash = [0; 8];
    hash.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(hash)
}
