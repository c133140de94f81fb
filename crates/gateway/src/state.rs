//! The shared state of one host's daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::configuration_evidence::ConfigurationEvidence;
use dotterellane_decisions::fleet_size::FleetSize;
use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::memory_budget::BudgetBounds;
use dotterellane_decisions::quarantine::{CrashTracker, FleetPosition};
use dotterellane_decisions::retry_limiter::{RetryLimiter, RetryLimits};
use dotterellane_decisions::room_account::RoomAccount;
use dotterellane_decisions::run_times::{RunKind, RunTimes, StopSpan};
use dotterellane_decisions::store_clock::StoreClock;
use dotterellane_decisions::stream_versions::{StreamOrigin, StreamOrigins};
use dotterellane_decisions::team_buckets::TeamBuckets;
use dotterellane_decisions::tunnel_places::TunnelPlaces;
use dotterellane_decisions::upstream_pace::UpstreamPaces;
use dotterellane_decisions::upstream_reach::UpstreamReach;
use dotterellane_decisions::weight_plan::{HostDemand, RunningModel, WaitingModel};
use dotterellane_platform::{PlatformTable, RowFeed};
use dotterellane_units::{
    ClockInstant, ClockSource, DomainId, HostId, HostIncarnation, ModelId, RowVersion, ServiceId,
    StoreEra, TokenCount, UpstreamId,
};
use slab::Slab;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::call::{ModelChoice, WireFormat};
use crate::caller_memory::CallerMemory;
use crate::configuration_row::{ConfigurationRow, RowFault};
use crate::directory::Directory;
use crate::document::{CallKind, CallerLimits, RoutingDocument};
use crate::leader::SharedLeadership;
use crate::messages::{ConfigurationMark, LeaseMark, StoreObservation};
use crate::metrics::GatewayMetrics;
use crate::permits::SendPermits;
use crate::questions::PendingQuestions;
use crate::reach::ReachReport;
use crate::response_memory::ResponseMemory;
use crate::selection::id_hash;
use crate::settings::{HostSettings, HostTuning};
use crate::spending::TokenGrants;
use crate::stream_versions::archive::ArchiveReading;
use crate::stream_versions::history::KnownVersions;
use crate::tunnels;

/// Runs that are expected to take roughly similar times: those of one service and type of route.
pub type RunGroup = (ServiceId, CallKind);

/// Runs that are expected to take similar times: those of a group with the same model.
pub type GatewayRunKind = RunKind<RunGroup, Option<ModelId>>;

/// The platform's services that the daemon uses.
#[derive(Clone, Debug)]
pub struct HostPlatform {
    /// The daemons' own table, with leases and the list of hosts.
    pub table: PlatformTable,
    /// Feed of the operators' configuration.
    pub configuration: RowFeed,
    /// Feed of the directory, one row per upstream.
    pub directory: RowFeed,
}

/// A request that waits for a runner to hold its model.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Service that the request goes to.
    pub service: ServiceId,
    /// Model, and adapter if any.
    pub choice: ModelChoice,
    /// Regions in which it may run.
    pub regions: AllowedRegions,
    /// Weight against other waiting requests: prompt tokens plus ten times the response tokens,
    /// 1,000 if these are unknown.
    pub worth: u32,
}

/// Another daemon, as known from its datagrams.
#[derive(Clone, Debug)]
pub struct KnownPeer {
    /// Address from which its last datagram came.
    pub address: SocketAddr,
    /// Incarnation of the daemon.
    pub incarnation: HostIncarnation,
    /// When its last datagram arrived.
    pub heard: ClockInstant,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether the store answers it and its configuration counts as the newest.
    pub fresh: bool,
    /// CPU capacity of its host, in thousandths of a core.
    pub processor: u32,
    /// Failure domain of its host; `None` until it has said so.
    pub domain: Option<DomainId>,
    /// Whether it reaches upstreams, by its last heartbeat.
    pub reach: ReachReport,
    /// When it last connected to an upstream.
    pub connected_at: Option<ClockInstant>,
}

/// The leader, as known to this host.
#[derive(Clone, Debug)]
pub struct KnownLeader {
    /// Host that holds the lease.
    pub host: HostId,
    /// State of the leader lease, as last announced.
    pub mark: LeaseMark,
    /// When its last heartbeat arrived.
    pub heard: ClockInstant,
}

