//! Handles one request of a caller: admission, charging the team, dispatch, and the response.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_units::{ClockInstant, TeamId, TokenCount};
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::body::GatewayBody;
use crate::call::{CallHead, ModelChoice};
use crate::caller_memory::{BodyBuffer, CallerLink};
use crate::dispatch::{DispatchTrace, dispatch};
use crate::document::{CallerLimits, HostRoute, KeyHolder};
use crate::exchange::collect;
use crate::refusal::GatewayRefusal;
use crate::spending::charge;
use crate::state::{Host, HostState};

/// `retry-after` while this host cannot tell whether its configuration is the newest.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `retry-after` of a request that was refused as the memory for bodies is used up.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a caller sends of a body at least to make progress, in bytes.
const PROGRESS_BYTES: usize = 1 << 10;

/// Rank of a request that the configuration does not allow; nothing of its body is kept.
const UNADMITTED_PRIORITY: u8 = u8::MAX;

/// A request of a caller with its complete body.
#[derive(Debug)]
pub struct GatewayCall {
    /// Fields parsed from its headers.
    pub head: CallHead,
    /// Headers as received.
    pub headers: HeaderMap,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Host of the URI, else of the `host` header; empty if there is neither.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Complete body.
    pub body: Bytes,
    /// Connection of the caller.
    pub caller: Arc<CallerLink>,
    /// When the request head arrived.
    pub arrived: ClockInstant,
}

/// What the configuration grants a request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Route that matches the request.
    pub route: Arc<HostRoute>,
    /// Team that is charged, with its priority if it overrides the route's; `None` without a key.
    pub team: Option<(TeamId, Option<u8>)>,
    /// Whether the route needs a key, and so a fresh configuration.
    pub needs_key: bool,
    /// Tokens to charge the team.
    pub cost: TokenCount,
    /// Regions in which the request may run: those that its route and its team allow.
    pub regions: AllowedRegions,
    /// Time since the configuration was confirmed as the newest; `None` if it never was.
    pub configuration_age: Option<Duration>,
}

impl Admission {
    /// Returns the priority of the request, 0 first: that of its team, or else of its route.
    pub fn priority(&self) -> u8 {
        let own = self.team.as_ref().and_then(|(_, priority)| *priority);
        own.unwrap_or(self.route.priority)
    }
}

/// Handles one request of a caller.
pub async fn handle_request(
    host: Arc<Host>,
    caller: Arc<CallerLink>,
    request: Request<Incoming>,
) -> Response<GatewayBody> {
    let arrived = host.now();
    let (parts, body) = request.into_parts();
    let version = parts.version;
    let head = (host.wire.parse_head)(&parts.headers);
    let named = parts.uri.host().map(str::to_owned).or_else(|| {
        parts.headers.get(HOST).and_then(|value| value.to_str().ok()).map(str::to_owned)
    });
    let path = parts.uri.path().to_owned();
    let target = parts.uri.path_and_query().map_or_else(|| path.clone(), ToString::to_string);
    let mut call = GatewayCall {
        head,
        headers: parts.headers,
        method: parts.method,
        target,
        host: named.unwrap_or_default(),
        path,
        body: Bytes::new(),
        caller,
        arrived,
    };
    let (admitted, limits) = {
        let state = host.state();
        let admitted = if host.closing.is_cancelled() {
            Err(GatewayRefusal::leaving())
        } else {
            admit(&host, &state, &call)
        };
        (admitted, state.caller_limits())
    };
    if let Ok(admission) = &admitted {
        observe_age(&host, admission);
    }
    call.caller.begin(admitted.as_ref().map_or(UNADMITTED_PRIORITY, Admission::priority));
    let reading = read_body(&call.caller, body, limits, admitted.is_ok());
    let read = tokio::select! {
        biased;
        () = call.caller.refused() => Err(out_of_memory()),
        read = reading => read,
        () = host.abandoned.cancelled() => Err(GatewayRefusal::leaving()),
    };
    match read {
        Err(refusal) => {
            let mut response = finish(&host, &call, Err(refusal));
            close_after(&mut response);
            response
        }
        Ok(body) => {
            call.body = body;
            call.caller.note_complete();
            let call = Arc::new(call);
            let answering = answer(&host, &call, admitted, version);
            let answered = tokio::select! {
                biased;
                answered = answering => answered,
                () = host.abandoned.cancelled() => Err(GatewayRefusal::upstream_failed("leaving")),
            };
            finish(&host, &call, answered)
        }
    }
}

