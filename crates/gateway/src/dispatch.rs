//! Sending a request to an upstream, and elsewhere if it must and may.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_decisions::quarantine::RequestFingerprint;
use dotterellane_units::{ClockInstant, ServiceId, UpstreamId};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::answer::{Admission, GatewayCall, admit, model_text};
use crate::body::GatewayBody;
use crate::call::{AnswerKind, SendHead};
use crate::crashes::{fingerprint_of, report_break};
use crate::directory::{REFUSED_PAUSE, UNREACHABLE_PAUSE};
use crate::document::CallKind;
use crate::exchange::{Exchange, ExchangeError, exchange, open, read_whole};
use crate::notices;
use crate::places::{FoundPlace, find_place, spread_of};
use crate::refusal::GatewayRefusal;
use crate::relay::start_relay;
use crate::state::{Host, ResendHold};

/// Time that must be left for a send to make sense.
const LEAST_REMAINING: Duration = Duration::from_millis(60);

/// Pause after an upstream said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// Time without an answer after which a repeatable call goes to another upstream.
const REPEATABLE_SILENCE: Duration = Duration::from_millis(1_000);

/// Part of a caller's patience after which a silent send goes to another upstream.
const SILENT_PART: f64 = 0.5;

/// Most sends of one request, those included that an upstream did not take.
const MOST_SENDS: u32 = 8;

/// When a caller should come back after its request found no upstream in time.
pub const NO_PLACE_RETRY: Duration = Duration::from_millis(300);

/// What was tried for one request.
#[derive(Debug)]
pub struct Journey {
    /// When the request must be answered.
    pub deadline: ClockInstant,
    /// Service that runs it.
    pub service: ServiceId,
    /// Upstreams that it was sent to.
    pub tried: Vec<UpstreamId>,
    /// Sends so far.
    pub sends: u32,
    /// Sends after which it may have run.
    pub runs: u32,
    /// Last event that the caller has.
    pub last_event: Option<HeaderValue>,
    /// What tells this request's repetitions from others.
    pub fingerprint: RequestFingerprint,
    /// A further send that was decided on.
    pub resend: Option<ResendHold>,
}

/// What decided where a request went, for its log line.
#[derive(Clone, Debug)]
pub struct ChoiceTrace {
    /// Upstream that answered.
    pub upstream: UpstreamId,
    /// Upstreams that could have run the request.
    pub candidates: usize,
    /// Requests that the upstream was known to run then.
    pub running: u32,
    /// Sends up to the answer.
    pub sends: u32,
}

/// How a send ended.
#[derive(Debug)]
pub enum SendEnd {
    /// The head of an answer of the request's run.
    Head(FoundPlace, Box<Response<Incoming>>),
    /// No byte of the request was sent; another upstream may be asked.
    NotSent,
    /// The upstream did not run the request; another may be asked after a pause.
    NotRun(Duration),
    /// The request may have run.
    Broken(&'static str),
}

/// Finds an upstream, sends the request there, and elsewhere if it must and may.
///
/// # Errors
/// Fails if no upstream gives an answer that can be passed on.
pub async fn dispatch(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    mut admission: Admission,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    let mut journey = begin(host, call, &admission);
    let mut fallback = None;
    loop {
        let place = match find_place(host, call, &mut admission, &journey).await {
            Ok(place) => place,
            Err(refusal) => return fallback.ok_or_else(|| journey.settle(refusal)),
        };
        match send(host, call, &admission, &mut journey, place).await {
            SendEnd::Head(place, head) => {
                let trace = ChoiceTrace {
                    upstream: place.name.clone(),
                    candidates: place.candidates,
                    running: place.running,
                    sends: journey.sends,
                };
                if head.status().is_success() && admission.route.kind.is_stream() {
                    let mut answer = start_relay(host, call, admission, journey, place, *head);
                    answer.extensions_mut().insert(trace);
                    return Ok(answer);
                }
                match finish_whole(host, call, &mut journey, place, *head).await {
                    Some(mut answer) => {
                        answer.extensions_mut().insert(trace);
                        let failed = answer.status().is_server_error();
                        if !failed || !journey.may_run_again(host, &admission) {
                            return Ok(answer);
                        }
                        fallback = Some(answer);
                    }
                    None if journey.may_run_again(host, &admission) => {}
                    None => return Err(GatewayRefusal::upstream_failed("answer_broken")),
                }
            }
            SendEnd::NotSent => {}
            SendEnd::NotRun(pause) => {
                if journey.sends >= MOST_SENDS || !journey.reserve_resend(host) {
                    let refusal = GatewayRefusal::not_run("no_place", NO_PLACE_RETRY);
                    return fallback.ok_or_else(|| journey.settle(refusal));
                }
                sleep(pause).await;
            }
            SendEnd::Broken(reason) => {
                if !journey.may_run_again(host, &admission) {
                    let refusal = match journey.remaining(host) {
                        Some(_) => GatewayRefusal::upstream_failed(reason),
                        None => GatewayRefusal::timed_out(),
                    };
                    return fallback.ok_or(refusal);
                }
            }
        }
    }
}

fn begin(host: &Host, call: &GatewayCall, admission: &Admission) -> Journey {
    let now = host.now();
    let timeout = admission.route.timeout;
    let patience = call.head.timeout.map_or(timeout, |patience| patience.min(timeout));
    let fingerprint = fingerprint_of(admission.team.as_ref().map(|(team, _)| team), call);
    let service = pick_service(call, admission);
    let mut state = host.state();
    let limits = host.resend_limits(&state);
    state.resends.entry(service.clone()).or_default().note_request(now, &limits);
    if let Some(choice) = &call.head.model {
        *state.arrivals.entry((service.clone(), choice.clone())).or_default() += 1;
    }
    drop(state);
    Journey {
        deadline: call.arrived + patience,
        service,
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        last_event: call.head.last_event.clone(),
        fingerprint,
        resend: None,
    }
}

fn pick_service(call: &GatewayCall, admission: &Admission) -> ServiceId {
    let targets = &admission.route.targets;
    let total: u64 = targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut left = spread_of(call).checked_rem(total).unwrap_or(0);
    for (service, weight) in targets {
        let weight = u64::from(*weight);
        if left < weight {
            return service.clone();
        }
        left -= weight;
    }
    targets[0].0.clone()
}

impl Journey {
    /// Returns the time that is left, `None` if it is over.
    pub fn remaining(&self, host: &Host) -> Option<Duration> {
        let left = self.deadline.since(host.now());
        (left > LEAST_REMAINING).then_some(left)
    }

