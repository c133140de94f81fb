//! Calls of plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use dotterellane_fleet::ChargeRequest;
use dotterellane_settings::document::{
    CallKind, CallerScope, ConfigurationDocument, ServiceEntry, UpstreamRole,
};
use dotterellane_units::{ClockInstant, RequestId, ServiceId, TokenCount};
use dotterellane_upstream::{CallLimits, CallRequest, OpenAnswer, send_call};
use http::request::Parts;
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use crate::admission::{charge_team, check_freshness, deadline_exceeded};
use crate::answer::identify;
use crate::attempt::ReachFlag;
use crate::body::{BoundedBuffer, EntryBody, read_body};
use crate::context::{EntryContext, SharedContext};
use crate::headers::{service_answer_headers, service_headers};
use crate::holds::ChargeHold;
use crate::key_watch::while_key_valid;
use crate::keys::{CallerIdentity, refuse_keys};
use crate::once_calls::run_once;
use crate::refusal::{DEFAULT_RETRY_AFTER, EntryRefusal, RefusalKind};

const SERVICES_PREFIX: &str = "/services/";

/// A path below `/services/`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePath {
    /// Name of the service.
    pub name: String,
    /// Path and query at the service.
    pub target: String,
}

impl ServicePath {
    /// Reads `/services/{name}/...`.
    pub fn parse(uri: &Uri) -> Option<Self> {
        let rest = uri.path().strip_prefix(SERVICES_PREFIX)?;
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        Some(Self { name: name.to_owned(), target: format!("/{path}{query}") })
    }
}

/// One call of a service, checked against the configuration.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Number of the request within the fleet.
    pub request: RequestId,
    /// Caller, `None` on a route open to all.
    pub identity: Option<CallerIdentity>,
    /// Service.
    pub service: ServiceId,
    /// Whether the call may be sent again.
    pub kind: CallKind,
    /// Method.
    pub method: Method,
    /// Path and query at the service.
    pub target: String,
    /// Headers that the service may see.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Instances of the service, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// When the caller must have been answered.
    pub deadline: ClockInstant,
}

