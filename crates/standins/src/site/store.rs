//! A stand-in for the platform's store: rows in tables, with one version counter, over HTTP.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::http_server::{ResponseBody, StandinServer, full_response, start};

/// A fault injected into the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Responds with 503 to every call.
    Busy,
    /// Executes nothing and keeps the caller waiting for a minute.
    Silent,
    /// Commits writes, but does not respond to them.
    LosesAnswers,
    /// Commits writes only after the caller has given up, and does not respond to them.
    WritesLate,
    /// Reads return the rows as they were when this fault was set.
    Stale,
    /// Feeds that start at or before the version when this fault was set show no later changes.
    StaleFeeds,
}

/// Header of all responses: how often the store was restored.
const ERA_HEADER: &str = "store-era";

/// Delay of a late write, longer than any caller waits for a response.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(1_700);

/// Time after which a call without a response ends.
const SILENCE_DURATION: Duration = Duration::from_secs(60);

/// Maximum size of the values of a page, in bytes.
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<String>,
    version: u64,
}

/// Rows by table and key.
type StoredRows = BTreeMap<(String, String), StoredRow>;

/// A copy of a store's rows, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: StoredRows,
    version: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: StoredRows,
    version: u64,
    /// How often the store was restored from a copy.
    era: u64,
    /// Feeds that start before this version get 410.
    history_start: u64,
    /// Rows and version that reads return under [`StoreFault::Stale`].
    stale: Option<(StoredRows, u64)>,
    /// Version at which [`StoreFault::StaleFeeds`] was set.
    stale_feeds: Option<u64>,
    fault: StoreFault,
    calls: u64,
    /// Values that replace written ones, by the written value; both Base64.
    aliases: BTreeMap<String, String>,
    /// Rows that are added to answers, by table.
    extra_rows: BTreeMap<String, Value>,
}

/// A store on a loopback port; it stops when dropped.
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
    /// Fails if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let changed: Arc<Notify> = Arc::default();
        let (server_state, notify) = (state.clone(), changed.clone());
        let server =
            start(move |request| handle(server_state.clone(), notify.clone(), request)).await?;
        Ok(Self { state, changed, server })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes a row without conditions, as the operator or a runner does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        let mut state = lock(&self.state);
        let version = state.write(table, key, Some(encode(value)));
        drop(state);
        self.changed.notify_waiters();
        version
    }

    /// Writes a row whose value is `text` as it stands, which need not be Base64.
    pub fn put_unencoded(&self, table: &str, key: &str, text: &str) {
        lock(&self.state).write(table, key, Some(text.to_owned()));
        self.changed.notify_waiters();
    }

    /// Adds `row`, which need not be a valid one, to each answer about rows of `table`.
    pub fn set_extra_row(&self, table: &str, row: Value) {
        lock(&self.state).extra_rows.insert(table.to_owned(), row);
    }

    /// Removes a row, which leaves a tombstone.
    pub fn remove(&self, table: &str, key: &str) {
        lock(&self.state).write(table, key, None);
        self.changed.notify_waiters();
    }

    /// Returns the value of a row; `None` if there is none.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        decode(row.value.as_ref()?)
    }

    /// Injects `fault` into the calls that arrive from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut state = lock(&self.state);
        state.stale = (fault == StoreFault::Stale).then(|| (state.rows.clone(), state.version));
        state.stale_feeds = (fault == StoreFault::StaleFeeds).then_some(state.version);
        state.fault = fault;
    }

    /// Discards the history, so that feeds which start before the current version get 410.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state);
        state.history_start = state.version;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the rows, to restore the store from later.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state);
        StoreCopy { rows: state.rows.clone(), version: state.version }
    }

    /// Restores the store from a copy: what was written since is gone, its versions are given out
    /// again, and a new era begins.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = lock(&self.state);
        (state.rows, state.version) = (copy.rows, copy.version);
        state.history_start = state.history_start.min(state.version);
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Stores `alias` whenever a process writes `value`, for instance to route peers through a
    /// [`SiteMesh`](super::SiteMesh).
    pub fn set_alias(&self, value: &str, alias: &str) {
        let (value, alias) = (encode(value.as_bytes()), encode(alias.as_bytes()));
        lock(&self.state).aliases.insert(value, alias);
    }

    /// Serves the same rows on another port, with texts in their values replaced, so that the hosts
    /// which read them there use other addresses.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_view(
        &self,
        replacements: BTreeMap<String, String>,
    ) -> std::io::Result<StandinServer> {
        let (state, changed) = (self.state.clone(), self.changed.clone());
        let replacements = Arc::new(replacements);
        start(move |request| {
            let (handled, replacements) =
                (handle(state.clone(), changed.clone(), request), replacements.clone());
            async move { replace_in_rows(handled.await, &replacements).await }
        })
        .await
    }

    /// Returns the number of calls received so far.
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

/// Handles a call; the response has the era in which it was executed.
async fn handle(
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = execute(state.clone(), changed, request).await;
    if !response.headers().contains_key(ERA_HEADER) {
        let era = lock(&state).era;
        response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    }
    response
}

