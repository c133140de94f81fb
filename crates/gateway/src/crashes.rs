//! Detects upstreams that crash while they run a request, and shares the suspects with all hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::quarantine::{
    CrashReport, PartFingerprint, RememberedCrash, RequestFingerprint, RequestIdentity,
    UpstreamStart,
};
use dotterellane_units::{HostId, ServiceId, TeamId, UpstreamId};
use dotterellane_upstream::connect::connect_tcp;
use rand::seq::SliceRandom;
use tokio::time::{sleep, timeout};

use crate::exchange::ConnectFailure;
use crate::handler::GatewayCall;
use crate::messages::PeerMessage;
use crate::peers::{send_to_all, send_to_host};
use crate::reach;
use crate::state::Host;

/// Delay before an upstream that broke off a request is probed with a new connection.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Time within which a live upstream accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of parts of a prompt that are watched; the others are ignored.
const MAX_REQUEST_PARTS: usize = 64;

/// Maximum number of suspects in one heartbeat, over all crashes.
const MAX_HEARTBEAT_SUSPECTS: usize = 512;

/// Counts a request among those in flight at its upstream, which are suspects if it crashes.
/// Removed on drop.
#[derive(Debug)]
pub struct InFlightGuard {
    host: Arc<Host>,
    identity: Arc<RequestIdentity>,
    upstream: UpstreamStart,
    ended: bool,
}

impl InFlightGuard {
    /// Creates the guard of a request that was counted as in flight.
    pub fn new(host: &Arc<Host>, identity: Arc<RequestIdentity>, upstream: UpstreamStart) -> Self {
        Self { host: host.clone(), identity, upstream, ended: false }
    }

    /// Records that the request ran to its end and succeeded, which clears it of suspicion. A
    /// failure does not: upstreams may fail requests that they never started.
    pub fn completed(mut self) {
        self.ended = true;
        let mut state = self.host.state();
        let now = self.host.now();
        let cleared = state.crashes.note_success(now, &self.identity, &self.upstream);
        drop(state);
        if let Some(report) = cleared {
            log_cleared(&report, "suspected request succeeded");
            send_to_all(&self.host, &PeerMessage::Crash(report));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.host.state().crashes.note_end(self.identity.request, &self.upstream);
        }
    }
}

fn log_cleared(report: &CrashReport, event: &str) {
    let CrashReport::Cleared { suspects, .. } = report else { return };
    for suspect in suspects {
        spdlog::info!("{event}", kv: { suspect = suspect.to_string().as_str() });
    }
}

/// Returns what may crash an upstream of `service` that runs the request.
pub fn identity_of(
    team: Option<&TeamId>,
    service: &ServiceId,
    call: &GatewayCall,
) -> RequestIdentity {
    let parts = call.head.shared_parts.iter().take(MAX_REQUEST_PARTS);
    let parts = parts.map(|part| fingerprint_part(service, part)).collect();
    RequestIdentity { request: fingerprint_request(team, call), parts }
}

/// Returns a digest that all requests share whose prompts have this part.
fn fingerprint_part(service: &ServiceId, part: &str) -> PartFingerprint {
    let mut digest = [0; 8];
    digest.copy_from_slice(&digest_of([service.as_str().as_bytes(), part.as_bytes()])[..8]);
    PartFingerprint(u64::from_le_bytes(digest))
}

/// Returns a digest that all repetitions of a request share, of team, target and body.
fn fingerprint_request(team: Option<&TeamId>, call: &GatewayCall) -> RequestFingerprint {
    let team = team.map_or("", TeamId::as_str);
    let mut digest = [0; 16];
    digest.copy_from_slice(&digest_of([team.as_bytes(), call.target.as_bytes(), &call.body])[..16]);
    RequestFingerprint(u128::from_le_bytes(digest))
}

fn digest_of<const N: usize>(parts: [&[u8]; N]) -> [u8; blake3::OUT_LEN] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Probes, in the background, an upstream that broke off a request; if it has crashed, reports the
/// suspects to all hosts.
pub fn check_for_crash(host: &Arc<Host>, in_flight: InFlightGuard, address: SocketAddr) {
    let host = host.clone();
    tokio::spawn(async move {
        sleep(PROBE_DELAY).await;
        let (identity, upstream) = (in_flight.identity.clone(), in_flight.upstream.clone());
        if !refuses_connections(&host, &upstream.upstream, address).await {
            return;
        }
        let mut state = host.state();
        let reports = state.crashes.note_crash(host.now(), &identity, &upstream);
        let summary = state.crashes.summary(host.now(), &identity);
        drop(state);
        spdlog::warn!("upstream crashed while running a request", kv: {
            upstream = upstream.upstream.as_str(),
            suspect = summary.suspect.to_string().as_str(),
            crashes = summary.crashes,
            companions = summary.companions,
        });
        for report in reports {
            send_to_all(&host, &PeerMessage::Crash(report));
        }
    });
}

/// Returns whether an upstream refuses a new connection, and not this host is cut off. One that
/// accepts it did not crash, but only lost the response.
async fn refuses_connections(host: &Arc<Host>, upstream: &UpstreamId, address: SocketAddr) -> bool {
    let (mut result, failure) = match timeout(PROBE_TIMEOUT, connect_tcp(address)).await {
        Ok(Ok(_stream)) => ("accepted", None),
        Ok(Err(_refusal)) => ("refused", Some(ConnectFailure::Refused)),
        Err(_elapsed) => ("silent", Some(ConnectFailure::Unanswered)),
    };
    reach::note_connect(host, upstream, failure);
    if result == "refused" && !reach::is_down(host, upstream).await {
        result = "cut_off";
    }
    host.metrics.breaks.with_label_values(&[result]).inc();
    result == "refused"
}

/// Handles a report of another host.
pub fn absorb(host: &Host, report: &CrashReport) {
    let now = host.now();
    let sound = {
        let mut state = host.state();
        state.crashes.absorb(now, report);
        state.crashes.clear_sound(now, report)
    };
    if let Some(cleared) = sound {
        log_cleared(&cleared, "suspected part succeeded recently");
        send_to_all(host, &PeerMessage::Crash(cleared));
    }
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
