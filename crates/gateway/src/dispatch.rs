//! Sends a request to an upstream, and retries it on others within the limits of its route.
//!
//! An attempt on which nothing was sent is repeated until the deadline. One that the upstream
//! refused to run is retried within the retry budget of the service. One that may have run is
//! retried only if, in addition, the route allows a request to run more than once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::quarantine::RequestIdentity;
use dotterellane_decisions::stream_versions::StreamDigest;
use dotterellane_units::{ClockInstant, ServiceId, UpstreamId};
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::beside::{SEARCH_INTERVAL, SilentUpstream, ask_beside, note_replaced};
use crate::body::GatewayBody;
use crate::call::SendHead;
use crate::crashes::{check_for_crash, identity_of};
use crate::document::CallKind;
use crate::exchange::{Exchange, exchange, read_whole};
use crate::guards::RetryReservation;
use crate::handler::{Admission, GatewayCall, admit};
use crate::outcomes::{SendOutcome, SentHead, classify, log_attempt};
use crate::peeked::PeekedBody;
use crate::permits::{SendTarget, is_permitted, open};
use crate::reach::SendWay;
use crate::refusal::GatewayRefusal;
use crate::relay::start_relay;
use crate::selection::{
    SelectedUpstream, SelectionFailure, ends_before_stop, id_hash, run_kind, select_upstream,
};
use crate::state::{GatewayRunKind, Host};
use crate::stream_versions::{AllowedVersions, StreamStart, start_stream};

/// Time before the deadline at which no further attempt is started.
const MIN_REMAINING: Duration = Duration::from_millis(60);

/// Maximum wait for a response head before another upstream is tried beside, for repeatable calls.
const MAX_HEAD_WAIT: Duration = Duration::from_millis(1_000);

/// Fraction of the remaining time, or of a stream's idle timeout, for which a response head is
/// awaited before another upstream is tried beside.
const HEAD_WAIT_FRACTION: f64 = 0.5;

/// Maximum number of attempts per request, including those that an upstream refused to run.
const MAX_SENDS: u32 = 8;

/// `retry-after` of a request for which no upstream was available in time.
pub const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The attempts made for one request so far.
#[derive(Debug)]
pub struct RequestProgress {
    /// When the response is due.
    pub deadline: ClockInstant,
    /// Service chosen for the request, by the weights of its route.
    pub service: ServiceId,
    /// Upstreams that were tried; another one is preferred for the next attempt.
    pub tried: Vec<UpstreamId>,
    /// Number of attempts on which the request was sent.
    pub sends: u32,
    /// Number of attempts in which the request may have run; counted when it is sent, and taken
    /// back if the upstream shows that it did not run.
    pub runs: u32,
    /// Attempt whose upstream is silent, while another upstream is sought beside it.
    pub silent: Option<SilentAttempt>,
    /// Id of the last event that the caller has received, for resuming a stream.
    pub last_event: Option<HeaderValue>,
    /// Software versions that may run the request.
    pub allowed: AllowedVersions,
    /// Digest by which its stream is remembered; `None` if it is not.
    pub stream: Option<StreamDigest>,
    /// What of the request may crash upstreams.
    pub identity: Arc<RequestIdentity>,
    /// Reservation for the next attempt, if it is a retry.
    pub retry: Option<RetryReservation>,
}

/// An attempt whose upstream may be at work but is silent.
#[derive(Clone, Debug)]
pub struct SilentAttempt {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether another attempt may go there, too.
    pub may_repeat: bool,
}

/// Why a request went to its upstream, for the log line of the response.
#[derive(Clone, Debug)]
pub struct DispatchTrace {
    /// Upstream that responded.
    pub upstream: UpstreamId,
    /// Number of upstreams that could have run the request.
    pub candidates: usize,
    /// Number of requests in flight at the upstream when it was selected, as far as known.
    pub running: u32,
    /// Number of attempts up to the response.
    pub sends: u32,
    /// Age of the configuration by which the request was last admitted.
    pub configuration_age: Option<Duration>,
}

