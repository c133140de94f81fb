//! A fleet of daemons in one process over stand-in runners; hosts can be cut off from messages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterellane_fleet::{
    CallOutcome, ConfigurationFeed, ConfigurationSnapshot, DispatchPermit, FleetPorts, MemberInfo,
    MemberView, PeerDelivery, PeerSender, PermitRefusal, PermitRequest, PlacementParts,
    PlacementRuntime, TimerService, boot_clock,
};
use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_protocol::PeerMessage;
use dotterellane_settings::document::{
    CallerScope, ConfigurationDocument, ModelEntry, RunnerEntry, UpstreamEntry, UpstreamRole,
};
use dotterellane_standins::http_server::StandinServer;
use dotterellane_standins::runner::engine::EngineOptions;
use dotterellane_standins::runner::{RunnerOptions, StandinRunner};
use dotterellane_standins::weight_store::WeightStore;
use dotterellane_units::{
    ByteSize, ConfigVersion, HostId, HostIncarnation, ModelId, RequestId, TokenCount,
};
use dotterellane_upstream::orders::RunnerOrders;
use tokio::sync::{mpsc, watch};

type Inboxes = BTreeMap<HostId, (mpsc::Sender<PeerDelivery>, mpsc::Sender<PeerDelivery>)>;

pub struct TestFleet {
    pub platform: MemoryPlatform,
    pub runners: Vec<StandinRunner>,
    pub daemons: BTreeMap<HostId, (PlacementRuntime, FleetPorts)>,
    /// Hosts whose messages are dropped in both directions.
    pub silent: Arc<Mutex<BTreeSet<HostId>>>,
    members: watch::Sender<Arc<MemberView>>,
    _servers: Vec<StandinServer>,
    _timers: TimerService,
}

