//! A stand-in for a runner of the platform: requests, event streams, orders and reports over HTTP.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::http_server::{ResponseBody, StandinServer, full_response, start};

/// Delay before each event of a stream.
const EVENT_DELAY: Duration = Duration::from_millis(5);

/// Failure domain of a runner for which no other is set.
const DEFAULT_ZONE: &str = "z1";

/// Version of the software of a runner for which none was set.
const DEFAULT_VERSION: &str = "v1";

/// Delay before each byte of a trickling stream.
const TRICKLE_DELAY: Duration = Duration::from_millis(200);

/// A fault injected into one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineFault {
    /// Rejects the request with 503 and the `x-not-run` header.
    NotRun,
    /// Runs the request, then breaks the connection without a response body.
    LosesResponse,
    /// Breaks the stream in the middle of the event with this number.
    BreaksAt(u64),
    /// Responds with the id of another request.
    MismatchedId,
    /// Responds with 500.
    Fails,
    /// Responds after this many milliseconds.
    Slow(u64),
    /// Sends one event, then single bytes that never complete another.
    Trickles,
    /// Rejects the request like [`Self::NotRun`], with a `retry-after` of this many milliseconds.
    RejectsWithPause(u64),
}

/// A request that the runner received.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// Request id set by the caller.
    pub id: String,
    /// Path and query string.
    pub target: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Whether the request ran.
    pub ran: bool,
    /// Whether the runner doesn't hold the model or adapter that the request names.
    pub not_held: bool,
    /// Time of arrival.
    pub at: Instant,
}

/// A request that the runner rejected with a `retry-after` header.
#[derive(Clone, Debug)]
pub struct RejectedRequest {
    /// Request id set by the caller.
    pub id: String,
    /// Time of the rejection.
    pub at: Instant,
    /// Value of `retry-after`: time for which the sender should send nothing more.
    pub pause: Duration,
}

/// Capacity of a runner for weights.
#[derive(Clone, Copy, Debug)]
pub struct EngineCapacity {
    /// Number of models, all of one size.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
}

/// Random faults for a fraction of the requests.
#[derive(Debug)]
struct RandomFaults {
    random: Pcg64Mcg,
    fraction: f64,
}

impl RandomFaults {
    fn draw(&mut self, events: u64) -> Option<EngineFault> {
        if !self.random.random_bool(self.fraction) {
            return None;
        }
        Some(match self.random.random_range(0..6) {
            0 => EngineFault::NotRun,
            1 => EngineFault::LosesResponse,
            2 => EngineFault::BreaksAt(self.random.random_range(1..=events)),
            3 => EngineFault::MismatchedId,
            4 => EngineFault::Fails,
            _ => EngineFault::Slow(self.random.random_range(50..800)),
        })
    }
}

/// Version of a runner's software.
#[derive(Clone, Debug)]
struct SoftwareVersion {
    /// Value of `revision` in the runner's row; `None` for a row without it.
    field: Option<Value>,
    /// What each event names as the version that wrote it; empty if events don't name it.
    label: String,
}

impl Default for SoftwareVersion {
    fn default() -> Self {
        Self { field: Some(Value::from(DEFAULT_VERSION)), label: String::new() }
    }
}

/// How a runner writes its streams.
#[derive(Clone, Debug)]
struct StreamStyle {
    /// Number of events in each stream.
    events: u64,
    /// Delay before each event.
    delay: Duration,
    with_ids: bool,
    /// Version that each event names; empty for none.
    label: String,
}

