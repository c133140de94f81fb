//! The `demo` command: a fleet in one process, with simulated platform services and upstreams.

pub mod document;
mod instructions;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dotterellane_admin::AdminOptions;
use dotterellane_entry::EntryLimits;
use dotterellane_fleet::{NodePlatform, NodeSettings, ProposedChange};
use dotterellane_platform::http;
use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_settings::keys::{CallerKey, OperatorKey, SECRET_BYTES};
use dotterellane_standins::http_server::StandinServer;
use dotterellane_standins::runner::engine::EngineOptions;
use dotterellane_standins::runner::{RunnerOptions, StandinRunner};
use dotterellane_standins::weight_store::WeightStore;
use dotterellane_standins::{PlainService, platform_server};
use dotterellane_units::{ConfigVersion, RequestId};
use dotterellane_upstream::orders::RunnerOrders;
use miette::{IntoDiagnostic, miette};

use crate::daemon::{self, DaemonHandle, DaemonOptions};
use crate::demo::document::{ADAPTERS, MODELS, RUNNER_DOMAINS, SERVICE, TEAMS};
use crate::demo::instructions::{DemoAccess, TeamKey};
use crate::exit_codes::ExitCode;
use crate::signals;

const DAEMON_COUNT: usize = 3;
const DAEMON_DOMAINS: [&str; DAEMON_COUNT] = ["domain-a", "domain-b", "domain-b"];
/// Longest time for each of the two waits during the start: until the daemons see each other, and
/// until the document is in force.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which these conditions are checked.
const POLL_PERIOD: Duration = Duration::from_millis(20);
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// No load balancer is in front of the demo that would need time to notice the shutdown.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(100);

/// A running demo: three daemons, their upstreams and the platform services.
pub struct Demo {
    /// Addresses and keys to use it with.
    pub access: DemoAccess,
    daemons: Vec<DaemonHandle>,
    upstreams: StandinUpstreams,
    _platform: StandinServer,
}

/// Runs the demo until it receives SIGINT or SIGTERM. Prints how to use it, as JSON if `json` is
/// set.
///
/// # Errors
/// Fails if the demo cannot start, for instance because no port is available, or if a daemon
/// failed.
pub fn run(json: bool) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let demo = start().await?;
        match json {
            true => println!("{}", serde_json::to_string(&demo.access).into_diagnostic()?),
            false => print!("{}", demo.access.instructions()),
        }
        signals::wait_for_shutdown().await.into_diagnostic()?;
        demo.stop().await?;
        Ok(ExitCode::Success)
    })
}

/// Starts the demo and waits until its configuration document is in force.
///
/// # Errors
/// Fails if no port is available, or if the daemons do not see each other or the document is not in
/// force in time.
pub async fn start() -> miette::Result<Demo> {
    let upstreams = StandinUpstreams::start().await?;
    let platform = platform_server::start(MemoryPlatform::default()).await.into_diagnostic()?;
    let keys = DemoKeys::issue()?;
    let mut daemons = Vec::new();
    let secret: [u8; SECRET_BYTES] = random_secret();
    for (index, domain) in DAEMON_DOMAINS.iter().enumerate() {
        let node = NodeSettings {
            host: format!("host-{}", index + 1).parse().into_diagnostic()?,
            domain: domain.parse().into_diagnostic()?,
            peers: LOOPBACK,
            secret: secret.to_vec(),
        };
        daemons.push(daemon::start(daemon_options(node, platform.address)).await?);
    }
    publish_document(&daemons, keys.document(&upstreams)?).await?;
    let access = keys.access(&daemons, &upstreams.addresses());
    Ok(Demo { access, daemons, upstreams, _platform: platform })
}

impl Demo {
    /// Returns how many times the simulated service ran a request with this body.
    pub fn service_runs(&self, body: &str) -> u64 {
        self.upstreams.service.runs(body)
    }

    /// Finishes in-flight requests and stops all daemons.
    ///
    /// # Errors
    /// Fails if a daemon failed.
    pub async fn stop(self) -> miette::Result<()> {
        let stopped = self.daemons.into_iter().map(DaemonHandle::stop);
        futures::future::try_join_all(stopped).await.map(drop)
    }
}

/// Simulated runners and the simulated service.
struct StandinUpstreams {
    runners: Vec<StandinServer>,
    service: PlainService,
}