async fn answer(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admitted: Result<Admission, GatewayRefusal>,
    version: Version,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    let response = serve(host, call, admitted?).await?;
    if version < Version::HTTP_11 { buffer_response(host, response).await } else { Ok(response) }
}

/// Returns the refusal of a request that gave way: nothing of it ran.
fn out_of_memory() -> GatewayRefusal {
    GatewayRefusal::not_run("out_of_memory", MEMORY_RETRY_AFTER)
}

/// Reads a body to its end; keeps it only if `keeps` is true.
async fn read_body(
    caller: &Arc<CallerLink>,
    body: Incoming,
    limits: CallerLimits,
    keeps: bool,
) -> Result<Bytes, GatewayRefusal> {
    match timeout(limits.idle_timeout, copy_body(caller, body, limits.body_bytes, keeps)).await {
        Ok(read) => read,
        Err(_) => Err(GatewayRefusal::fixed(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}

async fn copy_body(
    caller: &Arc<CallerLink>,
    mut body: Incoming,
    longest: usize,
    keeps: bool,
) -> Result<Bytes, GatewayRefusal> {
    let too_long = || GatewayRefusal::fixed(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > longest {
        return Err(too_long());
    }
    let expected = body.size_hint().exact().map(|_| announced);
    let mut buffer = BodyBuffer::new(caller, expected, longest);
    let (mut length, mut noted) = (0, 0);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| GatewayRefusal::fixed(StatusCode::BAD_REQUEST, "body_cut_off"))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > longest {
            return Err(too_long());
        }
        if keeps && !buffer.extend(&data) {
            return Err(out_of_memory());
        }
        if length - noted >= PROGRESS_BYTES {
            noted = length;
            caller.note_progress();
        }
    }
    Ok(buffer.freeze())
}

/// Reads a response completely before its caller gets any of it, for HTTP/1.0 callers: they cannot
/// tell the end of a stream from a connection that broke off.
async fn buffer_response(
    host: &Host,
    response: Response<GatewayBody>,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    if matches!(response.body(), GatewayBody::Whole(_)) {
        return Ok(response);
    }
    let (head, body) = response.into_parts();
    let trace = head.extensions.get::<DispatchTrace>();
    let address = trace.and_then(|trace| {
        host.state().directory.get(&trace.upstream).map(|known| known.entry.address)
    });
    // Responses of upstreams that have left count as those of one.
    let peer = address.unwrap_or(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)));
    let body = collect(peer, body, &host.response_memory).await;
    let body = body.map_err(|cause| {
        spdlog::warn!("stream for an old caller broke off", kv: { cause = cause.as_str() });
        GatewayRefusal::upstream_failed("answer_broken")
    })?;
    Ok(Response::from_parts(head, GatewayBody::whole(body)))
}

