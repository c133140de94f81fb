//! Cost of the control plane per daemon as one size of the fleet grows.
//!
//! All daemons run in this process with all their parts, on loopback sockets, with a platform in
//! memory. The figures include the processor time and memory of the stand-in runners. They do not
//! include what each daemon costs as a separate process, such as its code and allocator.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, ValueEnum};
use dotterellane::daemon::{self, DaemonHandle, DaemonOptions};
use dotterellane_admin::AdminOptions;
use dotterellane_entry::EntryLimits;
use dotterellane_fleet::{AdministrationPorts, NodePlatform, NodeSettings, ProposedChange};
use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_settings::document::{
    ConfigurationDocument, ModelEntry, RunnerEntry, TeamEntry, UpstreamEntry, UpstreamRole,
};
use dotterellane_standins::http_server::StandinServer;
use dotterellane_standins::runner::engine::EngineOptions;
use dotterellane_standins::runner::{RunnerOptions, StandinRunner};
use dotterellane_standins::weight_store::WeightStore;
use dotterellane_units::{ByteSize, HostId, RequestId, TokenCount, TokenRate};
use dotterellane_upstream::orders::RunnerOrders;
use indicatif::ProgressBar;
use miette::{IntoDiagnostic, WrapErr, miette};
use procfs::process::Process;
use prometheus::Registry;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::regression::{MeasuredLine, fit_line};

/// Longest time for the fleet to become complete, or for a change to come into force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which the state of the fleet is polled.
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Length of the fleet's secret, in bytes.
const SECRET_BYTES: usize = 32;
/// Number of failure domains, over which daemons and runners are spread.
const DOMAINS: usize = 5;
/// Wait before the measurement, for share slots and model slots to be placed after the first
/// document.
const PLACEMENT_TIME: Duration = Duration::from_secs(12);
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Size of the fleet that grows
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum SlopeFactor {
    /// Number of daemons
    Hosts,
    /// Number of models in the document
    Models,
    /// Number of runners in the document
    Runners,
    /// Number of configuration changes per minute
    Changes,
}

/// Sizes of the measured fleets
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct SlopeOptions {
    /// Size of the fleet that grows
    #[arg(long, value_enum, default_value_t = SlopeFactor::Hosts)]
    pub factor: SlopeFactor,
    /// Values of that size, in ascending order
    #[arg(long, value_delimiter = ',', default_value = "8,16,32,64,100")]
    pub sizes: Vec<usize>,
    /// Number of daemons, unless it is the size that grows
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=400))]
    pub hosts: u16,
    /// Number of models, unless it is the size that grows
    #[arg(long, default_value_t = 0)]
    pub models: usize,
    /// Number of runners, unless it is the size that grows
    #[arg(long, default_value_t = 0)]
    pub runners: usize,
    /// Duration of the measurement at each size, in seconds
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=600))]
    pub seconds: u64,
}

/// One measured fleet: its sizes and costs.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct SlopeSample {
    /// Number of daemons.
    pub hosts: usize,
    /// Number of models in the document.
    pub models: usize,
    /// Number of runners in the document.
    pub runners: usize,
    /// Number of configuration changes per minute.
    pub changes: usize,
    /// Control traffic that a daemon sends, in bytes per second.
    pub sent_bytes: f64,
    /// Control traffic that a daemon receives, in bytes per second.
    pub received_bytes: f64,
    /// Processor time per daemon, in percent of one core.
    pub processor_percent: f64,
    /// Resident memory per daemon, in MB of 10^6 bytes.
    pub resident_megabytes: f64,
    /// Table reads of the whole fleet, per second.
    pub table_reads: f64,
    /// Table commits of the whole fleet, per second.
    pub table_commits: f64,
    /// Longest time from the acceptance of a change until all daemons had it in force, in seconds;
    /// `None` without changes.
    pub in_force_seconds: Option<f64>,
}