impl StandinUpstreams {
    async fn start() -> miette::Result<Self> {
        let store = WeightStore::new();
        let mut runners = Vec::new();
        for (index, _domain) in RUNNER_DOMAINS.iter().enumerate() {
            let engine = EngineOptions {
                capacity: document::RUNNER_MEMORY,
                honours_fencing: document::honours_fencing(index),
                ..EngineOptions::default()
            };
            let runner = StandinRunner::new(RunnerOptions::default());
            let runner = runner.with_engine(engine, store.clone());
            runners.push(runner.start().await.into_diagnostic()?);
        }
        Ok(Self { runners, service: PlainService::start().await.into_diagnostic()? })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.runners.iter().map(|runner| runner.address).collect()
    }
}

fn daemon_options(node: NodeSettings, platform: SocketAddr) -> DaemonOptions {
    DaemonOptions {
        entry: LOOPBACK,
        admin: AdminOptions { listen: LOOPBACK, tls: None, first_operator: None },
        node,
        platform: NodePlatform {
            table: http::table(platform),
            objects: http::objects(platform),
            hosts: http::host_list(platform),
        },
        orders: Arc::new(|_runner, address| RunnerOrders::http(address)),
        limits: EntryLimits { shutdown_delay: SHUTDOWN_DELAY, ..EntryLimits::default() },
        tls: None,
    }
}

/// Makes `document` the fleet's configuration and waits until every daemon reports that it is in
/// force.
async fn publish_document(
    daemons: &[DaemonHandle],
    document: ConfigurationDocument,
) -> miette::Result<()> {
    let sees_all =
        |daemon: &DaemonHandle| daemon.members.borrow().serving().count() == DAEMON_COUNT;
    wait_for("daemons to see each other", || daemons.iter().all(sees_all)).await?;
    let first = daemons.first().ok_or_else(|| miette!("no daemon is running"))?;
    let change = ProposedChange {
        change: RequestId(rand::random()),
        expected: ConfigVersion(0),
        operator: "demo".parse().into_diagnostic()?,
        summary: "initial configuration of the demo".to_owned(),
        document,
    };
    let version = first.administration.propose(change).await.into_diagnostic()?.version;
    let in_force = |daemon: &DaemonHandle| daemon.administration.progress(version).in_force;
    wait_for("the document to be in force", || daemons.iter().all(in_force)).await
}

async fn wait_for<C>(what: &str, condition: C) -> miette::Result<()>
where
    C: Fn() -> bool,
{
    let polling = async {
        while !condition() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, polling)
        .await
        .map_err(|_elapsed| miette!("timed out after {START_TIMEOUT:?} waiting for {what}"))
}

/// Keys of the demo, issued anew at each start.
struct DemoKeys {
    teams: Vec<CallerKey>,
    operator: OperatorKey,
}

impl DemoKeys {
    fn issue() -> miette::Result<Self> {
        let mut teams = Vec::new();
        for (team, _, _) in TEAMS {
            teams.push(CallerKey::issue(team.parse().into_diagnostic()?, random_secret()));
        }
        let operator = OperatorKey::issue("demo".parse().into_diagnostic()?, random_secret());
        Ok(Self { teams, operator })
    }

    fn document(&self, upstreams: &StandinUpstreams) -> miette::Result<ConfigurationDocument> {
        let digests: Vec<String> = self.teams.iter().map(CallerKey::digest).collect();
        let service = upstreams.service.address();
        let operator = self.operator.digest();
        document::build_document(&digests, operator, &upstreams.addresses(), service)
            .into_diagnostic()
    }

    fn access(&self, daemons: &[DaemonHandle], runners: &[SocketAddr]) -> DemoAccess {
        let url = |address: &SocketAddr| format!("http://{address}");
        let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let teams = TEAMS.iter().zip(&self.teams).map(|((team, _, _), key)| TeamKey {
            team: (*team).to_owned(),
            key: key.expose().to_owned(),
        });
        DemoAccess {
            entries: daemons.iter().map(|daemon| url(&daemon.entry)).collect(),
            console: daemons.first().map(|daemon| url(&daemon.admin())).unwrap_or_default(),
            operator_key: self.operator.expose().to_owned(),
            teams: teams.collect(),
            models: names(&MODELS.map(|(model, _)| model)),
            adapters: names(&ADAPTERS.map(|(adapter, _)| adapter)),
            services: vec![SERVICE.to_owned()],
            engines: runners.iter().map(url).collect(),
        }
    }
}

fn random_secret() -> [u8; SECRET_BYTES] {
    rand::random()
}