/// Selects an upstream, sends the request there, and retries on others as the route allows.
///
/// # Errors
/// Fails if no upstream sends a response that can be passed on.
pub async fn dispatch(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    mut admission: Admission,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    let start = start_stream(host, call, &admission).await?;
    let mut progress = start_progress(host, call, &admission, start);
    let mut fallback = None;
    loop {
        let selected = match select_upstream(host, call, &mut admission, &progress).await {
            Ok(selected) => selected,
            Err(SelectionFailure::ServiceMoved) if progress.may_move() => {
                progress.move_service(host, call, &admission);
                continue;
            }
            Err(failure) => {
                let refusal = failure.into_refusal();
                return fallback.ok_or_else(|| progress.adjust_refusal(refusal));
            }
        };
        match send(host, call, &admission, &mut progress, selected).await {
            SendOutcome::Head(selected, head) => {
                let selected = *selected;
                let trace = DispatchTrace {
                    upstream: selected.name.clone(),
                    candidates: selected.candidates,
                    running: selected.running,
                    sends: progress.sends,
                    configuration_age: admission.configuration_age,
                };
                if head.status().is_success() && admission.route.kind.is_stream() {
                    let mut response =
                        start_relay(host, call, admission, progress, selected, *head);
                    response.extensions_mut().insert(trace);
                    return Ok(response);
                }
                match read_response(host, call, &progress, selected, *head).await {
                    Some(mut response) => {
                        response.extensions_mut().insert(trace);
                        let failed = response.status().is_server_error();
                        if !failed || !progress.try_reserve_rerun(host, &admission) {
                            return Ok(response);
                        }
                        fallback = Some(response);
                    }
                    None if progress.try_reserve_rerun(host, &admission) => {}
                    None => return Err(GatewayRefusal::upstream_failed("answer_broken")),
                }
            }
            SendOutcome::NotSent => {}
            SendOutcome::NotRun(pause) => {
                if progress.sends >= MAX_SENDS || !progress.reserve_retry(host) {
                    let refusal = GatewayRefusal::not_run("no_place", NO_UPSTREAM_RETRY_AFTER);
                    return fallback.ok_or_else(|| progress.adjust_refusal(refusal));
                }
                sleep(pause).await;
            }
            SendOutcome::Broken(reason) => {
                if !progress.try_reserve_rerun(host, &admission) {
                    let refusal = match progress.remaining(host) {
                        Some(_) => GatewayRefusal::upstream_failed(reason),
                        None => GatewayRefusal::timed_out(),
                    };
                    return fallback.ok_or(refusal);
                }
            }
        }
    }
}

fn start_progress(
    host: &Host,
    call: &GatewayCall,
    admission: &Admission,
    start: StreamStart,
) -> RequestProgress {
    let longest = admission.route.timeout;
    let timeout = call.head.timeout.map_or(longest, |timeout| timeout.min(longest));
    let service = start.service.unwrap_or_else(|| pick_service(call, admission));
    let identity = note_arrival(host, call, admission, &service);
    RequestProgress {
        deadline: call.arrived + timeout,
        service,
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        silent: None,
        last_event: call.head.last_event.clone(),
        allowed: start.allowed,
        stream: start.digest,
        identity,
        retry: None,
    }
}

/// Counts a request for `service`; returns what of it may crash upstreams of that service.
fn note_arrival(
    host: &Host,
    call: &GatewayCall,
    admission: &Admission,
    service: &ServiceId,
) -> Arc<RequestIdentity> {
    let mut state = host.state();
    let limits = host.retry_limits(&state);
    state.retries.entry(service.clone()).or_default().note_request(host.now(), &limits);
    if let Some(choice) = &call.head.model {
        *state.arrivals.entry((service.clone(), choice.clone())).or_default() += 1;
    }
    let team = admission.team.as_ref().map(|(team, _)| team);
    Arc::new(identity_of(team, service, call))
}