/// What one host's daemon knows, guarded by one lock.
#[derive(Debug)]
pub struct HostState {
    /// Current values of the settings that may change.
    pub tuning: HostTuning,
    /// Newest known configuration.
    pub document: Option<Arc<RoutingDocument>>,
    /// Version of the configuration's row.
    pub document_version: RowVersion,
    /// Newest known version of that row, which may be one that cannot be used.
    pub configuration_row: ConfigurationRow,
    /// Newest configuration that this host or another one has used, or could not read.
    pub newest_configuration: ConfigurationMark,
    /// When this configuration was last confirmed as the newest, by the store itself or by the
    /// leader.
    pub document_confirmed_at: Option<ClockInstant>,
    /// When the store or the leader last showed which configuration is the newest, whether or not
    /// it can be used.
    pub configuration_shown_at: Option<ClockInstant>,
    /// Whether the last attempt to read the configuration from the store failed.
    pub configuration_fails: bool,
    /// When the known directory was last confirmed as current, by the store itself or by the
    /// leader.
    pub directory_confirmed_at: Option<ClockInstant>,
    /// When a call to the store last failed.
    pub store_failed_at: Option<ClockInstant>,
    /// Era of the store's last answer; `None` before the first one.
    pub store_era: Option<StoreEra>,
    /// When the store last answered.
    pub store_answered_at: Option<ClockInstant>,
    /// Offset between the store's clock and the local one.
    pub store_clock: StoreClock,
    /// The upstreams.
    pub directory: Directory,
    /// The teams' token buckets.
    pub buckets: TeamBuckets,
    /// Span of the shutdown; `None` before SIGTERM.
    pub stop: Option<StopSpan>,
    /// Times of the last runs, by service, type of route and model.
    pub run_times: RunTimes<RunGroup, Option<ModelId>>,
    /// How fast the upstreams are.
    pub paces: UpstreamPaces,
    /// Retry budgets, by service.
    pub retries: BTreeMap<ServiceId, RetryLimiter>,
    /// Number of this host's requests in flight, by upstream and model.
    pub running: BTreeMap<(UpstreamId, Option<ModelChoice>), u32>,
    /// Requests in flight at each upstream, from all hosts.
    pub room: RoomAccount,
    /// Number of requests that wait for room at an upstream.
    pub room_waiters: u32,
    /// Requests that wait for a runner to hold their model.
    pub waiting: Slab<WaitingRequest>,
    /// Number of requests since the last demand report, by service and model.
    pub arrivals: BTreeMap<(ServiceId, ModelChoice), u32>,
    /// Number of hosts in the fleet.
    pub fleet_size: FleetSize,
    /// Whether this host reaches upstreams.
    pub reach: UpstreamReach,
    /// Whether requests go to upstreams through other hosts, as this one is cut off.
    pub bypasses: bool,
    /// When other upstreams were last asked whether this host reaches any.
    pub witnesses_asked_at: Option<ClockInstant>,
    /// Other daemons, by host.
    pub peers: BTreeMap<HostId, KnownPeer>,
    /// The leader; `None` while none is known.
    pub leader: Option<KnownLeader>,
    /// When a leader last gave up its lease.
    pub leader_resigned_at: Option<ClockInstant>,
    /// Requests suspected of crashing upstreams, and those in flight.
    pub crashes: CrashTracker,
    /// Which software versions serve.
    pub versions: KnownVersions,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// When a request was last offered to an upstream with a rate limit although others could run
    /// it.
    pub limited_offers: BTreeMap<UpstreamId, ClockInstant>,
    /// Names of notices in upstreams' responses that the adapter does not understand.
    pub unknown_notices: BTreeSet<String>,
}