    /// Tells whether the request may run again although it may have run; reserves the send.
    pub fn may_run_again(&mut self, host: &Arc<Host>, admission: &Admission) -> bool {
        admission.route.kind.is_repeatable()
            && self.runs < admission.route.attempts
            && self.sends < MOST_SENDS
            && self.remaining(host).is_some()
            && self.reserve_resend(host)
    }

    /// Reserves a further send; tells whether the budget has one left.
    fn reserve_resend(&mut self, host: &Arc<Host>) -> bool {
        if self.resend.is_none() {
            self.resend = ResendHold::reserve(host, &self.service);
        }
        self.resend.is_some()
    }

    /// Turns a refusal that says "not run" into one that does not, if the request may have run.
    fn settle(&self, refusal: GatewayRefusal) -> GatewayRefusal {
        if self.runs == 0 { refusal } else { GatewayRefusal::upstream_failed(refusal.reason) }
    }
}

/// Sends the request to an upstream and waits for the head of the answer.
pub async fn send(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &Admission,
    journey: &mut Journey,
    place: FoundPlace,
) -> SendEnd {
    let Some(remaining) = journey.remaining(host) else {
        return SendEnd::NotSent;
    };
    let priority = match (&admission.team, admission.route.priority) {
        (Some((_, Some(own))), _) => *own,
        (_, of_route) => of_route,
    };
    let head = SendHead {
        upstream: &place.name,
        remaining,
        team: admission.team.as_ref().map(|(team, _)| team),
        priority: call.head.model.as_ref().map(|_| priority),
        last_event: journey.last_event.as_ref(),
    };
    // Where nobody else could run it, its place in the queue is worth more than another try.
    let again = place.replaceable && journey.runs + 1 < admission.route.attempts;
    let head_timeout = match admission.route.kind {
        CallKind::Repeatable if again => remaining.mul_f64(SILENT_PART).min(REPEATABLE_SILENCE),
        CallKind::ResumableStream if again => {
            remaining.min(admission.route.patience().mul_f64(SILENT_PART))
        }
        _ => remaining,
    };
    let may_send = {
        let (host, call, name) = (host.clone(), call.clone(), place.name.clone());
        move || may_still_send(&host, &call, &name)
    };
    let opened = open(place.address, head_timeout, Box::new(may_send.clone())).await;
    // What is known of the upstream and the request may have changed while the connection opened.
    if opened.is_ok() && !may_send() {
        return SendEnd::NotSent;
    }
    let sending = Exchange {
        method: &call.method,
        target: &call.target,
        headers: (host.wire.upstream_headers)(&call.headers, &head),
        body: call.body.clone(),
        head_timeout,
    };
    if opened.is_ok()
        && let Some(resend) = journey.resend.take()
    {
        resend.spend();
    }
    journey.sends += 1;
    journey.tried.push(place.name.clone());
    let sent = match opened {
        Ok(connection) => exchange(connection, sending).await,
        Err(error) => Err(error),
    };
    let end = classify(host, call, journey, place, sent);
    let label = match &end {
        SendEnd::Head(..) => "answered",
        SendEnd::NotSent => "not_sent",
        SendEnd::NotRun(_) => "not_run",
        SendEnd::Broken(_) => "broken",
    };
    host.metrics.sends.with_label_values(&[label]).inc();
    end
}

fn may_still_send(host: &Host, call: &GatewayCall, upstream: &UpstreamId) -> bool {
    let state = host.state();
    state.directory.may_get(host.now(), upstream) && admit(host, &state, call).is_ok()
}

fn classify(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    journey: &mut Journey,
    place: FoundPlace,
    sent: Result<Response<Incoming>, ExchangeError>,
) -> SendEnd {
    let now = host.now();
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            log_send(host, call, journey, &place.name, &error.to_string());
            return match error {
                ExchangeError::NotSent { refused, .. } => {
                    let pause = if refused { REFUSED_PAUSE } else { UNREACHABLE_PAUSE };
                    host.state().directory.note_unreachable(now, &place.name, pause);
                    host.demand_changed.notify_one();
                    journey.sends -= 1;
                    journey.tried.retain(|name| *name != place.name);
                    SendEnd::NotSent
                }
                ExchangeError::Withheld { .. } => {
                    journey.sends -= 1;
                    journey.tried.retain(|name| *name != place.name);
                    SendEnd::NotSent
                }
                ExchangeError::Broken { .. } => {
                    host.state().directory.note_failure(now, &place.name);
                    journey.runs += 1;
                    report_break(host, place.flight, place.address);
                    SendEnd::Broken("upstream_silent_or_reset")
                }
            };
        }
    };
    let kind = (host.wire.classify_answer)(
        answer.status(),
        answer.headers(),
        &call.head.request_id,
        &place.name,
    );
    if !matches!(kind, AnswerKind::Invalid(_) | AnswerKind::WrongUpstream) {
        notices::note(host, &place.name, place.born, answer.status(), answer.headers());
    }
    match kind {
        AnswerKind::Run => SendEnd::Head(place, Box::new(answer)),
        AnswerKind::NotRun => {
            log_send(host, call, journey, &place.name, "did not run it");
            SendEnd::NotRun(FULL_PAUSE)
        }
        AnswerKind::ModelNotHeld => {
            log_send(host, call, journey, &place.name, "does not hold the model");
            if let Some(choice) = &call.head.model {
                host.state().directory.note_miss(now, &place.name, choice.clone());
            }
            journey.tried.retain(|name| *name != place.name);
            SendEnd::NotRun(Duration::ZERO)
        }
        AnswerKind::WrongUpstream => {
            log_send(host, call, journey, &place.name, "another upstream has its address");
            host.state().directory.note_unreachable(now, &place.name, REFUSED_PAUSE);
            host.demand_changed.notify_one();
            SendEnd::NotRun(Duration::ZERO)
        }
        AnswerKind::Invalid(cause) => {
            log_send(host, call, journey, &place.name, cause);
            journey.runs += 1;
            SendEnd::Broken("answer_foreign")
        }
    }
}

fn log_send(host: &Host, call: &GatewayCall, journey: &Journey, upstream: &UpstreamId, what: &str) {
    spdlog::info!("send ended without an answer", kv: {
        request = call.head.request_id.as_str(),
        upstream = upstream.as_str(),
        model = model_text(call.head.model.as_ref()).as_str(),
        cause = what,
        sends = journey.sends,
        after_ms = host.now().since(call.arrived).as_millis() as u64,
    });
}

/// Reads an answer whole; `None` if it breaks off.
async fn finish_whole(
    host: &Arc<Host>,
    call: &GatewayCall,
    journey: &mut Journey,
    place: FoundPlace,
    head: Response<Incoming>,
) -> Option<Response<GatewayBody>> {
    journey.runs += 1;
    let span = journey.remaining(host).unwrap_or(LEAST_REMAINING);
    match read_whole(place.address, head, span, &host.answer_memory).await {
        Ok((status, headers, body)) => {
            if status.is_success() {
                place.flight.completed();
            }
            Some(whole_response(host, status, &headers, body))
        }
        Err(error) => {
            log_send(host, call, journey, &place.name, &error.to_string());
            report_break(host, place.flight, place.address);
            None
        }
    }
}

fn whole_response(
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
