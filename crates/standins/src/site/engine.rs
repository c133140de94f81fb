//! A runner of the platform: requests, streams of events, orders and reports over HTTP.

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

use crate::http_server::{AnswerBody, StandinServer, start, whole_answer};

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// Time between two bytes of a stream that drips.
const DRIP_PAUSE: Duration = Duration::from_millis(200);

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineFault {
    /// It says that it did not run the request.
    NotRun,
    /// It runs the request and breaks the connection without an answer.
    LosesAnswer,
    /// It breaks its stream off in the middle of the event with this number.
    BreaksAt(u64),
    /// It answers another request.
    MismatchedId,
    /// It answers 500.
    Fails,
    /// It takes this long, in milliseconds.
    Slow(u64),
    /// Its stream stalls after the first event and drips bytes that complete no other.
    Trickles,
    /// It turns the request away and wants nothing from its sender for this long, in milliseconds.
    RejectsWithPause(u64),
}

/// A request that reached the runner.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The caller's id.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether it ran.
    pub ran: bool,
    /// Whether the runner does not hold what it names.
    pub not_held: bool,
    /// When it came.
    pub at: Instant,
}

/// A request that the runner turned away, naming a time for which it wants nothing.
#[derive(Clone, Debug)]
pub struct RejectedRequest {
    /// The caller's id.
    pub id: String,
    /// When it was turned away.
    pub at: Instant,
    /// Time for which the runner wants nothing from its sender.
    pub pause: Duration,
}

/// Space for weights that a runner has.
#[derive(Clone, Copy, Debug)]
pub struct EngineCapacity {
    /// Models, all of one size.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
}

/// Requests that meet a fault by chance.
#[derive(Debug)]
struct FaultChance {
    random: Pcg64Mcg,
    part: f64,
}

impl FaultChance {
    fn draw(&mut self, events: u64) -> Option<EngineFault> {
        if !self.random.random_bool(self.part) {
            return None;
        }
        Some(match self.random.random_range(0..6) {
            0 => EngineFault::NotRun,
            1 => EngineFault::LosesAnswer,
            2 => EngineFault::BreaksAt(self.random.random_range(1..=events)),
            3 => EngineFault::MismatchedId,
            4 => EngineFault::Fails,
            _ => EngineFault::Slow(self.random.random_range(50..800)),
        })
    }
}

#[derive(Debug, Default)]
struct EngineState {
    born: u64,
    space: Option<EngineCapacity>,
    load_span: Duration,
    chance: Option<FaultChance>,
    violations: Vec<String>,
    omits_ids: bool,
    /// Whether all its answers say that it leaves.
    leaving: bool,
    turned_away: Vec<RejectedRequest>,
    /// Path at which a request crashes the runner, and what ends its server.
    deadly: Option<(String, CancellationToken)>,
    fence: Option<(u64, String)>,
    models: BTreeMap<String, BTreeSet<String>>,
    disk: BTreeSet<String>,
    accepted: u64,
    orders: Vec<Value>,
    faults: VecDeque<EngineFault>,
    seen: Vec<SeenRequest>,
    events: u64,
    busy: bool,
    abandoned: usize,
    /// Time that a report takes.
    report_span: Duration,
    /// When reports were asked for.
    reported: Vec<Instant>,
}

/// Counts a run whose caller went away before it ended.
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

/// A runner on a loopback port.
#[derive(Debug)]
pub struct SiteEngine {
    /// Its id.
    pub name: String,
    state: Arc<Mutex<EngineState>>,
    server: StandinServer,
}

