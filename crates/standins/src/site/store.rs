//! The platform's store: rows of tables with one version counter, over HTTP.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::http_server::{AnswerBody, StandinServer, start, whole_answer};

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It does not answer at all.
    Silent,
    /// It does writes and does not answer them.
    LosesAnswers,
    /// It does writes a while later and does not answer them.
    WritesLate,
    /// It reads from a state of a while ago.
    Stale,
}

/// Time after which a late write is done, longer than any caller waits for its answer.
const LATENESS: Duration = Duration::from_millis(1_700);

/// Time after which a call that is not answered ends.
const SILENCE: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<String>,
    version: u64,
}

/// Rows by table and key.
type StoredRows = BTreeMap<(String, String), StoredRow>;

#[derive(Debug, Default)]
struct StoreState {
    rows: StoredRows,
    version: u64,
    forgotten: u64,
    stale: Option<(StoredRows, u64)>,
    fault: StoreFault,
    calls: u64,
    /// What is stored instead of a value, both encoded.
    aliases: BTreeMap<String, String>,
}

/// A store on a loopback port.
#[derive(Debug)]
pub struct SiteStore {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    server: StandinServer,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct TransactionMessage {
    expect: Vec<RowMessage>,
    put: Vec<RowMessage>,
    remove: Vec<RowMessage>,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct RowMessage {
    table: String,
    key: String,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
}

impl SiteStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let changed: Arc<Notify> = Arc::default();
        let (of_server, notify) = (state.clone(), changed.clone());
        let server =
            start(move |request| answer(of_server.clone(), notify.clone(), request)).await?;
        Ok(Self { state, changed, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes a row as the operator or a runner does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        let mut state = lock(&self.state);
        let version = state.write(table, key, Some(encode(value)));
        drop(state);
        self.changed.notify_waiters();
        version
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        lock(&self.state).write(table, key, None);
        self.changed.notify_waiters();
    }

    /// Returns the content of a row, decoded.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        decode(row.value.as_ref()?)
    }

    /// Sets how the store misbehaves from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut state = lock(&self.state);
        state.stale = (fault == StoreFault::Stale).then(|| (state.rows.clone(), state.version));
        state.fault = fault;
    }

    /// Forgets all history.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state);
        state.forgotten = state.version;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Stores `alias` wherever a process writes `value`, as a translator of addresses would.
    pub fn set_alias(&self, value: &str, alias: &str) {
        let (value, alias) = (encode(value.as_bytes()), encode(alias.as_bytes()));
        lock(&self.state).aliases.insert(value, alias);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

impl StoreState {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) -> u64 {
        self.version += 1;
        let row = StoredRow { value, version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
        self.version
    }

    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|row| row.value.is_some()).map_or(0, |row| row.version)
    }
}

