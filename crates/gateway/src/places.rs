//! Finding an upstream that can run a request now, and waiting for one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::quarantine::CrashStanding;
use dotterellane_decisions::runner_choice::{RunnerCandidate, choose_runner};
use dotterellane_units::{ClockInstant, UpstreamId};
use http::StatusCode;
use tokio::time::timeout;

use crate::answer::{Admission, GatewayCall, admit};
use crate::crashes::FlightHold;
use crate::dispatch::{Journey, NO_PLACE_RETRY};
use crate::refusal::GatewayRefusal;
use crate::state::{Host, RunHold, WaitHold, WaitingRequest};

/// Pause between two looks for an upstream when nothing said that one may have come.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// Part of a caller's patience for which a request waits for a runner to hold its model.
const WAITING_PART: f64 = 0.6;

/// Time for which requests still wait for a model after the daemon was asked to stop.
const LEAVING_WAIT: Duration = Duration::from_millis(1_500);

/// An upstream that was found for a request.
#[derive(Debug)]
pub struct FoundPlace {
    /// Name.
    pub name: UpstreamId,
    /// Address.
    pub address: SocketAddr,
    /// Start of the upstream, in milliseconds.
    pub born: u64,
    /// Whether another upstream could run the request, that it was not sent to.
    pub replaceable: bool,
    /// Upstreams that could run the request.
    pub candidates: usize,
    /// Requests that it was known to run.
    pub running: u32,
    /// Counts the request as running there.
    pub hold: RunHold,
    /// Counts the request among those that may crash the upstream.
    pub flight: FlightHold,
}

/// Waits for an upstream that can run the request now.
///
/// # Errors
/// Fails if none comes in time, or the configuration no longer allows the request.
pub async fn find_place(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &mut Admission,
    journey: &Journey,
) -> Result<FoundPlace, GatewayRefusal> {
    let mut waiting: Option<WaitHold> = None;
    let started = host.now();
    loop {
        let changed = host.holdings_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if let Some(place) = look(host, call, admission, journey)? {
            if waiting.is_some() {
                let waited = host.now().since(started);
                host.metrics.model_wait.observe(waited.as_secs_f64());
            }
            return Ok(place);
        }
        let Some(left) = journey.remaining(host) else {
            let reason =
                if call.head.model.is_some() { "no_runner_holds_model" } else { "no_upstream" };
            return Err(GatewayRefusal::not_run(reason, NO_PLACE_RETRY));
        };
        let left_at = host.state().left;
        if left_at.is_some_and(|at| host.now().since(at) > LEAVING_WAIT) {
            return Err(GatewayRefusal::leaving());
        }
        let longest = admission.route.patience().mul_f64(WAITING_PART);
        if let Some(pause) = pause_beyond(host, call, journey, started + longest) {
            return Err(GatewayRefusal::not_run("upstreams_want_a_pause", pause));
        }
        let waited = host.now().since(started);
        if waited > longest {
            return Err(GatewayRefusal::not_run("no_place_soon", NO_PLACE_RETRY));
        }
        if let Some(choice) = &call.head.model
            && waiting.is_none()
        {
            let worth = call.head.tokens.map_or(1_000, |(prompt, answer)| prompt.0 + 10 * answer.0);
            let waiting_request = WaitingRequest {
                service: journey.service.clone(),
                choice: choice.clone(),
                worth: u32::try_from(worth).unwrap_or(u32::MAX),
            };
            waiting = Some(WaitHold::new(host, waiting_request));
        }
        let _woken = timeout(LOOK_PAUSE.min(left), changed).await;
    }
}

/// Returns the time until an upstream takes the request, if all that could run it want nothing
/// until after `latest`.
fn pause_beyond(
    host: &Host,
    call: &GatewayCall,
    journey: &Journey,
    latest: ClockInstant,
) -> Option<Duration> {
    let now = host.now();
    let state = host.state();
    let choice = call.head.model.as_ref();
    let end = state.directory.first_pause_end(now, &journey.service, choice)?;
    (end > latest.min(journey.deadline)).then(|| end.since(now))
}

/// Looks once for an upstream.
fn look(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &mut Admission,
    journey: &Journey,
) -> Result<Option<FoundPlace>, GatewayRefusal> {
    let now = host.now();
    let mut state = host.state();
    // The configuration may have changed, or have gone out of sight, while the request waited.
    *admission = admit(host, &state, call)?;
    if state.crashes.is_quarantined(now, journey.fingerprint) {
        let standing = state.crashes.standing(journey.fingerprint);
        drop(state);
        log_quarantined(call, journey, standing);
        return Err(GatewayRefusal::fixed(StatusCode::SERVICE_UNAVAILABLE, "crashes_upstreams"));
    }
    let choice = call.head.model.as_ref();
    let candidates: Vec<RunnerCandidate> = state
        .directory
        .usable(&journey.service, now)
        .filter(|(_, known)| choice.is_none_or(|choice| known.holds(choice, now)))
        .map(|(name, known)| RunnerCandidate {
            name: name.clone(),
            near: known.entry.domain == host.settings.domain,
            running: state.all_runs_at(name),
            failing: known.is_failing(now),
            tried: journey.tried.contains(name),
        })
        .collect();
    let Some(chosen) = choose_runner(&candidates, spread_of(call)) else {
        return Ok(None);
    };
    let name = chosen.name.clone();
    let replaceable = candidates.iter().any(|one| one.name != name && !one.tried && !one.failing);
    let running = chosen.running;
    let Some(entry) = state.directory.get(&name).map(|known| &known.entry) else {
        return Ok(None);
    };
    let (address, born) = (entry.address, entry.report.born);
    if !state.crashes.enter(now, journey.fingerprint, &name) {
        return Ok(None);
    }
    let flight = FlightHold::new(host, journey.fingerprint, name.clone());
    let hold = RunHold::new(host, &mut state, name.clone(), call.head.model.clone());
    let candidates = candidates.len();
    Ok(Some(FoundPlace { name, address, born, replaceable, candidates, running, hold, flight }))
}

fn log_quarantined(call: &GatewayCall, journey: &Journey, standing: CrashStanding) {
    spdlog::warn!("request that crashes upstreams is stopped", kv: {
        request = call.head.request_id.as_str(),
        fingerprint = journey.fingerprint.to_string().as_str(),
        crashes = standing.crashes,
        companions = standing.companions,
    });
}

/// Returns a number that is the same for each repetition of a request id.
pub fn spread_of(call: &GatewayCall) -> u64 {
    let digest = blake3::hash(call.head.request_id.as_bytes());
    let mut spread = [0; 8];
    spread.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(spread)
}
