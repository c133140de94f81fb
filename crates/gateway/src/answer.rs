//! From a caller's request to its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_units::{ClockInstant, TeamId, TokenCount};
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body::GatewayBody;
use crate::call::{CallHead, ModelChoice};
use crate::dispatch::{ChoiceTrace, dispatch};
use crate::document::{CallerLimits, HostRoute};
use crate::exchange::MAX_WHOLE_BYTES;
use crate::refusal::GatewayRefusal;
use crate::spending::charge;
use crate::state::{Host, HostState};

/// When a caller should come back to a host that lost sight of the configuration.
const STALE_RETRY: Duration = Duration::from_millis(400);

/// A request that was read whole.
#[derive(Debug)]
pub struct GatewayCall {
    /// What its head says.
    pub head: CallHead,
    /// Its headers.
    pub headers: HeaderMap,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Host that it names.
    pub host: String,
    /// Path alone.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: ClockInstant,
}

/// What the configuration says of a request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Route.
    pub route: Arc<HostRoute>,
    /// Team that pays, with its rank.
    pub team: Option<(TeamId, Option<u8>)>,
    /// Whether only a fresh configuration allows it.
    pub keyed: bool,
    /// What it costs the team.
    pub cost: TokenCount,
}

/// Answers one request of a caller.
pub async fn answer(host: Arc<Host>, request: Request<Incoming>) -> Response<GatewayBody> {
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
    match read_body(body, limits).await {
        Err(refusal) => {
            let mut response = finish(&host, &call, Err(refusal));
            close_after(&mut response);
            response
        }
        Ok(body) => {
            call.body = body;
            let call = Arc::new(call);
            let answered = match admitted {
                Err(refusal) => Err(refusal),
                Ok(admission) => serve(&host, &call, admission).await,
            };
            let answered = match answered {
                Ok(response) if version < Version::HTTP_11 => gather(response).await,
                answered => answered,
            };
            finish(&host, &call, answered)
        }
    }
}

async fn read_body(body: Incoming, limits: CallerLimits) -> Result<Bytes, GatewayRefusal> {
    let reading = Limited::new(body, limits.body_bytes).collect();
    match timeout(limits.idle_timeout, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(GatewayRefusal::fixed(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long"))
        }
        Ok(Err(_)) => Err(GatewayRefusal::fixed(StatusCode::BAD_REQUEST, "body_cut_off")),
        Err(_) => Err(GatewayRefusal::fixed(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}

/// Reads an answer whole before its caller gets any of it: the end of a connection is all by which an
/// older protocol shows the end of a stream, also of one that broke off.
async fn gather(response: Response<GatewayBody>) -> Result<Response<GatewayBody>, GatewayRefusal> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_WHOLE_BYTES).collect().await;
    let body = body.map_err(|_broken| GatewayRefusal::upstream_failed("answer_broken"))?;
    Ok(Response::from_parts(head, GatewayBody::whole(body.to_bytes())))
}

/// Tells the caller to send nothing more on this connection.
fn close_after(response: &mut Response<GatewayBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

async fn serve(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: Admission,
) -> Result<Response<GatewayBody>, GatewayRefusal> {
    if let Some((team, _)) = &admission.team {
        charge(host, team, admission.cost).await?;
    }
    let (team, cost) = (admission.team.clone(), admission.cost);
    let answered = dispatch(host, call, admission).await;
    if let (Err(refusal), Some((team, _))) = (&answered, &team)
        && refusal.status == StatusCode::SERVICE_UNAVAILABLE
    {
        host.state().levels.refund(host.now(), team, cost);
    }
    answered
}

/// Returns what the newest configuration says of a request.
///
/// # Errors
/// Fails if the configuration does not allow it, or cannot be trusted to be the newest.
pub fn admit(
    host: &Host,
    state: &HostState,
    call: &GatewayCall,
) -> Result<Admission, GatewayRefusal> {
    let fresh = state.is_fresh(host.now());
    let stale = || GatewayRefusal::not_run("stale_configuration", STALE_RETRY);
    let unless_stale = |refusal: GatewayRefusal| if fresh { refusal } else { stale() };
    let Some(document) = &state.document else {
        return Err(GatewayRefusal::not_run("no_configuration", STALE_RETRY));
    };
    let Some(route) = document.find_route(&call.host, &call.path) else {
        return Err(unless_stale(GatewayRefusal::fixed(StatusCode::NOT_FOUND, "no_route")));
    };
    let keyed = !document.teams.is_empty() && !route.open_to_all;
    let mut admission = Admission { route: route.clone(), team: None, keyed, cost: TokenCount(0) };
    if keyed {
        if !fresh {
            return Err(stale());
        }
        let team = call.head.key.as_deref().and_then(|key| document.find_team(key));
        let Some(team) = team else {
            return Err(GatewayRefusal::fixed(StatusCode::UNAUTHORIZED, "unknown_key"));
        };
        admission.cost = match (team.counts_tokens, call.head.tokens) {
            (true, Some((prompt, answer))) => TokenCount(prompt.0.saturating_add(answer.0)),
            (true, None) => team.default_tokens,
            (false, _) => TokenCount(1),
        };
        admission.team = Some((team.name.clone(), team.priority));
    }
    Ok(admission)
}

fn finish(
    host: &Host,
    call: &GatewayCall,
    answered: Result<Response<GatewayBody>, GatewayRefusal>,
) -> Response<GatewayBody> {
    let now = host.now();
    let took = now.since(call.arrived);
    let (mut response, reason) = match answered {
        Ok(response) => {
            log_answer(host, call, &response, took);
            (response, "upstream")
        }
        Err(refusal) => {
            let reason = refusal.reason;
            log_refusal(host, call, &refusal, took);
            (refusal.into_response(), reason)
        }
    };
    host.metrics.answers.with_label_values(&[response.status().as_str(), reason]).inc();
    host.metrics.first_byte.observe(took.as_secs_f64());
    if host.leaving.is_cancelled() {
        close_after(&mut response);
    }
    response
}

fn log_answer(host: &Host, call: &GatewayCall, response: &Response<GatewayBody>, took: Duration) {
    let Some(trace) = response.extensions().get::<ChoiceTrace>() else { return };
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
    });
}

fn log_refusal(host: &Host, call: &GatewayCall, refusal: &GatewayRefusal, took: Duration) {
    let now = host.now();
    let state = host.state();
    let revision = state.document.as_ref().map_or(0, |document| document.revision);
    let age = state.evidence.map(|seen| now.since(seen).as_millis());
    drop(state);
    spdlog::info!("request refused", kv: {
        request = call.head.request_id.as_str(),
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        model = model_text(call.head.model.as_ref()).as_str(),
        after_ms = took.as_millis() as u64,
        configuration = revision,
        configuration_age_ms = age.map_or(-1, |age| age as i64),
    });
}

/// Returns a model and adapter as logs show them.
pub fn model_text(choice: Option<&ModelChoice>) -> String {
    match choice {
        None => String::new(),
        Some(ModelChoice { model, adapter: None }) => model.to_string(),
        Some(ModelChoice { model, adapter: Some(adapter) }) => format!("{model}/{adapter}"),
    }
}