/// One host's daemon.
#[derive(Debug)]
pub struct Host {
    /// Settings read when the daemon started; [`HostState::tuning`] holds those that changed since.
    pub settings: HostSettings,
    /// Incarnation of this daemon.
    pub incarnation: HostIncarnation,
    /// When this daemon started.
    pub started: ClockInstant,
    /// Translations to and from the platform's wire format.
    pub wire: WireFormat,
    /// Services of the platform.
    pub platform: HostPlatform,
    /// Local clock; it also runs while the host is suspended.
    pub clock: ClockSource,
    /// Metrics of this daemon.
    pub metrics: GatewayMetrics,
    /// Wakes waiting requests when the models that runners hold may have changed.
    pub holdings_changed: Notify,
    /// Wakes the task that sends demand to the leader.
    pub demand_changed: Notify,
    /// Wakes the task that sends heartbeats.
    pub heartbeat_wanted: Notify,
    /// Wakes the configuration's follower to poll now, as there is a newer version.
    pub configuration_wanted: Notify,
    /// Wakes the directory's follower to poll now, as the directory changed or this host became the
    /// leader.
    pub directory_wanted: Notify,
    /// Wakes the leader's planning task.
    pub plan_wanted: Notify,
    /// Wakes the task that registers this host, as the store came back from an older copy.
    pub store_restored: Notify,
    /// Wakes the task that keeps the history of software versions.
    pub versions_wanted: Notify,
    /// Wakes requests that wait for a fresh history of software versions.
    pub versions_known: Notify,
    /// Wakes the task that writes where streams began to the store.
    pub archive_wanted: Notify,
    /// Cancelled on SIGTERM.
    pub leaving: CancellationToken,
    /// Cancelled when idle connections are to be closed; further requests are refused.
    pub closing: CancellationToken,
    /// Cancelled when no more connections are to be accepted.
    pub closed: CancellationToken,
    /// Cancelled when requests that are still in flight get an answer that says so.
    pub abandoned: CancellationToken,
    /// Tasks that serve connections and relay streams.
    pub tasks: TaskTracker,
    /// Socket for datagrams between daemons.
    pub socket: UdpSocket,
    /// This host's state as the leader or a candidate.
    pub leadership: SharedLeadership,
    /// Token grants requested from the leader or granted as the leader.
    pub grants: TokenGrants,
    /// Permits to send to upstreams with a rate limit.
    pub permits: SendPermits,
    /// Questions to other hosts where streams began.
    pub origin_questions: PendingQuestions<Option<StreamOrigin>>,
    /// When the store was last read for where streams began.
    pub archive_reading: ArchiveReading,
    /// Memory shared by responses that are being read completely.
    pub response_memory: ResponseMemory,
    /// Memory held for callers.
    pub caller_memory: Arc<CallerMemory>,
    /// Held while upstreams are asked whether this host reaches any.
    pub witness_turn: tokio::sync::Mutex<()>,
    /// Places for connections that this host passes on for others.
    pub tunnel_places: Mutex<TunnelPlaces>,
    state: Mutex<HostState>,
}

