//! Remembers where streams began, tells some other hosts while several software versions serve, and
//! asks them about a stream that began elsewhere.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::rendezvous::role_order;
use dotterellane_decisions::stream_versions::{OriginReport, StreamDigest, StreamOrigin};
use dotterellane_units::{ClockInstant, HostId};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::timeout;

use super::archive::load_archive;
use super::{REFUSED, sole_origin};
use crate::dispatch::pick_service;
use crate::handler::{Admission, GatewayCall};
use crate::messages::PeerMessage;
use crate::peers::send_to_host;
use crate::refusal::GatewayRefusal;
use crate::selection::SelectedUpstream;
use crate::state::{Host, HostState};

/// Number of hosts that are told where a stream began.
const TOLD_HOSTS: usize = 2;

/// Number of hosts that are asked where a stream began; more than are told, as hosts come and go.
const ASKED_HOSTS: usize = 4;

/// Maximum number of streams in one datagram.
const STREAMS_PER_DATAGRAM: usize = 512;

/// Maximum wait for a fresh history of the software versions.
const HISTORY_WAIT: Duration = Duration::from_millis(250);

/// `retry-after` of a resumption while it cannot be found out where its stream began.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Notes that a stream's first event came from `upstream`.
pub fn note_begun(host: &Arc<Host>, stream: StreamDigest, upstream: &SelectedUpstream) {
    let Some(version) = upstream.version.clone() else { return };
    let origin = StreamOrigin { service: upstream.service.clone(), version };
    host.state().origins.note_own(host.now(), stream, origin);
    tell_origins(host);
}

/// Tells other hosts where streams began of services that several versions may serve.
pub fn tell_origins(host: &Arc<Host>) {
    let now = host.now();
    let mut reports: BTreeMap<HostId, BTreeMap<StreamOrigin, Vec<StreamDigest>>> = BTreeMap::new();
    {
        let mut state = host.state();
        let clock = state.store_reading(now);
        let HostState { origins, versions, .. } = &mut *state;
        let untold = origins.take_untold(|service| versions.may_be_several(service, clock));
        if untold.is_empty() {
            return;
        }
        for (stream, origin) in untold {
            for peer in origin_hosts(&state, now, &stream, TOLD_HOSTS) {
                let streams = reports.entry(peer).or_default().entry(origin.clone()).or_default();
                streams.push(stream);
            }
        }
    }
    host.archive_wanted.notify_one();
    for (peer, origins) in reports {
        for (origin, streams) in origins {
            for streams in streams.chunks(STREAMS_PER_DATAGRAM) {
                let report = OriginReport { origin: origin.clone(), streams: streams.to_vec() };
                send_to_host(host, &peer, &PeerMessage::StreamOrigins(vec![report]));
            }
        }
    }
}

/// Returns the hosts that are told about a stream, the first to be told first.
fn origin_hosts(
    state: &HostState,
    now: ClockInstant,
    stream: &StreamDigest,
    most: usize,
) -> Vec<HostId> {
    let silence = HeartbeatPace::of(state.peers.len()).silence_timeout;
    let live = state.peers.iter().filter(|(_, peer)| now.since(peer.heard) < silence);
    let object: String = stream.0.iter().map(|byte| format!("{byte:02x}")).collect();
    let order = role_order("stream-origin", &object, live.map(|(host, _)| host));
    order.into_iter().take(most).cloned().collect()
}

/// Handles what another host says about streams that it began.
pub fn on_reports(host: &Host, reports: &[OriginReport]) {
    let now = host.now();
    let mut state = host.state();
    for report in reports {
        state.origins.absorb(now, report);
    }
}

/// Answers another host's question.
pub fn on_question(host: &Host, from: &HostId, id: u64, stream: &StreamDigest) {
    let origin = host.state().origins.get(stream).cloned();
    send_to_host(host, from, &PeerMessage::OriginAnswer(id, origin));
}

/// Finds out where the stream began that a request resumes.
///
/// # Errors
/// Fails if that is not known for certain.
pub async fn find_origin(
    host: &Arc<Host>,
    call: &GatewayCall,
    admission: &Admission,
    stream: Option<StreamDigest>,
) -> Result<StreamOrigin, GatewayRefusal> {
    let asked_at = host.now();
    let known = |host: &Host| {
        let state = host.state();
        stream.and_then(|stream| state.origins.get(&stream).cloned())
    };
    if let Some(origin) = known(host) {
        return Ok(origin);
    }
    await_history(host).await;
    let service = pick_service(call, admission);
    let sole = {
        let state = host.state();
        sole_origin(&state, host.now(), &service)
    };
    if let Some(origin) = sole {
        return Ok(origin);
    }
    let Some(stream) = stream else {
        return Err(GatewayRefusal::fixed(REFUSED, "stream_origin_unknown"));
    };
    let (found, all_answered) = ask_origin_hosts(host, stream).await;
    if let Some(origin) = found {
        return Ok(origin);
    }
    let loaded = load_archive(host, asked_at).await;
    if let Some(origin) = known(host) {
        return Ok(origin);
    }
    let versions = host.state().versions.describe(host.now());
    spdlog::info!("nobody knows where a resumed stream began", kv: {
        request = call.head.request_id.as_str(),
        hosts_answered = all_answered,
        store_answered = loaded,
        versions = versions.as_str(),
    });
    // Its host may not have told it yet.
    Err(GatewayRefusal::not_run("stream_origin_unknown", UNKNOWN_RETRY_AFTER))
}

/// Waits shortly until the history of the software versions is known to be the newest.
async fn await_history(host: &Host) {
    let wait = async {
        loop {
            let known = host.versions_known.notified();
            tokio::pin!(known);
            known.as_mut().enable();
            {
                let mut state = host.state();
                if state.versions.is_fresh(host.now()) {
                    break;
                }
                state.versions.want();
            }
            host.versions_wanted.notify_one();
            known.await;
        }
    };
    // Without it, the stream's own origin is asked for.
    let _elapsed = timeout(HISTORY_WAIT, wait).await;
}

/// Asks the hosts that may have been told; returns the origin if one knows it, and whether all
/// answered.
async fn ask_origin_hosts(host: &Arc<Host>, stream: StreamDigest) -> (Option<StreamOrigin>, bool) {
    let hosts = origin_hosts(&host.state(), host.now(), &stream, ASKED_HOSTS);
    let mut answers: FuturesUnordered<_> = hosts
        .iter()
        .map(|peer| async move {
            let id = rand::random();
            let question = PeerMessage::OriginQuestion(id, stream);
            host.origin_questions.ask(host, peer, id, &question).await
        })
        .collect();
    let mut all_answered = !hosts.is_empty();
    while let Some(answer) = answers.next().await {
        match answer {
            Some(Some(origin)) => return (Some(origin), true),
            Some(None) => {}
            None => all_answered = false,
        }
    }
    (None, all_answered)
}

/// Returns whether the row of an upstream still describes the start and the version to which a
/// request was sent.
pub fn is_unchanged(state: &HostState, upstream: &SelectedUpstream) -> bool {
    state.directory.get(&upstream.name).is_none_or(|known| {
        let started_at = known.entry.report.started_at;
        started_at == upstream.started_at && known.entry.version == upstream.version
    })
}
