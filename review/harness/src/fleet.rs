//! A small deployment on loopback addresses: the platform's store, runners, and daemons as separate
//! processes, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterellane_standins::site::{SiteEngine, SiteStore};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::client::Connection;
use crate::record::Record;

/// Command of the deploy file.
const DAEMON: &str = "target/serving/dotterellane-host";
/// Host of all routes.
pub const HOST_NAME: &str = "shop.example";
/// Key of the first tenant.
pub const KEY: &str = "key-of-team-a";
/// Key of the second tenant.
pub const OTHER_KEY: &str = "key-of-team-b";
/// Service of model runners.
pub const MODELS: &str = "plan-models";
/// Another service of model runners.
pub const OTHER_MODELS: &str = "plan-models-b";
/// Service without models.
pub const BOOKINGS: &str = "bookings";
/// Interval between two status reports of a runner (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A daemon that runs as a process of its own; killed when dropped.
pub struct Host {
    pub child: Child,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Host {
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the memory that the process uses, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub async fn is_ready(&self) -> bool {
        let asked = async {
            let mut connection = Connection::open(self.readiness).await.ok()?;
            connection.send("GET", "/ready", &[("Host", "ready")], b"").await.ok()?;
            connection.reply().await.ok()
        };
        asked.await.is_some_and(|reply| reply.status == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The store, the settings of the daemons, and the operator.
pub struct Fleet {
    pub store: Arc<SiteStore>,
    pub record: Arc<Record>,
    network: String,
    folder: PathBuf,
    revision: AtomicU64,
}

impl Fleet {
    pub async fn start(record: Arc<Record>) -> std::io::Result<Self> {
        let store = Arc::new(SiteStore::start().await?);
        let id = std::process::id();
        // Addresses of 127.0.0.0/8 on which the ports of the daemons are free.
        let network = (0..50)
            .map(|number| format!("127.{}.{}", 20 + (id + number) % 200, 1 + (id / 7) % 250))
            .find(|network| {
                let is_free = |port| TcpListener::bind(format!("{network}.1:{port}")).is_ok();
                [8221, 8224, 9464].into_iter().all(is_free)
            })
            .ok_or_else(|| std::io::Error::other("no free addresses"))?;
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { store, record, network, folder, revision: AtomicU64::new(7) })
    }

    /// Writes a configuration as the operator does; the routes are those of the small site.
    pub fn put_configuration(&self, models: u32) -> Vec<u8> {
        self.put_configuration_with(models, MODELS)
    }

    /// Writes a configuration whose stream route goes to `service`.
    pub fn put_configuration_with(&self, models: u32, service: &str) -> Vec<u8> {
        let route = |name: &str, kind: &str, service: &str, timeout: u32, attempts: u32| {
            json!({"name": name, "hostname": HOST_NAME, "prefix": format!("/{name}/"),
                "route_type": kind, "timeout_ms": timeout, "goal_ms": 600, "priority": 1,
                "backend": service, "attempts": attempts, "public": false,
                "sticky": kind == "streaming", "can_resume": kind == "streaming",
                "gap_goal_ms": 300})
        };
        let models: Vec<Value> = (1..=models)
            .map(|number| {
                json!({"name": format!("m{number}"), "weights_mb": 65100.0, "load_s": 6.0,
                    "adapters": 2, "adapter_mb": 12.0, "warm_s": 1.1, "disk_s": 1.4})
            })
            .collect();
        let tenant = |name: &str, key: &str| {
            json!({"name": name, "api_keys": [key], "unit": "token", "raw_tokens": 200,
                "rate_per_s": 500000, "burst": 1000000})
        };
        let engine = |name: &str| {
            json!({"name": name, "health_path": "/healthz", "max_conns": 370, "engine": {
                "slots": 64, "models": models, "weights_mb": 230000.0, "adapter_slots": 8,
                "loads_per_s": 4.0}})
        };
        let document = json!({
            "revision": self.revision.fetch_add(3, Ordering::Relaxed),
            "routes": [
                route("draft", "streaming", service, 15_000, 2),
                route("book", "unsafe", BOOKINGS, 4_000, 1),
                route("read", "safe", BOOKINGS, 2_000, 2),
            ],
            "services": [
                engine(MODELS),
                engine(OTHER_MODELS),
                {"name": BOOKINGS, "health_path": "/healthz", "max_conns": 110},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [tenant("team-a", KEY), tenant("team-b", OTHER_KEY)],
        });
        let document = document.to_string().into_bytes();
        self.store.put("op", "config", &document);
        self.record.line("operator: configuration written");
        document
    }

    /// Starts the daemon with this number; `bootstrap` if the whole system starts for the first time.
    pub fn start_host(&self, index: u32, bootstrap: bool) -> std::io::Result<Host> {
        let ip = format!("{}.{index}", self.network);
        let file = self.folder.join(format!("{index}.toml"));
        std::fs::write(&file, self.settings(index, bootstrap))?;
        let log = self.folder.join(format!("{index}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(DAEMON)
            .env_clear()
            .env("DOTTERELLANE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.record.line(&format!("platform: daemon {index} started, pid {}", child.id()));
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        Ok(Host { child, callers: address(8221), readiness: address(8224) })
    }

    /// Starts daemons for the first time and waits until all are ready and one of them leads.
    pub async fn start_hosts(&self, count: u32) -> Option<Vec<Host>> {
        let hosts: std::io::Result<Vec<Host>> =
            (1..=count).map(|index| self.start_host(index, true)).collect();
        let hosts = hosts.ok()?;
        let end = Instant::now() + Duration::from_secs(15);
        loop {
            let mut ready = true;
            for host in &hosts {
                ready &= host.is_ready().await;
            }
            if ready && (1..=count).any(|index| self.log(index).contains("lease taken")) {
                return Some(hosts);
            }
            if Instant::now() > end {
                return None;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns what a daemon has logged so far.
    pub fn log(&self, index: u32) -> String {
        std::fs::read_to_string(self.folder.join(format!("{index}.log"))).unwrap_or_default()
    }

    fn settings(&self, index: u32, bootstrap: bool) -> String {
        let ip = format!("{}.{index}", self.network);
        let seeds: Vec<String> =
            (1..=3).map(|seed| format!("{}.{seed}:8229", self.network)).collect();
        format!(
            r#"node = "front-dub-north-{index}"
role = "host"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "dub-north"
region = "eire"
port_range = [7600,7615]
seeds = {seeds:?}
bootstrap = {bootstrap}
loss_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
dub-north = "eire"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
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
pass_ms = 120
retry_s = 0
fence_required = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_excess = 1.1
[provider]
addr = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_wrate_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_bw_s = 80.0
"#,
            store = self.store.address(),
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A runner that writes a status report each [`HEARTBEAT`], until it is told to be silent.
pub struct Runner {
    pub engine: Arc<SiteEngine>,
    silent: Arc<Mutex<bool>>,
}

impl Runner {
    /// Starts a runner with these models loaded and on its disk.
    pub async fn start(
        fleet: &Fleet,
        name: &str,
        service: &'static str,
        models: &[&str],
        disk: &[&str],
    ) -> std::io::Result<Self> {
        let engine = Arc::new(SiteEngine::start(name, models, disk).await?);
        let silent = Arc::new(Mutex::new(false));
        let (store, reporting, is_silent) = (fleet.store.clone(), engine.clone(), silent.clone());
        // The first report is there when this returns.
        store.put("servers", name, &row(&reporting, service, 1));
        tokio::spawn(async move {
            for sequence in 2.. {
                sleep(HEARTBEAT).await;
                let is_silent = is_silent.lock().expect("no panic");
                if *is_silent || reporting.crashed_at().is_some() {
                    break;
                }
                store.put("servers", &reporting.name, &row(&reporting, service, sequence));
            }
        });
        fleet.record.line(&format!("runner {name} of {service} started at {}", engine.address()));
        Ok(Self { engine, silent })
    }

    /// Ends its status reports; it goes on serving.
    pub fn fall_silent(&self) {
        *self.silent.lock().expect("no panic") = true;
    }
}

fn row(engine: &SiteEngine, service: &str, sequence: u64) -> Vec<u8> {
    let mut row: Value =
        serde_json::from_slice(&engine.row(service, sequence, false)).unwrap_or_default();
    row["zone"] = json!("dub-north");
    row["slots"] = json!(if service != BOOKINGS { 64 } else { 6 });
    row.to_string().into_bytes()
}
