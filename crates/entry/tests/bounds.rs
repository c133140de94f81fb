//! Deadlines, limits, freshness and shutdown: every request is answered or refused in time.

mod support;

use std::time::Duration;

use dotterellane_entry::EntryLimits;
use dotterellane_fleet::{CallOutcome, ChargeRefusal, FreshnessState};
use dotterellane_standins::{FaultyRunner, RunnerFault};
use dotterellane_units::{ByteSize, TokenCount};
use googletest::prelude::*;
use http::{Method, StatusCode};
use support::{
    EntryEnvironment, NORTH_KEY, chat_request, expected_text, keyed_request, model_entry,
    test_document, test_limits,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn short_deadline(millis: u64) -> dotterellane_settings::document::ConfigurationDocument {
    let mut document = test_document();
    let entry = model_entry(Duration::from_millis(millis));
    document.models.insert("planner".parse().expect("an id"), entry);
    document
}

#[gtest]
#[tokio::test]
async fn host_stale() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let get = |path| keyed_request(Method::GET, path, NORTH_KEY, "");
    expect_that!(entry.send(get("/readyz")).await.status, eq(StatusCode::OK));
    entry.fleet.lock().expect("fleet").freshness = FreshnessState::Stale;
    let refused = entry.chat(false, 2).await;
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(refused.error_code(), eq("host_not_fresh"));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(refused.headers.contains_key("retry-after"), eq(true));
    expect_that!(entry.send(get("/readyz")).await.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(entry.send(get("/healthz")).await.status, eq(StatusCode::OK));
    expect_that!(runner.seen().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn host_stale_while_request_waits() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    entry.fleet.lock().expect("fleet").stale_with_permit = true;
    let refused = entry.chat(false, 2).await;
    expect_that!(refused.error_code(), eq("host_not_fresh"));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(runner.seen().len(), eq(0));
    let fleet = entry.fleet.lock().expect("fleet");
    expect_that!(fleet.permits_out, eq(0));
    expect_that!(fleet.tokens_used, eq(0));
}

#[gtest]
#[tokio::test]
async fn queue_never_moves() {
    let document = short_deadline(200);
    let entry = EntryEnvironment::start_with(&[], document, test_limits()).await;
    entry.fleet.lock().expect("fleet").permits_stuck = true;
    let refused = entry.chat(true, 2).await;
    expect_that!(refused.status, eq(StatusCode::GATEWAY_TIMEOUT));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(entry.fleet.lock().expect("fleet").tokens_used, eq(0));
}

#[gtest]
#[tokio::test]
async fn upstream_slower_than_deadline() {
    let runner = FaultyRunner::start().await.expect("a runner");
    runner.set_chunk_pause(Duration::from_millis(20));
    let document = short_deadline(400);
    let entry = EntryEnvironment::start_with(&[runner.address()], document, test_limits()).await;
    let response = entry.chat(true, 500).await;
    expect_that!(response.error_code(), eq("deadline_exceeded"));
    expect_that!(response.body, not(contains_substring("[DONE]")));
    runner.set_fault(RunnerFault::Delayed(Duration::from_secs(5)));
    let refused = entry.chat(false, 5).await;
    expect_that!(refused.status.is_server_error(), eq(true));
    expect_that!(refused.says_not_run(), eq(false));
    entry.settled().await;
}

#[gtest]
#[tokio::test]
async fn team_over_rate() {
    let entry = EntryEnvironment::start(&[]).await;
    let refusal = ChargeRefusal::OverRate { retry_after: Duration::from_millis(2_500) };
    entry.fleet.lock().expect("fleet").charge_refusal = Some(refusal);
    let refused = entry.chat(false, 2).await;
    expect_that!(refused.status, eq(StatusCode::TOO_MANY_REQUESTS));
    expect_that!(refused.header("retry-after"), eq("3"));
    expect_that!(refused.header("x-ratelimit-limit-tokens"), eq("4000"));
    expect_that!(refused.header("x-ratelimit-reset-tokens"), eq("3s"));
    expect_that!(refused.says_not_run(), eq(true));
    let burst = TokenCount(4_000);
    let refusal = ChargeRefusal::OverBurst { tokens: TokenCount(9_000), burst };
    entry.fleet.lock().expect("fleet").charge_refusal = Some(refusal);
    let refused = entry.chat(false, 2).await;
    expect_that!(refused.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
}

#[gtest]
#[tokio::test]
async fn body_malformed() {
    let entry = EntryEnvironment::start(&[]).await;
    let bodies = [
        ("", StatusCode::BAD_REQUEST),
        ("[]", StatusCode::BAD_REQUEST),
        (r#"{"model":7}"#, StatusCode::BAD_REQUEST),
        (r#"{"model":"planner"}"#, StatusCode::BAD_REQUEST),
        (r#"{"model":"planner","messages":[],"max_tokens":-1}"#, StatusCode::BAD_REQUEST),
        (r#"{"model":"planner","messages":[],"stream":1}"#, StatusCode::BAD_REQUEST),
        (r#"{"model":"planner","messages":[],"max_tokens":513}"#, StatusCode::UNPROCESSABLE_ENTITY),
        (r#"{"model":"planner","messages":[],"n":9}"#, StatusCode::UNPROCESSABLE_ENTITY),
    ];
    for (body, status) in bodies {
        let request = keyed_request(Method::POST, "/v1/chat/completions", NORTH_KEY, body);
        let response = entry.send(request).await;
        expect_that!(response.status, eq(status), "{body}");
        expect_that!(response.says_not_run(), eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn body_too_large() {
    let limits = EntryLimits { body: ByteSize(1_000), ..test_limits() };
    let entry = EntryEnvironment::start_with(&[], test_document(), limits).await;
    let refused = entry.send(chat_request(false, 2, &"x".repeat(2_000))).await;
    expect_that!(refused.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
    expect_that!(refused.says_not_run(), eq(true));
    let close = refused.headers.get("connection").map(|value| value.as_bytes());
    expect_that!(close, some(eq(b"close")));
}

async fn send_slowly(entry: &EntryEnvironment, message: &str) -> String {
    let mut stream = TcpStream::connect(entry.address).await.expect("a connection");
    stream.write_all(message.as_bytes()).await.expect("sent");
    let mut response = String::new();
    let reading = stream.read_to_string(&mut response);
    let read = tokio::time::timeout(Duration::from_secs(5), reading).await;
    expect_that!(read.is_ok(), eq(true), "the connection must end");
    response
}

#[gtest]
#[tokio::test]
async fn caller_sends_slowly() {
    let entry = EntryEnvironment::start(&[]).await;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n";
    let response = send_slowly(&entry, head).await;
    expect_that!(response, not(contains_substring("200 OK")));
    let head = format!(
        "{head}authorization: Bearer {NORTH_KEY}\r\nconnection: close\r\ncontent-length: 9\r\n\r\n{{"
    );
    let response = send_slowly(&entry, &head).await;
    expect_that!(response, starts_with("HTTP/1.1 408"));
}

#[gtest]
#[tokio::test]
async fn headers_too_large() {
    let limits = EntryLimits { headers: ByteSize(9_000), ..test_limits() };
    let entry = EntryEnvironment::start_with(&[], test_document(), limits).await;
    let head = format!("GET /healthz HTTP/1.1\r\nhost: entry\r\nx-fill: {}", "x".repeat(20_000));
    let mut stream = TcpStream::connect(entry.address).await.expect("a connection");
    let _ = stream.write_all(head.as_bytes()).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    expect_that!(String::from_utf8_lossy(&response), not(contains_substring("200 OK")));
}

#[gtest]
#[tokio::test]
async fn caller_stops_reading() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let mut document = test_document();
    let mut model = model_entry(Duration::from_secs(30));
    model.max_output = TokenCount(1_000_000);
    document.models.insert("planner".parse().expect("an id"), model);
    let entry = EntryEnvironment::start_with(&[runner.address()], document, test_limits()).await;
    let body = r#"{"model":"planner","stream":true,"max_tokens":1000000,"messages":[]}"#;
    let message = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {NORTH_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(entry.address).await.expect("a connection");
    stream.write_all(message.as_bytes()).await.expect("sent");
    stream.read_u8().await.expect("the response begins");
    entry.settled().await;
    let fleet = entry.fleet.lock().expect("fleet");
    expect_that!(fleet.released.last().expect("a permit").1, eq(CallOutcome::Abandoned));
}

#[gtest]
#[tokio::test]
async fn caller_leaves() {
    let runner = FaultyRunner::start().await.expect("a runner");
    runner.set_chunk_pause(Duration::from_millis(10));
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let left = tokio::time::timeout(Duration::from_millis(100), entry.chat(true, 500)).await;
    expect_that!(left.is_err(), eq(true));
    entry.settled().await;
    for _ in 0..200 {
        if runner.cancelled() == 1 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fail!("the runner still works for a caller that disconnected").expect("cancelled");
}

#[gtest]
#[tokio::test]
async fn shutdown_while_streams_run() {
    let runner = FaultyRunner::start().await.expect("a runner");
    runner.set_chunk_pause(Duration::from_millis(10));
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.shutdown.cancel();
        tokio::time::sleep(Duration::from_millis(10)).await;
        // Requests are still accepted during the shutdown delay, but the readiness check fails.
        let ready = entry.send(keyed_request(Method::GET, "/readyz", "", "")).await;
        expect_that!(ready.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        entry.chat(true, 30).await
    };
    let (early, late) = tokio::join!(entry.chat(true, 60), stopping);
    expect_that!(early.stream_text(), eq(&expected_text(60)));
    expect_that!(late.stream_text(), eq(&expected_text(30)));
    expect_that!(entry.server.await.expect("no panic"), ok(anything()));
    expect_that!(TcpStream::connect(entry.address).await, err(anything()));
}
