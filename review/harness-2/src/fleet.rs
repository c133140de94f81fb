//! The daemons as processes, their settings, a small configuration, and calls of clients.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

pub const HOST: &str = "planning.example";
pub const MODELS: &str = "plan-models";
pub const BOOKINGS: &str = "bookings";

/// What was sent, answered and run, written to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    notes: Mutex<Vec<(Instant, String)>>,
    start: Instant,
}

impl Record {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = Mutex::new(File::create(path)?);
        Ok(Self { file, notes: Mutex::default(), start: Instant::now() })
    }

    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        self.notes.lock().expect("no panic while noting").push((at, text.to_owned()));
    }

    /// Writes all notes in the order of their times.
    pub fn write(&self) {
        let mut notes = self.notes.lock().expect("no panic while noting");
        notes.sort_by_key(|(at, _)| *at);
        let mut file = self.file.lock().expect("no panic while writing");
        for (at, text) in notes.iter() {
            let seconds = at.saturating_duration_since(self.start).as_secs_f64();
            let _ = writeln!(file, "{seconds:8.3} {text}");
        }
    }
}

/// A running daemon, killed when dropped.
pub struct Daemon {
    pub name: String,
    pub ip: String,
    child: Child,
    pub log: PathBuf,
}

/// Settings that differ between daemons.
pub struct DaemonSettings {
    pub number: u8,
    pub store: SocketAddr,
    /// Share of a core.
    pub processor: f64,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

/// Addresses and folder of one run.
pub struct Place {
    network: String,
    folder: PathBuf,
}

impl Place {
    pub fn new() -> std::io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{id}"));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { network: format!("127.{}.{}", 30 + id % 90, id / 90 % 250), folder })
    }

    pub fn peer_address(&self, number: u8) -> SocketAddr {
        format!("{}.{number}:7600", self.network).parse().expect("an address")
    }

    pub fn start(&self, settings: &DaemonSettings) -> std::io::Result<Daemon> {
        let DaemonSettings { number, store, processor, bootstrap } = settings;
        let (name, ip) = (format!("front-{number}"), format!("{}.{number}", self.network));
        let text = format!(
            r#"node = "{name}"
role = "host"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "dub-north"
region = "eire"
port_range = [7600, 7615]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
dub-north = "eire"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
[limits]
cpu_share = {processor}
cores = 1
memory_mb = 260
max_fds = 4100
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
config_ms = 2000
revert_ms = 250
stretch_ms = 5000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
quota_window_s = 8
quota_excess = 0.1
quota_slack = 11000
recover_s = 12
fence_required = false
lease_ms = 3000
thaw_ms = 300
[provider]
addr = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
"#
        );
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let output = OpenOptions::new().create(true).append(true).open(&log)?;
        let program = std::env::var("DAEMON")
            .unwrap_or_else(|_| "../../target/serving/dotterellane-host".to_owned());
        let child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Daemon { name, ip, child, log })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Daemon {
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a small id");
        let _ = kill_process(Pid::from_raw(id).expect("a process"), signal);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_logged(&self, text: &str) -> bool {
        std::fs::read_to_string(&self.log).unwrap_or_default().contains(text)
    }

    /// Returns the status of the readiness check.
    pub async fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(&format!("{}:8224", self.ip), request).await.status == 200
    }

    /// Sends a request as a client does, on a new connection.
    pub async fn call(&self, path: &str, id: &str, more: &str) -> Answer {
        call_at(&self.ip, path, id, more).await
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request as a client does, on a new connection to the daemon at `ip`.
pub async fn call_at(ip: &str, path: &str, id: &str, more: &str) -> Answer {
    let body = "question";
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
         Content-Length: {}\r\nConnection: close\r\n{more}\r\n{body}",
        body.len()
    );
    exchange(&format!("{ip}:8221"), &request).await
}

/// What a client got; status 0 for none.
pub struct Answer {
    pub status: u16,
}

async fn exchange(address: &str, request: &str) -> Answer {
    let reading = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        Some(String::from_utf8_lossy(&bytes).into_owned())
    };
    let text = timeout(Duration::from_secs(5), reading).await.ok().flatten().unwrap_or_default();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    Answer { status }
}

