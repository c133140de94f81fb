//! A stand-in for the platform's store with answers that take time and reads that are behind.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dotterellane_standins::http_server::{ResponseBody, StandinServer, full_response, start};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Rows by table and key; `None` marks a removed row.
type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

/// For how long states are kept to answer reads that are behind.
const STATE_RETENTION: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct StoreVersion {
    since: Instant,
    rows: Arc<Rows>,
    number: u64,
}

/// A committed write of a row, for the record.
#[derive(Clone)]
pub struct CommittedWrite {
    pub at: Instant,
    pub key: String,
    pub value: String,
}

struct StoreState {
    versions: VecDeque<StoreVersion>,
    history_start: u64,
    /// Time that an answer usually takes.
    delay: Duration,
    /// Whether answers take up to a quarter less or more than that.
    varies: bool,
    /// Decides how much longer or shorter each answer takes.
    random: u32,
    /// How far reads are behind.
    lag: Duration,
    /// How often the store came back from a copy.
    era: u32,
    /// Whether it answers no call.
    away: bool,
    aliases: HashMap<String, String>,
    commits: Vec<CommittedWrite>,
}

/// The store; it stops when dropped.
pub struct TimedStore {
    state: Arc<Mutex<StoreState>>,
    server: StandinServer,
}

/// Writes rows as the operator or a runner does.
pub struct RowWriter(Arc<Mutex<StoreState>>);

impl RowWriter {
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let row = ((table.to_owned(), key.to_owned()), Some(encode(value)));
        lock(&self.0).write(vec![row]);
    }
}

fn lock(state: &Mutex<StoreState>) -> MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreState {
    fn newest(&self) -> &StoreVersion {
        self.versions.back().expect("there is always a version")
    }

    /// Returns the time that the next answer takes.
    fn next_delay(&mut self) -> Duration {
        if !self.varies {
            return self.delay;
        }
        // The constants of Numerical Recipes' linear congruential generator.
        self.random = self.random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        self.delay.mul_f64(0.75 + f64::from(self.random >> 8) / f64::from(1_u32 << 24) * 0.5)
    }

    /// Returns the state that reads show now.
    fn shown(&self) -> StoreVersion {
        let at = Instant::now().checked_sub(self.lag);
        let shown = self.versions.iter().rev().find(|one| at.is_some_and(|at| one.since <= at));
        shown.unwrap_or(&self.versions[0]).clone()
    }

    fn write(&mut self, rows: Vec<((String, String), Option<String>)>) -> u64 {
        let now = Instant::now();
        let newest = self.newest();
        let (mut next, number) = ((*newest.rows).clone(), newest.number + 1);
        for ((table, key), value) in rows {
            let value = value.map(|value| self.aliases.get(&value).cloned().unwrap_or(value));
            self.commits.push(CommittedWrite {
                at: now,
                key: format!("{table}/{key}"),
                value: value.clone().unwrap_or_default(),
            });
            next.insert((table, key), (value, number));
        }
        self.versions.push_back(StoreVersion { since: now, rows: Arc::new(next), number });
        while self.versions.len() > 1 && now - self.versions[1].since > STATE_RETENTION {
            self.versions.pop_front();
        }
        number
    }
}

impl TimedStore {
    pub async fn start() -> std::io::Result<Self> {
        let first = StoreVersion { since: Instant::now(), rows: Arc::default(), number: 0 };
        let state = Arc::new(Mutex::new(StoreState {
            versions: VecDeque::from([first]),
            history_start: 0,
            delay: Duration::from_millis(4),
            varies: false,
            random: std::process::id(),
            lag: Duration::ZERO,
            era: 0,
            away: false,
            aliases: HashMap::new(),
            commits: Vec::new(),
        }));
        let shared = state.clone();
        let server = start(move |request| handle(shared.clone(), request)).await?;
        Ok(Self { state, server })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes a row as the operator or a runner does; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let row = ((table.to_owned(), key.to_owned()), Some(encode(value)));
        lock(&self.state).write(vec![row]);
    }

    pub fn writer(&self) -> RowWriter {
        RowWriter(self.state.clone())
    }

    /// Sets the time that each answer takes. A transaction commits at the end of that time; a read
    /// shows the state in which it arrived.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Lets answers take up to a quarter less or more than the usual time.
    pub fn vary_delay(&self) {
        lock(&self.state).varies = true;
    }

    /// Drops the history, and lets reads be behind by `lag`.
    pub fn fall_behind(&self, lag: Duration) {
        let mut state = lock(&self.state);
        state.history_start = state.newest().number;
        state.lag = lag;
    }

    /// Answers no call from now on, but with 503.
    pub fn leave(&self) {
        lock(&self.state).away = true;
    }

    /// Comes back from a copy of this age: later writes are gone, and their versions are given out
    /// again.
    pub fn come_back(&self, age: Duration) {
        let mut state = lock(&self.state);
        let at = Instant::now().checked_sub(age);
        while state.versions.len() > 1 && at.is_none_or(|at| state.newest().since > at) {
            state.versions.pop_back();
        }
        state.era += 1;
        state.away = false;
    }