#[derive(Debug, Default)]
struct EngineState {
    /// Number of starts, reported as `born`.
    incarnation: u64,
    capacity: Option<EngineCapacity>,
    load_duration: Duration,
    random_faults: Option<RandomFaults>,
    /// Orders that a correct lease holder would not have sent, see [`SiteEngine::violations`].
    violations: Vec<String>,
    omits_ids: bool,
    /// Whether all responses carry the `server-leaving` header.
    leaving: bool,
    /// Value of the `server-limit` header of all responses; `None` for no header.
    rate_limit: Option<String>,
    /// Value of the `server-brittle` header of all responses; `None` for no header.
    brittle: Option<String>,
    /// Whether the runner has no room and rejects all requests.
    full: bool,
    /// When it rejected requests for want of room.
    turned_away: Vec<Instant>,
    /// Until when the runner is cold; it is warm by default.
    cold_until: Option<Instant>,
    /// Times at which anything arrived: requests, orders and questions for reports.
    arrivals: Vec<Instant>,
    rejected: Vec<RejectedRequest>,
    /// Target of requests that crash the runner, and the token that stops its server.
    crash_target: Option<(String, CancellationToken)>,
    /// Part of a prompt that crashes the runner, and the token that stops its server.
    crash_part: Option<(String, CancellationToken)>,
    /// When such a part crashed the runner.
    crashed_at: Option<Instant>,
    /// Fencing number and lease holder of the last order.
    fence: Option<(u64, String)>,
    /// Loaded models with their adapters.
    models: BTreeMap<String, BTreeSet<String>>,
    /// Models cached on disk.
    disk: BTreeSet<String>,
    /// Number of orders accepted since the last start.
    accepted: u64,
    orders: Vec<Value>,
    /// Faults of the next requests, in order.
    faults: VecDeque<EngineFault>,
    seen: Vec<SeenRequest>,
    /// Number of events in each stream.
    events: u64,
    /// Delay before each event.
    event_delay: Duration,
    version: SoftwareVersion,
    /// Failure domain that its row names.
    zone: String,
    /// Whether a load is under way; orders are rejected until it ends.
    busy: bool,
    /// Number of slow runs whose caller disconnected before the end.
    abandoned: usize,
    /// Delay of each report.
    report_delay: Duration,
    /// Times at which reports were requested.
    report_times: Vec<Instant>,
}

/// Counts a run as abandoned if its caller disconnects before it ends.
struct RunGuard {
    state: Arc<Mutex<EngineState>>,
    ended: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            lock(&self.state).abandoned += 1;
        }
    }
}

/// A runner on a loopback port; it stops when dropped.
#[derive(Debug)]
pub struct SiteEngine {
    /// Id of the runner, which requests name in `x-expect-instance`.
    pub name: String,
    state: Arc<Mutex<EngineState>>,
    server: StandinServer,
}