/// The events of a stream that a client got, each with its id and the label of its version.
pub type Events = Vec<(u64, String)>;

/// Asks for a stream as a client does; adds the events to `events` as they come. Returns the status, 0
/// for no answer, and whether the answer ended as it should.
pub async fn read_stream(
    ip: &str,
    route: &str,
    id: &str,
    more: &str,
    events: &mut Events,
) -> (u16, bool) {
    let body = "question";
    let request = format!(
        "POST /{route}/plan HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 15000\r\nContent-Length: {}\r\nConnection: close\r\n{more}\r\n{body}",
        body.len()
    );
    let Ok(mut stream) = TcpStream::connect(format!("{ip}:8221")).await else { return (0, false) };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (0, false);
    }
    let (mut text, mut buffer, known) = (String::new(), [0; 4_096], events.len());
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        events.truncate(known);
        events.extend(parse_events(&text));
    }
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    (status, text.ends_with("0\r\n\r\n"))
}

/// Returns the complete events, whose texts are `piece NUMBER VERSION`.
fn parse_events(text: &str) -> Vec<(u64, String)> {
    let (mut events, mut id) = (Vec::new(), None);
    for line in text.split_inclusive('\n').filter_map(|line| line.strip_suffix('\n')) {
        if let Some(number) = line.strip_prefix("id: ") {
            id = number.trim().parse().ok();
        } else if let (Some(number), Some(data)) = (id, line.strip_prefix("data: ")) {
            events.push((number, data.split(' ').nth(2).unwrap_or("").to_owned()));
            id = None;
        }
    }
    events
}

/// Returns a configuration with one team that has these keys.
pub fn configuration(revision: u64, keys: &[&str], adapters: u32) -> Vec<u8> {
    let route = |name: &str, kind: &str, service: &str| {
        let mut route = json!({
            "name": name, "hostname": HOST, "prefix": format!("/{name}/"), "route_type": kind,
            "timeout_ms": if kind == "streaming" { 15_000 } else { 4_000 }, "goal_ms": 600, "priority": 1, "backend": service, "attempts": 2,
            "public": name == "notice",
        });
        if kind == "streaming" {
            route["can_resume"] = (name != "draft").into();
            route["gap_goal_ms"] = 300.into();
        }
        route
    };
    let document = json!({
        "revision": revision,
        "routes": [
            route("draft", "streaming", MODELS), route("closure", "streaming", MODELS), route("notice", "streaming", MODELS), route("book", "unsafe", BOOKINGS),
            route("roster", "safe", BOOKINGS),
        ],
        "services": [
            {"name": MODELS, "health_path": "/healthz", "max_conns": 370, "engine": {
                "models": [{"name": "m1", "weights_mb": 70000.0, "load_s": 1.0,
                    "adapters": adapters, "adapter_mb": 100.0, "warm_s": 1.0, "disk_s": 1.0}],
                "weights_mb": 230000.0, "adapter_slots": 8, "loads_per_s": 4.0}},
            {"name": BOOKINGS, "health_path": "/healthz", "max_conns": 110},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "partner-a", "api_keys": keys, "unit": "token", "raw_tokens": 10,
            "rate_per_s": 1000000, "burst": 1000000}],
    });
    document.to_string().into_bytes()
}

/// Waits until `condition` holds, for `longest` at most; returns whether it does.
pub async fn eventually<C>(longest: Duration, mut condition: C) -> bool
where
    C: AsyncFnMut() -> bool,
{
    let end = Instant::now() + longest;
    while Instant::now() < end {
        if condition().await {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}
