//! Three daemons as separate processes: one is killed, or one shuts down while it streams.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use bytes::Bytes;
use dotterellane::demo::document::{RUNNER_MEMORY, TEAMS, build_document, honours_fencing};
use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_settings::keys::{CallerKey, OperatorKey};
use dotterellane_settings::write_document;
use dotterellane_standins::http_server::StandinServer;
use dotterellane_standins::runner::engine::EngineOptions;
use dotterellane_standins::runner::{RunnerOptions, StandinRunner};
use dotterellane_standins::weight_store::WeightStore;
use dotterellane_standins::{PlainService, platform_server};
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

const DAEMON_COUNT: usize = 3;

/// A daemon's process and the addresses that it listens on.
struct DaemonProcess {
    process: Child,
    entry: SocketAddr,
    admin: SocketAddr,
}

/// Daemons with simulated platform services and upstreams.
struct ProcessFleet {
    daemons: Vec<DaemonProcess>,
    key: CallerKey,
    directory: PathBuf,
    _standins: Vec<StandinServer>,
    _service: PlainService,
}

impl ProcessFleet {
    async fn start(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("secret"), [7; 32]).unwrap();
        let service = PlainService::start().await.unwrap();
        let mut standins = start_runners().await;
        let runners: Vec<_> = standins.iter().map(|runner| runner.address).collect();
        standins.push(platform_server::start(MemoryPlatform::default()).await.unwrap());
        let operator = OperatorKey::issue("first".parse().unwrap(), [1; 32]);
        let keys = TEAMS.map(|(team, _, _)| CallerKey::issue(team.parse().unwrap(), [2; 32]));
        let mut daemons = Vec::new();
        for index in 0..DAEMON_COUNT {
            let platform = standins.last().unwrap().address;
            daemons.push(start_daemon(&directory, index, platform, &operator.digest()).await);
        }
        let digests: Vec<_> = keys.iter().map(CallerKey::digest).collect();
        let document =
            build_document(&digests, operator.digest(), &runners, service.address()).unwrap();
        let file = directory.join("document.yaml");
        std::fs::write(&file, write_document(&document)).unwrap();
        put_document(&file, daemons[0].admin, operator.expose()).await;
        let [key, ..] = keys;
        Self { daemons, key, directory, _standins: standins, _service: service }
    }

    /// Sends a streamed chat request to a daemon; returns the status and the complete body.
    async fn chat(&self, daemon: usize, tokens: u32) -> (StatusCode, String) {
        let response = self.open_chat(daemon, tokens).await;
        let status = response.status();
        let text =
            response.into_body().collect().await.expect("the body should be complete").to_bytes();
        (status, String::from_utf8_lossy(&text).into_owned())
    }

    /// Sends a streamed chat request to a daemon; returns the response with its body unread.
    async fn open_chat(&self, daemon: usize, tokens: u32) -> Response<Incoming> {
        let body = json!({
            "model": "roster-3b", "stream": true, "max_tokens": tokens,
            "messages": [{"role": "user", "content": "Draft a roster."}],
        });
        let client = Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{}/v1/chat/completions", self.daemons[daemon].entry);
        let request = Request::post(uri)
            .header("authorization", format!("Bearer {}", self.key.expose()))
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        client.request(request).await.expect("the daemon should respond")
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

async fn start_runners() -> Vec<StandinServer> {
    let store = WeightStore::new();
    let mut servers = Vec::new();
    for index in 0..3 {
        let engine = EngineOptions {
            capacity: RUNNER_MEMORY,
            honours_fencing: honours_fencing(index),
            ..EngineOptions::default()
        };
        let runner = StandinRunner::new(RunnerOptions::default());
        servers.push(runner.with_engine(engine, store.clone()).start().await.unwrap());
    }
    servers
}

async fn start_daemon(
    directory: &Path,
    index: usize,
    platform: SocketAddr,
    operator_digest: &str,
) -> DaemonProcess {
    let settings = json!({
        "host": format!("host-{index}"), "domain": format!("domain-{}", index % 2),
        "listen": {"entry": "127.0.0.1:0", "admin": "127.0.0.1:0", "peers": "127.0.0.1:0"},
        "platform": {"table": platform, "objects": platform, "hosts": platform},
        "fleet_secret_file": directory.join("secret"),
        "first_operator": {"id": "first", "digest": operator_digest},
    });
    let file = directory.join(format!("host-{index}.yaml"));
    // JSON is a subset of YAML.
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_dotterellane"))
        .args(["serve", "--settings"])
        .arg(&file)
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(process.stderr.take().unwrap()).lines();
    let addresses = loop {
        let line = lines.next_line().await.unwrap().expect("the daemon should log its addresses");
        let Some((_, rest)) = line.split_once("serving callers on ") else { continue };
        let (entry, admin) = rest.split_once(" and operators on ").unwrap();
        break (entry.parse().unwrap(), admin.parse().unwrap());
    };
    tokio::spawn(async move { while let Ok(Some(_line)) = lines.next_line().await {} });
    DaemonProcess { process, entry: addresses.0, admin: addresses.1 }
}

async fn put_document(file: &Path, admin: SocketAddr, key: &str) {
    let put = Command::new(env!("CARGO_BIN_EXE_dotterellane"))
        .args(["config", "put", "--from", "0"])
        .arg(file)
        .env("DOTTERELLANE_SERVER", format!("http://{admin}"))
        .env("DOTTERELLANE_OPERATOR_KEY", key)
        .output()
        .await
        .unwrap();
    assert!(put.status.success(), "{}", String::from_utf8_lossy(&put.stderr));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn serve_daemon_killed() {
    let mut fleet = ProcessFleet::start("serve_daemon_killed").await;
    let (status, text) = fleet.chat(0, 8).await;
    expect_that!(status, eq(StatusCode::OK), "{text}");
    fleet.daemons[0].process.start_kill().unwrap();
    fleet.daemons[0].process.wait().await.unwrap();
    for daemon in [1, 2] {
        let (status, text) = fleet.chat(daemon, 8).await;
        expect_that!(status, eq(StatusCode::OK), "{text}");
        expect_that!(text, ends_with("data: [DONE]\n\n"));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn serve_drain_under_stream() {
    let mut fleet = ProcessFleet::start("serve_drain_under_stream").await;
    fleet.chat(1, 8).await;
    let mut response = fleet.open_chat(1, 400).await;
    expect_that!(response.status(), eq(StatusCode::OK));
    let first = response.body_mut().frame().await.unwrap().unwrap().into_data().unwrap();
    // The stream has started and takes seconds to complete.
    let pid = fleet.daemons[1].process.id().unwrap();
    let pid = rustix::process::Pid::from_raw(pid.cast_signed()).unwrap();
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    let rest =
        response.into_body().collect().await.expect("the body should be complete").to_bytes();
    let text = String::from_utf8([first, rest].concat()).unwrap();
    expect_that!(text, ends_with("data: [DONE]\n\n"));
    expect_that!(text.matches("\"content\"").count(), eq(400));
    let exit_status = fleet.daemons[1].process.wait().await.unwrap();
    expect_that!(exit_status.code(), some(eq(0)));
}