impl SiteEngine {
    /// Starts a runner with `models` loaded and the models `disk` cached on its disk.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(name: &str, models: &[&str], disk: &[&str]) -> std::io::Result<Self> {
        let state = EngineState {
            models: models.iter().map(|name| ((*name).to_owned(), BTreeSet::new())).collect(),
            disk: disk.iter().map(|name| (*name).to_owned()).collect(),
            events: 6,
            event_delay: EVENT_DELAY,
            incarnation: 1,
            zone: DEFAULT_ZONE.to_owned(),
            ..EngineState::default()
        };
        let state = Arc::new(Mutex::new(state));
        let (server_state, own_name) = (state.clone(), name.to_owned());
        let server =
            start(move |request| serve_request(own_name.clone(), server_state.clone(), request))
                .await?;
        Ok(Self { name: name.to_owned(), state, server })
    }

    /// Returns the address that the runner listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the row that the runner writes into the store; `sequence` grows with each write.
    pub fn row(&self, service: &str, sequence: u64, draining: bool) -> Vec<u8> {
        let state = lock(&self.state);
        let stage = if draining { "draining" } else { "ready" };
        let mut row = json!({
            "backend": service, "addr": self.server.address.to_string(), "zone": state.zone,
            "slots": 8, "state": stage, "cold_left_ms": state.cold_left_ms(), "sequence": sequence,
            "born": state.incarnation, "stage": "both", "models": state.model_list(),
            "available": {"mem_held": [], "disk_held": state.disk},
        });
        if let Some(field) = &state.version.field {
            row["revision"] = field.clone();
        }
        row.to_string().into_bytes()
    }

    /// Sets the failure domain that its row names from now on.
    pub fn set_zone(&self, zone: &str) {
        zone.clone_into(&mut lock(&self.state).zone);
    }

    /// Sets the version of the runner's software, which its row and each of its events name from
    /// now on.
    pub fn set_version(&self, version: &str) {
        self.set_version_field(Some(Value::from(version)), version);
    }

    /// Sets the `revision` of the runner's row, which need not be a text, and what each of its
    /// events names as the version that wrote it.
    pub fn set_version_field(&self, field: Option<Value>, label: &str) {
        lock(&self.state).version = SoftwareVersion { field, label: label.to_owned() };
    }

    /// Sets the number of events of each stream and the delay before each of them.
    pub fn set_stream(&self, events: u64, delay: Duration) {
        let mut state = lock(&self.state);
        state.events = events;
        state.event_delay = delay;
    }

    /// Restarts the runner with another version of its software: its connections break, and only
    /// the models on its disk stay.
    pub fn restart_as(&self, version: &str) {
        self.server.break_connections();
        self.restart();
        self.set_version(version);
    }

    /// Adds `models` to those that are loaded, without an order.
    pub fn hold(&self, models: &[&str]) {
        let models = models.iter().map(|name| ((*name).to_owned(), BTreeSet::new()));
        lock(&self.state).models.extend(models);
    }

    /// Breaks all connections to the runner, and so the streams that it is writing.
    pub fn break_connections(&self) {
        self.server.break_connections();
    }

    /// Stops the runner for good: it stops listening, and its connections break.
    pub fn stop(&self) {
        self.server.stop.cancel();
    }

    /// Delays each report by `delay`.
    pub fn set_report_delay(&self, delay: Duration) {
        lock(&self.state).report_delay = delay;
    }

    /// Returns the times at which reports were requested.
    pub fn report_times(&self) -> Vec<Instant> {
        lock(&self.state).report_times.clone()
    }

    /// Checks orders against `capacity` from now on, and lets each load of a model take
    /// `load_duration`.
    pub fn set_capacity(&self, capacity: EngineCapacity, load_duration: Duration) {
        let mut state = lock(&self.state);
        state.capacity = Some(capacity);
        state.load_duration = load_duration;
    }

    /// Injects random faults into this fraction of the requests from now on; 0 ends that.
    pub fn set_fault_rate(&self, seed: u64, fraction: f64) {
        let random = Pcg64Mcg::seed_from_u64(seed);
        lock(&self.state).random_faults =
            (fraction > 0.0).then_some(RandomFaults { random, fraction });
    }

    /// Sends events without ids from now on.
    pub fn omit_ids(&self) {
        lock(&self.state).omits_ids = true;
    }

    /// Lets requests for `target` crash the runner: it stops listening, and all connections break.
    pub fn crash_on(&self, target: &str) {
        lock(&self.state).crash_target = Some((target.to_owned(), self.server.stop.clone()));
    }

    /// Lets requests with this part of a prompt crash the runner when their answer begins.
    pub fn crash_on_part(&self, part: &str) {
        lock(&self.state).crash_part = Some((part.to_owned(), self.server.stop.clone()));
    }

    /// Returns when a part of a prompt crashed the runner.
    pub fn crashed_at(&self) -> Option<Instant> {
        lock(&self.state).crashed_at
    }

    /// Sets whether all responses announce that the runner is leaving, whatever its row says.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// Sets the limit in requests per second that all responses announce; `None` ends it.
    pub fn set_rate_limit(&self, limit: Option<&str>) {
        lock(&self.state).rate_limit = limit.map(str::to_owned);
    }

    /// Lets the runner be cold for `span` from now on, as its row says.
    pub fn become_cold(&self, span: Duration) {
        lock(&self.state).cold_until = Some(Instant::now() + span);
    }

    /// Returns the times at which requests, orders and questions for reports arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state).arrivals.clone()
    }

    /// Adds a `server-brittle` header with this value to all responses from now on.
    pub fn set_brittle(&self, rejections: Option<&str>) {
        lock(&self.state).brittle = rejections.map(str::to_owned);
    }

    /// Rejects all requests for want of room from now on, or none.
    pub fn set_full(&self, full: bool) {
        lock(&self.state).full = full;
    }

    /// Returns when requests were rejected for want of room.
    pub fn turned_away(&self) -> Vec<Instant> {
        lock(&self.state).turned_away.clone()
    }

    /// Returns the requests rejected by [`EngineFault::RejectsWithPause`].
    pub fn rejected_requests(&self) -> Vec<RejectedRequest> {
        lock(&self.state).rejected.clone()
    }

    /// Restarts the runner: only the models on its disk stay; loaded models, fence and order count
    /// are lost.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        state.incarnation += 1;
        state.models.clear();
        state.accepted = 0;
        state.busy = false;
        state.fence = None;
        state.leaving = false;
        state.rate_limit = None;
    }

    /// Returns orders that exceeded the capacity, or came from a lease holder that another one has
    /// replaced.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.state).violations.clone()
    }

    /// Queues a fault for the next request without one; orders and reports take none.
    pub fn push_fault(&self, fault: EngineFault) {
        lock(&self.state).faults.push_back(fault);
    }

    /// Returns the requests received so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.state).seen.clone()
    }

    /// Returns the number of [`EngineFault::Slow`] runs whose caller disconnected before the end.
    pub fn abandoned(&self) -> usize {
        lock(&self.state).abandoned
    }

    /// Returns the orders received so far, including rejected ones.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }
}