impl SiteEngine {
    /// Starts a runner that holds `models`, has `disk` on its disk and answers with `events` events.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start(name: &str, models: &[&str], disk: &[&str]) -> std::io::Result<Self> {
        let state = EngineState {
            models: models.iter().map(|name| ((*name).to_owned(), BTreeSet::new())).collect(),
            disk: disk.iter().map(|name| (*name).to_owned()).collect(),
            events: 6,
            born: 1,
            ..EngineState::default()
        };
        let state = Arc::new(Mutex::new(state));
        let (of_server, own_name) = (state.clone(), name.to_owned());
        let server =
            start(move |request| answer(own_name.clone(), of_server.clone(), request)).await?;
        Ok(Self { name: name.to_owned(), state, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the row that the runner writes into the store.
    pub fn row(&self, service: &str, beat: u64, draining: bool) -> Vec<u8> {
        let state = lock(&self.state);
        let stage = if draining { "draining" } else { "ready" };
        json!({
            "backend": service, "addr": self.server.address.to_string(), "zone": "z1",
            "revision": "v1", "slots": 8, "state": stage, "cold_left_ms": 0, "sequence": beat,
            "born": state.born, "stage": "both", "models": state.model_list(),
            "available": {"mem_held": [], "disk_held": state.disk},
        })
        .to_string()
        .into_bytes()
    }

    /// Lets each of its reports take `span`.
    pub fn set_report_delay(&self, span: Duration) {
        lock(&self.state).report_span = span;
    }

    /// Returns when reports were asked for.
    pub fn report_times(&self) -> Vec<Instant> {
        lock(&self.state).reported.clone()
    }

    /// Lets it check orders against `space`, and take `load_span` for each load.
    pub fn set_capacity(&self, space: EngineCapacity, load_span: Duration) {
        let mut state = lock(&self.state);
        state.space = Some(space);
        state.load_span = load_span;
    }

    /// Lets a part of all requests from now on meet a fault; 0 ends that.
    pub fn set_fault_rate(&self, seed: u64, part: f64) {
        let random = Pcg64Mcg::seed_from_u64(seed);
        lock(&self.state).chance = (part > 0.0).then_some(FaultChance { random, part });
    }

    /// Lets its events come without ids.
    pub fn omit_ids(&self) {
        lock(&self.state).omits_ids = true;
    }

    /// Lets requests for `target` crash it: it stops listening, and all its connections break.
    pub fn crash_on(&self, target: &str) {
        lock(&self.state).deadly = Some((target.to_owned(), self.server.stop.clone()));
    }

    /// Lets all its answers say that it leaves, whatever its row says.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// Returns the requests that it turned away with a time.
    pub fn rejected_requests(&self) -> Vec<RejectedRequest> {
        lock(&self.state).turned_away.clone()
    }

    /// Starts it anew: it holds nothing but its disk, and knows nothing of before.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        state.born += 1;
        state.models.clear();
        state.accepted = 0;
        state.busy = false;
        state.fence = None;
        state.leaving = false;
    }

    /// Returns what was wrong with orders: too much for its space, or holders in turn.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.state).violations.clone()
    }

    /// Lets the next request meet a fault.
    pub fn push_fault(&self, fault: EngineFault) {
        lock(&self.state).faults.push_back(fault);
    }

    /// Returns the requests that reached the runner.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.state).seen.clone()
    }

    /// Returns the number of slow runs whose caller went away.
    pub fn abandoned(&self) -> usize {
        lock(&self.state).abandoned
    }

    /// Returns the orders that reached the runner.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }
}

impl EngineState {
    fn model_list(&self) -> Vec<Value> {
        let models = self.models.iter();
        models
            .map(|(name, adapters)| json!({"name": name, "revision": 1, "adapters": adapters}))
            .collect()
    }

    /// Notes an order of a holder that another one followed.
    fn judge_holder(&mut self, order: &Value) {
        let fence = order["fence"].as_u64().unwrap_or(0);
        let holder = order["holder"].as_str().unwrap_or("").to_owned();
        if let Some((last, of)) = &self.fence
            && (fence < *last || (fence == *last && holder != *of))
        {
            self.violations.push(format!("order {order} after one of {of} with fence {last}"));
        }
        self.fence = Some((fence, holder));
    }