impl Host {
    /// Creates a daemon that knows nothing yet.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new(
        settings: HostSettings,
        incarnation: HostIncarnation,
        wire: WireFormat,
        platform: HostPlatform,
        clock: ClockSource,
        socket: UdpSocket,
    ) -> prometheus::Result<Self> {
        let room_seed = id_hash(settings.host.as_str().as_bytes());
        let state = HostState {
            tuning: settings.tuning.clone(),
            document: None,
            document_version: RowVersion::ABSENT,
            configuration_row: ConfigurationRow::default(),
            newest_configuration: ConfigurationMark::default(),
            document_confirmed_at: None,
            configuration_shown_at: None,
            configuration_fails: false,
            directory_confirmed_at: None,
            store_failed_at: None,
            store_era: None,
            store_answered_at: None,
            store_clock: StoreClock::default(),
            directory: Directory::of_regions(settings.regions.clone()),
            buckets: TeamBuckets::new(clock.now(), settings.first_start),
            stop: None,
            run_times: RunTimes::default(),
            paces: UpstreamPaces::default(),
            retries: BTreeMap::new(),
            running: BTreeMap::new(),
            room: RoomAccount::new(room_seed),
            room_waiters: 0,
            waiting: Slab::new(),
            arrivals: BTreeMap::new(),
            fleet_size: FleetSize::default(),
            reach: UpstreamReach::default(),
            bypasses: false,
            witnesses_asked_at: None,
            peers: BTreeMap::new(),
            leader: None,
            leader_resigned_at: None,
            crashes: CrashTracker::default(),
            versions: KnownVersions::default(),
            origins: StreamOrigins::default(),
            limited_offers: BTreeMap::new(),
            unknown_notices: BTreeSet::new(),
        };
        let metrics = GatewayMetrics::register()?;
        let bounds = BudgetBounds::of(settings.limits.memory, settings.limits.descriptors);
        let (yielded, held) = (metrics.memory_yielded.clone(), metrics.memory_held.clone());
        let caller_memory = CallerMemory::new(bounds, clock.clone(), yielded, held);
        let leadership =
            SharedLeadership::new(settings.host.clone(), incarnation, settings.leader_gap);
        Ok(Self {
            socket,
            leadership,
            grants: TokenGrants::default(),
            permits: SendPermits::default(),
            origin_questions: PendingQuestions::default(),
            archive_reading: ArchiveReading::default(),
            response_memory: ResponseMemory::new(bounds.collected),
            caller_memory: Arc::new(caller_memory),
            witness_turn: tokio::sync::Mutex::default(),
            tunnel_places: Mutex::new(TunnelPlaces::new(tunnels::places(bounds.connections))),
            settings,
            incarnation,
            started: clock.now(),
            wire,
            platform,
            clock,
            metrics,
            holdings_changed: Notify::new(),
            demand_changed: Notify::new(),
            heartbeat_wanted: Notify::new(),
            configuration_wanted: Notify::new(),
            directory_wanted: Notify::new(),
            plan_wanted: Notify::new(),
            store_restored: Notify::new(),
            versions_wanted: Notify::new(),
            versions_known: Notify::new(),
            archive_wanted: Notify::new(),
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            closed: CancellationToken::new(),
            abandoned: CancellationToken::new(),
            tasks: TaskTracker::new(),
            state: Mutex::new(state),
        })
    }

    /// Locks and returns the state. The lock must not be held across an await point.
    pub fn state(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current time of the local clock.
    pub fn now(&self) -> ClockInstant {
        self.clock.now()
    }

    /// Wakes requests that wait for room at an upstream, as there may be some.
    pub fn room_changed(&self) {
        if self.state().room_waiters > 0 {
            self.holdings_changed.notify_waiters();
        }
    }

    /// Returns this host's share of the fleet's retry limits.
    pub fn retry_limits(&self, state: &HostState) -> RetryLimits {
        let now = self.now();
        let hosts = state.fleet_size.hosts(now);
        let shown = hosts.and_then(|hosts| i64::try_from(hosts).ok()).unwrap_or(0);
        self.metrics.retry_hosts.set(shown);
        let HostTuning { retry_ratio: ratio, retry_slack: slack, retry_window: window, .. } =
            state.tuning;
        let knows_all = self.settings.first_start && state.fleet_size.hears_all_listed();
        let unsettled = now.since(self.started) < window && !knows_all;
        RetryLimits { ratio, slack, window }.part(hosts, unsettled)
    }
}

impl HostState {
    /// Returns whether the configuration counts as the newest.
    pub fn is_fresh(&self, now: ClockInstant) -> bool {
        let in_time = |seen: ClockInstant| now.since(seen) < self.tuning.freshness;
        self.document.is_some() && self.document_confirmed_at.is_some_and(in_time)
    }

    /// Returns the time since the configuration was last confirmed as the newest; `None` if it never
    /// was.
    pub fn document_age(&self, now: ClockInstant) -> Option<Duration> {
        self.document_confirmed_at.map(|seen| now.since(seen))
    }

    /// Returns whether requests on routes that are open to all may be handled by the configuration in
    /// use.
    pub fn may_serve_open(&self, now: ClockInstant) -> bool {
        let in_use = self.document.as_ref().map(|document| document.revision);
        let is_unreadable = matches!(self.configuration_row.fault, Some(RowFault::Unreadable(_)));
        let shown = self.configuration_shown_at.max(self.document_confirmed_at);
        let evidence = ConfigurationEvidence {
            confirmed: self.document_age(now),
            shown: shown.map(|at| now.since(at)),
            knows_newer: is_unreadable || in_use < Some(self.newest_configuration.revision),
            store_fails: self.configuration_fails,
        };
        evidence.allows_open(self.tuning.change_bound)
    }