    pub fn set_alias(&self, value: &str, alias: &str) {
        let pair = (encode(value.as_bytes()), encode(alias.as_bytes()));
        lock(&self.state).aliases.insert(pair.0, pair.1);
    }

    /// Returns the writes so far of rows whose table and key begin with `prefix`.
    pub fn commits(&self, prefix: &str) -> Vec<CommittedWrite> {
        let state = lock(&self.state);
        state.commits.iter().filter(|one| one.key.starts_with(prefix)).cloned().collect()
    }
}

async fn handle(
    state: Arc<Mutex<StoreState>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let query = parse_query(parts.uri.query().unwrap_or(""));
    let delay = lock(&state).next_delay();
    let (status, answer) = match parts.uri.path() {
        _ if lock(&state).away => (StatusCode::SERVICE_UNAVAILABLE, Value::Null),
        "/rows-tx" => {
            sleep(delay).await;
            commit(&mut lock(&state), &body)
        }
        "/rows-get" => {
            let answer = read(&lock(&state), &query);
            sleep(delay).await;
            answer
        }
        "/rows-feed" => {
            let answer = feed(&lock(&state), &query);
            sleep(delay).await;
            answer
        }
        _ => (StatusCode::NOT_FOUND, Value::Null),
    };
    let mut response = full_response(status, "application/json", answer.to_string());
    response.headers_mut().insert("store-era", HeaderValue::from(lock(&state).era));
    response
}

fn commit(state: &mut StoreState, body: &Bytes) -> (StatusCode, Value) {
    let Ok(message) = serde_json::from_slice::<Value>(body) else {
        return (StatusCode::BAD_REQUEST, Value::Null);
    };
    let list = |name: &str| message[name].as_array().cloned().unwrap_or_default();
    let name_of = |row: &Value| {
        let text = |field: &str| row[field].as_str().unwrap_or("").to_owned();
        (text("table"), text("key"))
    };
    let newest = state.newest().clone();
    let version_of = |name: &(String, String)| {
        newest.rows.get(name).filter(|row| row.0.is_some()).map_or(0, |row| row.1)
    };
    let expected = list("expect");
    if expected.iter().any(|row| version_of(&name_of(row)) != row["ver"].as_u64().unwrap_or(0)) {
        let rows = expected.iter().filter_map(|row| show(&newest.rows, &name_of(row)));
        let answer = answer_of(rows.collect(), newest.number);
        return (StatusCode::PRECONDITION_FAILED, answer);
    }
    let puts = list("put")
        .into_iter()
        .map(|row| (name_of(&row), Some(row["value"].as_str().unwrap_or("").to_owned())));
    let removals = list("remove").into_iter().map(|row| (name_of(&row), None));
    let number = state.write(puts.chain(removals).collect());
    (StatusCode::OK, answer_of(Vec::new(), number))
}

fn read(state: &StoreState, query: &HashMap<String, String>) -> (StatusCode, Value) {
    let shown = state.shown();
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, from, until) = (text("table"), text("from"), query.get("to"));
    let names = shown
        .rows
        .keys()
        .filter(|(of, key)| *of == table && *key >= from && until.is_none_or(|until| key < until));
    let rows = names.filter_map(|name| show(&shown.rows, name)).collect();
    (StatusCode::OK, answer_of(rows, shown.number))
}

fn feed(state: &StoreState, query: &HashMap<String, String>) -> (StatusCode, Value) {
    let after = query.get("after").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let table = query.get("table").cloned().unwrap_or_default();
    let shown = state.shown();
    if after < state.history_start.min(shown.number)
        || (state.lag.is_zero() && after > shown.number)
    {
        return (StatusCode::GONE, Value::Null);
    }
    let mut changed: Vec<_> =
        shown.rows.iter().filter(|((of, _), row)| *of == table && row.1 > after).collect();
    changed.sort_by_key(|(_, row)| row.1);
    let rows = changed.into_iter().map(|(name, row)| {
        show(&shown.rows, name).unwrap_or_else(
            || json!({"table": name.0, "part": "", "key": name.1, "ver": row.1, "tombstone": true}),
        )
    });
    (StatusCode::OK, answer_of(rows.collect(), shown.number))
}

fn show(rows: &Rows, name: &(String, String)) -> Option<Value> {
    let (value, version) = rows.get(name)?;
    let value = value.as_ref()?;
    Some(json!({"table": name.0, "part": "", "key": name.1, "value": value, "ver": version}))
}

fn answer_of(rows: Vec<Value>, version: u64) -> Value {
    json!({"rows": rows, "ver": version, "now_ms": steady_millis(), "more_pages": false})
}

fn steady_millis() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let start = START.get_or_init(Instant::now);
    7_000_000 + u64::try_from(start.elapsed().as_millis()).unwrap_or(0)
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect()
}

fn decode_percent(text: &str) -> String {
    let (mut decoded, mut rest) = (Vec::new(), text.as_bytes());
    while let [first, more @ ..] = rest {
        let digits = more.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &more[2..] } else { more };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes a value of a row as Base64.
pub fn encode(value: &[u8]) -> String {
    let mut text = String::new();
    for part in value.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