    /// Notes an order that the runner has no room for.
    fn judge_space(&mut self, order: &Value) {
        let Some(space) = self.space.filter(|_| order["opcode"] == "load") else { return };
        let model = order["model"].as_str().unwrap_or("");
        let adapters: usize = self.models.values().map(BTreeSet::len).sum();
        let full = match order["adapter"].as_str() {
            None => !self.models.contains_key(model) && self.models.len() >= space.models,
            Some(name) => !self.holds(&format!("{model}/{name}")) && adapters >= space.adapters,
        };
        if full {
            self.violations.push(format!("order {order} with {:?} loaded", self.models));
        }
    }

    fn holds(&self, choice: &str) -> bool {
        match choice.split_once('/') {
            None => self.models.contains_key(choice),
            Some((model, adapter)) => {
                self.models.get(model).is_some_and(|adapters| adapters.contains(adapter))
            }
        }
    }
}

fn lock(state: &Mutex<EngineState>) -> MutexGuard<'_, EngineState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(
    name: String,
    state: Arc<Mutex<EngineState>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut answer = handle(name, state.clone(), request).await;
    if lock(&state).leaving {
        set(&mut answer, "server-leaving", "1");
    }
    answer
}

async fn handle(
    name: String,
    state: Arc<Mutex<EngineState>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let text = |header: &str| {
        parts.headers.get(header).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
    };
    let expected = text("x-expect-instance");
    if !expected.is_empty() && expected != name {
        let mut answer = plain(StatusCode::MISDIRECTED_REQUEST);
        set(&mut answer, "x-instance", &name);
        return answer;
    }
    match parts.uri.path() {
        "/report" => {
            let span = {
                let mut state = lock(&state);
                state.reported.push(Instant::now());
                state.report_span
            };
            sleep(span).await;
            let state = lock(&state);
            let report = json!({
                "stage": "both", "state": "ready", "models": state.model_list(),
                "busy": state.busy, "sequence": state.accepted, "born": state.born,
                "available": {"mem_held": [], "disk_held": state.disk},
            });
            return whole_answer(StatusCode::OK, "application/json", report.to_string());
        }
        "/order" => return obey(&state, &body),
        _ => {}
    }
    let id = text("x-request-id");
    let choice = text("x-model");
    let (fault, events, ran, named) = {
        let mut state = lock(&state);
        let events = state.events;
        let drawn = state.chance.as_mut().and_then(|chance| chance.draw(events));
        let fault = state.faults.pop_front().or(drawn);
        let not_held = !choice.is_empty() && !state.holds(&choice);
        let turned_away =
            matches!(fault, Some(EngineFault::NotRun | EngineFault::RejectsWithPause(_)));
        let ran = !not_held && !turned_away;
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
            return plain(StatusCode::MISDIRECTED_REQUEST);
        }
        (fault, state.events, ran, !state.omits_ids)
    };
    let deadly = lock(&state).deadly.clone().filter(|(target, _)| *target == parts.uri.to_string());
    if let Some((_, stop)) = deadly {
        stop.cancel();
        return broken_answer();
    }
    if !ran {
        let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
        set(&mut answer, "x-not-run", "1");
        if let Some(EngineFault::RejectsWithPause(millis)) = fault {
            let pause = Duration::from_millis(millis);
            set(&mut answer, "retry-after", &pause.as_secs_f64().to_string());
            let turned_away = RejectedRequest { id, at: Instant::now(), pause };
            lock(&state).turned_away.push(turned_away);
        }
        return answer;
    }
    if let Some(EngineFault::Slow(millis)) = fault {
        let mut guard = RunGuard { state: state.clone(), ended: false };
        sleep(Duration::from_millis(millis)).await;
        guard.ended = true;
    }
    let mut answer = match fault {
        Some(EngineFault::LosesAnswer) => broken_answer(),
        Some(EngineFault::Fails) => plain(StatusCode::INTERNAL_SERVER_ERROR),
        _ if choice.is_empty() => whole_answer(StatusCode::OK, "text/plain", format!("done {id}")),
        _ => {
            let after = text("last-event-id").parse().unwrap_or(0);
            let breaks = match fault {
                Some(EngineFault::BreaksAt(number)) => Some(number),
                _ => None,
            };
            if fault == Some(EngineFault::Trickles) {
                dripping_answer(after)
            } else {
                stream_answer(after, events, breaks, named)
            }
        }
    };
    let echoed = if fault == Some(EngineFault::MismatchedId) { "another" } else { id.as_str() };
    set(&mut answer, "x-request-id", echoed);
    set(&mut answer, "x-server-seal", &format!("seal.{name}"));
    answer
}