impl EngineState {
    fn stream_style(&self) -> StreamStyle {
        StreamStyle {
            events: self.events,
            delay: self.event_delay,
            with_ids: !self.omits_ids,
            label: self.version.label.clone(),
        }
    }

    fn cold_left_ms(&self) -> u64 {
        let left = self.cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        left.map_or(0, |left| u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }

    fn model_list(&self) -> Vec<Value> {
        let models = self.models.iter();
        models
            .map(|(name, adapters)| json!({"name": name, "revision": 1, "adapters": adapters}))
            .collect()
    }

    /// Records a violation if the order comes from a lease holder that another one has replaced.
    fn check_holder(&mut self, order: &Value) {
        let fence = order["fence"].as_u64().unwrap_or(0);
        let holder = order["holder"].as_str().unwrap_or("").to_owned();
        if let Some((last, of)) = &self.fence
            && (fence < *last || (fence == *last && holder != *of))
        {
            self.violations.push(format!("order {order} after one of {of} with fence {last}"));
        }
        self.fence = Some((fence, holder));
    }

    /// Records a violation if the order loads more than the capacity.
    fn check_capacity(&mut self, order: &Value) {
        let Some(capacity) = self.capacity.filter(|_| order["opcode"] == "load") else { return };
        let model = order["model"].as_str().unwrap_or("");
        let adapters: usize = self.models.values().map(BTreeSet::len).sum();
        let full = match order["adapter"].as_str() {
            None => !self.models.contains_key(model) && self.models.len() >= capacity.models,
            Some(name) => !self.holds(&format!("{model}/{name}")) && adapters >= capacity.adapters,
        };
        if full {
            self.violations.push(format!("order {order} with {:?} loaded", self.models));
        }
    }

    fn holds(&self, item: &str) -> bool {
        match item.split_once('/') {
            None => self.models.contains_key(item),
            Some((model, adapter)) => {
                self.models.get(model).is_some_and(|adapters| adapters.contains(adapter))
            }
        }
    }
}

fn lock(state: &Mutex<EngineState>) -> MutexGuard<'_, EngineState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_request(
    name: String,
    state: Arc<Mutex<EngineState>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    lock(&state).arrivals.push(Instant::now());
    let mut response = handle_request(name, state.clone(), request).await;
    let (leaving, rate_limit, brittle) = {
        let state = lock(&state);
        (state.leaving, state.rate_limit.clone(), state.brittle.clone())
    };
    if leaving {
        set_header(&mut response, "server-leaving", "1");
    }
    if let Some(rate_limit) = rate_limit {
        set_header(&mut response, "server-limit", &rate_limit);
    }
    if let Some(brittle) = brittle {
        set_header(&mut response, "server-brittle", &brittle);
    }
    response
}