    /// Returns the limits on requests and connections of callers.
    pub fn caller_limits(&self) -> CallerLimits {
        self.document.as_ref().map(|document| document.limits).unwrap_or_default()
    }

    /// Sets the teams' limits from the configuration and the tolerance settings.
    pub fn set_limits(&mut self, now: ClockInstant) {
        let Some(document) = &self.document else { return };
        let tolerance = self.tuning.tolerance;
        let limits = document.teams.iter().map(|team| {
            let limit =
                if team.counts_tokens { team.limit.with_tolerance(tolerance) } else { team.limit };
            (team.name.clone(), limit)
        });
        self.buckets.set_limits(now, limits);
    }

    /// Returns the memory that an upstream of `service` has for the tokens of its requests; `None`
    /// if the configuration does not state it or the settings do not ask to keep to it.
    pub fn request_memory(&self, service: &ServiceId) -> Option<TokenCount> {
        if !self.tuning.limits_room {
            return None;
        }
        self.document.as_ref()?.services.get(service)?.models.as_ref()?.request_memory
    }

    /// Returns whether the last call to the store succeeded.
    pub fn reaches_store(&self) -> bool {
        self.store_answered_at >= self.store_failed_at
    }

    /// Records that the configuration in use was the newest at `seen`, unless a newer one is known
    /// to be in force.
    pub fn confirm_document(&mut self, seen: Option<ClockInstant>) {
        let in_use = self.document.as_ref().map(|document| document.revision);
        if in_use.is_some_and(|revision| revision >= self.newest_configuration.revision) {
            self.document_confirmed_at = self.document_confirmed_at.max(seen);
        }
    }

    /// Records a configuration that exists or existed.
    pub fn note_revision(&mut self, mark: ConfigurationMark) {
        if mark.revision > self.newest_configuration.revision {
            self.newest_configuration = mark;
        }
    }

    /// Returns whether the configuration in use comes from a copy that the store was restored from,
    /// while another host has used a newer one before.
    pub fn uses_restored_document(&self) -> bool {
        let newest = self.newest_configuration;
        let in_use = self.document.as_ref().map(|document| document.revision);
        in_use < Some(newest.revision) && newest.version.era < self.document_version.era
    }

    /// Returns what the store last showed; `None` if nothing is known or its time cannot be
    /// converted to the store's clock.
    pub fn observation(&self) -> Option<StoreObservation> {
        Some(StoreObservation {
            era: self.store_era?,
            configuration: self.configuration_row.version,
            configuration_at: self.store_clock.to_store(self.document_confirmed_at?)?,
            directory: self.directory.digest(),
            directory_at: self.store_clock.to_store(self.directory_confirmed_at?)?,
        })
    }

    /// Forgets what hosts that are gone had in flight.
    pub fn sweep_room(&mut self, now: ClockInstant) {
        let Self { room, peers, .. } = self;
        let silence = HeartbeatPace::of(peers.len()).silence_timeout;
        room.sweep(now, silence, |host| peers.contains_key(host));
    }

    /// Tells the quarantine where this host, `own`, stands among the live ones.
    pub fn set_fleet_position(&mut self, own: &HostId) {
        let live = || self.peers.iter().filter(|(_, peer)| !peer.leaving);
        let rank = live().filter(|(name, _)| *name < own).count();
        let hosts = live().count() + 1;
        self.crashes.set_position(FleetPosition { rank, hosts });
    }

    /// Returns this host's demand for models by service, and resets the arrival counts.
    pub fn take_demand(&mut self) -> Vec<(ServiceId, HostDemand)> {
        let mut demands: BTreeMap<ServiceId, HostDemand> = BTreeMap::new();
        let mut waits: BTreeMap<_, (u32, u32)> = BTreeMap::new();
        for (_, waiting) in &self.waiting {
            let key = (&waiting.service, &waiting.choice, &waiting.regions);
            let entry = waits.entry(key).or_default();
            *entry = (entry.0 + 1, entry.1.saturating_add(waiting.worth));
        }
        for ((service, choice, regions), (count, worth)) in waits {
            demands.entry(service.clone()).or_default().waiting.push(WaitingModel {
                model: choice.model.clone(),
                adapter: choice.adapter.clone(),
                regions: regions.clone(),
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
}