/// Samples and the lines fitted to them.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct SlopeReport {
    /// Size that grew.
    pub factor: SlopeFactor,
    /// Samples, in the order of measurement.
    pub samples: Vec<SlopeSample>,
    /// Fitted lines, by the name of the cost in [`SlopeSample`].
    pub lines: BTreeMap<String, MeasuredLine>,
}

/// Measures one fleet for each size, one after another.
///
/// # Errors
/// Fails if a fleet does not start, does not become complete or does not apply a change in time.
pub fn run(options: &SlopeOptions) -> miette::Result<SlopeReport> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let progress = ProgressBar::new(options.sizes.len() as u64);
    // Memory freed by one fleet is reused by the next, so that all are measured against the memory
    // before the first one.
    let resident_before = resident_bytes()?;
    let mut samples = Vec::new();
    for size in &options.sizes {
        let shape = FleetShape::at(options, *size);
        samples.push(runtime.block_on(measure(&shape, resident_before))?);
        progress.inc(1);
    }
    progress.finish_and_clear();
    let lines = fit_lines(options.factor, &samples);
    Ok(SlopeReport { factor: options.factor, samples, lines })
}

fn fit_lines(factor: SlopeFactor, samples: &[SlopeSample]) -> BTreeMap<String, MeasuredLine> {
    type SampleReader = fn(&SlopeSample) -> f64;
    let costs: [(&str, SampleReader); 6] = [
        ("sent_bytes", |sample| sample.sent_bytes),
        ("received_bytes", |sample| sample.received_bytes),
        ("processor_percent", |sample| sample.processor_percent),
        ("resident_megabytes", |sample| sample.resident_megabytes),
        ("table_reads", |sample| sample.table_reads),
        ("table_commits", |sample| sample.table_commits),
    ];
    let size = |sample: &SlopeSample| match factor {
        SlopeFactor::Hosts => sample.hosts as f64,
        SlopeFactor::Models => sample.models as f64,
        SlopeFactor::Runners => sample.runners as f64,
        SlopeFactor::Changes => sample.changes as f64,
    };
    let line = |read: SampleReader| {
        let points: Vec<_> = samples.iter().map(|sample| (size(sample), read(sample))).collect();
        fit_line(&points)
    };
    costs.iter().filter_map(|(name, read)| Some(((*name).to_owned(), line(*read)?))).collect()
}

/// Sizes of one measured fleet.
struct FleetShape {
    hosts: usize,
    models: usize,
    runners: usize,
    /// Number of configuration changes per minute.
    changes: usize,
    /// Duration of the measurement.
    window: Duration,
}

impl FleetShape {
    fn at(options: &SlopeOptions, size: usize) -> Self {
        let mut shape = Self {
            hosts: usize::from(options.hosts),
            models: options.models,
            runners: options.runners,
            changes: 0,
            window: Duration::from_secs(options.seconds),
        };
        match options.factor {
            SlopeFactor::Hosts => shape.hosts = size,
            SlopeFactor::Models => shape.models = size,
            SlopeFactor::Runners => shape.runners = size,
            SlopeFactor::Changes => shape.changes = size,
        }
        shape
    }
}

/// A running fleet.
struct MeasuredFleet {
    platform: MemoryPlatform,
    daemons: Vec<DaemonHandle>,
    runners: Vec<StandinServer>,
}

/// Cumulative costs of the whole fleet at one time.
struct CostReading {
    at: Instant,
    /// Control traffic sent, in bytes.
    sent: f64,
    /// Control traffic received, in bytes.
    received: f64,
    /// Processor time, in seconds.
    processor: f64,
    reads: u64,
    commits: u64,
}

