//! Starts and stops the fleet side of one daemon: transport, gossip, membership, configuration.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use dotterellane_decisions::freshness::FreshnessEvidence;
use dotterellane_decisions::rounds::ROUND_PERIOD;
use dotterellane_platform::{HostList, ObjectStore, PlatformTable, TableTransaction};
use dotterellane_protocol::{LogBody, LogEntry, LogHeads, MemberId, MemberRecord};
use dotterellane_units::{ClockSource, DomainId, HostId, HostIncarnation, RequestId};
use prometheus::Registry;
use thiserror::Error;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::control::{AppendError, ControlServices, FleetControl};
use crate::control_metrics::ControlMetrics;
use crate::log_store::{LogError, LogStore, bounded, decode};
use crate::members::{JOIN_PERIOD, REMOVAL_PERIOD, member_key};
use crate::transport::{InboxKind, PeerTransport};
use crate::{
    AdministrationPorts, ConfigurationFeed, ConfigurationSnapshot, FleetPorts, MemberFeed,
    PeerInbox, PeerSender, TimerService, TimerSubscription,
};

/// Identity and addresses of a daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address to receive datagrams of peers on; with port 0 the chosen port is advertised.
    pub peers: SocketAddr,
    /// Secret shared by all daemons of the fleet; datagrams are sealed with a key derived from it.
    pub secret: Vec<u8>,
}

/// Clients of the platform's services.
#[derive(Clone, Debug)]
pub struct NodePlatform {
    /// Transactional table, which holds the log of changes and member rows.
    pub table: PlatformTable,
    /// Object store, which holds snapshots of the log.
    pub objects: ObjectStore,
    /// List of live and leaving hosts, which lags.
    pub hosts: HostList,
}

/// Why the fleet side of a daemon did not start.
#[derive(Debug)]
#[derive(Error)]
pub enum NodeError {
    /// The socket cannot be used, or a metric of the transport is registered already.
    #[error("listen for peers at {address}: {cause}")]
    Socket {
        /// Address that the socket was to be bound to.
        address: SocketAddr,
        /// Underlying error.
        cause: io::Error,
    },
    /// A metric of the same name is registered already.
    #[error("register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The running fleet side of one daemon; it stops when dropped.
pub struct FleetNode {
    /// Ports for the code that serves callers. Only freshness is connected; shares and dispatch are
    /// attached by [`FleetPorts::with_shares`] and [`FleetPorts::with_dispatch`].
    pub ports: FleetPorts,
    /// Ports for the operators' API.
    pub administration: AdministrationPorts,
    /// Sends messages to the other daemons and to this one.
    pub sender: PeerSender,
    /// Newest member view of this daemon.
    pub members: MemberFeed,
    /// Log positions that this daemon has applied, knows of, and knows to be in force.
    pub heads: watch::Receiver<LogHeads>,
    /// Host and incarnation of this daemon.
    pub member_id: MemberId,
    /// Address that this daemon receives datagrams of peers on.
    pub address: SocketAddr,
    pub(crate) control: Arc<FleetControl>,
    inboxes: Mutex<BTreeMap<InboxKind, PeerInbox>>,
    subscriptions: Vec<TimerSubscription>,
    stopped: CancellationToken,
}

/// Starts the fleet side of one daemon.
///
/// If the table answers, the log has been applied up to its head when this returns.
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
    let member_id = MemberId { host: settings.host, incarnation };
    let stopped = CancellationToken::new();
    let socket = |cause| NodeError::Socket { address: settings.peers, cause };
    let started = PeerTransport::start(
        member_id.clone(),
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
    let record = MemberRecord { id: member_id.clone(), domain: settings.domain, address };
    let control = Arc::new(FleetControl::new(record, services, rand::random()));
    if let Some(inbox) = inboxes.remove(&InboxKind::Gossip) {
        let receiving = control.clone().receive(inbox);
        let stopped = stopped.clone();
        tokio::spawn(async move { stopped.run_until_cancelled(receiving).await });
    }
    control.catch_up_at_start().await;
    let reader = control.clone();
    Ok(FleetNode {
        ports: FleetPorts::new(clock, configuration).with_freshness(move || reader.freshness()),
        administration: control.administration(),
        sender: transport.sender(),
        members: control.members.subscribe(),
        heads: control.heads.subscribe(),
        member_id,
        address,
        subscriptions: subscribe(&control, timers),
        control,
        inboxes: Mutex::new(inboxes),
        stopped,
    })
}

impl FleetNode {
    /// Takes the inbox of one kind of message; returns `None` if it was taken before.
    pub fn take_inbox(&self, kind: InboxKind) -> Option<PeerInbox> {
        self.inboxes.lock().unwrap_or_else(PoisonError::into_inner).remove(&kind)
    }

    /// Appends an entry of a kind that the log itself does not interpret.
    ///
    /// Every daemon applies the entry's `kind` and `content`; `extra` is committed in the same
    /// transaction. Calling again with the same `change` returns the first entry. The change is in
    /// force once the position in force in [`FleetNode::heads`] has reached the entry's position.
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

    /// Returns a function that tells whether this daemon's freshness currently comes from a recent
    /// read of the table, by itself or a peer. Without one it can still be fresh by a quorum of
    /// members.
    pub fn table_reachability(&self) -> impl Fn() -> bool + Send + Sync + use<> {
        let control = self.control.clone();
        move || {
            let now = control.clock.now();
            control.state().gossip.freshness.evidence(now) == FreshnessEvidence::Table
        }
    }

    /// Marks this daemon as leaving and tries to remove it from the member list; it goes on
    /// applying the log and answering peers.
    pub async fn leave(&self) {
        self.control.leave().await;
    }

    /// Stops the fleet side of this daemon without leaving the member list.
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
    /// Catches up with the head of the log. A failure is only logged: gossip rounds try again.
    async fn catch_up_at_start(self: &Arc<Self>) {
        let asked_at = self.clock.now();
        let caught_up: Result<(), LogError> = async {
            let reading = self.store.read_head(None).await?;
            self.note_table_read(asked_at, reading.head);
            self.catch_up(reading.head.newest).await
        }
        .await;
        if let Err(error) = caught_up {
            self.metrics.platform_errors.inc();
            spdlog::warn!("{error}");
        }
    }
}

fn subscribe(control: &Arc<FleetControl>, timers: &TimerService) -> Vec<TimerSubscription> {
    let (rounds, joins, removals) = (control.clone(), control.clone(), control.clone());
    vec![
        timers.subscribe(ROUND_PERIOD, move || rounds.round()),
        timers.subscribe(JOIN_PERIOD, move || joins.ensure_joined()),
        timers.subscribe(REMOVAL_PERIOD, move || removals.remove_absent()),
    ]
}

/// Returns the milliseconds since the Unix epoch as an incarnation, so that a daemon started later
/// on the same host has a higher one.
fn clock_incarnation() -> HostIncarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    HostIncarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the incarnation in the member row of `host`, 0 if there is none. The host's clock may
/// have been set back since that daemon started, so the clock alone does not ensure a higher one.
async fn listed_incarnation(table: &PlatformTable, host: &HostId) -> HostIncarnation {
    let rows = bounded("read member", table.read(vec![member_key(host)])).await;
    let rows = rows.unwrap_or_default();
    let record = rows.first().and_then(|row| decode::<MemberRecord>("read member", row).ok());
    record.map_or(HostIncarnation(0), |record| record.id.incarnation)
}
