//! Requests of callers to the demo: three daemons, simulated platform, runners and service.

mod support;

use googletest::prelude::*;
use hyper::StatusCode;
use serde_json::{Value, json};
use support::TestEnvironment;

fn chat_body(model: &str, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": "Draft a notice."}]);
    json!({"model": model, "stream": stream, "max_tokens": 12, "messages": messages}).to_string()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn demo_chat_from_idle_model() {
    let environment = TestEnvironment::start().await;
    let key = environment.authorization(0);
    let headers = [("authorization", key.as_str())];
    let path = "/v1/chat/completions";
    let full = environment.call(0, path, &headers, &chat_body("roster-3b", false)).await;
    expect_that!(full.status, eq(StatusCode::OK), "{}", full.text);
    let full: Value = serde_json::from_str(&full.text).unwrap();
    expect_that!(full["usage"]["completion_tokens"].as_u64(), some(eq(12)));
    // Another daemon streams the same content.
    let streamed = environment.call(1, path, &headers, &chat_body("roster-3b", true)).await;
    expect_that!(streamed.text, ends_with("data: [DONE]\n\n"));
    let chunks = streamed.text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let chunks = chunks.map(|rest| serde_json::from_str::<Value>(&format!("{{{rest}")).unwrap());
    let text: String = chunks
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    expect_that!(full["choices"][0]["message"]["content"].as_str(), some(eq(text.as_str())));
    environment.demo.stop().await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn demo_once_only_at_two_daemons() {
    let environment = TestEnvironment::start().await;
    let key = environment.authorization(0);
    let headers = [("authorization", key.as_str()), ("idempotency-key", "booking-1")];
    let path = "/services/bookings/book";
    let first = environment.call(0, path, &headers, "{\"coach\": 7}").await;
    let second = environment.call(1, path, &headers, "{\"coach\": 7}").await;
    expect_that!(first.status, eq(StatusCode::OK), "{}", first.text);
    expect_that!(second.text, eq(&first.text));
    expect_that!(environment.demo.service_runs("{\"coach\": 7}"), eq(1));
    environment.demo.stop().await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn demo_unknown_key() {
    let environment = TestEnvironment::start().await;
    let mut key = environment.authorization(0);
    let last = if key.pop() == Some('0') { '1' } else { '0' };
    key.push(last);
    let headers = [("authorization", key.as_str())];
    let refused =
        environment.call(0, "/v1/chat/completions", &headers, &chat_body("roster-3b", false)).await;
    expect_that!(refused.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(refused.not_run, eq(true));
    environment.demo.stop().await.unwrap();
}