async fn handle_request(
    name: String,
    state: Arc<Mutex<EngineState>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let text = |header: &str| {
        parts.headers.get(header).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
    };
    let expected = text("x-expect-instance");
    if !expected.is_empty() && expected != name {
        let mut response = refusal(StatusCode::MISDIRECTED_REQUEST, &text("x-request-id"));
        set_header(&mut response, "x-instance", &name);
        return response;
    }
    match parts.uri.path() {
        "/report" => {
            let delay = {
                let mut state = lock(&state);
                state.report_times.push(Instant::now());
                state.report_delay
            };
            sleep(delay).await;
            let state = lock(&state);
            let report = json!({
                "stage": "both", "state": "ready", "models": state.model_list(),
                "busy": state.busy, "sequence": state.accepted, "born": state.incarnation,
                "available": {"mem_held": [], "disk_held": state.disk},
            });
            return full_response(StatusCode::OK, "application/json", report.to_string());
        }
        "/order" => return execute_order(&state, &body),
        _ => {}
    }
    let id = text("x-request-id");
    let item = text("x-model");
    let (fault, style, ran) = {
        let mut state = lock(&state);
        let events = state.events;
        let drawn = state.random_faults.as_mut().and_then(|faults| faults.draw(events));
        let is_full = state.full;
        if is_full {
            state.turned_away.push(Instant::now());
        }
        let full = is_full.then_some(EngineFault::NotRun);
        let fault = full.or_else(|| state.faults.pop_front()).or(drawn);
        let not_held = !item.is_empty() && !state.holds(&item);
        let rejected =
            matches!(fault, Some(EngineFault::NotRun | EngineFault::RejectsWithPause(_)));
        let ran = !not_held && !rejected;
        state.seen.push(SeenRequest {
            id: id.clone(),
            target: parts.uri.to_string(),
            headers: parts.headers.clone(),
            body,
            ran,
            not_held,
            at: Instant::now(),
        });
        if not_held {
            return refusal(StatusCode::MISDIRECTED_REQUEST, &id);
        }
        (fault, state.stream_style(), ran)
    };
    let crash_target =
        lock(&state).crash_target.clone().filter(|(target, _)| *target == parts.uri.to_string());
    if let Some((_, stop)) = crash_target {
        stop.cancel();
        return broken_response();
    }
    let parts_of_prompt = text("x-prompt-prefix");
    let crash_part = lock(&state).crash_part.clone().filter(|(part, _)| {
        let mut named = parts_of_prompt.split(',').map(|part| part.split(':').next());
        named.any(|name| name == Some(part))
    });
    if let Some((_, stop)) = crash_part.filter(|_| ran) {
        sleep(EVENT_DELAY).await;
        lock(&state).crashed_at.get_or_insert_with(Instant::now);
        stop.cancel();
        return broken_response();
    }
    if !ran {
        let mut response = refusal(StatusCode::SERVICE_UNAVAILABLE, &id);
        if let Some(EngineFault::RejectsWithPause(millis)) = fault {
            let pause = Duration::from_millis(millis);
            set_header(&mut response, "retry-after", &pause.as_secs_f64().to_string());
            let rejected_request = RejectedRequest { id, at: Instant::now(), pause };
            lock(&state).rejected.push(rejected_request);
        }
        return response;
    }
    if let Some(EngineFault::Slow(millis)) = fault {
        let mut guard = RunGuard { state: state.clone(), ended: false };
        sleep(Duration::from_millis(millis)).await;
        guard.ended = true;
    }
    let mut response = match fault {
        Some(EngineFault::LosesResponse) => broken_response(),
        Some(EngineFault::Fails) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        _ if item.is_empty() => full_response(StatusCode::OK, "text/plain", format!("done {id}")),
        _ => {
            let after = text("last-event-id").parse().unwrap_or(0);
            let break_at = match fault {
                Some(EngineFault::BreaksAt(number)) => Some(number),
                _ => None,
            };
            if fault == Some(EngineFault::Trickles) {
                trickling_response(after, &style)
            } else {
                stream_response(after, break_at, style)
            }
        }
    };
    let echoed = if fault == Some(EngineFault::MismatchedId) { "another" } else { id.as_str() };
    set_header(&mut response, "x-request-id", echoed);
    set_header(&mut response, "x-server-seal", &format!("seal.{name}"));
    response
}

/// Builds the response to a request that is not run.
fn refusal(status: StatusCode, id: &str) -> Response<ResponseBody> {
    let mut response = empty_response(status);
    set_header(&mut response, "x-not-run", "1");
    if !id.is_empty() {
        set_header(&mut response, "x-request-id", id);
    }
    response
}

