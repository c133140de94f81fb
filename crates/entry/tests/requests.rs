//! Requests as runners receive them, and request ids in responses.

mod support;

use dotterellane_standins::FaultyRunner;
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use support::{EntryEnvironment, NORTH_KEY, chat_request, keyed_request};

async fn seen_body(path: &str, body: Value) -> (StatusCode, Value) {
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let request = keyed_request(Method::POST, path, NORTH_KEY, &body.to_string());
    let response = entry.send(request).await;
    let seen = runner.seen().pop().expect("a request");
    expect_that!(seen.target, eq(path));
    (response.status, serde_json::from_slice(&seen.body).expect("JSON"))
}

#[gtest]
#[tokio::test]
async fn output_bound_told_to_runner() {
    let messages = json!([{"role": "user", "content": "x"}]);
    let asked = json!({"model": "planner", "messages": messages});
    let (status, body) = seen_body("/v1/chat/completions", asked).await;
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(body["max_tokens"], eq(&json!(512)));
    let asked = json!({"model": "planner", "messages": messages, "max_completion_tokens": 7,
                       "priority": -9, "stream": true});
    let (_, body) = seen_body("/v1/chat/completions", asked).await;
    expect_that!(body["max_tokens"], eq(&json!(7)));
    expect_that!(body["priority"], eq(&Value::Null));
    expect_that!(body["stream_options"]["include_usage"], eq(&json!(true)));
}

#[gtest]
#[tokio::test]
async fn fields_given_twice() {
    // With duplicate fields, a runner that uses the first one could generate more than was charged.
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let body =
        r#"{"max_tokens":500,"model":"rosters","model":"planner","messages":[],"max_tokens":2}"#;
    entry.send(keyed_request(Method::POST, "/v1/chat/completions", NORTH_KEY, body)).await;
    let seen = String::from_utf8(runner.seen()[0].body.clone()).expect("text");
    expect_that!(seen, not(contains_substring("500")));
    expect_that!(seen, not(contains_substring("rosters")));
}

#[gtest]
#[tokio::test]
async fn other_endpoints() {
    let asked = json!({"model": "planner", "prompt": "x", "max_tokens": 3});
    let (status, _) = seen_body("/v1/completions", asked).await;
    expect_that!(status, eq(StatusCode::OK));
    let asked = json!({"model": "planner", "input": ["x", "y"]});
    let (status, body) = seen_body("/v1/embeddings", asked).await;
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(body["max_tokens"], eq(&Value::Null));
}

#[gtest]
#[tokio::test]
async fn request_id_in_and_out() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let mut named = chat_request(false, 2, "x");
    named.headers_mut().insert("x-request-id", "my-own".parse().expect("a value"));
    let response = entry.send(named).await;
    expect_that!(response.header("x-request-id"), eq("my-own"));
    let unnamed = entry.chat(false, 2).await;
    expect_that!(unnamed.header("x-request-id").len(), eq(32));
    // Runners never get the caller's id, since two callers may choose the same.
    let seen = runner.seen();
    expect_that!(seen[0].header("x-request-id"), not(some(eq("my-own"))));
    expect_that!(seen[0].header("x-request-id"), not(eq(seen[1].header("x-request-id"))));
    expect_that!(seen[1].header("x-request-id"), some(eq(unnamed.header("x-request-id"))));
    expect_that!(seen[1].header("x-priority"), some(eq("7")));
}

#[gtest]
#[tokio::test]
async fn path_unknown() {
    let entry = EntryEnvironment::start(&[]).await;
    let missing = entry.send(keyed_request(Method::GET, "/v2/chat", NORTH_KEY, "")).await;
    expect_that!(missing.status, eq(StatusCode::NOT_FOUND));
    let method = keyed_request(Method::GET, "/v1/chat/completions", NORTH_KEY, "");
    expect_that!(entry.send(method).await.status, eq(StatusCode::METHOD_NOT_ALLOWED));
}
