//! A whole fleet in one process, with stand-ins for the platform and the upstreams.

mod document;
mod instructions;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use dotterellane_entry::{EntryContext, EntryLimits};
use dotterellane_fleet::local::{LocalRunner, with_local_dispatch};
use dotterellane_fleet::{ConfigurationFeed, ConfigurationSnapshot, FleetPorts, boot_clock};
use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_settings::keys::{CallerKey, OperatorKey, SECRET_BYTES};
use dotterellane_standins::http_server::StandinServer;
use dotterellane_standins::platform_server;
use dotterellane_standins::runner::{RunnerOptions, StandinRunner};
use dotterellane_units::ConfigVersion;
use miette::IntoDiagnostic;

use crate::daemon::{self, DaemonHandle, DaemonOptions};
use crate::demo::document::{ADAPTERS, MODELS, RUNNER_DOMAINS, TEAMS};
use crate::demo::instructions::{DemoOutline, TeamKey};
use crate::exit_codes::ExitCode;
use crate::signals;

const DAEMONS: usize = 3;
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// No balancer stands before the demo, so nothing has to notice that it leaves.
const SHUTDOWN_LAG: Duration = Duration::from_millis(100);

/// A running demo.
#[derive(Debug)]
pub struct Demo {
    /// Addresses and keys.
    pub outline: DemoOutline,
    daemons: Vec<DaemonHandle>,
    _standins: Vec<StandinServer>,
}

/// Runs the demo until it is interrupted.
///
/// # Errors
/// Fails if a port cannot be had.
pub fn run(json: bool) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let demo = start().await?;
        match json {
            true => println!("{}", serde_json::to_string(&demo.outline).into_diagnostic()?),
            false => print!("{}", demo.outline.instructions()),
        }
        signals::wait_for_stop().await.into_diagnostic()?;
        demo.stop().await?;
        Ok(ExitCode::Success)
    })
}

/// Starts the demo.
///
/// # Errors
/// Fails if a port cannot be had.
pub async fn start() -> miette::Result<Demo> {
    let platform = platform_server::start(MemoryPlatform::default()).await.into_diagnostic()?;
    let mut standins = Vec::new();
    let mut runners = Vec::new();
    for _domain in RUNNER_DOMAINS {
        let runner = StandinRunner::new(RunnerOptions::default());
        standins.push(runner.start().await.into_diagnostic()?);
        runners.push(runner);
    }
    let addresses: Vec<SocketAddr> = standins.iter().map(|standin| standin.address).collect();
    let keys = DemoKeys::issue()?;
    let document = document::build_document(
        &keys.teams.iter().map(CallerKey::digest).collect::<Vec<_>>(),
        keys.operator.digest(),
        &addresses,
        None,
    )
    .into_diagnostic()?;
    let table = dotterellane_platform::http::table(platform.address);
    let mut daemons = Vec::new();
    for index in 0..DAEMONS {
        let host = format!("host-{}", index + 1).parse().into_diagnostic()?;
        let limits = EntryLimits { shutdown_lag: SHUTDOWN_LAG, ..EntryLimits::default() };
        let ports = connect_ports(&document, &runners, &addresses)?;
        let context = EntryContext::new(ports, table.clone(), host).with_limits(limits);
        daemons.push(daemon::start(DaemonOptions { entry: LOOPBACK, context }).await?);
    }
    standins.push(platform);
    let outline = keys.outline(&daemons, &addresses);
    Ok(Demo { outline, daemons, _standins: standins })
}

impl Demo {
    /// Finishes every request and stops.
    ///
    /// # Errors
    /// Fails if a daemon had failed.
    pub async fn stop(self) -> miette::Result<()> {
        let stopped = self.daemons.into_iter().map(DaemonHandle::stop);
        futures::future::try_join_all(stopped).await.map(drop)
    }
}

fn connect_ports(
    document: &ConfigurationDocument,
    runners: &[StandinRunner],
    addresses: &[SocketAddr],
) -> miette::Result<FleetPorts> {
    let snapshot = ConfigurationSnapshot { version: ConfigVersion(1), document: document.clone() };
    let ports = FleetPorts::new(boot_clock(), ConfigurationFeed::new(snapshot));
    let mut local = Vec::new();
    for (index, address) in addresses.iter().enumerate() {
        let runner = format!("runner-{}", index + 1).parse().into_diagnostic()?;
        local.push(LocalRunner { runner, address: *address });
    }
    let names: Vec<_> = local.iter().map(|runner| runner.runner.clone()).collect();
    let runners = runners.to_vec();
    Ok(with_local_dispatch(ports, local, move |name, model| {
        let index = names.iter().position(|known| *known == name);
        let runner = index.and_then(|index| runners.get(index)).cloned();
        async move {
            let Some(runner) = runner else { return false };
            runner.state().loaded.entry(model.to_string()).or_default();
            true
        }
    }))
}

/// Keys of the demo, new at each start.
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

    fn outline(&self, daemons: &[DaemonHandle], engines: &[SocketAddr]) -> DemoOutline {
        let url = |address: &SocketAddr| format!("http://{address}");
        let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let teams = TEAMS.iter().zip(&self.teams).map(|((team, _, _), key)| TeamKey {
            team: (*team).to_owned(),
            key: key.expose().to_owned(),
        });
        DemoOutline {
            entries: daemons.iter().map(|daemon| url(&daemon.entry)).collect(),
            console: String::new(),
            operator_key: self.operator.expose().to_owned(),
            teams: teams.collect(),
            models: names(&MODELS.map(|(model, _)| model)),
            adapters: names(&ADAPTERS.map(|(adapter, _)| adapter)),
            services: Vec::new(),
            engines: engines.iter().map(url).collect(),
        }
    }
}

fn random_secret() -> [u8; SECRET_BYTES] {
    rand::random()
}
