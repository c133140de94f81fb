//! Whether this host reaches upstreams, and whether the other hosts do.
//!
//! A connection that fails may show that the upstream is down or that this host is cut off. Three
//! other upstreams are asked then; while the host counts as cut off, one upstream after the other is
//! probed until a connection is established, and requests go through other hosts that reach upstreams.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_units::{ClockInstant, UpstreamId};
use dotterellane_upstream::connect::connect_tcp;
use futures::future::join_all;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::exchange::{self, ConnectFailure, ExchangeError};
use crate::permits::SendTarget;
use crate::state::{Host, HostState, KnownPeer};
use crate::tunnels::{TunnelStream, open_tunnel};

/// Number of other upstreams that are asked whether this host is cut off.
const WITNESSES: usize = 3;

/// Minimum time between two rounds of asking them.
const WITNESS_INTERVAL: Duration = Duration::from_millis(300);

/// Age from which a connection shows nothing about now.
const EVIDENCE_AGE: Duration = Duration::from_millis(300);

/// Time after which connecting takes longer than it should.
const SLOW_CONNECT: Duration = Duration::from_millis(250);

/// Interval at which a request that waits for a connection looks for another way.
const BYPASS_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which a live upstream accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two probes while this host counts as cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

const NANOS_PER_MILLI: u64 = 1_000_000;

/// What a host tells others of its reach.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReachReport {
    /// Whether it counts as cut off from all upstreams.
    pub cut_off: bool,
    /// Time since it last connected to an upstream, in milliseconds; `None` if it never did.
    pub connected_ms: Option<u32>,
}

impl ReachReport {
    /// Returns what this host tells others; `state` is its own.
    pub fn of(state: &HostState, now: ClockInstant) -> Self {
        let connected = state.reach.connected_at().map(|at| now.since(at).as_millis());
        Self {
            cut_off: state.reach.cut_off_at().is_some(),
            connected_ms: connected.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX)),
        }
    }

    /// Returns when the host that sent this last connected to an upstream.
    pub fn connected_at(&self, now: ClockInstant) -> Option<ClockInstant> {
        let span = u64::from(self.connected_ms?) * NANOS_PER_MILLI;
        Some(ClockInstant(now.0.saturating_sub(span)))
    }
}

/// Which way a call may take to its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendWay {
    /// From this host alone: upstreams tell the leader by its address.
    Direct,
    /// Through another host, while this one is cut off.
    AnyHost,
}

/// A connection to an upstream.
#[derive(Debug)]
pub enum UpstreamLink {
    /// From this host.
    Direct(TcpStream),
    /// Through another host.
    Tunnel(TunnelStream),
}

/// Connects to an upstream; through another host if this one is cut off and `way` allows it.
///
/// # Errors
/// Fails if no connection is established within `span` and the timeout for connections.
pub async fn connect(
    host: &Arc<Host>,
    target: &SendTarget,
    span: Duration,
    way: SendWay,
) -> Result<UpstreamLink, ExchangeError> {
    let may_bypass = way == SendWay::AnyHost;
    if may_bypass && host.state().bypasses {
        return open_tunnel(host, target, span).await.map(UpstreamLink::Tunnel);
    }
    let started = host.now();
    let mut connecting = pin!(exchange::connect(target.address, span));
    let connected = tokio::select! {
        connected = &mut connecting => Some(connected),
        () = watch_for_cut(host, &target.upstream), if may_bypass => None,
    };
    let Some(connected) = connected else {
        let left = span.saturating_sub(host.now().since(started));
        return open_tunnel(host, target, left).await.map(UpstreamLink::Tunnel);
    };
    let failure = match &connected {
        Err(ExchangeError::NotSent { failure, .. }) => Some(*failure),
        Ok(_) | Err(_) => None,
    };
    note_connect(host, &target.upstream, failure);
    connected.map(UpstreamLink::Direct)
}

/// Returns once this host sends through others; asks other upstreams if that takes longer than a
/// connection should.
async fn watch_for_cut(host: &Arc<Host>, upstream: &UpstreamId) {
    sleep(SLOW_CONNECT).await;
    ask_witnesses(host, upstream).await;
    while !host.state().bypasses {
        sleep(BYPASS_INTERVAL).await;
    }
}

/// Decides anew whether requests go through other hosts; `state` is that of `host`.
pub fn update_bypass(host: &Host, state: &mut HostState) {
    let bypasses = state.is_cut_off(host.now());
    if std::mem::replace(&mut state.bypasses, bypasses) == bypasses {
        return;
    }
    spdlog::info!("way to upstreams changed", kv: {
        host = host.settings.host.as_str(),
        through_others = bypasses,
    });
    // Upstreams that were not reached one way may be the other way.
    state.directory.forget_unreachable();
    host.holdings_changed.notify_waiters();
}

/// Records the result of connecting to an upstream; asks others if it failed.
pub fn note_connect(host: &Arc<Host>, upstream: &UpstreamId, failure: Option<ConnectFailure>) {
    match failure {
        None => note_connected(host, upstream),
        Some(ConnectFailure::Unrelated) => {}
        Some(ConnectFailure::Refused | ConnectFailure::Unanswered) => {
            note_failed(host, upstream);
            let (host, upstream) = (host.clone(), upstream.clone());
            tokio::spawn(async move { ask_witnesses(&host, &upstream).await });
        }
    }
}

fn note_connected(host: &Host, upstream: &UpstreamId) {
    let was_cut_off = {
        let mut state = host.state();
        let was_cut_off = state.reach.note_connected(host.now(), upstream);
        update_bypass(host, &mut state);
        was_cut_off
    };
    if was_cut_off {
        spdlog::info!("upstreams are reached again", kv: { host = host.settings.host.as_str() });
        host.metrics.cut_off.set(0);
        host.heartbeat_wanted.notify_one();
    }
}

