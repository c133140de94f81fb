//! Starts the control of one daemon: transport, gossip, members, configuration.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use dotterellane_decisions::freshness::FreshnessEvidence;
use dotterellane_decisions::rounds::ROUND_PERIOD;
use dotterellane_platform::{HostList, ObjectStore, PlatformTable, TableTransaction};
use dotterellane_protocol::{LogBody, LogEntry, LogHeads, MemberRecord, MemberSeat};
use dotterellane_units::{ClockSource, DomainId, HostId, HostIncarnation, RequestId};
use prometheus::Registry;
use thiserror::Error;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::control::{AppendError, ControlServices, FleetControl};
use crate::control_metrics::ControlMetrics;
use crate::log_store::{LogError, LogStore, bounded, decode};
use crate::members::{JOIN_PERIOD, TEND_PERIOD, member_key};
use crate::transport::{InboxKind, PeerTransport};
use crate::{
    AdministrationPorts, ConfigurationFeed, ConfigurationSnapshot, FleetPorts, MemberFeed,
    PeerInbox, PeerSender, TimerService, TimerSubscription,
};

/// What a daemon is told of itself.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Where to receive datagrams; with port 0 the bound port is advertised.
    pub peers: SocketAddr,
    /// Secret shared by all daemons of the fleet.
    pub secret: Vec<u8>,
}

/// The platform's services that a daemon uses.
#[derive(Clone, Debug)]
pub struct NodePlatform {
    /// Transactional table.
    pub table: PlatformTable,
    /// Object store.
    pub objects: ObjectStore,
    /// List of live and leaving hosts.
    pub hosts: HostList,
}

/// Why a daemon's control did not start.
#[derive(Debug)]
#[derive(Error)]
pub enum NodeError {
    /// The socket cannot be used, or a metric is registered already.
    #[error("listen for peers at {address}: {cause}")]
    Socket {
        /// Address that was to be bound.
        address: SocketAddr,
        /// What was seen.
        cause: io::Error,
    },
    /// A metric is registered already.
    #[error("register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The control of one running daemon.
pub struct FleetNode {
    /// What the entry asks; freshness is set.
    pub ports: FleetPorts,
    /// What the operators' side asks.
    pub administration: AdministrationPorts,
    /// Reaches the other daemons and this one.
    pub sender: PeerSender,
    /// The members as this daemon sees them.
    pub members: MemberFeed,
    /// How far the log is followed, known and in force.
    pub heads: watch::Receiver<LogHeads>,
    /// This daemon's seat.
    pub member_id: MemberSeat,
    /// Where this daemon receives datagrams.
    pub address: SocketAddr,
    pub(crate) control: Arc<FleetControl>,
    inboxes: Mutex<BTreeMap<InboxKind, PeerInbox>>,
    subscriptions: Vec<TimerSubscription>,
    stopped: CancellationToken,
}

/// Starts the control of one daemon; it follows the log before it returns, if the table answers.
///
/// # Errors
/// Fails if the socket cannot be bound or a metric is registered already.
pub async fn start(
    settings: NodeSettings,
    platform: NodePlatform,
    clock: ClockSource,
    timers: &TimerService,
    registry: &Registry,
) -> Result<FleetNode, NodeError> {
    let incarnation = listed_incarnation(&platform.table, &settings.host).await.next();
    let incarnation = incarnation.max(clock_incarnation());
    let seat = MemberSeat { host: settings.host, incarnation };
    let stopped = CancellationToken::new();
    let socket = |cause| NodeError::Socket { address: settings.peers, cause };
    let started = PeerTransport::start(
        seat.clone(),
        settings.peers,
        &settings.secret,
        registry,
        stopped.clone(),
    );
    let (transport, mut inboxes) = started.await.map_err(socket)?;
    let address = transport.address().map_err(socket)?;
    let configuration = ConfigurationFeed::new(ConfigurationSnapshot::default());
    let services = ControlServices {
        clock: clock.clone(),
        transport: transport.clone(),
        store: LogStore::new(platform.table, platform.objects),
        hosts: platform.hosts,
        configuration: configuration.clone(),
        metrics: ControlMetrics::register(registry)?,
    };
    let record = MemberRecord { seat: seat.clone(), domain: settings.domain, address };
    let control = Arc::new(FleetControl::new(record, services, rand::random()));
    if let Some(inbox) = inboxes.remove(&InboxKind::Gossip) {
        let receiving = control.clone().receive(inbox);
        let stopped = stopped.clone();
        tokio::spawn(async move { stopped.run_until_cancelled(receiving).await });
    }
    control.follow_table().await;
    let reader = control.clone();
    Ok(FleetNode {
        ports: FleetPorts::new(clock, configuration).with_freshness(move || reader.freshness()),
        administration: control.administration(),
        sender: transport.sender(),
        members: control.members.subscribe(),
        heads: control.heads.subscribe(),
        member_id: seat,
        address,
        subscriptions: subscribe(&control, timers),
        control,
        inboxes: Mutex::new(inboxes),
        stopped,
    })
}

impl FleetNode {
    /// Takes the inbox of one part of the daemon; `None` the second time.
    pub fn take_inbox(&self, kind: InboxKind) -> Option<PeerInbox> {
        self.inboxes.lock().unwrap_or_else(PoisonError::into_inner).remove(&kind)
    }

