//! Permits to send to upstreams with a rate limit: one that they announced, or that of their
//! service while they are cold. Every request, order and question to an upstream passes [`open`],
//! the one place that checks them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::send_permits::{
    PermitBook, PermitDecision, PermitIssuer, PermitRequest, SendPermit,
};
use dotterellane_decisions::team_buckets::GrantSource;
use dotterellane_units::{ClockInstant, HostId, RequestRate, UpstreamId};
use dotterellane_upstream::head_limit::SendCheck;

use crate::exchange::{self, ExchangeError, OpenConnection};
use crate::leader;
use crate::messages::{KnownLimit, LimitReport, PeerMessage, PermitAnswer, PermitQuestion};
use crate::notices;
use crate::peers::send_to_host;
use crate::questions::{PendingQuestions, RecentAnswers};
use crate::reach::{self, SendWay, UpstreamLink};
use crate::spending::grant_source;
use crate::state::{Host, HostState};

/// Time after which a host is asked again that did not issue a permit as it is not the issuer.
const ISSUER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Permits that this host requested, and those that it issued.
#[derive(Debug, Default)]
pub struct SendPermits {
    requests: PendingQuestions<PermitAnswer>,
    answers: RecentAnswers<PermitVerdict>,
    book: Mutex<PermitBook>,
    /// The earliest slot of each upstream, as far as known from answers that were too late.
    earliest: Mutex<BTreeMap<UpstreamId, EarliestSlot>>,
}

#[derive(Clone, Debug)]
struct EarliestSlot {
    issuer: PermitIssuer,
    started_at: u64,
    limit: RequestRate,
    slot: ClockInstant,
}

/// Answer to a permit request, with times of this host's clock.
#[derive(Clone, Debug)]
enum PermitVerdict {
    Decided(PermitDecision),
    NotIssuer,
    OtherLimit(KnownLimit),
}

/// Outcome of a request for a permit.
#[derive(Clone, Debug)]
pub enum PermitOutcome {
    /// The permit, which may have to wait for its slot.
    Issued(SendPermit),
    /// The upstream takes the request no earlier than at this time, which is too late.
    TooLate(ClockInstant),
    /// The limit is another one than the request assumed.
    LimitChanged,
}

/// Where a request is sent.
#[derive(Clone, Debug)]
pub struct SendTarget {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
    /// The permit; `None` if the upstream had no limit when it was selected.
    pub permit: Option<Box<SendPermit>>,
    /// Regions of the hosts through which the request may go.
    pub regions: AllowedRegions,
}

impl SendPermits {
    fn book(&self) -> MutexGuard<'_, PermitBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the earliest slot of an upstream with this limit, as far as known; `None` if it may
    /// have one now.
    fn earliest(
        &self,
        now: ClockInstant,
        request: &PermitRequest,
        issuer: &PermitIssuer,
    ) -> Option<ClockInstant> {
        let mut earliest = self.earliest.lock().unwrap_or_else(PoisonError::into_inner);
        earliest.retain(|_, known| known.slot > now);
        let known = earliest.get(&request.upstream)?;
        let is_current = known.issuer == *issuer
            && known.started_at == request.started_at
            && known.limit == request.limit;
        is_current.then_some(known.slot)
    }

    fn note_earliest(&self, request: &PermitRequest, issuer: PermitIssuer, slot: ClockInstant) {
        let PermitRequest { started_at, limit, .. } = *request;
        let earliest = EarliestSlot { issuer, started_at, limit, slot };
        let mut known = self.earliest.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(request.upstream.clone(), earliest);
    }
}

/// Returns the host that issues permits now, as far as this host knows.
fn current_issuer(host: &Host) -> PermitIssuer {
    let now = host.now();
    let holds_lease = leader::lease_mark(host).is_some();
    let state = host.state();
    let own = &host.settings.host;
    match (grant_source(own, state.leader.as_ref(), holds_lease, now), &state.leader) {
        (GrantSource::Itself | GrantSource::Leader, Some(leader)) => {
            PermitIssuer::Leader(leader.host.clone(), leader.mark.fence)
        }
        _ => PermitIssuer::Deputy(lowest_live_host(host, &state, now)),
    }
}