fn note_failed(host: &Arc<Host>, upstream: &UpstreamId) {
    let is_cut_off = {
        let mut state = host.state();
        let listed = state.directory.iter().count();
        let is_cut_off = state.reach.note_failed(host.now(), upstream, listed);
        update_bypass(host, &mut state);
        is_cut_off
    };
    if is_cut_off {
        spdlog::warn!("no upstream is reached", kv: { host = host.settings.host.as_str() });
        host.metrics.cut_off.set(1);
        host.heartbeat_wanted.notify_one();
        tokio::spawn(probe_until_reached(host.clone()));
    }
}

/// Returns whether `upstream`, to which connecting failed, is down, so that this may be told to
/// others; not if this host is cut off.
pub async fn is_down(host: &Arc<Host>, upstream: &UpstreamId) -> bool {
    let failed_at = host.now();
    {
        let _turn = host.witness_turn.lock().await;
        let asked_at = host.state().witnesses_asked_at;
        // What others asked since the failure answers for this one, too.
        if asked_at.is_none_or(|at| at < failed_at) {
            probe_some(host, |name| name != upstream).await;
        }
    }
    let others_word = {
        let state = host.state();
        if !state.reach.is_in_doubt() || state.peers.is_empty() {
            return true;
        }
        HeartbeatPace::of(state.peers.len()).silence_timeout
    };
    // Until then, hosts that reach upstreams have said so.
    sleep(others_word).await;
    !host.state().bypasses
}

/// Handles that another host counts as cut off: it can only tell that from an outage of all upstreams
/// if this one, which may be idle, has connected to one since.
pub fn on_cut_off_peer(host: &Arc<Host>) {
    let now = host.now();
    let (cut_off_at, connected_at) = {
        let reach = &host.state().reach;
        (reach.cut_off_at(), reach.connected_at())
    };
    // A host that is cut off itself probes anyway.
    if cut_off_at.is_none() && connected_at.is_none_or(|at| now.since(at) >= EVIDENCE_AGE) {
        let host = host.clone();
        tokio::spawn(async move { ask_some(&host, |_| true).await });
    }
}

/// Connects to some upstreams other than `failed`, unless that was done just before.
pub async fn ask_witnesses(host: &Arc<Host>, failed: &UpstreamId) {
    ask_some(host, |name| name != failed).await;
}

async fn ask_some<F>(host: &Arc<Host>, is_wanted: F)
where
    F: Fn(&UpstreamId) -> bool,
{
    let asked_at = host.state().witnesses_asked_at;
    let is_due = asked_at.is_none_or(|at| host.now().since(at) >= WITNESS_INTERVAL);
    if is_due {
        probe_some(host, is_wanted).await;
    }
}

/// Connects to some upstreams, those first that were not down when last tried.
async fn probe_some<F>(host: &Arc<Host>, is_wanted: F)
where
    F: Fn(&UpstreamId) -> bool,
{
    let witnesses = {
        let now = host.now();
        let mut state = host.state();
        state.witnesses_asked_at = Some(now);
        let is_good = |name: &UpstreamId| is_wanted(name) && !state.reach.is_down(now, name);
        let good = pick_upstreams(&state, WITNESSES, is_good);
        if good.is_empty() { pick_upstreams(&state, WITNESSES, is_wanted) } else { good }
    };
    join_all(witnesses.iter().map(|(name, address)| probe(host, name, *address))).await;
}

async fn probe_until_reached(host: Arc<Host>) {
    while host.state().reach.cut_off_at().is_some() {
        sleep(PROBE_INTERVAL).await;
        update_bypass(&host, &mut host.state());
        let picked = pick_upstreams(&host.state(), 1, |_| true);
        for (name, address) in picked {
            probe(&host, &name, address).await;
        }
    }
}

async fn probe(host: &Arc<Host>, upstream: &UpstreamId, address: SocketAddr) {
    match timeout(PROBE_TIMEOUT, connect_tcp(address)).await {
        Ok(Ok(_connection)) => note_connected(host, upstream),
        Ok(Err(error)) if error.kind() != ErrorKind::ConnectionRefused => {}
        Ok(Err(_)) | Err(_) => note_failed(host, upstream),
    }
}

fn pick_upstreams<F>(state: &HostState, count: usize, is_wanted: F) -> Vec<(UpstreamId, SocketAddr)>
where
    F: Fn(&UpstreamId) -> bool,
{
    let others = state.directory.iter().filter(|(name, _)| is_wanted(name));
    let others = others.filter(|(name, _)| !state.directory.is_leaving(name));
    let picked = others.sample(&mut rand::rng(), count);
    picked.into_iter().map(|(name, known)| (name.clone(), known.entry.address)).collect()
}

impl HostState {
    /// Returns whether this host is cut off from all upstreams while another one reaches some.
    pub fn is_cut_off(&self, now: ClockInstant) -> bool {
        self.reaching_peers(now).next().is_some()
    }

    /// Returns the other hosts that have reached an upstream since this one was cut off; none if it
    /// is not.
    pub fn reaching_peers(&self, now: ClockInstant) -> impl Iterator<Item = &KnownPeer> {
        let silence = HeartbeatPace::of(self.peers.len()).silence_timeout;
        let cut_off_at = self.reach.cut_off_at();
        self.peers.values().filter(move |peer| {
            let reaches = cut_off_at.is_some_and(|since| peer.connected_at > Some(since));
            reaches && now.since(peer.heard) < silence && !peer.reach.cut_off && !peer.leaving
        })
    }
}
