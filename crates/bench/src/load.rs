//! Open-loop load on a running fleet.
//!
//! Latencies count from the instant at which a request was due, so that a fleet that falls
//! behind cannot hide it.

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

const MAX_TRACKED_MICROS: u64 = 600_000_000;

/// How a fleet is loaded
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct LoadOptions {
    /// File whose first line is what `dotterellane demo --json` prints
    #[arg(long, value_name = "FILE")]
    pub target: PathBuf,
    /// Requests a second
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Seconds during which requests are sent
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub seconds: u64,
    /// Exponent of the Zipf law of the models' popularity
    #[arg(long, default_value_t = 1.1)]
    pub skew: f64,
    /// Output tokens of each request
    #[arg(long, default_value_t = 32)]
    pub max_tokens: u32,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered in full.
    pub whole: u64,
    /// Answers of status 200 that broke off or lacked their end.
    pub broken: u64,
    /// Refusals and failures by status; 0 stands for no answer.
    pub refused: BTreeMap<u16, u64>,
    /// Time from when the request was due to its first token, in microseconds.
    pub first_token: LatencySummary,
    /// Time between tokens, in microseconds.
    pub token_gap: LatencySummary,
    /// Each team's share of requests answered in full.
    pub teams: BTreeMap<String, TeamSummary>,
}

/// How one team fared.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct TeamSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered in full.
    pub whole: u64,
    /// 99th percentile of the time to the first token, in microseconds.
    pub first_token_p99: u64,
}

/// Percentiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct LatencySummary {
    /// Number of values.
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

/// What became of one request.
struct RequestRecord {
    team: usize,
    /// Status of the answer, `None` without an answer.
    status: Option<StatusCode>,
    whole: bool,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
}

/// Runs the load and waits for every answer.
///
/// # Errors
/// Fails if the target or the options are wrong.
pub fn run(options: &LoadOptions) -> miette::Result<LoadReport> {
    let target = LoadTarget::read(&options.target)?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(load(target, options))
}

async fn load(target: LoadTarget, options: &LoadOptions) -> miette::Result<LoadReport> {
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
        let due = start + arrival.at;
        tokio::time::sleep_until(due).await;
        let (client, target) = (client.clone(), target.clone());
        calls.push(tokio::spawn(call(client, target, arrival, due, options.max_tokens)));
    }
    let mut records = Vec::with_capacity(calls.len());
    for call in calls {
        records.push(call.await.into_diagnostic()?);
    }
    summarise(&target, &records)
}

async fn call(
    client: LoadClient,
    target: Arc<LoadTarget>,
    arrival: TraceArrival,
    due: Instant,
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
    let Ok(mut answer) = client.request(request).await else { return record };
    record.status = Some(answer.status());
    if answer.status() != StatusCode::OK {
        return record;
    }
    let mut last = None;
    let mut tail = Vec::new();
    while let Some(frame) = answer.body_mut().frame().await {
        let Ok(frame) = frame else { return record };
        let Some(data) = frame.data_ref() else { continue };
        tail.extend_from_slice(data);
        let kept = tail.len().saturating_sub(64);
        tail.drain(..kept);
        let now = Instant::now();
        match last.replace(now) {
            None => record.first_token = Some(now - due),
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
        record.first_token.iter().for_each(|latency| note(&mut first_tokens, *latency));
        record.gaps.iter().for_each(|gap| note(&mut gaps, *gap));
    }
    report.first_token = (&first_tokens).into();
    report.token_gap = (&gaps).into();
    for (index, team) in target.teams.iter().enumerate() {
        let of_team = records.iter().filter(|record| record.team == index);
        report.teams.insert(team.team.clone(), summarise_team(of_team)?);
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
        record.first_token.iter().for_each(|latency| note(&mut first_tokens, *latency));
    }
    summary.first_token_p99 = first_tokens.value_at_quantile(0.99);
    Ok(summary)
}

fn new_histogram() -> miette::Result<Histogram<u64>> {
    Histogram::new_with_max(MAX_TRACKED_MICROS, 3).into_diagnostic()
}

fn note(values: &mut Histogram<u64>, latency: Duration) {
    values.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
}