fn lowest_live_host(host: &Host, state: &HostState, now: ClockInstant) -> HostId {
    let silence = HeartbeatPace::of(state.peers.len()).silence_timeout;
    let live = |heard: ClockInstant| now.since(heard) < silence;
    let peers = state.peers.iter().filter(|(_, peer)| live(peer.heard) && !peer.leaving);
    let lowest = peers.map(|(name, _)| name).min();
    let own = Some(&host.settings.host).filter(|_| !host.leaving.is_cancelled());
    lowest.into_iter().chain(own).min().unwrap_or(&host.settings.host).clone()
}

/// Requests a permit from the issuer.
pub async fn request_permit(host: &Arc<Host>, request: PermitRequest) -> PermitOutcome {
    let (now, issuer) = (host.now(), current_issuer(host));
    if let Some(slot) = host.permits.earliest(now, &request, &issuer)
        && slot.since(now) > request.longest_wait
    {
        return PermitOutcome::TooLate(slot);
    }
    let decision = if *issuer.host() == host.settings.host {
        decide(host, now, &issuer, &request)
    } else {
        match ask_issuer(host, &issuer, &request).await {
            Ok(decision) => decision,
            Err(outcome) => return outcome,
        }
    };
    match decision {
        PermitDecision::Slot(slot) => {
            host.metrics.permits.with_label_values(&["issued"]).inc();
            PermitOutcome::Issued(SendPermit {
                issuer,
                started_at: request.started_at,
                limit: request.limit,
                slot,
            })
        }
        PermitDecision::TooLate(slot) => {
            host.metrics.permits.with_label_values(&["too_late"]).inc();
            host.permits.note_earliest(&request, issuer, slot);
            PermitOutcome::TooLate(slot)
        }
    }
}

/// Asks another host for a permit.
async fn ask_issuer(
    host: &Arc<Host>,
    issuer: &PermitIssuer,
    request: &PermitRequest,
) -> Result<PermitDecision, PermitOutcome> {
    let again = host.now() + ISSUER_RETRY_DELAY;
    if !host.permits.requests.may_ask(host.now()) {
        return Err(PermitOutcome::TooLate(again));
    }
    let id = rand::random();
    let known = notices::known_limit(&host.state(), host.now(), &request.upstream);
    let question = PermitQuestion { id, request: request.clone(), known };
    let message = PeerMessage::PermitQuestion(question);
    let answer = host.permits.requests.ask(host, issuer.host(), id, &message).await;
    let now = host.now();
    match answer {
        Some(PermitAnswer::SlotIn(wait)) => Ok(PermitDecision::Slot(now + wait)),
        Some(PermitAnswer::TooLate(wait)) => Ok(PermitDecision::TooLate(now + wait)),
        Some(PermitAnswer::OtherLimit(known)) => {
            notices::adopt_limit(host, issuer.host(), &known);
            host.metrics.permits.with_label_values(&["limit_changed"]).inc();
            let state = host.state();
            let limit = state.directory.rate_limit_of(now, &request.upstream, request.started_at);
            let is_adopted = limit != Some(request.limit);
            Err(if is_adopted {
                PermitOutcome::LimitChanged
            } else {
                PermitOutcome::TooLate(again)
            })
        }
        Some(PermitAnswer::NotIssuer) => {
            host.metrics.permits.with_label_values(&["not_issuer"]).inc();
            host.permits.note_earliest(request, issuer.clone(), again);
            Err(PermitOutcome::TooLate(again))
        }
        None => {
            host.permits.requests.back_off(now);
            host.metrics.permits.with_label_values(&["unanswered"]).inc();
            Err(PermitOutcome::TooLate(again))
        }
    }
}

