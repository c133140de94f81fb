//! Requests that crash the upstreams that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::quarantine::{CrashReport, RememberedCrash, RequestFingerprint};
use dotterellane_units::{HostId, TeamId, UpstreamId};
use dotterellane_upstream::connect::connect_tcp;
use rand::seq::SliceRandom;
use tokio::time::{sleep, timeout};

use crate::answer::GatewayCall;
use crate::messages::PeerNote;
use crate::peers::{send_to_all, send_to_host};
use crate::state::Host;

/// Pause before an upstream that broke a request off is asked whether it still accepts connections.
const CONFIRM_PAUSE: Duration = Duration::from_millis(30);

/// Time within which a live upstream accepts a connection.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Most suspects that one beat names, over all crashes.
const MAX_TOLD_SUSPECTS: usize = 512;

/// A request that counts among those that its upstream works on until this is dropped.
#[derive(Debug)]
pub struct FlightHold {
    host: Arc<Host>,
    fingerprint: RequestFingerprint,
    upstream: UpstreamId,
    ended: bool,
}

impl FlightHold {
    /// Holds a flight that was entered.
    pub fn new(host: &Arc<Host>, fingerprint: RequestFingerprint, upstream: UpstreamId) -> Self {
        Self { host: host.clone(), fingerprint, upstream, ended: false }
    }

    /// Notes that the request ran to its end and succeeded; a failure shows nothing, since upstreams may
    /// fail what they did not begin to run.
    pub fn completed(mut self) {
        self.ended = true;
        let mut state = self.host.state();
        let standing = state.crashes.summary(self.fingerprint);
        let now = self.host.now();
        let cleared = state.crashes.note_success(now, self.fingerprint, &self.upstream);
        drop(state);
        if let Some(report) = cleared {
            spdlog::info!("suspect ran to its end", kv: {
                upstream = self.upstream.as_str(),
                fingerprint = self.fingerprint.to_string().as_str(),
                crashes = standing.crashes,
            });
            send_to_all(&self.host, &PeerNote::Crash(report));
        }
    }
}

impl Drop for FlightHold {
    fn drop(&mut self) {
        if !self.ended {
            self.host.state().crashes.note_end(self.fingerprint, &self.upstream);
        }
    }
}

/// Returns what repetitions of a request share: caller, method, path and body.
pub fn fingerprint_of(team: Option<&TeamId>, call: &GatewayCall) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    let caller = team.map_or("", TeamId::as_str);
    for part in [caller.as_bytes(), call.target.as_bytes(), &call.body] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    RequestFingerprint(u128::from_le_bytes(digest))
}

/// Finds out whether an upstream that broke a request off has crashed, and tells everyone if so.
pub fn report_break(host: &Arc<Host>, flight: FlightHold, address: SocketAddr) {
    let host = host.clone();
    tokio::spawn(async move {
        sleep(CONFIRM_PAUSE).await;
        if !refuses_connections(&host, address).await {
            return;
        }
        let (fingerprint, upstream) = (flight.fingerprint, flight.upstream.clone());
        let mut state = host.state();
        let reports = state.crashes.note_crash(host.now(), fingerprint, &upstream);
        let standing = state.crashes.summary(fingerprint);
        drop(state);
        spdlog::warn!("upstream crashed under a request", kv: {
            upstream = upstream.as_str(),
            fingerprint = fingerprint.to_string().as_str(),
            crashes = standing.crashes,
            companions = standing.companions,
        });
        for report in reports {
            send_to_all(&host, &PeerNote::Crash(report));
        }
    });
}

/// Tells whether an upstream refuses a new connection; one that accepts it lost the answer alone.
async fn refuses_connections(host: &Host, address: SocketAddr) -> bool {
    let met = match timeout(CONFIRM_TIMEOUT, connect_tcp(address)).await {
        Ok(Ok(_stream)) => "accepted",
        Ok(Err(_refusal)) => "refused",
        Err(_elapsed) => "silent",
    };
    host.metrics.breaks.with_label_values(&[met]).inc();
    met == "refused"
}

/// Takes in what another host says of crashes.
pub fn absorb(host: &Host, report: &CrashReport) {
    host.state().crashes.absorb(host.now(), report);
}

/// Leaves out crashes that do not fit into a beat: others each time, so that all are told soon.
pub fn within_beat(mut crashes: Vec<RememberedCrash>) -> Vec<RememberedCrash> {
    crashes.shuffle(&mut rand::rng());
    let mut left = MAX_TOLD_SUSPECTS;
    crashes.retain(|crash| {
        let fits = crash.suspects.len() <= left;
        left -= if fits { crash.suspects.len() } else { 0 };
        fits
    });
    crashes
}

/// Takes in crashes that the host `from` remembers, and tells it of requests that succeeded since.
pub fn absorb_remembered(host: &Host, from: &HostId, crashes: &[RememberedCrash]) {
    for crash in crashes {
        let cleared = host.state().crashes.absorb_remembered(host.now(), crash);
        for report in cleared {
            send_to_host(host, from, &PeerNote::Crash(report));
        }
    }
}