async fn measure(shape: &FleetShape, resident_before: u64) -> miette::Result<SlopeSample> {
    let fleet = MeasuredFleet::start(shape).await?;
    let first = fleet.read_costs()?;
    let in_force = fleet.run_window(shape).await?;
    let second = fleet.read_costs()?;
    let resident = resident_bytes()?.saturating_sub(resident_before) as f64;
    let seconds = (second.at - first.at).as_secs_f64();
    let hosts = shape.hosts as f64;
    Ok(SlopeSample {
        hosts: shape.hosts,
        models: shape.models,
        runners: shape.runners,
        changes: shape.changes,
        sent_bytes: (second.sent - first.sent) / seconds / hosts,
        received_bytes: (second.received - first.received) / seconds / hosts,
        processor_percent: 100.0 * (second.processor - first.processor) / seconds / hosts,
        resident_megabytes: resident / hosts / 1e6,
        table_reads: (second.reads - first.reads) as f64 / seconds,
        table_commits: (second.commits - first.commits) as f64 / seconds,
        in_force_seconds: in_force.map(|longest| longest.as_secs_f64()),
    })
}

impl MeasuredFleet {
    async fn start(shape: &FleetShape) -> miette::Result<Self> {
        let mut fleet = Self {
            platform: MemoryPlatform::default(),
            daemons: Vec::new(),
            runners: start_runners(shape.runners).await?,
        };
        let secret: [u8; SECRET_BYTES] = rand::random();
        for index in 0..shape.hosts {
            fleet.add_daemon(index, &secret).await?;
        }
        let count = shape.hosts;
        let complete =
            move |daemon: &DaemonHandle| daemon.members.borrow().serving().count() == count;
        fleet
            .wait_for("all daemons to become members", |fleet| fleet.daemons.iter().all(complete))
            .await?;
        if shape.models > 0 || shape.runners > 0 {
            let document = make_document(shape.models, &fleet.runners)?;
            fleet.apply_change(document).await?;
            tokio::time::sleep(PLACEMENT_TIME).await;
        }
        Ok(fleet)
    }

    async fn add_daemon(&mut self, index: usize, secret: &[u8]) -> miette::Result<()> {
        let settings = NodeSettings {
            host: format!("host-{index}").parse::<HostId>().into_diagnostic()?,
            domain: format!("domain-{}", index % DOMAINS).parse().into_diagnostic()?,
            peers: LOOPBACK,
            secret: secret.to_vec(),
        };
        let platform = NodePlatform {
            table: self.platform.table(),
            objects: self.platform.objects(),
            hosts: self.platform.host_list(),
        };
        let options = DaemonOptions {
            entry: LOOPBACK,
            admin: AdminOptions { listen: LOOPBACK, tls: None, first_operator: None },
            node: settings,
            platform,
            orders: Arc::new(|_runner, address| RunnerOrders::http(address)),
            limits: EntryLimits::default(),
            tls: None,
        };
        self.daemons.push(daemon::start(options).await?);
        Ok(())
    }

    /// Waits for the end of the measurement and makes its changes; returns the longest time until a
    /// change was in force.
    async fn run_window(&self, shape: &FleetShape) -> miette::Result<Option<Duration>> {
        let end = Instant::now() + shape.window;
        let mut longest = None;
        if shape.changes > 0 {
            let gap = Duration::from_secs(60).div_f64(shape.changes as f64);
            let mut next_change = Instant::now() + gap;
            while next_change < end {
                tokio::time::sleep_until(next_change).await;
                next_change += gap;
                let document = make_document(shape.models + 1, &self.runners)?;
                longest = longest.max(Some(self.apply_change(document).await?));
            }
        }
        tokio::time::sleep_until(end).await;
        Ok(longest)
    }

    /// Proposes `document` with a new rate of one team; returns the time from its acceptance until
    /// all daemons had it in force.
    async fn apply_change(&self, mut document: ConfigurationDocument) -> miette::Result<Duration> {
        let administration = self.administration()?;
        let expected = administration.configuration.current().version;
        // The rate differs for each version, so that every change has an effect.
        let team =
            TeamEntry { rate: TokenRate::per_second(expected.0 + 1), burst: TokenCount(1_000_000) };
        document.teams.insert("team".parse().into_diagnostic()?, team);
        let change = ProposedChange {
            change: RequestId(rand::random()),
            expected,
            operator: "bench".parse().into_diagnostic()?,
            summary: "bench".to_owned(),
            document,
        };
        let accepted = administration.propose(change).await.into_diagnostic()?.version;
        let start = Instant::now();
        let in_force = |daemon: &DaemonHandle| daemon.administration.progress(accepted).in_force;
        self.wait_for("a change to come into force", |fleet| fleet.daemons.iter().all(in_force))
            .await?;
        Ok(start.elapsed())
    }