fn obey(shared: &Arc<Mutex<EngineState>>, body: &Bytes) -> Response<AnswerBody> {
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let mut state = lock(shared);
    state.orders.push(order.clone());
    state.judge_holder(&order);
    if order["expect"].as_u64().is_some_and(|expected| expected != state.accepted) {
        return plain(StatusCode::CONFLICT);
    }
    if state.busy {
        return plain(StatusCode::CONFLICT);
    }
    state.judge_space(&order);
    let model = order["model"].as_str().unwrap_or("").to_owned();
    match (order["opcode"].as_str(), order["adapter"].as_str()) {
        (Some("load"), None) if state.load_span.is_zero() => {
            state.models.entry(model.clone()).or_default();
            state.disk.insert(model);
        }
        (Some("load"), None) => {
            state.busy = true;
            tokio::spawn(finish_load(shared.clone(), model, state.born, state.load_span));
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
        _ => return plain(StatusCode::BAD_REQUEST),
    }
    state.accepted += 1;
    plain(StatusCode::ACCEPTED)
}

async fn finish_load(shared: Arc<Mutex<EngineState>>, model: String, born: u64, span: Duration) {
    sleep(span).await;
    let mut state = lock(&shared);
    if state.born == born {
        state.busy = false;
        state.models.entry(model.clone()).or_default();
        state.disk.insert(model);
    }
}

fn event(number: u64, named: bool) -> Bytes {
    let id = if named { format!("id: {number}\n") } else { String::new() };
    Bytes::from(format!("{id}data: piece {number}\n\n"))
}

fn stream_answer(
    after: u64,
    events: u64,
    breaks: Option<u64>,
    named: bool,
) -> Response<AnswerBody> {
    // One that goes on after that event breaks off at its first.
    let breaks = breaks.map(|at| at.max(after + 1));
    let last = breaks.map_or(events, |at| at.min(events));
    let whole = (after + 1..=last).filter(|number| breaks != Some(*number));
    let mut pieces: Vec<std::io::Result<Bytes>> =
        whole.map(|number| Ok(event(number, named))).collect();
    if let Some(at) = breaks {
        pieces.push(Ok(event(at, named).slice(..8)));
        pieces.push(Err(std::io::Error::other("broken off")));
    }
    // The pause lets a part of an event out before the break.
    let pieces = stream::iter(pieces).then(|piece| async {
        sleep(EVENT_PAUSE).await;
        piece.map(Frame::data)
    });
    let mut answer = Response::new(StreamBody::new(pieces).boxed_unsync());
    set(&mut answer, "content-type", "text/event-stream");
    answer
}

/// Returns a stream of one event that never ends.
fn dripping_answer(after: u64) -> Response<AnswerBody> {
    let first = stream::iter([event(after + 1, true)]);
    let drops = stream::repeat(Bytes::from_static(b":")).then(|drop| async {
        sleep(DRIP_PAUSE).await;
        drop
    });
    let pieces = first.chain(drops).map(|piece| std::io::Result::Ok(Frame::data(piece)));
    let mut answer = Response::new(StreamBody::new(pieces).boxed_unsync());
    set(&mut answer, "content-type", "text/event-stream");
    answer
}

fn broken_answer() -> Response<AnswerBody> {
    let pieces = stream::iter([Err(std::io::Error::other("lost"))]);
    let mut answer = Response::new(StreamBody::new(pieces).boxed_unsync());
    set(&mut answer, "content-length", "100");
    answer
}

fn plain(code: StatusCode) -> Response<AnswerBody> {
    whole_answer(code, "text/plain", "")
}

fn set(answer: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
}