fn execute_order(shared: &Arc<Mutex<EngineState>>, body: &Bytes) -> Response<ResponseBody> {
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut state = lock(shared);
    state.orders.push(order.clone());
    state.check_holder(&order);
    // `expect` is the number of accepted orders that the sender last saw. A different number now
    // means that the runner has accepted another order or restarted since.
    if order["expect"].as_u64().is_some_and(|expected| expected != state.accepted) {
        return empty_response(StatusCode::CONFLICT);
    }
    if state.busy {
        return empty_response(StatusCode::CONFLICT);
    }
    state.check_capacity(&order);
    let model = order["model"].as_str().unwrap_or("").to_owned();
    match (order["opcode"].as_str(), order["adapter"].as_str()) {
        (Some("load"), None) if state.load_duration.is_zero() => {
            state.models.entry(model.clone()).or_default();
            state.disk.insert(model);
        }
        (Some("load"), None) => {
            state.busy = true;
            tokio::spawn(finish_load(
                shared.clone(),
                model,
                state.incarnation,
                state.load_duration,
            ));
        }
        (Some("load"), Some(adapter)) => {
            let adapter = adapter.to_owned();
            state.models.entry(model).or_default().insert(adapter);
        }
        (Some("unload"), None) => {
            state.models.remove(&model);
        }
        (Some("unload"), Some(adapter)) => {
            if let Some(adapters) = state.models.get_mut(&model) {
                adapters.remove(adapter);
            }
        }
        _ => return empty_response(StatusCode::BAD_REQUEST),
    }
    state.accepted += 1;
    empty_response(StatusCode::ACCEPTED)
}

async fn finish_load(
    shared: Arc<Mutex<EngineState>>,
    model: String,
    incarnation: u64,
    duration: Duration,
) {
    sleep(duration).await;
    let mut state = lock(&shared);
    if state.incarnation == incarnation {
        state.busy = false;
        state.models.entry(model.clone()).or_default();
        state.disk.insert(model);
    }
}

fn event(number: u64, style: &StreamStyle) -> Bytes {
    let id = if style.with_ids { format!("id: {number}\n") } else { String::new() };
    let label = if style.label.is_empty() { String::new() } else { format!(" {}", style.label) };
    Bytes::from(format!("{id}data: piece {number}{label}\n\n"))
}

fn stream_response(
    after: u64,
    break_at: Option<u64>,
    style: StreamStyle,
) -> Response<ResponseBody> {
    // A stream that resumes after that event breaks at its first event.
    let break_at = break_at.map(|at| at.max(after + 1));
    let last = break_at.map_or(style.events, |at| at.min(style.events));
    let complete = (after + 1..=last).filter(|number| break_at != Some(*number));
    let mut frames: Vec<std::io::Result<Bytes>> =
        complete.map(|number| Ok(event(number, &style))).collect();
    if let Some(at) = break_at {
        frames.push(Ok(event(at, &style).slice(..8)));
        frames.push(Err(std::io::Error::other("broken off")));
    }
    // The delay lets the partial event reach the caller before the break.
    let frames = stream::iter(frames).then(move |frame| async move {
        sleep(style.delay).await;
        frame.map(Frame::data)
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    set_header(&mut response, "content-type", "text/event-stream");
    response
}

/// Returns an endless stream with one event, followed by single bytes.
fn trickling_response(after: u64, style: &StreamStyle) -> Response<ResponseBody> {
    let first = stream::iter([event(after + 1, &StreamStyle { with_ids: true, ..style.clone() })]);
    let bytes = stream::repeat(Bytes::from_static(b":")).then(|byte| async {
        sleep(TRICKLE_DELAY).await;
        byte
    });
    let frames = first.chain(bytes).map(|frame| std::io::Result::Ok(Frame::data(frame)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    set_header(&mut response, "content-type", "text/event-stream");
    response
}

/// Returns a response that declares a body but breaks the connection instead of sending it.
fn broken_response() -> Response<ResponseBody> {
    let frames = stream::iter([Err(std::io::Error::other("lost"))]);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    set_header(&mut response, "content-length", "100");
    response
}

fn empty_response(code: StatusCode) -> Response<ResponseBody> {
    full_response(code, "text/plain", "")
}

fn set_header(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
