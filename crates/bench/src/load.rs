//! Open-loop load on a running fleet.
//!
//! Requests are sent at their planned times, however slow the fleet is, and latencies count from
//! these times, which avoids coordinated omission.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use hdrhistogram::Histogram;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use miette::IntoDiagnostic;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use crate::target::LoadTarget;
use crate::trace::{TraceArrival, TraceShape, draw_trace};

/// Longest latency that is recorded exactly, in microseconds; longer ones count as this.
const MAX_TRACKED_MICROS: u64 = 600_000_000;

/// Load on a running fleet
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct LoadOptions {
    /// File whose first line is the output of `dotterellane demo --json`
    #[arg(long, value_name = "FILE")]
    pub target: PathBuf,
    /// Requests per second
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Time during which requests are sent, in seconds
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub seconds: u64,
    /// Exponent of the Zipf distribution of models
    #[arg(long, default_value_t = 1.1)]
    pub skew: f64,
    /// Output tokens per request
    #[arg(long, default_value_t = 32)]
    pub max_tokens: u32,
    /// Seed of the random number generator
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Results of a load run.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response.
    pub whole: u64,
    /// Responses with status 200 that were cut off or had no `[DONE]` event.
    pub broken: u64,
    /// Responses with another status, by status; 0 counts requests without a response.
    pub refused: BTreeMap<u16, u64>,
    /// Time from a request's planned time to its first token, in microseconds.
    pub first_token: LatencySummary,
    /// Time between consecutive frames of a response, normally one token each, in microseconds.
    pub token_gap: LatencySummary,
    /// Results by team.
    pub teams: BTreeMap<String, TeamSummary>,
}

/// Results of one team.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct TeamSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response.
    pub whole: u64,
    /// 99th percentile of the time to the first token, in microseconds.
    pub first_token_p99: u64,
}

/// Percentiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct LatencySummary {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Largest value.
    pub max: u64,
}

impl From<&Histogram<u64>> for LatencySummary {
    fn from(values: &Histogram<u64>) -> Self {
        Self {
            count: values.len(),
            p50: values.value_at_quantile(0.50),
            p95: values.value_at_quantile(0.95),
            p99: values.value_at_quantile(0.99),
            max: values.max(),
        }
    }
}

type LoadClient = Client<HttpConnector, Full<Bytes>>;

/// Outcome of one request.
struct RequestRecord {
    team: usize,
    /// Status of the response; `None` without one.
    status: Option<StatusCode>,
    /// Whether the response ended with its `[DONE]` event.
    whole: bool,
    /// Time from the planned time of the request to its first token.
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
}

/// Runs the load and waits for all responses.
///
/// # Errors
/// Fails if the target cannot be read or the options are out of range.
pub fn run(options: &LoadOptions) -> miette::Result<LoadReport> {
    let target = LoadTarget::read(&options.target)?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(run_load(target, options))
}

async fn run_load(target: LoadTarget, options: &LoadOptions) -> miette::Result<LoadReport> {
    let arrivals = draw_trace(&TraceShape {
        rate: options.rate,
        length: Duration::from_secs(options.seconds),
        skew: options.skew,
        seed: options.seed,
        entries: target.entries.len(),
        teams: target.teams.len(),
        models: target.models.len() + target.adapters.len(),
    })?;
    let client: LoadClient = Client::builder(TokioExecutor::new()).build_http();
    let target = Arc::new(target);
    let start = Instant::now();
    let mut calls = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let planned_at = start + arrival.at;
        tokio::time::sleep_until(planned_at).await;
        let (client, target) = (client.clone(), target.clone());
        calls.push(tokio::spawn(send_request(
            client,
            target,
            arrival,
            planned_at,
            options.max_tokens,
        )));
    }
    let mut records = Vec::with_capacity(calls.len());
    for call in calls {
        records.push(call.await.into_diagnostic()?);
    }
    summarise(&target, &records)
}

async fn send_request(
    client: LoadClient,
    target: Arc<LoadTarget>,
    arrival: TraceArrival,
    planned_at: Instant,
    max_tokens: u32,
) -> RequestRecord {
    let mut record = RequestRecord {
        team: arrival.team,
        status: None,
        whole: false,
        first_token: None,
        gaps: Vec::new(),
    };
    let mut names = target.models.iter().chain(&target.adapters);
    let model = names.nth(arrival.model).cloned().unwrap_or_default();
    let body = json!({
        "model": model, "stream": true, "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": format!("Draft {:?}.", arrival.at)}],
    });
    let request = Request::post(format!("{}/v1/chat/completions", target.entries[arrival.entry]))
        .header(AUTHORIZATION, format!("Bearer {}", target.teams[arrival.team].key))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else { return record };
    let Ok(mut response) = client.request(request).await else { return record };
    record.status = Some(response.status());
    if response.status() != StatusCode::OK {
        return record;
    }
    let mut last = None;
    let mut tail = Vec::new();
    while let Some(frame) = response.body_mut().frame().await {
        let Ok(frame) = frame else { return record };
        let Some(data) = frame.data_ref() else { continue };
        // Only the end of the body is kept, to check for the `[DONE]` event.
        tail.extend_from_slice(data);
        let excess = tail.len().saturating_sub(64);
        tail.drain(..excess);
        let now = Instant::now();
        match last.replace(now) {
            None => record.first_token = Some(now - planned_at),
            Some(before) => record.gaps.push(now - before),
        }
    }
    record.whole = tail.ends_with(b"data: [DONE]\n\n");
    record
}

fn summarise(target: &LoadTarget, records: &[RequestRecord]) -> miette::Result<LoadReport> {
    let mut report = LoadReport::default();
    let mut first_tokens = new_histogram()?;
    let mut gaps = new_histogram()?;
    for record in records {
        report.sent += 1;
        match record.status {
            Some(StatusCode::OK) if record.whole => report.whole += 1,
            Some(StatusCode::OK) => report.broken += 1,
            status => {
                *report.refused.entry(status.map_or(0, |status| status.as_u16())).or_default() += 1;
            }
        }
        record.first_token.iter().for_each(|latency| record_latency(&mut first_tokens, *latency));
        record.gaps.iter().for_each(|gap| record_latency(&mut gaps, *gap));
    }
    report.first_token = (&first_tokens).into();
    report.token_gap = (&gaps).into();
    for (index, team) in target.teams.iter().enumerate() {
        let team_records = records.iter().filter(|record| record.team == index);
        report.teams.insert(team.team.clone(), summarise_team(team_records)?);
    }
    Ok(report)
}

fn summarise_team<'a, R>(records: R) -> miette::Result<TeamSummary>
where
    R: Iterator<Item = &'a RequestRecord>,
{
    let mut summary = TeamSummary::default();
    let mut first_tokens = new_histogram()?;
    for record in records {
        summary.sent += 1;
        summary.whole += u64::from(record.whole);
        record.first_token.iter().for_each(|latency| record_latency(&mut first_tokens, *latency));
    }
    summary.first_token_p99 = first_tokens.value_at_quantile(0.99);
    Ok(summary)
}

fn new_histogram() -> miette::Result<Histogram<u64>> {
    Histogram::new_with_max(MAX_TRACKED_MICROS, 3).into_diagnostic()
}

fn record_latency(values: &mut Histogram<u64>, latency: Duration) {
    values.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
}