/// Picks a service of the route by the weights and the request id, of a resumed stream the one that
/// began it, so that repetitions of a request go to the same service.
pub fn pick_service(call: &GatewayCall, admission: &Admission) -> ServiceId {
    let targets = &admission.route.targets;
    let total: u64 = targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let first = call.head.resumes.as_ref().filter(|_| call.head.last_event.is_some());
    let id = first.map_or(call.head.request_id.as_bytes(), HeaderValue::as_bytes);
    let mut left = id_hash(id).checked_rem(total).unwrap_or(0);
    for (service, weight) in targets {
        let weight = u64::from(*weight);
        if left < weight {
            return service.clone();
        }
        left -= weight;
    }
    targets[0].0.clone()
}

impl RequestProgress {
    /// Returns the time until the deadline, `None` if it is too short for another attempt.
    pub fn remaining(&self, host: &Host) -> Option<Duration> {
        let left = self.deadline.since(host.now());
        (left > MIN_REMAINING).then_some(left)
    }

    /// Returns whether an attempt must not go to `upstream`, as it is silent but may be at work.
    pub fn excludes(&self, upstream: &UpstreamId) -> bool {
        let silent = self.silent.as_ref().filter(|silent| !silent.may_repeat);
        silent.is_some_and(|silent| silent.upstream == *upstream)
    }

    /// Returns whether the request must follow the route to another service. A stream that runs ends
    /// where it began.
    pub fn follows_route(&self, admission: &Admission) -> bool {
        self.runs == 0 || admission.route.kind == CallKind::Repeatable
    }

    /// Returns whether another service can take the request: it resumes no stream.
    fn may_move(&self) -> bool {
        !matches!(self.allowed, AllowedVersions::Begun(_))
    }

    /// Moves the request to the service to which the newest configuration leads.
    fn move_service(&mut self, host: &Host, call: &GatewayCall, admission: &Admission) {
        self.service = pick_service(call, admission);
        self.identity = note_arrival(host, call, admission, &self.service);
        self.tried.clear();
        // The first attempt at a service is no retry there.
        self.retry = None;
    }

    /// Reserves a retry of a request that may have run already. Returns whether the route, the
    /// deadline and the retry budget allow it.
    pub fn try_reserve_rerun(&mut self, host: &Arc<Host>, admission: &Admission) -> bool {
        admission.route.kind.is_repeatable()
            && self.runs < admission.route.attempts
            && self.sends < MAX_SENDS
            && self.remaining(host).is_some()
            && self.reserve_retry(host)
    }

    /// Reserves a retry unless one is reserved; returns whether the retry budget allows it.
    fn reserve_retry(&mut self, host: &Arc<Host>) -> bool {
        if self.retry.is_none() {
            self.retry = RetryReservation::reserve(host, &self.service);
        }
        self.retry.is_some()
    }

    /// Replaces a refusal that promises "not run" by a 502 if an earlier attempt may have run.
    fn adjust_refusal(&self, refusal: GatewayRefusal) -> GatewayRefusal {
        if self.runs == 0 { refusal } else { GatewayRefusal::upstream_failed(refusal.reason) }
    }
}

/// A request that was sent, whose response head is still to come.
struct PendingSend {
    selected: SelectedUpstream,
    asked_at: ClockInstant,
    head: BoxFuture<'static, SentHead>,
}