fn lock(state: &Mutex<StoreState>) -> MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let fault = {
        let mut state = lock(&state);
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::Busy => return status(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Silent => {
            sleep(SILENCE).await;
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        _ => {}
    }
    let query = parse_query(parts.uri.query().unwrap_or(""));
    match parts.uri.path() {
        "/rows-tx" if fault == StoreFault::WritesLate => {
            // The write outlives the call.
            tokio::spawn(async move {
                sleep(LATENESS).await;
                transact(&mut lock(&state), &body);
                changed.notify_waiters();
            });
            sleep(SILENCE).await;
            status(StatusCode::SERVICE_UNAVAILABLE)
        }
        "/rows-tx" => {
            let answered = transact(&mut lock(&state), &body);
            changed.notify_waiters();
            if fault == StoreFault::LosesAnswers {
                sleep(SILENCE).await;
            }
            answered
        }
        "/rows-get" => read(&lock(&state), &query),
        "/rows-feed" => follow(&state, &changed, &query).await,
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn transact(state: &mut StoreState, body: &Bytes) -> Response<AnswerBody> {
    let Ok(message) = serde_json::from_slice::<TransactionMessage>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let holds = |row: &RowMessage| state.version_of(&row.table, &row.key) == row.ver;
    if !message.expect.iter().all(holds) {
        let rows: Vec<Value> = message
            .expect
            .iter()
            .filter_map(|row| {
                let stored = state.rows.get(&(row.table.clone(), row.key.clone()))?;
                shown(&row.table, &row.key, stored)
            })
            .collect();
        return with_rows(StatusCode::PRECONDITION_FAILED, &rows, state.version, false);
    }
    state.version += 1;
    let version = state.version;
    for (row, value) in message
        .put
        .iter()
        .map(|row| (row, row.value.clone()))
        .chain(message.remove.iter().map(|row| (row, None)))
    {
        let row_key = (row.table.clone(), row.key.clone());
        let value = value.map(|value| state.aliases.get(&value).cloned().unwrap_or(value));
        state.rows.insert(row_key, StoredRow { value, version });
    }
    with_rows(StatusCode::OK, &[], version, false)
}

fn read(state: &StoreState, query: &HashMap<String, String>) -> Response<AnswerBody> {
    let (rows, version) = match &state.stale {
        Some((rows, version)) => (rows, *version),
        None => (&state.rows, state.version),
    };
    let table = query.get("table").cloned().unwrap_or_default();
    let from = query.get("from").cloned().unwrap_or_default();
    let until = query.get("to").cloned();
    let limit: usize = query.get("limit").and_then(|limit| limit.parse().ok()).unwrap_or(500);
    let all: Vec<Value> = rows
        .iter()
        .filter(|((of, key), _)| {
            *of == table && *key >= from && until.as_ref().is_none_or(|until| key < until)
        })
        .filter_map(|((of, key), row)| shown(of, key, row))
        .collect();
    let more = all.len() > limit;
    with_rows(StatusCode::OK, &all[..all.len().min(limit)], version, more)
}

async fn follow(
    state: &Mutex<StoreState>,
    changed: &Notify,
    query: &HashMap<String, String>,
) -> Response<AnswerBody> {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after").unwrap_or(0);
    let table = query.get("table").cloned().unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let waited = async {
        loop {
            let told = changed.notified();
            {
                let state = lock(state);
                if after < state.forgotten {
                    return status(StatusCode::GONE);
                }
                let mut rows: Vec<_> = state
                    .rows
                    .iter()
                    .filter(|((of, _), row)| *of == table && row.version > after)
                    .collect();
                rows.sort_by_key(|(_, row)| row.version);
                if !rows.is_empty() {
                    let rows: Vec<Value> = rows
                        .into_iter()
                        .map(|((of, key), row)| {
                            shown(of, key, row).unwrap_or_else(|| {
                                json!({"table": of, "key": key, "ver": row.version, "tombstone": true})
                            })
                        })
                        .collect();
                    return with_rows(StatusCode::OK, &rows, state.version, false);
                }
            }
            told.await;
        }
    };
    match timeout(wait, waited).await {
        Ok(answered) => answered,
        Err(_elapsed) => with_rows(StatusCode::OK, &[], lock(state).version, false),
    }
}

fn shown(table: &str, key: &str, row: &StoredRow) -> Option<Value> {
    let value = row.value.as_ref()?;
    Some(json!({"table": table, "part": "", "key": key, "value": value, "ver": row.version}))
}

fn with_rows(code: StatusCode, rows: &[Value], version: u64, more: bool) -> Response<AnswerBody> {
    let body = json!({"rows": rows, "ver": version, "now_ms": steady_millis(), "more_pages": more});
    whole_answer(code, "application/json", body.to_string())
}

/// Milliseconds of the store's steady clock, which starts anywhere.
fn steady_millis() -> u64 {
    dotterellane_units::boot_clock().now().0 / 1_000_000 + 7_000_000
}

fn status(code: StatusCode) -> Response<AnswerBody> {
    whole_answer(code, "text/plain", "")
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.replace("%00", "\0"))).collect()
}

/// A value as it stands in messages.
#[serde_as]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct EncodedValue(#[serde_as(as = "Base64")] Vec<u8>);

fn encode(value: &[u8]) -> String {
    let encoded = serde_json::to_value(EncodedValue(value.to_vec()));
    encoded.ok().and_then(|text| text.as_str().map(str::to_owned)).unwrap_or_default()
}

fn decode(text: &str) -> Option<Vec<u8>> {
    serde_json::from_value::<EncodedValue>(Value::from(text)).ok().map(|value| value.0)
}
