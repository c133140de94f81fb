//! What one host's daemon knows, and who waits for it to change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dotterellane_decisions::quarantine::CrashMachine;
use dotterellane_decisions::resend_budget::{ResendBudget, ResendLimits};
use dotterellane_decisions::store_clock::StoreClock;
use dotterellane_decisions::team_levels::TeamLevels;
use dotterellane_decisions::weight_plan::{HostDemand, RunningModel, WaitingModel};
use dotterellane_platform::{PlatformTable, RowFeed};
use dotterellane_units::{
    ClockInstant, ClockSource, HostId, HostIncarnation, RowVersion, ServiceId, UpstreamId,
};
use slab::Slab;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::call::{ModelChoice, WireFormat};
use crate::directory::Directory;
use crate::document::{CallerLimits, RoutingDocument};
use crate::exchange::AnswerMemory;
use crate::keeper::SharedDesk;
use crate::messages::{KeeperMark, StoreSighting};
use crate::metrics::GatewayMetrics;
use crate::settings::{HostSettings, HostTuning};
use crate::spending::GrantDesk;

/// What the platform offers the daemon.
#[derive(Clone, Debug)]
pub struct HostPlatform {
    /// Rows of the fleet itself.
    pub table: PlatformTable,
    /// The operators' rows.
    pub configuration: RowFeed,
    /// The upstreams' rows.
    pub directory: RowFeed,
}

/// A request that waits for a runner to hold its model.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Service.
    pub service: ServiceId,
    /// Model and adapter.
    pub choice: ModelChoice,
    /// What it is worth against others, in thousandths.
    pub worth: u32,
}

/// Another daemon.
#[derive(Clone, Debug)]
pub struct KnownPeer {
    /// Where it receives.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
    /// When it was last heard.
    pub heard: ClockInstant,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// Whether the store answers it, as it said.
    pub fresh: bool,
    /// Processor that it has, in thousandths of a core.
    pub processor: u32,
    /// Requests that it runs, by upstream.
    pub running: BTreeMap<UpstreamId, u32>,
}

/// The keeper as this host knows it.
#[derive(Clone, Debug)]
pub struct KnownKeeper {
    /// Host that holds the lease.
    pub host: HostId,
    /// Its lease.
    pub mark: KeeperMark,
    /// When it was last heard.
    pub heard: ClockInstant,
}

/// Everything that one host's daemon knows.
#[derive(Debug)]
pub struct HostState {
    /// Settings that may change, as they are now.
    pub tuning: HostTuning,
    /// Newest configuration known.
    pub document: Option<Arc<RoutingDocument>>,
    /// Version of its row.
    pub document_version: RowVersion,
    /// When it was the newest, as the store showed this host or another.
    pub evidence: Option<ClockInstant>,
    /// When the directory was as it is known here, as the store showed this host or another.
    pub directory_seen: Option<ClockInstant>,
    /// When the store last failed to answer.
    pub store_trouble: Option<ClockInstant>,
    /// When the store last answered.
    pub store_answered: Option<ClockInstant>,
    /// The store's clock.
    pub store_clock: StoreClock,
    /// Upstreams.
    pub directory: Directory,
    /// Teams' levels.
    pub levels: TeamLevels,
    /// When the daemon was asked to stop.
    pub left: Option<ClockInstant>,
    /// Further sends, by service.
    pub resends: BTreeMap<ServiceId, ResendBudget>,
    /// Requests that run, by upstream and model.
    pub running: BTreeMap<(UpstreamId, Option<ModelChoice>), u32>,
    /// Requests that wait for a model.
    pub waiting: Slab<WaitingRequest>,
    /// Requests that came since the last report, by service and model.
    pub arrivals: BTreeMap<(ServiceId, ModelChoice), u32>,
    /// Other daemons.
    pub peers: BTreeMap<HostId, KnownPeer>,
    /// The keeper.
    pub keeper: Option<KnownKeeper>,
    /// When a keeper last gave its lease up.
    pub keeper_left: Option<ClockInstant>,
    /// Requests that crashed upstreams.
    pub crashes: CrashMachine,
}

