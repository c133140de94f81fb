//! Forwarding of calls to plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use dotterellane_fleet::ChargeRequest;
use dotterellane_settings::document::{
    CallKind, CallerScope, ConfigurationDocument, ServiceEntry, UpstreamRole,
};
use dotterellane_units::{ClockInstant, RequestId, ServiceId, TokenCount};
use dotterellane_upstream::{CallLimits, CallRequest, OpenResponse, send_call};
use http::request::Parts;
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use crate::admission::{charge_team, check_freshness, deadline_exceeded};
use crate::attempt::ReachFlag;
use crate::body::{BoundedBuffer, EntryBody, read_body};
use crate::context::{EntryContext, SharedContext};
use crate::guards::ChargeGuard;
use crate::handler::identify;
use crate::headers::{service_headers, service_response_headers};
use crate::key_watch::while_key_valid;
use crate::keys::{CallerIdentity, reject_keys};
use crate::once_calls::run_once;
use crate::refusal::{DEFAULT_RETRY_AFTER, EntryRefusal, RefusalKind};

const SERVICES_PREFIX: &str = "/services/";

/// Path of a service call, below `/services/`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePath {
    /// Name of the service, not validated.
    pub name: String,
    /// Path and query that are sent to the service.
    pub target: String,
}

impl ServicePath {
    /// Parses `/services/{name}/...`, `None` for other paths.
    pub fn parse(uri: &Uri) -> Option<Self> {
        let rest = uri.path().strip_prefix(SERVICES_PREFIX)?;
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        Some(Self { name: name.to_owned(), target: format!("/{path}{query}") })
    }
}

/// Call of a service, validated against the configuration.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Id of the request within the fleet.
    pub request: RequestId,
    /// Authenticated caller, `None` on services open to everyone.
    pub identity: Option<CallerIdentity>,
    /// Service that is called.
    pub service: ServiceId,
    /// Whether the call may be repeated or must run at most once.
    pub kind: CallKind,
    /// HTTP method.
    pub method: Method,
    /// Path and query that are sent to the service.
    pub target: String,
    /// Headers that are forwarded to the service.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Addresses of the service's instances, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Time by which the call must be answered.
    pub deadline: ClockInstant,
}

