//! Detects upstreams that crash while they run a request, and shares the suspects with all hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::quarantine::{
    CrashReport, RememberedCrash, RequestFingerprint, UpstreamStart,
};
use dotterellane_units::{HostId, TeamId};
use dotterellane_upstream::connect::connect_tcp;
use rand::seq::SliceRandom;
use tokio::time::{sleep, timeout};

use crate::handler::GatewayCall;
use crate::messages::PeerMessage;
use crate::peers::{send_to_all, send_to_host};
use crate::state::Host;

/// Delay before an upstream that broke off a request is probed with a new connection.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Time within which a live upstream accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of suspects in one heartbeat, over all crashes.
const MAX_HEARTBEAT_SUSPECTS: usize = 512;

/// Counts a request among those in flight at its upstream, which are suspects if it crashes.
/// Removed on drop.
#[derive(Debug)]
pub struct InFlightGuard {
    host: Arc<Host>,
    fingerprint: RequestFingerprint,
    upstream: UpstreamStart,
    ended: bool,
}

impl InFlightGuard {
    /// Creates the guard of a request that was counted as in flight.
    pub fn new(host: &Arc<Host>, fingerprint: RequestFingerprint, upstream: UpstreamStart) -> Self {
        Self { host: host.clone(), fingerprint, upstream, ended: false }
    }

    /// Records that the request ran to its end and succeeded, which clears it of suspicion. A
    /// failure does not: upstreams may fail requests that they never started.
    pub fn completed(mut self) {
        self.ended = true;
        let mut state = self.host.state();
        let summary = state.crashes.summary(self.fingerprint);
        let now = self.host.now();
        let cleared = state.crashes.note_success(now, self.fingerprint, &self.upstream);
        drop(state);
        if let Some(report) = cleared {
            spdlog::info!("suspected request succeeded", kv: {
                upstream = self.upstream.upstream.as_str(),
                fingerprint = self.fingerprint.to_string().as_str(),
                crashes = summary.crashes,
            });
            send_to_all(&self.host, &PeerMessage::Crash(report));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.host.state().crashes.note_end(self.fingerprint, &self.upstream);
        }
    }
}

/// Returns a fingerprint that all repetitions of a request share: a hash of team, target and body.
pub fn fingerprint_of(team: Option<&TeamId>, call: &GatewayCall) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    let team = team.map_or("", TeamId::as_str);
    for part in [team.as_bytes(), call.target.as_bytes(), &call.body] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    RequestFingerprint(u128::from_le_bytes(digest))
}

/// Probes, in the background, an upstream that broke off a request; if it has crashed, reports the
/// suspects to all hosts.
pub fn check_for_crash(host: &Arc<Host>, in_flight: InFlightGuard, address: SocketAddr) {
    let host = host.clone();
    tokio::spawn(async move {
        sleep(PROBE_DELAY).await;
        if !refuses_connections(&host, address).await {
            return;
        }
        let (fingerprint, upstream) = (in_flight.fingerprint, in_flight.upstream.clone());
        let mut state = host.state();
        let reports = state.crashes.note_crash(host.now(), fingerprint, &upstream);
        let summary = state.crashes.summary(fingerprint);
        drop(state);
        spdlog::warn!("upstream crashed while running a request", kv: {
            upstream = upstream.upstream.as_str(),
            fingerprint = fingerprint.to_string().as_str(),
            crashes = summary.crashes,
            companions = summary.companions,
        });
        for report in reports {
            send_to_all(&host, &PeerMessage::Crash(report));
        }
    });
}

/// Returns whether an upstream refuses a new connection. One that accepts it did not crash, but
/// only lost the response.
async fn refuses_connections(host: &Host, address: SocketAddr) -> bool {
    let result = match timeout(PROBE_TIMEOUT, connect_tcp(address)).await {
        Ok(Ok(_stream)) => "accepted",
        Ok(Err(_refusal)) => "refused",
        Err(_elapsed) => "silent",
    };
    host.metrics.breaks.with_label_values(&[result]).inc();
    result == "refused"
}

/// Handles a report of another host.
pub fn absorb(host: &Host, report: &CrashReport) {
    host.state().crashes.absorb(host.now(), report);
}

/// Drops crashes that do not fit into a heartbeat. The selection is random, so that all are sent
/// over time.
pub fn limit_suspects(mut crashes: Vec<RememberedCrash>) -> Vec<RememberedCrash> {
    crashes.shuffle(&mut rand::rng());
    let mut left = MAX_HEARTBEAT_SUSPECTS;
    crashes.retain(|crash| {
        let fits = crash.suspects.len() <= left;
        left -= if fits { crash.suspects.len() } else { 0 };
        fits
    });
    crashes
}

/// Handles crashes that the host `from` remembers, and reports to it the suspects that have
/// succeeded since.
pub fn absorb_remembered(host: &Host, from: &HostId, crashes: &[RememberedCrash]) {
    for crash in crashes {
        let cleared = host.state().crashes.absorb_remembered(host.now(), crash);
        for report in cleared {
            send_to_host(host, from, &PeerMessage::Crash(report));
        }
    }
}