pub struct FleetShape {
    pub hosts: usize,
    pub runners: usize,
    pub fencing: bool,
    pub capacity: ByteSize,
    pub models: Vec<(&'static str, ByteSize)>,
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn model_entry(memory: ByteSize) -> ModelEntry {
    ModelEntry {
        version: "v1".parse().unwrap(),
        memory,
        kv_reserve: ByteSize(0),
        slots: 2,
        max_slots: 4,
        concurrency: 2,
        max_output: TokenCount(64),
        deadline_seconds: Duration::from_secs(20),
        callers: CallerScope::AllTeams,
    }
}

impl TestFleet {
    pub async fn start(shape: FleetShape) -> Self {
        let (platform, store) = (MemoryPlatform::default(), WeightStore::new());
        let (mut runners, mut servers) = (Vec::new(), Vec::new());
        let mut document = ConfigurationDocument::default();
        for (name, memory) in &shape.models {
            document.models.insert(name.parse().unwrap(), model_entry(*memory));
        }
        for index in 0..shape.runners {
            let engine = EngineOptions {
                capacity: shape.capacity,
                honours_fencing: shape.fencing,
                overhead: ByteSize(0),
            };
            let runner =
                StandinRunner::new(RunnerOptions::default()).with_engine(engine, store.clone());
            let server = runner.start().await.unwrap();
            let entry = RunnerEntry {
                memory: shape.capacity,
                accelerators: 1,
                honours_fencing: shape.fencing,
            };
            let upstream = UpstreamEntry {
                address: server.address,
                domain: format!("domain-{index}").parse().unwrap(),
                role: UpstreamRole::Runner(entry),
                leaving: false,
            };
            document.upstreams.insert(format!("runner-{index}").parse().unwrap(), upstream);
            runners.push(runner);
            servers.push(server);
        }
        let view = MemberView { members: (0..shape.hosts).map(member).collect() };
        let (members, timers) = (watch::Sender::new(Arc::new(view)), TimerService::default());
        let mut fleet = Self {
            platform,
            runners,
            daemons: BTreeMap::new(),
            silent: Arc::default(),
            members,
            _servers: servers,
            _timers: timers.clone(),
        };
        fleet.start_daemons(shape.hosts, document, timers);
        fleet
    }

    fn start_daemons(
        &mut self,
        hosts: usize,
        document: ConfigurationDocument,
        timers: TimerService,
    ) {
        let mut senders = Inboxes::new();
        let mut receivers = Vec::new();
        for index in 0..hosts {
            let (dispatch, dispatch_inbox) = mpsc::channel(1_000);
            let (placement, placement_inbox) = mpsc::channel(1_000);
            senders.insert(host(index), (dispatch, placement));
            receivers.push((host(index), dispatch_inbox, placement_inbox));
        }
        let senders = Arc::new(senders);
        let snapshot = ConfigurationSnapshot { version: ConfigVersion(1), document };
        for (name, dispatch_inbox, placement_inbox) in receivers {
            let configuration = ConfigurationFeed::new(snapshot.clone());
            let parts = PlacementParts {
                host: name.clone(),
                incarnation: HostIncarnation(1),
                clock: boot_clock(),
                timers: timers.clone(),
                configuration: configuration.clone(),
                members: self.members.subscribe(),
                table: self.platform.table(),
                peers: peer_sender(name.clone(), senders.clone(), self.silent.clone()),
                dispatch_inbox,
                placement_inbox,
                orders: Arc::new(|_, address| RunnerOrders::http(address)),
            };
            let runtime = PlacementRuntime::start(parts);
            let ports = runtime.attach(FleetPorts::new(boot_clock(), configuration));
            self.daemons.insert(name, (runtime, ports));
        }
    }

    pub fn ports(&self, index: usize) -> FleetPorts {
        self.daemons[&host(index)].1.clone()
    }

    /// Stops a daemon without releasing its leases, and marks it as not alive for the others.
    pub fn kill(&mut self, name: &HostId) {
        self.daemons.remove(name);
        self.members.send_modify(|view| {
            let mut changed = MemberView::clone(view);
            for member in changed.members.iter_mut().filter(|member| member.host == *name) {
                member.alive = false;
            }
            *view = Arc::new(changed);
        });
    }

    /// Returns how many runners hold `model`, according to their engines.
    pub fn loaded(&self, model: &str) -> usize {
        let model: ModelId = model.parse().unwrap();
        let holds = |runner: &&StandinRunner| {
            runner.control.engine().held_models().any(|held| *held == model)
        };
        self.runners.iter().filter(holds).count()
    }
}

fn member(index: usize) -> MemberInfo {
    MemberInfo {
        host: host(index),
        incarnation: HostIncarnation(1),
        domain: format!("domain-{index}").parse().unwrap(),
        alive: true,
        leaving: false,
    }
}

fn peer_sender(
    from: HostId,
    senders: Arc<Inboxes>,
    silent: Arc<Mutex<BTreeSet<HostId>>>,
) -> PeerSender {
    PeerSender::new(move |to, message| {
        let silent = silent.lock().unwrap();
        if silent.contains(&from) || silent.contains(to) {
            return;
        }
        let Some((dispatch, placement)) = senders.get(to) else { return };
        let inbox = match message {
            PeerMessage::Dispatch(_) => dispatch,
            _ => placement,
        };
        let incarnation = HostIncarnation(1);
        let _ = inbox.try_send(PeerDelivery { from: from.clone(), incarnation, message });
    })
}

/// Requests a permit for `model`, with a deadline counted from now.
pub async fn acquire_permit(
    ports: &FleetPorts,
    model: &str,
    request: u128,
    deadline: Duration,
) -> Result<DispatchPermit, PermitRefusal> {
    let request = PermitRequest {
        request: RequestId(request),
        team: "team-a".parse().unwrap(),
        model: model.parse().unwrap(),
        adapter: None,
        tokens: TokenCount(100),
        prefix: Vec::new(),
        excluded: Vec::new(),
        deadline: ports.clock.now() + deadline,
    };
    ports.permit(request).await
}

/// Releases a permit whose call got a complete response.
pub fn release_answered(ports: &FleetPorts, permit: DispatchPermit) {
    ports.release(permit, CallOutcome::Answered);
}