/// Makes one attempt: sends the request to `selected` and waits for the response head. While the
/// upstream is silent for long, another one is asked beside it; the first to respond counts.
pub async fn send(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &Admission,
    progress: &mut RequestProgress,
    selected: SelectedUpstream,
) -> SendOutcome {
    let mut patience = head_patience(host, admission, progress, &selected);
    let mut pending = match start_send(host, call, admission, progress, selected).await {
        Ok(pending) => pending,
        Err(outcome) => return outcome,
    };
    let mut probes = true;
    loop {
        if let Ok(sent) = timeout(patience, &mut pending.head).await {
            if !probes {
                note_silence(host, call, &pending.selected.name, "waited_out");
            }
            return classify(host, call, progress, pending.selected, pending.asked_at, sent);
        }
        let PendingSend { selected, head, .. } = &mut pending;
        let silent = SilentUpstream { selected, probes, may_repeat: false, sends_events: false };
        let is_sound =
            |sent: &SentHead| matches!(sent, Ok(response) if response.status().is_success());
        let end = ask_beside(host, call, admission, progress, silent, head, is_sound).await;
        probes = false;
        let how = match (&end.first, &end.other) {
            (_, Some(_)) => "handed_over",
            (Some(Ok(_)), None) => "waited_out",
            (Some(Err(_)), None) => "broke",
            (None, None) if end.gone => "gone",
            (None, None) => {
                patience = SEARCH_INTERVAL;
                continue;
            }
        };
        let PendingSend { selected, asked_at, head } = pending;
        drop(head);
        note_silence(host, call, &selected.name, how);
        let own = match end.first {
            Some(sent) => classify(host, call, progress, selected, asked_at, sent),
            None => {
                note_replaced(host, selected);
                SendOutcome::Broken("upstream_silent_or_reset")
            }
        };
        return match end.other {
            Some((other, head)) => SendOutcome::Head(Box::new(other), Box::new(head)),
            None => own,
        };
    }
}

/// Makes one attempt: sends the request to `selected` and waits for the response head until the
/// deadline.
pub async fn send_once(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &Admission,
    progress: &mut RequestProgress,
    selected: SelectedUpstream,
) -> SendOutcome {
    match start_send(host, call, admission, progress, selected).await {
        Ok(PendingSend { selected, asked_at, head }) => {
            let sent = head.await;
            classify(host, call, progress, selected, asked_at, sent)
        }
        Err(outcome) => outcome,
    }
}

/// Returns for how long a response head is awaited before another upstream is asked beside.
fn head_patience(
    host: &Host,
    admission: &Admission,
    progress: &RequestProgress,
    selected: &SelectedUpstream,
) -> Duration {
    let remaining = progress.remaining(host).unwrap_or(MIN_REMAINING);
    // Without another upstream, waiting in this one's queue is better than a second attempt.
    let may_retry = selected.replaceable && progress.runs + 1 < admission.route.attempts;
    match admission.route.kind {
        CallKind::Repeatable if may_retry => {
            remaining.mul_f64(HEAD_WAIT_FRACTION).min(MAX_HEAD_WAIT)
        }
        CallKind::ResumableStream if may_retry => {
            remaining.min(admission.route.idle_timeout().mul_f64(HEAD_WAIT_FRACTION))
        }
        // The response head is awaited until the deadline.
        _ => Duration::MAX,
    }
}

