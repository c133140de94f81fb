//! What control costs a daemon as one size grows at a time.
//!
//! The daemons are whole ones on loopback sockets, in this process; the platform is kept in
//! memory, and the processor time and memory of stand-in runners count as the daemons'. Costs of a process of its own, such as its code and allocator, are not in the figures.

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

/// Longest wait for the fleet to come to rest, or for a change to come into force.
const PATIENCE: Duration = Duration::from_secs(120);
const POLL_PERIOD: Duration = Duration::from_millis(10);
const SECRET_BYTES: usize = 32;
const DOMAINS: usize = 5;
/// Time in which shares and slots are placed after the first document.
const SETTLING_TIME: Duration = Duration::from_secs(12);
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Which size grows
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
    /// Changes of configuration a minute
    Changes,
}

/// What is measured, and at which sizes
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct SlopeOptions {
    /// Size that grows
    #[arg(long, value_enum, default_value_t = SlopeFactor::Hosts)]
    pub factor: SlopeFactor,
    /// Values of that size, the smallest first
    #[arg(long, value_delimiter = ',', default_value = "8,16,32,64,100")]
    pub sizes: Vec<usize>,
    /// Daemons, where their number does not grow
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=400))]
    pub hosts: u16,
    /// Models, where their number does not grow
    #[arg(long, default_value_t = 0)]
    pub models: usize,
    /// Runners, where their number does not grow
    #[arg(long, default_value_t = 0)]
    pub runners: usize,
    /// Seconds measured at each size
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=600))]
    pub seconds: u64,
}

/// One point: sizes and costs.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct SlopeSample {
    /// Daemons.
    pub hosts: usize,
    /// Models in the document.
    pub models: usize,
    /// Runners in the document.
    pub runners: usize,
    /// Changes of configuration a minute.
    pub changes: usize,
    /// Control bytes that a daemon sends a second.
    pub sent_bytes: f64,
    /// Control bytes that a daemon receives a second.
    pub received_bytes: f64,
    /// Processor time of a daemon, in percent of a core.
    pub processor_percent: f64,
    /// Resident memory that a daemon adds, in MB of 10^6 bytes.
    pub resident_megabytes: f64,
    /// Table reads a second of the whole fleet.
    pub table_reads: f64,
    /// Table commits a second of the whole fleet.
    pub table_commits: f64,
    /// Longest time from a change's acceptance until it was in force, in seconds.
    pub in_force_seconds: Option<f64>,
}

/// Points and the lines through them.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct SlopeReport {
    /// Size that grew.
    pub factor: SlopeFactor,
    /// Points, in the order measured.
    pub samples: Vec<SlopeSample>,
    /// Lines by cost.
    pub lines: BTreeMap<String, MeasuredLine>,
}

/// Measures at each size in turn.
///
/// # Errors
/// Fails if a fleet does not start or does not come to rest.
pub fn run(options: &SlopeOptions) -> miette::Result<SlopeReport> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let progress = ProgressBar::new(options.sizes.len() as u64);
    // Memory freed by a smaller fleet serves the next one, so all count from before the first.
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
    changes: usize,
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

/// Daemons of one measured fleet.
struct MeasuredFleet {
    platform: MemoryPlatform,
    daemons: Vec<DaemonHandle>,
    runners: Vec<StandinServer>,
}

/// Totals of the whole process and fleet at one moment.
struct CostReading {
    at: Instant,
    sent: f64,
    received: f64,
    processor: f64,
    reads: u64,
    commits: u64,
}

async fn measure(shape: &FleetShape, resident_before: u64) -> miette::Result<SlopeSample> {
    let fleet = MeasuredFleet::start(shape).await?;
    let first = fleet.read_costs()?;
    let in_force = fleet.spend(shape).await?;
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
            fleet.add(index, &secret).await?;
        }
        let count = shape.hosts;
        let complete =
            move |daemon: &DaemonHandle| daemon.members.borrow().serving().count() == count;
        fleet.wait("members to see each other", |fleet| fleet.daemons.iter().all(complete)).await?;
        if shape.models > 0 || shape.runners > 0 {
            let document = document_of(shape.models, &fleet.runners)?;
            fleet.change(document).await?;
            tokio::time::sleep(SETTLING_TIME).await;
        }
        Ok(fleet)
    }

    async fn add(&mut self, index: usize, secret: &[u8]) -> miette::Result<()> {
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

    /// Lets the window pass with its changes; returns the longest time until one was in force.
    async fn spend(&self, shape: &FleetShape) -> miette::Result<Option<Duration>> {
        let end = Instant::now() + shape.window;
        let mut longest = None;
        if shape.changes > 0 {
            let gap = Duration::from_secs(60).div_f64(shape.changes as f64);
            let mut due = Instant::now() + gap;
            while due < end {
                tokio::time::sleep_until(due).await;
                due += gap;
                let document = document_of(shape.models + 1, &self.runners)?;
                longest = longest.max(Some(self.change(document).await?));
            }
        }
        tokio::time::sleep_until(end).await;
        Ok(longest)
    }

    /// Proposes `document` with a new rate; returns how long it took to be in force everywhere.
    async fn change(&self, mut document: ConfigurationDocument) -> miette::Result<Duration> {
        let administration = self.administration()?;
        let expected = administration.configuration.current().version;
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
        self.wait("a change to be in force", |fleet| fleet.daemons.iter().all(in_force)).await?;
        Ok(start.elapsed())
    }

    fn administration(&self) -> miette::Result<&AdministrationPorts> {
        self.daemons
            .first()
            .map(|daemon| &daemon.administration)
            .ok_or_else(|| miette!("no daemon"))
    }

    async fn wait<C>(&self, what: &str, condition: C) -> miette::Result<()>
    where
        C: Fn(&Self) -> bool,
    {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > PATIENCE {
                return Err(miette!("waited {PATIENCE:?} for {what}"));
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

fn document_of(models: usize, runners: &[StandinServer]) -> miette::Result<ConfigurationDocument> {
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

fn processor_seconds() -> f64 {
    let reading = clock_gettime(ClockId::ProcessCPUTime);
    reading.tv_sec as f64 + reading.tv_nsec as f64 / 1e9
}

fn resident_bytes() -> miette::Result<u64> {
    let memory = Process::myself().and_then(|process| process.statm()).into_diagnostic();
    let memory = memory.wrap_err("reading resident memory")?;
    Ok(memory.resident * procfs::page_size())
}