    fn administration(&self) -> miette::Result<&AdministrationPorts> {
        self.daemons
            .first()
            .map(|daemon| &daemon.administration)
            .ok_or_else(|| miette!("the fleet has no daemon"))
    }

    async fn wait_for<C>(&self, event: &str, condition: C) -> miette::Result<()>
    where
        C: Fn(&Self) -> bool,
    {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(miette!("timed out after {WAIT_TIMEOUT:?} waiting for {event}"));
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        Ok(())
    }

    fn read_costs(&self) -> miette::Result<CostReading> {
        let (reads, commits) = self.platform.call_counts();
        let sum = |direction: &str| -> f64 {
            let daemons = self.daemons.iter();
            daemons.map(|daemon| control_bytes(&daemon.registry, direction)).sum()
        };
        Ok(CostReading {
            at: Instant::now(),
            sent: sum("sent"),
            received: sum("received"),
            processor: processor_seconds(),
            reads,
            commits,
        })
    }
}

fn control_bytes(registry: &Registry, direction: &str) -> f64 {
    let families = registry.gather();
    let bytes =
        families.iter().filter(|family| family.name() == "dotterellane_control_bytes_total");
    let metrics = bytes.flat_map(|family| family.get_metric());
    let labelled =
        metrics.filter(|metric| metric.get_label().iter().any(|label| label.value() == direction));
    labelled.map(|metric| metric.get_counter().get_value()).sum()
}

fn make_document(
    models: usize,
    runners: &[StandinServer],
) -> miette::Result<ConfigurationDocument> {
    let mut document = ConfigurationDocument::default();
    for index in 0..models {
        let entry = ModelEntry {
            version: "v1".parse().into_diagnostic()?,
            memory: ByteSize::gibibytes(14),
            kv_reserve: ByteSize::gibibytes(2),
            slots: 2,
            max_slots: 4,
            concurrency: 16,
            max_output: TokenCount(1_024),
            deadline_seconds: Duration::from_secs(60),
            callers: Default::default(),
        };
        document.models.insert(format!("model-{index}").parse().into_diagnostic()?, entry);
    }
    for (index, server) in runners.iter().enumerate() {
        let runner =
            RunnerEntry { memory: ByteSize::gibibytes(80), accelerators: 8, honours_fencing: true };
        let entry = UpstreamEntry {
            address: server.address,
            domain: format!("domain-{}", index % DOMAINS).parse().into_diagnostic()?,
            role: UpstreamRole::Runner(runner),
            leaving: false,
        };
        document.upstreams.insert(format!("runner-{index}").parse().into_diagnostic()?, entry);
    }
    Ok(document)
}

async fn start_runners(count: usize) -> miette::Result<Vec<StandinServer>> {
    let store = WeightStore::new();
    let mut servers = Vec::new();
    for _index in 0..count {
        let runner = StandinRunner::new(RunnerOptions::default());
        let runner = runner.with_engine(EngineOptions::default(), store.clone());
        servers.push(runner.start().await.into_diagnostic()?);
    }
    Ok(servers)
}

/// Returns the processor time of this process since its start.
fn processor_seconds() -> f64 {
    let reading = clock_gettime(ClockId::ProcessCPUTime);
    reading.tv_sec as f64 + reading.tv_nsec as f64 / 1e9
}

fn resident_bytes() -> miette::Result<u64> {
    let memory = Process::myself().and_then(|process| process.statm()).into_diagnostic();
    let memory = memory.wrap_err("reading resident memory")?;
    Ok(memory.resident * procfs::page_size())
}