    /// Appends other hard state to the log; once, also if repeated with the same `change`.
    ///
    /// `kind` and `content` tell the followers what changed; `extra` is committed with the entry.
    /// The change is in force once [`FleetNode::heads`] says so of the entry's position.
    ///
    /// # Errors
    /// Fails if the table does not answer; the entry may have been appended.
    pub async fn append(
        &self,
        change: RequestId,
        kind: &str,
        content: Vec<u8>,
        extra: TableTransaction,
    ) -> Result<LogEntry, AppendError<()>> {
        let appended = self.control.append(change, |_| {
            let body = LogBody::Other { kind: kind.to_owned(), content: content.clone() };
            Ok((body, extra.clone()))
        });
        appended.await
    }

    /// Returns what tells whether evidence of the table, read here or by a peer, reaches this
    /// daemon now; a daemon may be fresh without it.
    pub fn table_reachability(&self) -> impl Fn() -> bool + Send + Sync + use<> {
        let control = self.control.clone();
        move || {
            let now = control.clock.now();
            control.state().gossip.freshness.evidence(now) == FreshnessEvidence::Table
        }
    }

    /// Says that this daemon leaves, and has its seat removed; it still follows and answers.
    pub async fn leave(&self) {
        self.control.leave().await;
    }

    /// Stops the control of this daemon.
    pub fn shutdown(mut self) {
        self.subscriptions.clear();
        self.stopped.cancel();
    }
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.stopped.cancel();
    }
}

impl FleetControl {
    /// Reads the head of the log and follows up to it; what fails is repeated by the rounds.
    async fn follow_table(self: &Arc<Self>) {
        let asked_at = self.clock.now();
        let followed: Result<(), LogError> = async {
            let reading = self.store.read_head(None).await?;
            self.learn_table(asked_at, reading.head);
            self.catch_up(reading.head.newest).await
        }
        .await;
        if let Err(error) = followed {
            self.metrics.platform_errors.inc();
            spdlog::warn!("{error}");
        }
    }
}

fn subscribe(control: &Arc<FleetControl>, timers: &TimerService) -> Vec<TimerSubscription> {
    let (rounds, joins, tending) = (control.clone(), control.clone(), control.clone());
    vec![
        timers.subscribe(ROUND_PERIOD, move || rounds.round()),
        timers.subscribe(JOIN_PERIOD, move || joins.keep_joined()),
        timers.subscribe(TEND_PERIOD, move || tending.tend()),
    ]
}

/// Returns the milliseconds since the Unix epoch: later daemons on a host have a higher number.
fn clock_incarnation() -> HostIncarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    HostIncarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the incarnation that is listed for `host`: a clock may have been set back since.
async fn listed_incarnation(table: &PlatformTable, host: &HostId) -> HostIncarnation {
    let rows = bounded("read member", table.read(vec![member_key(host)])).await;
    let rows = rows.unwrap_or_default();
    let record = rows.first().and_then(|row| decode::<MemberRecord>("read member", row).ok());
    record.map_or(HostIncarnation(0), |record| record.seat.incarnation)
}