/// One host's daemon.
#[derive(Debug)]
pub struct Host {
    /// Settings.
    pub settings: HostSettings,
    /// Incarnation of this daemon.
    pub incarnation: HostIncarnation,
    /// Translations to the wire.
    pub wire: WireFormat,
    /// The platform.
    pub platform: HostPlatform,
    /// Clock that counts suspended time.
    pub clock: ClockSource,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Wakes requests when what runners hold may have changed.
    pub holdings_changed: Notify,
    /// Wakes the sender of demand.
    pub demand_changed: Notify,
    /// Wakes the sender of beats.
    pub spending_changed: Notify,
    /// Wakes the follower of the configuration: there is a newer one.
    pub configuration_wanted: Notify,
    /// Wakes the follower of the directory: it changed, or the keeper needs all of it.
    pub directory_wanted: Notify,
    /// Wakes the keeper.
    pub plan_wanted: Notify,
    /// Cancelled when the daemon is asked to stop.
    pub leaving: CancellationToken,
    /// Cancelled when kept connections are to be closed; requests that still come are refused.
    pub closing: CancellationToken,
    /// Cancelled when no more connections are to be accepted.
    pub closed: CancellationToken,
    /// Connections and streams that are served.
    pub tasks: TaskTracker,
    /// Socket of datagrams.
    pub socket: UdpSocket,
    /// What this host knows as keeper or candidate.
    pub desk: SharedDesk,
    /// Tokens asked for and granted.
    pub grants: GrantDesk,
    /// Memory for answers that are read whole.
    pub answer_memory: AnswerMemory,
    state: Mutex<HostState>,
}

impl Host {
    /// Returns a daemon that knows nothing yet.
    ///
    /// # Errors
    /// Fails if a metric is registered already.
    pub fn new(
        settings: HostSettings,
        incarnation: HostIncarnation,
        wire: WireFormat,
        platform: HostPlatform,
        clock: ClockSource,
        socket: UdpSocket,
    ) -> prometheus::Result<Self> {
        let state = HostState {
            tuning: settings.tuning.clone(),
            document: None,
            document_version: RowVersion::default(),
            evidence: None,
            directory_seen: None,
            store_trouble: None,
            store_answered: None,
            store_clock: StoreClock::default(),
            directory: Directory::default(),
            levels: TeamLevels::new(clock.now(), settings.first_start),
            left: None,
            resends: BTreeMap::new(),
            running: BTreeMap::new(),
            waiting: Slab::new(),
            arrivals: BTreeMap::new(),
            peers: BTreeMap::new(),
            keeper: None,
            keeper_left: None,
            crashes: CrashMachine::default(),
        };
        let desk = SharedDesk::new(settings.host.clone(), incarnation, settings.leader_gap);
        Ok(Self {
            socket,
            desk,
            grants: GrantDesk::default(),
            answer_memory: AnswerMemory::default(),
            settings,
            incarnation,
            wire,
            platform,
            clock,
            metrics: GatewayMetrics::register()?,
            holdings_changed: Notify::new(),
            demand_changed: Notify::new(),
            spending_changed: Notify::new(),
            configuration_wanted: Notify::new(),
            directory_wanted: Notify::new(),
            plan_wanted: Notify::new(),
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            closed: CancellationToken::new(),
            tasks: TaskTracker::new(),
            state: Mutex::new(state),
        })
    }

    /// Returns what is known; held only between two waits.
    pub fn state(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the clock.
    pub fn now(&self) -> ClockInstant {
        self.clock.now()
    }

    /// Returns this host's part of the fleet's further sends.
    pub fn resend_limits(&self, state: &HostState) -> ResendLimits {
        let hosts = state.peers.len() + 1;
        #[expect(clippy::cast_precision_loss, reason = "hosts are few")]
        let slack = state.tuning.retry_slack / hosts as f64;
        ResendLimits { ratio: state.tuning.retry_ratio, slack, window: state.tuning.retry_window }
    }
}

impl HostState {
    /// Tells whether the configuration counts as the newest.
    pub fn is_fresh(&self, now: ClockInstant) -> bool {
        let in_time = |seen: ClockInstant| now.since(seen) < self.tuning.freshness;
        self.document.is_some() && self.evidence.is_some_and(in_time)
    }

    /// Returns the bounds on what callers send.
    pub fn caller_limits(&self) -> CallerLimits {
        self.document.as_ref().map(|document| document.limits).unwrap_or_default()
    }

    /// Sets the teams' limits from the configuration and the tuning.
    pub fn set_limits(&mut self, now: ClockInstant) {
        let Some(document) = &self.document else { return };
        let tolerance = self.tuning.tolerance;
        let limits = document.teams.iter().map(|team| {
            let limit = if team.counts_tokens { team.limit.lent(tolerance) } else { team.limit };
            (team.name.clone(), limit)
        });
        self.levels.set_limits(now, limits);
    }

    /// Tells whether the store answered this host the last time that it was asked.
    pub fn reaches_store(&self) -> bool {
        self.store_answered >= self.store_trouble
    }

    /// Returns what the store showed last, unless that is not known or cannot be dated.
    pub fn sighting(&self) -> Option<StoreSighting> {
        Some(StoreSighting {
            configuration: self.document_version,
            configuration_at: self.store_clock.to_store(self.evidence?)?,
            directory: self.directory.digest(),
            directory_at: self.store_clock.to_store(self.directory_seen?)?,
        })
    }

