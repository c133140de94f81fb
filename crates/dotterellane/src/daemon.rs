//! Starts and stops a daemon: fleet node, team shares, placement, and the servers for callers and
//! operators.

use std::net::SocketAddr;
use std::sync::Arc;

use dotterellane_admin::{AdminOptions, AdminServer};
use dotterellane_entry::{EntryContext, EntryLimits, TlsIdentity};
use dotterellane_fleet::placement::{OrdersFactory, PlacementParts, PlacementRuntime};
use dotterellane_fleet::share_slots::SlotLog;
use dotterellane_fleet::shares::{RunningShares, ShareParts, start_shares};
use dotterellane_fleet::{
    AdministrationPorts, FleetNode, FleetPorts, InboxKind, MemberFeed, NodePlatform, NodeSettings,
    PeerInbox, TimerService, boot_clock, node,
};
use dotterellane_settings::daemon::TlsSettings;
use miette::{IntoDiagnostic, WrapErr, miette};
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{crash_reports, overview};

/// Configuration and dependencies of a daemon.
pub struct DaemonOptions {
    /// Address to listen on for callers; port 0 lets the system choose.
    pub entry: SocketAddr,
    /// Options of the server for operators.
    pub admin: AdminOptions,
    /// Host name, failure domain, address for peers and fleet secret.
    pub node: NodeSettings,
    /// Clients of the platform's services.
    pub platform: NodePlatform,
    /// Creates the client of a runner's control interface.
    pub orders: OrdersFactory,
    /// Limits on the resources and time that callers and upstreams may use.
    pub limits: EntryLimits,
    /// Certificate for callers; `None` serves plain HTTP.
    pub tls: Option<TlsSettings>,
}

/// A running daemon. Dropping it stops the daemon without leaving the fleet; call
/// [`stop`](Self::stop) for an orderly shutdown.
pub struct DaemonHandle {
    /// Address that the daemon listens on for callers.
    pub entry: SocketAddr,
    /// Calls that operators make to the fleet.
    pub administration: AdministrationPorts,
    /// Fleet members as this daemon sees them.
    pub members: MemberFeed,
    /// Calls to the fleet from the server for callers.
    pub ports: FleetPorts,
    /// Registry of the daemon's metrics.
    pub registry: Registry,
    admin: AdminServer,
    node: FleetNode,
    placement: PlacementRuntime,
    timers: TimerService,
    shutdown: DropGuard,
    serve_task: JoinHandle<std::io::Result<()>>,
    _shares: RunningShares,
}

impl DaemonHandle {
    /// Returns the address that the daemon listens on for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    /// Finishes in-flight requests, releases runner leases, leaves the fleet and stops.
    ///
    /// # Errors
    /// Fails if the server for callers or the one for operators failed.
    pub async fn stop(self) -> miette::Result<()> {
        // From here on the daemon reports that it is not ready. It still accepts connections for
        // `EntryLimits::shutdown_delay`, until load balancers send callers elsewhere.
        drop(self.shutdown);
        let served = self.serve_task.await.into_diagnostic()?;
        served.into_diagnostic().wrap_err("serving callers")?;
        self.placement.release_leases().await;
        self.node.leave().await;
        self.admin.close().await.into_diagnostic()?;
        self.timers.stop();
        self.node.shutdown();
        Ok(())
    }
}

/// Starts a daemon.
///
/// # Errors
/// Fails if it cannot listen on an address, start a part of the daemon or load its certificate.
pub async fn start(options: DaemonOptions) -> miette::Result<DaemonHandle> {
    // The operators' server uses the process-wide crypto provider. Installing it fails if another
    // daemon in this process has done so, which is fine.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let listener = TcpListener::bind(options.entry)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("listening for callers on {}", options.entry))?;
    let entry = listener.local_addr().into_diagnostic()?;
    let (registry, timers) = (Registry::new(), TimerService::default());
    let host = options.node.host.clone();
    let platform = options.platform;
    let started = node::start(options.node, platform.clone(), boot_clock(), &timers, &registry);
    let node = started.await.into_diagnostic()?;
    let shares = start_team_shares(&node, &platform, &timers, &registry)?;
    let placement = start_placement(&node, &platform, &timers, options.orders)?;
    let ports = node.ports.clone().with_shares(shares.charge_call(), shares.refund_call());
    let ports = placement.attach(ports);
    let administration = node.administration.clone();
    let overview = overview::reader(node.members.clone(), ports.clone(), node.table_reachability());
    let admin = dotterellane_admin::serve(
        options.admin,
        administration.clone(),
        overview,
        registry.clone(),
    )
    .into_diagnostic()?;
    let context = EntryContext::new(ports.clone(), platform.table, host);
    let mut context = context.with_limits(options.limits);
    context.crashes = crash_reports::start_sharing(&node)?;
    if let Some(tls) = options.tls {
        context = context.with_tls(TlsIdentity::load(tls).into_diagnostic()?);
    }
    let shutdown = CancellationToken::new();
    let serving = dotterellane_entry::serve(listener, context, shutdown.clone());
    Ok(DaemonHandle {
        entry,
        administration,
        members: node.members.clone(),
        ports,
        registry,
        admin,
        node,
        placement,
        timers,
        shutdown: shutdown.drop_guard(),
        serve_task: tokio::spawn(serving),
        _shares: shares,
    })
}

fn start_team_shares(
    node: &FleetNode,
    platform: &NodePlatform,
    timers: &TimerService,
    registry: &Registry,
) -> miette::Result<RunningShares> {
    let slots = SlotLog::new(node);
    let reader = slots.clone();
    let parts = ShareParts {
        owner: node.member_id.clone(),
        timings: Default::default(),
        clock: node.ports.clock.clone(),
        configuration: node.ports.configuration.clone(),
        members: node.members.clone(),
        table: platform.table.clone(),
        sender: node.sender.clone(),
        inbox: take_inbox(node, InboxKind::Shares)?,
        timers: timers.clone(),
        status: Arc::new(move || reader.status()),
        append: Arc::new(move |change| Box::pin(slots.clone().append(change))),
        registry: registry.clone(),
    };
    start_shares(parts).into_diagnostic().wrap_err("starting team shares")
}

fn start_placement(
    node: &FleetNode,
    platform: &NodePlatform,
    timers: &TimerService,
    orders: OrdersFactory,
) -> miette::Result<PlacementRuntime> {
    Ok(PlacementRuntime::start(PlacementParts {
        host: node.member_id.host.clone(),
        incarnation: node.member_id.incarnation,
        clock: node.ports.clock.clone(),
        timers: timers.clone(),
        configuration: node.ports.configuration.clone(),
        members: node.members.clone(),
        table: platform.table.clone(),
        peers: node.sender.clone(),
        dispatch_inbox: take_inbox(node, InboxKind::Dispatch)?,
        placement_inbox: take_inbox(node, InboxKind::Placement)?,
        orders,
    }))
}

/// Takes the inbox for messages of `kind` from peers, which only one task can read.
///
/// # Errors
/// Fails if it has been taken.
pub(crate) fn take_inbox(node: &FleetNode, kind: InboxKind) -> miette::Result<PeerInbox> {
    node.take_inbox(kind).ok_or_else(|| miette!("the {kind:?} inbox has already been taken"))
}