/// Asks the caller to close the connection after this response.
fn close_after(response: &mut Response<GatewayBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Charges the team and dispatches the request; refunds the charge of a request that was not run.
async fn serve(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: Admission,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    if let Some((team, _)) = &admission.team {
        charge(host, team, admission.cost).await?;
    }
    let (team, cost) = (admission.team.clone(), admission.cost);
    let answered = tokio::select! {
        biased;
        () = call.caller.refused() => Err(out_of_memory()),
        answered = dispatch(host, call, admission) => answered,
    };
    if let (Err(refusal), Some((team, _))) = (&answered, &team)
        && refusal.status == StatusCode::SERVICE_UNAVAILABLE
    {
        host.state().buckets.refund(host.now(), team, cost);
    }
    answered
}

/// Counts the age of the configuration by which a request was admitted.
fn observe_age(host: &Host, admission: &Admission) {
    let access = if admission.needs_key { "keyed" } else { "open" };
    if let Some(age) = admission.configuration_age {
        let ages = &host.metrics.configuration_age;
        ages.with_label_values(&[access]).observe(age.as_secs_f64());
    }
}

/// Checks a request against the newest configuration.
///
/// # Errors
/// Fails if the configuration does not allow the request, or if it may be outdated and the answer
/// depends on that.
pub fn admit(
    host: &Host,
    state: &HostState,
    call: &GatewayCall,
) -> Result<Admission, GatewayRefusal> {
    let now = host.now();
    let fresh = state.is_fresh(now);
    let reason = match state.configuration_row.fault {
        Some(_) => "unusable_configuration",
        None => "stale_configuration",
    };
    let stale = || GatewayRefusal::not_run(reason, STALE_RETRY_AFTER);
    let unless_stale = |refusal: GatewayRefusal| if fresh { refusal } else { stale() };
    let Some(document) = &state.document else {
        return Err(GatewayRefusal::not_run("no_configuration", STALE_RETRY_AFTER));
    };
    let Some(route) = document.find_route(&call.host, &call.path) else {
        return Err(unless_stale(GatewayRefusal::fixed(StatusCode::NOT_FOUND, "no_route")));
    };
    if !route.is_usable() {
        return Err(GatewayRefusal::not_run("unreadable_route", STALE_RETRY_AFTER));
    }
    let needs_key = document.needs_keys && !route.open_to_all;
    let mut admission = Admission {
        route: route.clone(),
        team: None,
        needs_key,
        cost: TokenCount(0),
        regions: route.regions.clone(),
        configuration_age: state.document_age(now),
    };
    let may_be_served = if needs_key { fresh } else { state.may_serve_open(now) };
    if !may_be_served {
        return Err(stale());
    }
    if needs_key {
        let key = call.head.key.as_deref();
        let team = match key.map_or(KeyHolder::Nobody, |key| document.find_holder(key)) {
            KeyHolder::Team(team) => team,
            KeyHolder::Unreadable => {
                return Err(GatewayRefusal::not_run("unreadable_team", STALE_RETRY_AFTER));
            }
            KeyHolder::Nobody => {
                return Err(GatewayRefusal::fixed(StatusCode::UNAUTHORIZED, "unknown_key"));
            }
        };
        admission.cost = match (team.counts_tokens, call.head.tokens) {
            (true, Some((prompt, output))) => TokenCount(prompt.0.saturating_add(output.0)),
            (true, None) => team.default_tokens,
            (false, _) => TokenCount(1),
        };
        admission.regions = route.regions.intersect(&team.regions);
        admission.team = Some((team.name.clone(), team.priority));
    }
    Ok(admission)
}

/// Turns the result of a request into the response to the caller, and records it in the log and the
/// metrics.
fn finish(
    host: &Host,
    call: &GatewayCall,
    answered: Result<Response<GatewayBody>, GatewayRefusal>,
) -> Response<GatewayBody> {
    let now = host.now();
    let took = now.since(call.arrived);
    let (mut response, reason) = match answered {
        Ok(response) => {
            log_response(host, call, &response, took);
            (response, "upstream")
        }
        Err(refusal) => {
            let reason = refusal.reason;
            log_refusal(host, call, &refusal, took);
            (refusal.into_response(), reason)
        }
    };
    host.metrics.responses.with_label_values(&[response.status().as_str(), reason]).inc();
    host.metrics.first_byte.observe(took.as_secs_f64());
    if host.leaving.is_cancelled() || call.caller.gives_way() {
        close_after(&mut response);
    }
    response
}

fn log_response(host: &Host, call: &GatewayCall, response: &Response<GatewayBody>, took: Duration) {
    let Some(trace) = response.extensions().get::<DispatchTrace>() else { return };
    let state = host.state();
    let revision = state.document.as_ref().map_or(0, |document| document.revision);
    drop(state);
    spdlog::info!("request answered", kv: {
        request = call.head.request_id.as_str(),
        status = response.status().as_u16(),
        upstream = trace.upstream.as_str(),
        model = model_text(call.head.model.as_ref()).as_str(),
        candidates = trace.candidates,
        running = trace.running,
        sends = trace.sends,
        after_ms = took.as_millis() as u64,
        configuration = revision,
        configuration_age_ms = age_millis(trace.configuration_age),
    });
}

/// Returns an age in milliseconds for logs; -1 if it is unknown.
fn age_millis(age: Option<Duration>) -> i64 {
    age.and_then(|age| i64::try_from(age.as_millis()).ok()).unwrap_or(-1)
}

fn log_refusal(host: &Host, call: &GatewayCall, refusal: &GatewayRefusal, took: Duration) {
    let now = host.now();
    let state = host.state();
    let revision = state.document.as_ref().map_or(0, |document| document.revision);
    let age = state.document_age(now);
    drop(state);
    spdlog::info!("request refused", kv: {
        request = call.head.request_id.as_str(),
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        model = model_text(call.head.model.as_ref()).as_str(),
        after_ms = took.as_millis() as u64,
        configuration = revision,
        configuration_age_ms = age_millis(age),
    });
}

/// Formats a model and its adapter for logs; empty for a request that names no model.
pub fn model_text(choice: Option<&ModelChoice>) -> String {
    match choice {
        None => String::new(),
        Some(ModelChoice { model, adapter: None }) => model.to_string(),
        Some(ModelChoice { model, adapter: Some(adapter) }) => format!("{model}/{adapter}"),
    }
}
