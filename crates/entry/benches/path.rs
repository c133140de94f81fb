//! Latency and memory that the entry adds to event streams, compared with direct calls of a runner.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dotterellane_entry::EntryLimits;
use dotterellane_standins::FaultyRunner;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use support::{EntryEnvironment, chat_request, model_entry, test_document};
use tokio::net::TcpStream;

/// Number of tokens per stream.
const TOKENS: u64 = 50;

/// Time between two tokens.
const TOKEN_PAUSE: Duration = Duration::from_millis(10);

/// Number of streams per measurement, over all connections.
const STREAMS: usize = 512;

/// Time between two tokens of the streams whose memory is measured.
const HELD_PAUSE: Duration = Duration::from_secs(8);

struct LatencyTable {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
}

impl LatencyTable {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("valid bounds");
        Self { first: histogram(), gaps: histogram() }
    }

    fn show(&self, name: &str) {
        let micros = |histogram: &Histogram<u64>, quantile| {
            Duration::from_nanos(histogram.value_at_quantile(quantile))
        };
        println!(
            "{name:24} first token p50 {:>10.1?} p99 {:>10.1?}   between tokens p50 {:>10.1?} p99 {:>10.1?}",
            micros(&self.first, 0.5),
            micros(&self.first, 0.99),
            micros(&self.gaps, 0.5),
            micros(&self.gaps, 0.99),
        );
    }
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let (sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(driver);
    sender
}

fn request() -> Request<Full<Bytes>> {
    let mut request = chat_request(true, TOKENS, "hello");
    let id = "0123456789abcdef0123456789abcdef".parse().expect("a value");
    request.headers_mut().insert("x-request-id", id);
    request
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// Measures `count` streams, one after another on one connection.
async fn time_streams(address: SocketAddr, count: usize) -> LatencyTable {
    let mut table = LatencyTable::new();
    let mut sender = connect(address).await;
    for _ in 0..count {
        sender.ready().await.expect("an open connection");
        let mut last = Instant::now();
        let mut first = true;
        let response = sender.send_request(request()).await.expect("a response");
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.expect("a complete response");
            let now = Instant::now();
            if frame.data_ref().is_none_or(|data| data.starts_with(b"data: [DONE]")) {
                continue;
            }
            let histogram = if first { &mut table.first } else { &mut table.gaps };
            histogram.record(nanos(now - last)).expect("in bounds");
            (first, last) = (false, now);
        }
    }
    table
}

async fn time_all(address: SocketAddr, concurrency: usize) -> LatencyTable {
    let rounds = (STREAMS / concurrency).clamp(2, 32);
    let tasks = (0..concurrency).map(|_| tokio::spawn(time_streams(address, rounds)));
    let mut sum = LatencyTable::new();
    for table in futures::future::join_all(tasks).await {
        let table = table.expect("no panic");
        sum.first.add(&table.first).expect("same bounds");
        sum.gaps.add(&table.gaps).expect("same bounds");
    }
    sum
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").expect("a status");
    let pages: u64 = status.split(' ').nth(1).and_then(|text| text.parse().ok()).expect("pages");
    pages * 4_096
}

/// Returns the resident memory in bytes that each of `count` open streams adds.
async fn hold_streams(address: SocketAddr, count: usize) -> u64 {
    let before = resident_bytes();
    let mut held = Vec::with_capacity(count);
    for _ in 0..count {
        let mut sender = connect(address).await;
        let response = sender.send_request(request()).await.expect("a response");
        let mut body = response.into_body();
        body.frame().await.expect("a token").expect("a whole frame");
        held.push((sender, body));
    }
    let after = resident_bytes();
    after.saturating_sub(before) / u64::try_from(count).unwrap_or(1)
}

async fn measure(count: usize) {
    let runner = FaultyRunner::start().await.expect("a runner");
    let mut document = test_document();
    let model = model_entry(Duration::from_secs(600));
    document.models.insert("planner".parse().expect("an id"), model);
    let limits = EntryLimits { idle_timeout: Duration::from_secs(60), ..EntryLimits::default() };
    let entry = EntryEnvironment::start_with(&[runner.address()], document, limits).await;
    runner.set_chunk_pause(TOKEN_PAUSE);
    for concurrency in [1, 32, 256] {
        time_all(runner.address(), concurrency).await.show(&format!("{concurrency} direct"));
        time_all(entry.address, concurrency).await.show(&format!("{concurrency} through entry"));
    }
    runner.set_chunk_pause(HELD_PAUSE);
    let direct = hold_streams(runner.address(), count).await;
    println!("{count} streams direct: {direct} bytes resident each, client and runner");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let relayed = hold_streams(entry.address, count).await;
    println!("{count} streams through the entry: {relayed} bytes resident each");
    println!("the entry's part: at most {} bytes a stream", relayed.saturating_sub(direct));
}

fn main() {
    let count = std::env::var("OPEN_STREAMS").ok().and_then(|text| text.parse().ok());
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure(count.unwrap_or(2_000)));
}
