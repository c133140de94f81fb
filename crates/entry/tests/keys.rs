//! API keys: requests run only for the team of their key, and keys never reach an upstream.

mod support;

use std::time::Duration;

use bytes::Bytes;
use dotterellane_settings::document::{CallKind, CallerScope};
use dotterellane_standins::{FaultyRunner, PlainService};
use dotterellane_units::KeyId;
use googletest::prelude::*;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use support::{
    EntryEnvironment, NORTH_KEY, SOUTH_KEY, add_service, chat_request, keyed_request,
    service_entry, test_document, test_limits,
};

fn key_id(text: &str) -> KeyId {
    text.parse().expect("an id")
}

fn chat_body(model: &str) -> String {
    format!(r#"{{"model":"{model}","max_tokens":2,"messages":[{{"role":"user","content":"x"}}]}}"#)
}

#[gtest]
#[tokio::test]
async fn key_wrong() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    entry.change(|document| {
        let expired = document.keys[&key_id("south1")].clone();
        document.keys.get_mut(&key_id("south1")).expect("a key").expires_at = Some(1);
        document.keys.insert(key_id("south2"), expired);
    });
    let wrong = [
        "",
        "dk_north1",
        "dk_north1_",
        "dk_north1_secretofsouth",
        "dk_none_secretofnorth",
        "dk_south2_secretofsouth",
        SOUTH_KEY,
    ];
    for key in wrong {
        let request =
            keyed_request(Method::POST, "/v1/chat/completions", key, &chat_body("planner"));
        let response = entry.send(request).await;
        expect_that!(response.status, eq(StatusCode::UNAUTHORIZED), "{key}");
        expect_that!(response.error_code(), eq("invalid_api_key"));
        expect_that!(response.says_not_run(), eq(true));
    }
    expect_that!(runner.seen().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn model_of_other_team() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let ask =
        |key, model| keyed_request(Method::POST, "/v1/chat/completions", key, &chat_body(model));
    let refused = entry.send(ask(SOUTH_KEY, "rosters")).await;
    expect_that!(refused.status, eq(StatusCode::FORBIDDEN));
    let missing = entry.send(ask(SOUTH_KEY, "nothing")).await;
    expect_that!(missing.status, eq(StatusCode::NOT_FOUND));
    expect_that!(runner.seen().len(), eq(0));
    let allowed = entry.send(ask(NORTH_KEY, "rosters")).await;
    expect_that!(allowed.status, eq(StatusCode::OK));
    let adapter = entry.send(ask(SOUTH_KEY, "planner-cork")).await;
    expect_that!(adapter.status, eq(StatusCode::OK));
}

#[gtest]
#[tokio::test]
async fn models_listed_for_team() {
    let entry = EntryEnvironment::start(&[]).await;
    let list = |key| keyed_request(Method::GET, "/v1/models", key, "");
    let south = entry.send(list(SOUTH_KEY)).await;
    expect_that!(south.body, contains_substring("planner-cork"));
    expect_that!(south.body, not(contains_substring("rosters")));
    let north = entry.send(list(NORTH_KEY)).await;
    expect_that!(north.body, contains_substring("rosters"));
}

#[gtest]
#[tokio::test]
async fn key_never_reaches_upstream() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let service = PlainService::start().await.expect("a service");
    let mut document = test_document();
    let open = service_entry(CallKind::Repeatable, CallerScope::Open);
    add_service(&mut document, "timetable", open, service.address());
    let limits = test_limits();
    let entry = EntryEnvironment::start_with(&[runner.address()], document, limits).await;
    let hidden = "dk%5Fnorth1%5Fsecretofnorth";
    let requests = [
        chat_request(false, 2, NORTH_KEY),
        chat_request(true, 2, &format!("my key is {NORTH_KEY}.")),
        keyed_request(Method::GET, &format!("/services/timetable/?k={NORTH_KEY}"), NORTH_KEY, ""),
        keyed_request(Method::GET, &format!("/services/timetable/?k={hidden}"), NORTH_KEY, ""),
        keyed_request(Method::GET, &format!("/services/timetable/{SOUTH_KEY}"), NORTH_KEY, ""),
        keyed_request(Method::POST, "/services/timetable/", NORTH_KEY, NORTH_KEY),
        with_header(chat_request(false, 2, "x"), "accept"),
        with_header(chat_request(false, 2, "x"), "x-api-key"),
        with_header(chat_request(false, 2, "x"), "cookie"),
        with_header(chat_request(false, 2, "x"), "x-request-id"),
        with_header(chat_request(false, 2, "x"), "x-priority"),
        with_header(keyed_request(Method::GET, "/services/timetable/", NORTH_KEY, ""), "range"),
    ];
    for request in requests {
        entry.send(request).await;
    }
    let trailers = send_trailers(&entry).await;
    expect_that!(trailers, contains_substring("200 OK"));
    let seen = [runner.seen(), service.seen()].concat();
    expect_that!(seen.len(), ge(5));
    for request in &seen {
        let text = format!("{request:?}{}", String::from_utf8_lossy(&request.body));
        expect_that!(text, not(contains_substring("secretof")));
        expect_that!(request.header("authorization"), none());
    }
}

fn with_header(mut request: Request<Full<Bytes>>, name: &'static str) -> Request<Full<Bytes>> {
    request.headers_mut().insert(name, NORTH_KEY.parse().expect("a value"));
    request
}

async fn send_trailers(entry: &EntryEnvironment) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(entry.address).await.expect("a connection");
    let body = chat_body("planner");
    let message = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {NORTH_KEY}\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\ntrailer: x-key\r\n\r\n\
         {:x}\r\n{body}\r\n0\r\nx-key: {NORTH_KEY}\r\n\r\n",
        body.len()
    );
    stream.write_all(message.as_bytes()).await.expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("a response");
    response
}

#[gtest]
#[tokio::test]
async fn key_withdrawn_while_stream_runs() {
    let runner = FaultyRunner::start().await.expect("a runner");
    runner.set_chunk_pause(Duration::from_millis(20));
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let streaming = entry.chat(true, 500);
    let withdrawing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.change(|document| {
            document.keys.get_mut(&key_id("north1")).expect("a key").withdrawn = true;
        });
    };
    let (response, ()) = tokio::join!(streaming, withdrawing);
    expect_that!(response.error_code(), eq("key_withdrawn"));
    expect_that!(response.body, not(contains_substring("[DONE]")));
    entry.settled().await;
    let refused = entry.chat(false, 1).await;
    expect_that!(refused.status, eq(StatusCode::UNAUTHORIZED));
}

#[gtest]
#[tokio::test]
async fn key_withdrawn_while_waiting() {
    let entry = EntryEnvironment::start(&[]).await;
    entry.fleet.lock().expect("fleet").permits_stuck = true;
    let waiting = entry.chat(false, 5);
    let withdrawing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.change(|document| {
            document.keys.remove(&key_id("north1")).expect("a key");
        });
    };
    let (response, ()) = tokio::join!(waiting, withdrawing);
    expect_that!(response.error_code(), eq("key_withdrawn"));
    expect_that!(response.says_not_run(), eq(true));
    expect_that!(entry.fleet.lock().expect("fleet").tokens_used, eq(0));
}