/// Handles a permit request of another host.
pub fn on_question(host: &Arc<Host>, from: &HostId, question: PermitQuestion) {
    let PermitQuestion { id, request, known } = question;
    notices::absorb_limits(host, from, known.announced.as_slice());
    notices::absorb_cold(host, from, known.cold.as_slice());
    let now = host.now();
    let knows_cold = known.cold.is_some();
    let verdict =
        host.permits.answers.answer_once(now, id, || judge(host, now, &request, knows_cold));
    let answer = match verdict {
        PermitVerdict::Decided(PermitDecision::Slot(slot)) => PermitAnswer::SlotIn(slot.since(now)),
        PermitVerdict::Decided(PermitDecision::TooLate(slot)) => {
            PermitAnswer::TooLate(slot.since(now))
        }
        PermitVerdict::NotIssuer => PermitAnswer::NotIssuer,
        PermitVerdict::OtherLimit(known) => PermitAnswer::OtherLimit(known),
    };
    send_to_host(host, from, &PeerMessage::PermitAnswer(id, answer));
}

/// Decides on a request of another host, which may know that the upstream is cold.
fn judge(
    host: &Arc<Host>,
    now: ClockInstant,
    request: &PermitRequest,
    knows_cold: bool,
) -> PermitVerdict {
    let issuer = current_issuer(host);
    if *issuer.host() != host.settings.host {
        return PermitVerdict::NotIssuer;
    }
    let (known, limit) = {
        let state = host.state();
        let limit = state.directory.rate_limit_of(now, &request.upstream, request.started_at);
        (notices::known_limit(&state, now, &request.upstream), limit)
    };
    let is_current = |report: &LimitReport| report.started_at >= request.started_at;
    let has_ended = limit.is_none() && known.announced.as_ref().is_some_and(is_current);
    // Hosts do not see the end of a cold span at the same moment.
    let differs = limit.is_some_and(|limit| limit != request.limit) || (has_ended && !knows_cold);
    if differs {
        return PermitVerdict::OtherLimit(known);
    }
    PermitVerdict::Decided(decide(host, now, &issuer, request))
}

/// Decides on a request as the issuer.
fn decide(
    host: &Host,
    now: ClockInstant,
    issuer: &PermitIssuer,
    request: &PermitRequest,
) -> PermitDecision {
    let heard_fraction = heard_fraction(&host.state(), now);
    host.permits.book().decide(now, issuer, heard_fraction, request)
}

/// Returns the hosts heard divided by the hosts known, both with this host.
#[expect(clippy::cast_precision_loss, reason = "hosts are few")]
pub fn heard_fraction(state: &HostState, now: ClockInstant) -> f64 {
    let silence = HeartbeatPace::of(state.peers.len()).silence_timeout;
    let heard = state.peers.values().filter(|peer| now.since(peer.heard) < silence).count();
    (heard + 1) as f64 / (state.peers.len() + 1) as f64
}

/// Handles the answer to a permit request of this host.
pub fn on_answer(host: &Host, id: u64, answer: PermitAnswer) {
    host.permits.requests.resolve(id, answer);
}

/// Connects to an upstream, `way` telling how. Right before the first byte is written, `may_send` and
/// the permit are checked, as the upstream may have announced a limit meanwhile.
///
/// # Errors
/// Fails as [`exchange::open`] does.
pub async fn open(
    host: &Arc<Host>,
    target: &SendTarget,
    span: Duration,
    way: SendWay,
    may_send: SendCheck,
) -> Result<OpenConnection, ExchangeError> {
    let (checked_host, checked_target) = (host.clone(), target.clone());
    let check: SendCheck =
        Box::new(move || may_send() && is_permitted(&checked_host, &checked_target));
    // Boxed, as requests and streams keep room for it in their futures for as long as they last.
    match Box::pin(reach::connect(host, target, span, way)).await? {
        UpstreamLink::Direct(stream) => exchange::prepare(target.address, stream, check).await,
        UpstreamLink::Tunnel(stream) => exchange::prepare(target.address, stream, check).await,
    }
}

/// Returns whether a request may be sent to `target` now: it has no limit, or the permit holds.
pub fn is_permitted(host: &Host, target: &SendTarget) -> bool {
    let now = host.now();
    let limit = host.state().directory.rate_limit_of(now, &target.upstream, target.started_at);
    let Some(limit) = limit else { return true };
    let issuer = current_issuer(host);
    let permit = target.permit.as_ref();
    let is_permitted =
        permit.is_some_and(|permit| permit.allows(now, target.started_at, limit, &issuer));
    if !is_permitted {
        host.metrics.permits.with_label_values(&["void"]).inc();
    }
    is_permitted
}
