//! One daemon, put together from its parts.

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

use crate::{crashes, overview};

/// What a daemon is put together from.
pub struct DaemonOptions {
    /// Address for callers; port 0 lets the system choose.
    pub entry: SocketAddr,
    /// How operators are served.
    pub admin: AdminOptions,
    /// Host, failure domain, address for peers and fleet secret.
    pub node: NodeSettings,
    /// The platform's services.
    pub platform: NodePlatform,
    /// Makes the control interface of a runner.
    pub orders: OrdersFactory,
    /// Bounds on what one caller or upstream can take.
    pub limits: EntryLimits,
    /// Certificate for callers; plain HTTP without it.
    pub tls: Option<TlsSettings>,
}

/// A running daemon; dropped, it stops without leaving the fleet in good order.
pub struct DaemonHandle {
    /// Address that callers reach it at.
    pub entry: SocketAddr,
    /// What operators ask of the fleet.
    pub administration: AdministrationPorts,
    /// The members as the daemon sees them.
    pub members: MemberFeed,
    /// The fleet as the entry sees it.
    pub ports: FleetPorts,
    /// Metrics of the daemon.
    pub registry: Registry,
    admin: AdminServer,
    node: FleetNode,
    placement: PlacementRuntime,
    timers: TimerService,
    shutdown: DropGuard,
    serving: JoinHandle<std::io::Result<()>>,
    _shares: RunningShares,
}

impl DaemonHandle {
    /// Returns the address that operators reach it at.
    pub fn admin(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    /// Leaves the fleet, finishes the requests that run, and ends.
    ///
    /// # Errors
    /// Fails if a server had failed.
    pub async fn stop(self) -> miette::Result<()> {
        // The health check fails from here on; callers are served until the balancer has moved on.
        drop(self.shutdown);
        let served = self.serving.await.into_diagnostic()?;
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
/// Fails if an address cannot be listened on.
pub async fn start(options: DaemonOptions) -> miette::Result<DaemonHandle> {
    // The operators' server takes the process's provider; a second daemon finds it installed.
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
    let shares = run_shares(&node, &platform, &timers, &registry)?;
    let placement = run_placement(&node, &platform, &timers, options.orders)?;
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
    context.crashes = crashes::share(&node)?;
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
        serving: tokio::spawn(serving),
        _shares: shares,
    })
}

fn run_shares(
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

fn run_placement(
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

pub(crate) fn take_inbox(node: &FleetNode, kind: InboxKind) -> miette::Result<PeerInbox> {
    node.take_inbox(kind).ok_or_else(|| miette!("the inbox {kind:?} is taken already"))
}
