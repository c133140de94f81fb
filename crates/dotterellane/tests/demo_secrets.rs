//! The secrets of keys appear in no log, metric, response or error of the demo.

#[path = "../../admin/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::process::Stdio;

use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::{Child, Command};

use support::{TestResponse, bearer, send};

/// The demo in a separate process, logging at debug level.
struct RunningDemo {
    process: Child,
    access: Value,
}

impl RunningDemo {
    async fn start() -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_dotterellane"))
            .args(["demo", "--json", "--log-level", "debug", "--log-format", "json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = process.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).await.unwrap();
        Self { access: serde_json::from_str(&line).unwrap(), process }
    }

    /// Kills the process and returns its log.
    async fn kill(mut self) -> String {
        self.process.start_kill().unwrap();
        let mut log = String::new();
        let mut errors = self.process.stderr.take().unwrap();
        errors.read_to_string(&mut log).await.unwrap();
        log
    }

    fn text(&self, pointer: &str) -> &str {
        self.access.pointer(pointer).and_then(Value::as_str).unwrap()
    }

    fn address(&self, pointer: &str) -> SocketAddr {
        self.text(pointer).trim_start_matches("http://").parse().unwrap()
    }

    async fn call_as_operator(&self, method: Method, path: &str, body: &str) -> TestResponse {
        let key = bearer(self.text("/operator_key"));
        let headers = [("authorization", key.as_str())];
        send(self.address("/console"), method, path, &headers, body).await
    }

    async fn call_as_team(&self, key: &str) -> TestResponse {
        let key = bearer(key);
        let headers = [("authorization", key.as_str()), ("content-type", "application/json")];
        let body = json!({"model": "notice-1b", "prompt": "late", "max_tokens": 4}).to_string();
        let entry = self.address("/entries/0");
        send(entry, Method::POST, "/v1/completions", &headers, &body).await
    }
}

fn secret_part(key: &str) -> String {
    key.rsplit('_').next().unwrap().to_owned()
}

#[gtest]
#[tokio::test]
async fn secrets_stay_out_of_fleet() {
    let demo = RunningDemo::start().await;
    let caller_key = demo.text("/teams/0/key").to_owned();
    let issue = r#"{"id": "yard", "team": "coaches"}"#;
    let issued =
        demo.call_as_operator(Method::POST, "/v1/keys?wait_seconds=30", issue).await.json();
    expect_that!(issued["change"]["progress"]["in_force"], eq(&json!(true)));
    let issued_key = issued["key"].as_str().unwrap().to_owned();
    let mut outputs = Vec::new();

    let served = demo.call_as_team(&issued_key).await;
    expect_that!(served.status, eq(StatusCode::OK), "{}", served.text);
    outputs.push(served.text);
    outputs.push(demo.call_as_team(&caller_key).await.text);
    // With one wrong digit: a log of the presented key would reveal the rest of the secret.
    let last = if caller_key.ends_with('0') { '1' } else { '0' };
    let forged = format!("{}{last}", &caller_key[..caller_key.len() - 1]);
    let refused = demo.call_as_team(&forged).await;
    expect_that!(refused.status, eq(StatusCode::UNAUTHORIZED));
    outputs.push(refused.text);

    let withdraw = "/v1/keys/yard/withdraw?wait_seconds=30";
    let withdrawn = demo.call_as_operator(Method::POST, withdraw, "").await;
    expect_that!(withdrawn.json()["progress"]["in_force"], eq(&json!(true)));
    outputs.push(withdrawn.text);
    let refused = demo.call_as_team(&issued_key).await;
    expect_that!(refused.status, eq(StatusCode::UNAUTHORIZED));
    outputs.push(refused.text);
    for path in ["/metrics", "/v1/overview", "/v1/history", "/v1/configuration", "/v1/keys"] {
        outputs.push(demo.call_as_operator(Method::GET, path, "").await.text);
    }

    let operator_key = demo.text("/operator_key").to_owned();
    let log = demo.kill().await;
    expect_that!(log, contains_substring("accepted"));
    outputs.push(log);
    for key in [&caller_key, &forged, &issued_key, &operator_key] {
        let secret = secret_part(key);
        for text in &outputs {
            expect_that!(text, not(contains_substring(secret.as_str())));
        }
    }
}