    /// Returns what this host asks of the models of each service; arrivals start anew.
    pub fn take_demand(&mut self) -> Vec<(ServiceId, HostDemand)> {
        let mut demands: BTreeMap<ServiceId, HostDemand> = BTreeMap::new();
        let mut waits: BTreeMap<(&ServiceId, &ModelChoice), (u32, u32)> = BTreeMap::new();
        for (_, waiting) in &self.waiting {
            let entry = waits.entry((&waiting.service, &waiting.choice)).or_default();
            *entry = (entry.0 + 1, entry.1.saturating_add(waiting.worth));
        }
        for ((service, choice), (count, worth)) in waits {
            demands.entry(service.clone()).or_default().waiting.push(WaitingModel {
                model: choice.model.clone(),
                adapter: choice.adapter.clone(),
                count,
                worth,
            });
        }
        for ((runner, choice), count) in &self.running {
            let (Some(choice), Some(known)) = (choice, self.directory.get(runner)) else {
                continue;
            };
            let demand = demands.entry(known.entry.service.clone()).or_default();
            demand.running.push(RunningModel {
                runner: runner.clone(),
                model: choice.model.clone(),
                adapter: choice.adapter.clone(),
                count: *count,
            });
        }
        for ((service, choice), count) in std::mem::take(&mut self.arrivals) {
            let demand = demands.entry(service).or_default();
            demand.arrivals.push((choice.model, count));
        }
        demands.into_iter().collect()
    }

    /// Returns the requests of all hosts that `runner` works on, as far as their beats tell.
    pub fn all_runs_at(&self, runner: &UpstreamId) -> u32 {
        let theirs = self.peers.values().filter_map(|peer| peer.running.get(runner));
        self.runs_at(runner) + theirs.sum::<u32>()
    }

    /// Returns the requests of this host by upstream.
    pub fn own_runs(&self) -> Vec<(UpstreamId, u32)> {
        let mut runs: BTreeMap<&UpstreamId, u32> = BTreeMap::new();
        for ((name, _), count) in &self.running {
            *runs.entry(name).or_default() += count;
        }
        runs.into_iter().map(|(name, count)| (name.clone(), count)).collect()
    }

    /// Returns the requests of this host that `runner` works on.
    pub fn runs_at(&self, runner: &UpstreamId) -> u32 {
        let from = (runner.clone(), None);
        let runs = self.running.range(from..).take_while(|((name, _), _)| name == runner);
        runs.map(|(_, count)| *count).sum()
    }
}

/// A request that counts as waiting for a model until this is dropped.
#[derive(Debug)]
pub struct WaitHold {
    host: Arc<Host>,
    index: usize,
}

impl WaitHold {
    /// Counts `waiting`.
    pub fn new(host: &Arc<Host>, waiting: WaitingRequest) -> Self {
        let index = host.state().waiting.insert(waiting);
        host.demand_changed.notify_one();
        Self { host: host.clone(), index }
    }
}

impl Drop for WaitHold {
    fn drop(&mut self) {
        self.host.state().waiting.remove(self.index);
    }
}

/// A request that counts as running at an upstream until this is dropped.
#[derive(Debug)]
pub struct RunHold {
    host: Arc<Host>,
    key: (UpstreamId, Option<ModelChoice>),
}

impl RunHold {
    /// Counts a request; `state` is that of `host`.
    pub fn new(
        host: &Arc<Host>,
        state: &mut HostState,
        upstream: UpstreamId,
        choice: Option<ModelChoice>,
    ) -> Self {
        let key = (upstream, choice);
        *state.running.entry(key.clone()).or_default() += 1;
        Self { host: host.clone(), key }
    }
}

impl Drop for RunHold {
    fn drop(&mut self) {
        let mut state = self.host.state();
        if let Some(count) = state.running.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.key);
            }
        }
    }
}

/// A further send that was decided on; given back if it is not made before this is dropped.
#[derive(Debug)]
pub struct ResendHold {
    host: Arc<Host>,
    service: ServiceId,
    made: bool,
}

impl ResendHold {
    /// Reserves a further send to `service`; `None` if the budget has none left.
    pub fn reserve(host: &Arc<Host>, service: &ServiceId) -> Option<Self> {
        let mut state = host.state();
        let limits = host.resend_limits(&state);
        let budget = state.resends.entry(service.clone()).or_default();
        let reserved = budget.reserve(host.now(), &limits);
        reserved.then(|| Self { host: host.clone(), service: service.clone(), made: false })
    }

    /// Notes that the send is made now.
    pub fn spend(mut self) {
        self.made = true;
        let now = self.host.now();
        self.host.state().resends.entry(self.service.clone()).or_default().spend(now);
    }
}

impl Drop for ResendHold {
    fn drop(&mut self) {
        if !self.made {
            self.host.state().resends.entry(self.service.clone()).or_default().release();
        }
    }
}