/// Sends the request to `selected`.
///
/// # Errors
/// Returns the outcome if nothing was sent.
async fn start_send(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &Admission,
    progress: &mut RequestProgress,
    selected: SelectedUpstream,
) -> Result<PendingSend, SendOutcome> {
    let Some(remaining) = progress.remaining(host) else {
        return Err(SendOutcome::NotSent);
    };
    let head = SendHead {
        upstream: &selected.name,
        remaining,
        team: admission.team.as_ref().map(|(team, _)| team),
        priority: call.head.model.as_ref().map(|_| admission.priority()),
        last_event: progress.last_event.as_ref(),
    };
    let may_send = {
        let (host, call, name) = (host.clone(), call.clone(), selected.name.clone());
        let kind = run_kind(&call, admission, &progress.service);
        let (deadline, follows) = (progress.deadline, progress.follows_route(admission));
        move || may_still_send(&host, &call, &name, &kind, deadline, follows)
    };
    let target = SendTarget {
        upstream: selected.name.clone(),
        address: selected.address,
        started_at: selected.started_at,
        permit: selected.permit.clone(),
        regions: admission.regions.clone(),
    };
    let headers = (host.wire.upstream_headers)(&call.headers, &head);
    // From here on, the request does not give way for memory.
    if !call.caller.note_sent() {
        // The refusal of the request ends this attempt.
        yield_now().await;
        return Err(SendOutcome::NotSent);
    }
    let check = Box::new(may_send.clone());
    let opened = open(host, &target, remaining, SendWay::AnyHost, check).await;
    // Things may have changed while the connection was established.
    if opened.is_ok() && !(may_send() && is_permitted(host, &target)) {
        return Err(SendOutcome::NotSent);
    }
    if opened.is_ok()
        && let Some(retry) = progress.retry.take()
    {
        retry.spend();
    }
    // Counted before the response arrives, as the attempt may be dropped before.
    progress.sends += 1;
    progress.runs += 1;
    progress.tried.push(selected.name.clone());
    let asked_at = host.now();
    let connection = match opened {
        Ok(connection) => connection,
        Err(error) => return Err(classify(host, call, progress, selected, asked_at, Err(error))),
    };
    let head = {
        let call = call.clone();
        async move {
            let sending = Exchange {
                method: &call.method,
                target: &call.target,
                headers,
                body: call.body.clone(),
                head_timeout: remaining,
            };
            exchange(connection, sending).await
        }
        .boxed()
    };
    Ok(PendingSend { selected, asked_at, head })
}

/// Counts a silence before the response head, and logs how it ended.
fn note_silence(host: &Host, call: &GatewayCall, upstream: &UpstreamId, end: &str) {
    host.metrics.silences.with_label_values(&["head", end]).inc();
    spdlog::info!("silence before a response ended", kv: {
        request = call.head.request_id.as_str(),
        upstream = upstream.as_str(),
        end = end,
        after_ms = host.now().since(call.arrived).as_millis() as u64,
    });
}

/// Returns whether the upstream may still get the request, the configuration still allows it and, if
/// the request `follows` its route, leads to that service, and whether it ends in time if this
/// process is stopping.
fn may_still_send(
    host: &Host,
    call: &GatewayCall,
    upstream: &UpstreamId,
    kind: &GatewayRunKind,
    deadline: ClockInstant,
    follows: bool,
) -> bool {
    let state = host.state();
    let now = host.now();
    let is_in = |regions: &AllowedRegions| {
        state.directory.get(upstream).is_some_and(|known| state.directory.is_in(known, regions))
    };
    state.directory.may_get(now, upstream)
        && admit(host, &state, call).is_ok_and(|admission| {
            is_in(&admission.regions) && (!follows || admission.route.leads_to(&kind.group.0))
        })
        && ends_before_stop(&state, now, kind, deadline)
}

/// Reads the complete response body; `None` if the response breaks off.
async fn read_response(
    host: &Arc<Host>,
    call: &GatewayCall,
    progress: &RequestProgress,
    selected: SelectedUpstream,
    head: Response<PeekedBody>,
) -> Option<Response<GatewayBody>> {
    let span = progress.remaining(host).unwrap_or(MIN_REMAINING);
    match read_whole(selected.address, head, span, &host.response_memory).await {
        Ok((status, headers, body)) => {
            if status.is_success()
                && let Some(in_flight) = selected.in_flight
            {
                in_flight.completed();
                selected.running_guard.complete();
            }
            Some(build_response(host, status, &headers, body))
        }
        Err(error) => {
            log_attempt(host, call, progress, &selected.name, &error.to_string());
            if let Some(in_flight) = selected.in_flight {
                check_for_crash(host, in_flight, selected.address);
            }
            None
        }
    }
}

fn build_response(
    host: &Host,
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<GatewayBody> {
    let mut response = Response::new(GatewayBody::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = (host.wire.caller_headers)(headers);
    response
}