async fn execute(
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let fault = {
        let mut state = lock(&state);
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::Busy => return status_response(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Silent => {
            sleep(SILENCE_DURATION).await;
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        _ => {}
    }
    let query = parse_query(parts.uri.query().unwrap_or(""));
    match parts.uri.path() {
        "/rows-tx" if fault == StoreFault::WritesLate => {
            // Commits even if the caller has closed the connection.
            tokio::spawn(async move {
                sleep(LATE_WRITE_DELAY).await;
                commit(&mut lock(&state), &body);
                changed.notify_waiters();
            });
            sleep(SILENCE_DURATION).await;
            status_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        "/rows-tx" => {
            let response = commit(&mut lock(&state), &body);
            changed.notify_waiters();
            if fault == StoreFault::LosesAnswers {
                sleep(SILENCE_DURATION).await;
            }
            response
        }
        "/rows-get" => read(&lock(&state), &query),
        "/rows-feed" => read_feed(&state, &changed, &query).await,
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

fn commit(state: &mut StoreState, body: &Bytes) -> Response<ResponseBody> {
    let Ok(message) = serde_json::from_slice::<TransactionMessage>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let holds = |row: &RowMessage| state.version_of(&row.table, &row.key) == row.ver;
    if !message.expect.iter().all(holds) {
        let rows: Vec<Value> = message
            .expect
            .iter()
            .filter_map(|row| {
                let stored = state.rows.get(&(row.table.clone(), row.key.clone()))?;
                row_json(&row.table, &row.key, stored)
            })
            .collect();
        return rows_response(
            state.era,
            StatusCode::PRECONDITION_FAILED,
            &rows,
            state.version,
            false,
        );
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
    rows_response(state.era, StatusCode::OK, &[], version, false)
}

fn read(state: &StoreState, query: &HashMap<String, String>) -> Response<ResponseBody> {
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
        .filter_map(|((of, key), row)| row_json(of, key, row))
        .collect();
    let fitting = all
        .iter()
        .scan(0, |bytes, row| {
            *bytes += row["value"].as_str().map_or(0, str::len);
            Some(*bytes)
        })
        .take_while(|bytes| *bytes <= MAX_PAGE_BYTES);
    let count = fitting.count().max(1).min(limit).min(all.len());
    let mut page = all[..count].to_vec();
    page.extend(state.extra_rows.get(&table).cloned());
    rows_response(state.era, StatusCode::OK, &page, version, all.len() > count)
}

async fn read_feed(
    state: &Mutex<StoreState>,
    changed: &Notify,
    query: &HashMap<String, String>,
) -> Response<ResponseBody> {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after").unwrap_or(0);
    let table = query.get("table").cloned().unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let next_rows = async {
        loop {
            let notification = changed.notified();
            {
                let state = lock(state);
                if let Some(version) = state.stale_feeds.filter(|version| after <= *version) {
                    return rows_response(state.era, StatusCode::OK, &[], version, false);
                }
                if after < state.history_start || after > state.version {
                    return status_response(StatusCode::GONE);
                }
                let mut rows: Vec<_> = state
                    .rows
                    .iter()
                    .filter(|((of, _), row)| *of == table && row.version > after)
                    .collect();
                rows.sort_by_key(|(_, row)| row.version);
                if !rows.is_empty() {
                    let rows = rows.into_iter().map(|((of, key), row)| {
                        row_json(of, key, row).unwrap_or_else(|| {
                            json!({"table": of, "key": key, "ver": row.version, "tombstone": true})
                        })
                    });
                    let rows: Vec<Value> =
                        rows.chain(state.extra_rows.get(&table).cloned()).collect();
                    return rows_response(state.era, StatusCode::OK, &rows, state.version, false);
                }
            }
            notification.await;
        }
    };
    match timeout(wait, next_rows).await {
        Ok(response) => response,
        Err(_elapsed) => {
            let state = lock(state);
            rows_response(state.era, StatusCode::OK, &[], state.version, false)
        }
    }
}

/// Replaces texts in the values of the rows of a response.
async fn replace_in_rows(
    response: Response<ResponseBody>,
    replacements: &BTreeMap<String, String>,
) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let mut message: Value = serde_json::from_slice(&body).unwrap_or_default();
    let rows = message.get_mut("rows").and_then(Value::as_array_mut);
    for row in rows.into_iter().flatten() {
        let value = row["value"].as_str().and_then(decode);
        let Some(mut text) = value.and_then(|value| String::from_utf8(value).ok()) else {
            continue;
        };
        for (known, other) in replacements {
            text = text.replace(known, other);
        }
        row["value"] = encode(text.as_bytes()).into();
    }
    let body = if message.is_null() { body } else { message.to_string().into() };
    let mut replaced = full_response(head.status, "application/json", body);
    if let Some(era) = head.headers.get(ERA_HEADER) {
        replaced.headers_mut().insert(ERA_HEADER, era.clone());
    }
    replaced
}

fn row_json(table: &str, key: &str, row: &StoredRow) -> Option<Value> {
    let value = row.value.as_ref()?;
    Some(json!({"table": table, "part": "", "key": key, "value": value, "ver": row.version}))
}

fn rows_response(
    era: u64,
    code: StatusCode,
    rows: &[Value],
    version: u64,
    more: bool,
) -> Response<ResponseBody> {
    let body =
        json!({"rows": rows, "ver": version, "now_ms": monotonic_millis(), "more_pages": more});
    let mut response = full_response(code, "application/json", body.to_string());
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    response
}

/// Returns the store's monotonic clock, in milliseconds, which has an arbitrary origin.
fn monotonic_millis() -> u64 {
    dotterellane_units::boot_clock().now().0 / 1_000_000 + 7_000_000
}

fn status_response(code: StatusCode) -> Response<ResponseBody> {
    full_response(code, "text/plain", "")
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect()
}

/// Decodes `%XX`; other text stays as it is.
fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, more @ ..] = rest {
        let digits = more.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &more[2..] } else { more };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A row value as encoded in messages.
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