/// A whole answer of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers that the caller may see.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServiceAnswer {
    /// Builds the answer to the caller.
    pub fn into_response(self) -> Response<EntryBody> {
        let mut response = Response::new(EntryBody::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Calls a service for a caller.
///
/// # Errors
/// Refuses what the configuration does not allow, and calls without a whole answer.
pub async fn call_service(
    context: SharedContext,
    id: RequestId,
    path: ServicePath,
    head: Parts,
    body: Incoming,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let (_, entry) = admit(&context, &path, &head)?;
    let bound = entry.body_bound.min(context.limits.body);
    let body = read_body(body, bound, &context.limits).await?;
    // The configuration may have changed while the body came in.
    let (identity, entry) = admit(&context, &path, &head)?;
    let call = build_call(&context, id, path, &head, body, (identity, &entry))?;
    let charge = charge_call(&context, &call, entry.cost).await?;
    match call.kind {
        CallKind::OnceOnly => run_once(context, call, &head.headers, charge).await,
        CallKind::Repeatable => run_repeatable(&context, call, charge).await,
    }
}

/// Finds the service and the caller under a configuration that is known to be the newest.
fn admit(
    context: &EntryContext,
    path: &ServicePath,
    head: &Parts,
) -> Result<(Option<CallerIdentity>, ServiceEntry), EntryRefusal> {
    check_freshness(context)?;
    let snapshot = context.ports.configuration.current();
    let found =
        path.name.parse().ok().and_then(|id: ServiceId| snapshot.document.services.get(&id));
    if let Some(entry) = found.filter(|entry| entry.callers == CallerScope::Open) {
        return Ok((None, entry.clone()));
    }
    // Who has no key does not learn which services exist.
    let (identity, _) = identify(context, head)?;
    let entry = found.ok_or_else(|| {
        let message = format!("the service {:?} does not exist", path.name);
        EntryRefusal::before_sending(RefusalKind::NotFound, message)
    })?;
    if entry.callers.allows(&identity.team) {
        return Ok((Some(identity), entry.clone()));
    }
    let message = format!("team {} may not call {}", identity.team, path.name);
    Err(EntryRefusal::before_sending(RefusalKind::Forbidden, message))
}

fn build_call(
    context: &EntryContext,
    request: RequestId,
    path: ServicePath,
    head: &Parts,
    body: Bytes,
    (identity, entry): (Option<CallerIdentity>, &ServiceEntry),
) -> Result<ServiceCall, EntryRefusal> {
    let snapshot = context.ports.configuration.current();
    let headers = service_headers(&head.headers);
    let decoded = percent_decoded(&path.target);
    let parts = [path.target.as_bytes(), &decoded, &body];
    refuse_keys(&parts, &headers, &snapshot.document)?;
    let service = path
        .name
        .parse::<ServiceId>()
        .map_err(|error| EntryRefusal::before_sending(RefusalKind::NotFound, error.to_string()))?;
    let addresses = instances(&service, &snapshot.document);
    if addresses.is_empty() {
        let message = format!("{service} has no instance that takes calls");
        return Err(EntryRefusal::before_sending(RefusalKind::Unavailable, message));
    }
    Ok(ServiceCall {
        request,
        identity,
        service,
        kind: entry.calls,
        method: head.method.clone(),
        target: path.target,
        headers,
        body,
        addresses,
        deadline: context.ports.clock.now() + entry.deadline_seconds,
    })
}

/// Returns the instances that take calls, in random order.
fn instances(service: &ServiceId, document: &ConfigurationDocument) -> Vec<SocketAddr> {
    let serves = |role: &UpstreamRole| matches!(role, UpstreamRole::Service(id) if id == service);
    let upstreams = document.upstreams.values();
    let mut addresses: Vec<_> = upstreams
        .filter(|upstream| serves(&upstream.role) && !upstream.leaving)
        .map(|upstream| upstream.address)
        .collect();
    addresses.shuffle(&mut rand::rng());
    addresses
}

async fn charge_call(
    context: &SharedContext,
    call: &ServiceCall,
    cost: TokenCount,
) -> Result<Option<ChargeHold>, EntryRefusal> {
    let Some(identity) = call.identity.as_ref().filter(|_| cost.0 > 0) else { return Ok(None) };
    let charge = ChargeRequest {
        request: call.request,
        team: identity.team.clone(),
        tokens: cost,
        deadline: call.deadline,
    };
    let mut hold = charge_team(context, charge).await?;
    hold.set_used(cost);
    Ok(Some(hold))
}

async fn run_repeatable(
    context: &EntryContext,
    call: ServiceCall,
    mut charge: Option<ChargeHold>,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let reached = ReachFlag::default();
    let work = try_instances(context, &call, &reached);
    let answered = match &call.identity {
        Some(identity) => while_key_valid(context, identity, &reached, work).await,
        None => work.await,
    };
    if !reached.get() {
        refund_all(&mut charge);
    }
    answered.map(ServiceAnswer::into_response)
}

/// Gives back the whole charge of a call of which nothing was run.
pub(crate) fn refund_all(charge: &mut Option<ChargeHold>) {
    if let Some(charge) = charge {
        charge.set_used(TokenCount(0));
    }
}

async fn try_instances(
    context: &EntryContext,
    call: &ServiceCall,
    reached: &ReachFlag,
) -> Result<ServiceAnswer, EntryRefusal> {
    let attempts = usize::try_from(context.limits.attempts).unwrap_or(usize::MAX);
    let addresses = call.addresses.iter().cycle().take(attempts);
    let mut failure = no_answer();
    for address in addresses {
        let time_left = context.time_left(call.deadline);
        if time_left.is_zero() {
            return Err(deadline_exceeded().with_reached(reached.get()));
        }
        match try_instance(context, call, *address, false).await {
            InstanceOutcome::Answered(answer) => {
                reached.set(true);
                return Ok(answer);
            }
            InstanceOutcome::NotRun(refusal) => failure = refusal,
            InstanceOutcome::Unknown(refusal) => {
                reached.set(true);
                failure = refusal;
            }
        }
    }
    Err(failure.with_reached(reached.get()))
}

/// How a call at one instance ended.
#[derive(Debug)]
pub(crate) enum InstanceOutcome {
    /// The whole answer came.
    Answered(ServiceAnswer),
    /// It is certain that nothing was run.
    NotRun(EntryRefusal),
    /// It may have run.
    Unknown(EntryRefusal),
}

/// Calls one instance; leaves half of the time for another attempt unless there is none.
pub(crate) async fn try_instance(
    context: &EntryContext,
    call: &ServiceCall,
    address: SocketAddr,
    last: bool,
) -> InstanceOutcome {
    if let Err(refusal) = check_instance(context, call, address) {
        return InstanceOutcome::NotRun(refusal);
    }
    let time_left = context.time_left(call.deadline);
    let share = if last { time_left } else { time_left / 2 };
    let request = CallRequest {
        address,
        request: call.request,
        method: call.method.clone(),
        target: call.target.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        dedicated_connection: call.kind == CallKind::OnceOnly,
        echo_required: false,
        limits: CallLimits { connect: context.limits.connect.min(share), first_byte: share },
    };
    let answer = match send_call(&context.pool, &request).await {
        Ok(answer) => answer,
        Err(error) if error.reached => return InstanceOutcome::Unknown(no_answer()),
        Err(_) => return InstanceOutcome::NotRun(not_reached(call)),
    };
    if answer.says_not_run() {
        return InstanceOutcome::NotRun(not_reached(call));
    }
    match timeout(context.time_left(call.deadline), read_whole(context, answer)).await {
        Ok(Some(answer)) => InstanceOutcome::Answered(answer),
        Ok(None) => InstanceOutcome::Unknown(no_answer()),
        Err(_) => InstanceOutcome::Unknown(deadline_exceeded()),
    }
}

/// Refuses once this host is stale or the instance takes no new calls; the call may have waited.
fn check_instance(
    context: &EntryContext,
    call: &ServiceCall,
    address: SocketAddr,
) -> Result<(), EntryRefusal> {
    check_freshness(context)?;
    let snapshot = context.ports.configuration.current();
    if instances(&call.service, &snapshot.document).contains(&address) {
        return Ok(());
    }
    Err(not_reached(call))
}

async fn read_whole(context: &EntryContext, mut answer: OpenAnswer) -> Option<ServiceAnswer> {
    let mut buffer = BoundedBuffer::new(context.limits.answer);
    loop {
        match answer.body.data().await {
            Ok(Some(data)) if buffer.push(&data) => (),
            Ok(None) => break,
            Ok(Some(_)) | Err(_) => return None,
        }
    }
    let headers = service_answer_headers(&answer.headers);
    Some(ServiceAnswer { status: answer.status, headers, body: buffer.freeze() })
}

fn no_answer() -> EntryRefusal {
    let message = "the service gave no whole answer; the call may have run";
    EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message).with_reached(true)
}

fn not_reached(call: &ServiceCall) -> EntryRefusal {
    let message = format!("no instance of {} took the call", call.service);
    EntryRefusal::before_sending(RefusalKind::Unavailable, message)
        .with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Undoes percent-encoding once, for the search for keys.
fn percent_decoded(target: &str) -> Vec<u8> {
    let bytes = target.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut place = 0;
    while place < bytes.len() {
        let code = target.get(place + 1..place + 3).filter(|_| bytes[place] == b'%');
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                place += 3;
            }
            None => {
                decoded.push(bytes[place]);
                place += 1;
            }
        }
    }
    decoded
}