/// Complete response of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that are forwarded to the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl ServiceResponse {
    /// Builds the response to the caller.
    pub fn into_response(self) -> Response<EntryBody> {
        let mut response = Response::new(EntryBody::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Calls a service on behalf of a caller.
///
/// # Errors
/// Refuses calls that the configuration does not allow, that are over the team's rate limit, or to
/// which no instance sends a complete response before the deadline.
pub async fn call_service(
    context: SharedContext,
    id: RequestId,
    path: ServicePath,
    head: Parts,
    body: Incoming,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let (_, entry) = authorize(&context, &path, &head)?;
    let bound = entry.body_bound.min(context.limits.body);
    let body = read_body(body, bound, &context.limits).await?;
    // The configuration may have changed while the body was received.
    let (identity, entry) = authorize(&context, &path, &head)?;
    let call = build_call(&context, id, path, &head, body, (identity, &entry))?;
    let charge = charge_call(&context, &call, entry.cost).await?;
    match call.kind {
        CallKind::OnceOnly => run_once(context, call, &head.headers, charge).await,
        CallKind::Repeatable => run_repeatable(&context, call, charge).await,
    }
}

/// Authenticates the caller and finds the service that it may call, in a current configuration.
fn authorize(
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
    // Authenticates first, so that callers without a key cannot find out which services exist.
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
    reject_keys(&parts, &headers, &snapshot.document)?;
    let service = path
        .name
        .parse::<ServiceId>()
        .map_err(|error| EntryRefusal::before_sending(RefusalKind::NotFound, error.to_string()))?;
    let addresses = instances(&service, &snapshot.document);
    if addresses.is_empty() {
        let message = format!("{service} has no instance that accepts calls");
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

/// Returns the addresses of the service's instances that are not leaving, in random order.
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
) -> Result<Option<ChargeGuard>, EntryRefusal> {
    let Some(identity) = call.identity.as_ref().filter(|_| cost.0 > 0) else { return Ok(None) };
    let charge = ChargeRequest {
        request: call.request,
        team: identity.team.clone(),
        tokens: cost,
        deadline: call.deadline,
    };
    let mut guard = charge_team(context, charge).await?;
    guard.set_used(cost);
    Ok(Some(guard))
}

async fn run_repeatable(
    context: &EntryContext,
    call: ServiceCall,
    mut charge: Option<ChargeGuard>,
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
    answered.map(ServiceResponse::into_response)
}

/// Marks the whole charge as unused, for a call that was not run.
pub(crate) fn refund_all(charge: &mut Option<ChargeGuard>) {
    if let Some(charge) = charge {
        charge.set_used(TokenCount(0));
    }
}

async fn try_instances(
    context: &EntryContext,
    call: &ServiceCall,
    reached: &ReachFlag,
) -> Result<ServiceResponse, EntryRefusal> {
    let attempts = usize::try_from(context.limits.attempts).unwrap_or(usize::MAX);
    let addresses = call.addresses.iter().cycle().take(attempts);
    let mut failure = incomplete_response();
    for address in addresses {
        let time_left = context.time_left(call.deadline);
        if time_left.is_zero() {
            return Err(deadline_exceeded().with_reached(reached.get()));
        }
        match try_instance(context, call, *address, false).await {
            InstanceOutcome::Answered(response) => {
                reached.set(true);
                return Ok(response);
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

/// Outcome of a call of one instance.
#[derive(Debug)]
pub(crate) enum InstanceOutcome {
    /// The instance sent a complete response.
    Answered(ServiceResponse),
    /// The instance certainly did not run the call.
    NotRun(EntryRefusal),
    /// The instance may have run the call.
    Unknown(EntryRefusal),
}

/// Calls one instance; unless this is the `last` attempt, leaves half of the time for another one.
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
    let budget = if last { time_left } else { time_left / 2 };
    let request = CallRequest {
        address,
        request: call.request,
        method: call.method.clone(),
        target: call.target.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        dedicated_connection: call.kind == CallKind::OnceOnly,
        echo_required: false,
        limits: CallLimits {
            connect: context.limits.connect_timeout.min(budget),
            first_byte: budget,
        },
    };
    let response = match send_call(&context.pool, &request).await {
        Ok(response) => response,
        Err(error) if error.reached => return InstanceOutcome::Unknown(incomplete_response()),
        Err(_) => return InstanceOutcome::NotRun(no_instance_reached(call)),
    };
    if response.says_not_run() {
        return InstanceOutcome::NotRun(no_instance_reached(call));
    }
    match timeout(context.time_left(call.deadline), read_to_end(context, response)).await {
        Ok(Some(response)) => InstanceOutcome::Answered(response),
        Ok(None) => InstanceOutcome::Unknown(incomplete_response()),
        Err(_) => InstanceOutcome::Unknown(deadline_exceeded()),
    }
}

/// Checks again, as the call may have waited, that this host is fresh and that the instance is
/// still configured and not leaving.
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
    Err(no_instance_reached(call))
}

async fn read_to_end(
    context: &EntryContext,
    mut response: OpenResponse,
) -> Option<ServiceResponse> {
    let mut buffer = BoundedBuffer::new(context.limits.buffered_response);
    loop {
        match response.body.data().await {
            Ok(Some(data)) if buffer.push(&data) => (),
            Ok(None) => break,
            Ok(Some(_)) | Err(_) => return None,
        }
    }
    let headers = service_response_headers(&response.headers);
    Some(ServiceResponse { status: response.status, headers, body: buffer.freeze() })
}

fn incomplete_response() -> EntryRefusal {
    let message = "the service sent no complete response; the call may have run";
    EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message).with_reached(true)
}

fn no_instance_reached(call: &ServiceCall) -> EntryRefusal {
    let message = format!("no instance of {} accepted the call", call.service);
    EntryRefusal::before_sending(RefusalKind::Unavailable, message)
        .with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Decodes percent-encoding once, so that encoded keys are found too.
fn percent_decoded(target: &str) -> Vec<u8> {
    let bytes = target.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let code = target.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    decoded
}
