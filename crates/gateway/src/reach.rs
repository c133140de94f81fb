//! Whether this host reaches upstreams, and whether the other hosts do.
//!
//! A connection that fails may show that the upstream is down or that this host is cut off. Two
//! other upstreams are asked then; while the host counts as cut off, one upstream after the other is
//! probed until a connection is established.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_units::{ClockInstant, UpstreamId};
use dotterellane_upstream::connect::connect_tcp;
use futures::future::join_all;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::exchange::ConnectFailure;
use crate::state::{Host, HostState};

/// Number of other upstreams that are asked whether this host is cut off.
const WITNESSES: usize = 2;

/// Minimum time between two rounds of asking them.
const WITNESS_INTERVAL: Duration = Duration::from_millis(300);

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

/// Records the result of connecting to an upstream; asks others if it failed.
pub fn note_connect(host: &Arc<Host>, upstream: &UpstreamId, failure: Option<ConnectFailure>) {
    match failure {
        None => note_connected(host),
        Some(ConnectFailure::Unrelated) => {}
        Some(ConnectFailure::Refused | ConnectFailure::Unanswered) => {
            note_failed(host, upstream);
            let (host, upstream) = (host.clone(), upstream.clone());
            tokio::spawn(async move { ask_witnesses(&host, &upstream).await });
        }
    }
}

fn note_connected(host: &Host) {
    let was_cut_off = host.state().reach.note_connected(host.now());
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
        state.reach.note_failed(host.now(), upstream, listed)
    };
    if is_cut_off {
        spdlog::warn!("no upstream is reached", kv: { host = host.settings.host.as_str() });
        host.metrics.cut_off.set(1);
        host.heartbeat_wanted.notify_one();
        tokio::spawn(probe_until_reached(host.clone()));
    }
}

/// Connects to some upstreams other than `failed`, unless that was done just before.
pub async fn ask_witnesses(host: &Arc<Host>, failed: &UpstreamId) {
    let witnesses = {
        let now = host.now();
        let mut state = host.state();
        if state.witnesses_asked_at.is_some_and(|at| now.since(at) < WITNESS_INTERVAL) {
            return;
        }
        state.witnesses_asked_at = Some(now);
        pick_upstreams(&state, WITNESSES, |name| name != failed)
    };
    join_all(witnesses.iter().map(|(name, address)| probe(host, name, *address))).await;
}

async fn probe_until_reached(host: Arc<Host>) {
    while host.state().reach.cut_off_at().is_some() {
        sleep(PROBE_INTERVAL).await;
        let picked = pick_upstreams(&host.state(), 1, |_| true);
        for (name, address) in picked {
            probe(&host, &name, address).await;
        }
    }
}

async fn probe(host: &Arc<Host>, upstream: &UpstreamId, address: SocketAddr) {
    match timeout(PROBE_TIMEOUT, connect_tcp(address)).await {
        Ok(Ok(_connection)) => note_connected(host),
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
        let Some(since) = self.reach.cut_off_at() else { return false };
        let silence = HeartbeatPace::of(self.peers.len()).silence_timeout;
        self.peers.values().any(|peer| {
            now.since(peer.heard) < silence
                && !peer.reach.cut_off
                && peer.connected_at.is_some_and(|at| at > since)
        })
    }
}
