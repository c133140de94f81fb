//! Secrets of keys appear in no log line, metric, error or listing.

mod support;

use std::sync::{Arc, Mutex};

use googletest::prelude::*;
use http::Method;
use serde_json::json;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};

use support::{TestBench, bearer};

/// In-memory log.
#[derive(Clone, Default)]
struct MemoryLog(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for MemoryLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Redirects all log lines of the process to memory.
fn capture_log() -> MemoryLog {
    let log = MemoryLog::default();
    let sink = WriteSink::builder()
        .target(log.clone())
        .level_filter(LevelFilter::All)
        .formatter(JsonFormatter::new())
        .build_arc()
        .unwrap();
    let logger = Logger::builder().sink(sink).level_filter(LevelFilter::All).build().unwrap();
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    log
}

fn secret_part(key: &str) -> String {
    key.rsplit('_').next().unwrap().to_owned()
}

#[gtest]
#[tokio::test]
async fn secrets_not_exposed() {
    let log = capture_log();
    let bench = TestBench::start();
    let mut secrets: Vec<String> =
        [&bench.all_key, &bench.keys_key, &bench.read_key].map(|key| secret_part(key)).into();
    let mut shown = Vec::new();

    let origin = format!("http://{}", bench.server.local_addr());
    let same_site = [("origin", origin.as_str())];
    let sign_in = json!({"key": bench.all_key}).to_string();
    shown.push(bench.send(Method::POST, "/v1/session", &same_site, &sign_in).await.text);

    let issue = r#"{"id": "yard", "team": "freight"}"#;
    let rotate = r#"{"new_id": "yard-2", "overlap_seconds": 60}"#;
    let issues = [
        ("/v1/keys", issue),
        ("/v1/keys/yard/rotate", rotate),
        ("/v1/operators/eve/key", r#"{"role": "read"}"#),
    ];
    for (path, body) in issues {
        let issued = bench.send_all(Method::POST, path, body).await;
        secrets.push(secret_part(issued.json()["key"].as_str().unwrap()));
    }

    // Keys in wrong places: as the operator's key, a caller's key, a forged key and one without
    // permission; and a caller's key in a body.
    let caller_key = format!("dk_yard_{}", secrets[3]);
    let forged = format!("do_nobody_{}", secrets[0]);
    let wrong_body = json!({"id": caller_key, "team": caller_key}).to_string();
    for key in [&caller_key, &forged, &bench.read_key] {
        let bearer = bearer(key);
        let headers = [("authorization", bearer.as_str())];
        shown.push(bench.send(Method::POST, "/v1/keys", &headers, issue).await.text);
    }
    shown.push(bench.send_all(Method::POST, "/v1/keys", issue).await.text);
    let wrong_sign_in = json!({"key": forged}).to_string();
    shown.push(bench.send(Method::POST, "/v1/session", &same_site, &wrong_sign_in).await.text);
    for path in ["/v1/configuration", "/v1/keys", "/v1/history", "/v1/overview", "/metrics"] {
        shown.push(bench.send_all(Method::GET, path, "").await.text);
    }
    bench.faults(|faults| faults.table_down = true);
    shown.push(bench.send_all(Method::POST, "/v1/keys/yard/withdraw", "").await.text);
    shown.push(bench.send_all(Method::POST, "/v1/keys", &wrong_body).await.text);

    let logged = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
    expect_that!(logged, contains_substring("operator=ana accepted"));
    shown.push(logged);
    for secret in &secrets {
        for text in &shown {
            expect_that!(text, not(contains_substring(secret.as_str())));
        }
    }
}
