//! Routes HTTP requests to their handlers.

use std::sync::Arc;

use dotterellane_fleet::{ChargeRequest, ConfigurationSnapshot, FreshnessState};
use dotterellane_units::RequestId;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::admission::{charge_team, check_freshness};
use crate::attempt::{AttemptLog, open_call};
use crate::body::{EntryBody, read_body};
use crate::buffered::buffer_response;
use crate::completion::{CompletionCall, CompletionKind, parse_completion};
use crate::context::{EntryContext, SharedContext};
use crate::crashes::check_quarantine;
use crate::headers::{runner_headers, runner_response_headers};
use crate::key_watch::while_key_valid;
use crate::keys::{CallerIdentity, check_key, reject_keys};
use crate::models::list_models;
use crate::refusal::{EntryRefusal, RefusalKind};
use crate::relay::{RelayBody, is_event_stream};
use crate::services::{ServicePath, call_service};

/// Header with the request id: the caller's if it sent one, otherwise the daemon's.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Longest request id that is echoed to the caller, in bytes.
const MAX_CALLER_ID_BYTES: usize = 128;

/// Endpoint that a path names.
#[derive(Clone, Debug, Eq, PartialEq)]
enum EntryRoute {
    Completion(CompletionKind),
    Models,
    Model(String),
    Service(ServicePath),
    Alive,
    Ready,
}

/// Handles one request; errors become responses too.
pub async fn handle_request(
    context: SharedContext,
    request: Request<Incoming>,
) -> Response<EntryBody> {
    let id = RequestId(rand::random());
    let echoed_id = response_id(&request, id);
    let answered = route_request(context, id, request).await;
    let mut response = answered.unwrap_or_else(|refusal| refusal.to_response());
    response.headers_mut().insert(REQUEST_ID, echoed_id);
    response
}

fn response_id(request: &Request<Incoming>, id: RequestId) -> HeaderValue {
    let named = request.headers().get(REQUEST_ID);
    let named = named.filter(|value| !value.is_empty() && value.len() <= MAX_CALLER_ID_BYTES);
    let own = || HeaderValue::from_str(&id.to_string());
    named.cloned().map_or_else(own, Ok).unwrap_or_else(|_| HeaderValue::from_static(""))
}

async fn route_request(
    context: SharedContext,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let (head, body) = request.into_parts();
    match find_route(&head)? {
        EntryRoute::Alive => Ok(health(StatusCode::OK)),
        EntryRoute::Ready => Ok(health(readiness(&context))),
        EntryRoute::Models => {
            let (identity, snapshot) = identify(&context, &head)?;
            Ok(list_models(&identity.team, &snapshot.document))
        }
        EntryRoute::Model(name) => {
            let (identity, snapshot) = identify(&context, &head)?;
            crate::models::show_model(&name, &identity.team, &snapshot.document)
        }
        EntryRoute::Completion(kind) => complete(context, id, kind, head, body).await,
        EntryRoute::Service(path) => call_service(context, id, path, head, body).await,
    }
}

fn find_route(head: &Parts) -> Result<EntryRoute, EntryRefusal> {
    let path = head.uri.path();
    if let Some(path) = ServicePath::parse(&head.uri) {
        return Ok(EntryRoute::Service(path));
    }
    let (route, method) = match path {
        "/v1/chat/completions" => (EntryRoute::Completion(CompletionKind::Chat), Method::POST),
        "/v1/completions" => (EntryRoute::Completion(CompletionKind::Text), Method::POST),
        "/v1/embeddings" => (EntryRoute::Completion(CompletionKind::Embedding), Method::POST),
        "/v1/models" => (EntryRoute::Models, Method::GET),
        "/healthz" => (EntryRoute::Alive, Method::GET),
        "/readyz" => (EntryRoute::Ready, Method::GET),
        _ => match path.strip_prefix("/v1/models/") {
            Some(name) => (EntryRoute::Model(name.to_owned()), Method::GET),
            None => {
                let message = format!("there is nothing at {path:?}");
                return Err(EntryRefusal::before_sending(RefusalKind::NotFound, message));
            }
        },
    };
    if head.method == method {
        return Ok(route);
    }
    let message = format!("{path} takes {method}, not {}", head.method);
    Err(EntryRefusal::before_sending(RefusalKind::MethodNotAllowed, message))
}

fn health(status: StatusCode) -> Response<EntryBody> {
    let mut response = Response::new(EntryBody::full(""));
    *response.status_mut() = status;
    response
}

/// Returns the readiness status for the load balancer.
fn readiness(context: &EntryContext) -> StatusCode {
    if context.leaving.is_cancelled() || context.ports.freshness() == FreshnessState::Stale {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}

/// Authenticates the caller against a configuration that is known to be current.
pub(crate) fn identify(
    context: &EntryContext,
    head: &Parts,
) -> Result<(CallerIdentity, Arc<ConfigurationSnapshot>), EntryRefusal> {
    check_freshness(context)?;
    let snapshot = context.ports.configuration.current();
    let identity = check_key(&head.headers, &snapshot.document, (context.epoch_seconds)())?;
    Ok((identity, snapshot))
}

async fn complete(
    context: SharedContext,
    id: RequestId,
    kind: CompletionKind,
    head: Parts,
    body: Incoming,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let (identity, _) = identify(&context, &head)?;
    let content = read_body(body, context.limits.body, &context.limits).await?;
    // The configuration may have changed while the body was received.
    let (_, snapshot) = identify(&context, &head)?;
    let now = context.ports.clock.now();
    let call = parse_completion(kind, id, identity, &content, &snapshot.document, now)?;
    let headers = runner_headers(&head.headers);
    reject_keys(&[&call.body], &headers, &snapshot.document)?;
    run_completion(context, Arc::new(call), headers).await
}

async fn run_completion(
    context: SharedContext,
    call: Arc<CompletionCall>,
    headers: HeaderMap,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let identity = CallerIdentity { key: call.key.clone(), team: call.team.clone() };
    let mut log = AttemptLog::default();
    let reached = log.reached.clone();
    let shared = context.clone();
    let work = async move {
        check_quarantine(&context, &call, false)?;
        let mut charge = charge_team(&context, completion_charge(&call)).await?;
        let open = open_call(&context, &call, &headers, &mut log, 0).await?;
        if call.streamed && is_event_stream(&open) {
            let response_headers = runner_response_headers(&open.response.headers);
            let relay = RelayBody::new(context, call, headers, charge, log, open);
            let mut response = Response::new(EntryBody::Relayed(relay));
            *response.headers_mut() = response_headers;
            return Ok(response);
        }
        buffer_response(&context, &call, &headers, &mut charge, &mut log, open).await
    };
    while_key_valid(&shared, &identity, &reached, work).await
}

fn completion_charge(call: &CompletionCall) -> ChargeRequest {
    ChargeRequest {
        request: call.request,
        team: call.team.clone(),
        tokens: call.charged(),
        deadline: call.deadline,
    }
}
