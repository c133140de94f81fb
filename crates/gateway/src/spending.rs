//! Charges teams for requests: from this host's balances, or with tokens granted by the leader.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::team_buckets::{ChargeOutcome, GrantSource};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::leader::{self, LEADER_TIMEOUT};
use crate::messages::{GrantAnswer, GrantRequest, PeerMessage};
use crate::peers::send_to_host;
use crate::refusal::GatewayRefusal;
use crate::state::{Host, KnownLeader};

/// Maximum `retry-after` for a team that is over its rate.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time to wait for the leader's answer before the request is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Number of times that a grant request is sent.
const MAX_ATTEMPTS: u32 = 3;

/// Time for which a leader that did not answer is not asked again.
const LEADER_BACKOFF: Duration = Duration::from_millis(500);

/// Time for which an answer is remembered, so that a repeated request gets the same one.
const ANSWER_RETENTION: Duration = Duration::from_millis(500);

/// Grant requests of this host, and its answers to others while it is the leader.
#[derive(Debug, Default)]
pub struct TokenGrants(Mutex<GrantState>);

#[derive(Debug, Default)]
struct GrantState {
    /// Requests of this host that wait for an answer, by id.
    pending: BTreeMap<u64, oneshot::Sender<GrantAnswer>>,
    /// Recent answers to other hosts, by the id of the request.
    answered: BTreeMap<u64, (ClockInstant, GrantAnswer)>,
    /// End of the time in which the leader is not asked, after it did not answer.
    leader_backoff_until: Option<ClockInstant>,
}

impl TokenGrants {
    fn lock(&self) -> MutexGuard<'_, GrantState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes `cost` tokens from the bucket of `team`.
///
/// # Errors
/// Fails if the team is over its rate; nothing is taken then.
pub async fn charge(
    host: &Arc<Host>,
    team: &TeamId,
    cost: TokenCount,
) -> Result<(), GatewayRefusal> {
    let (outcome, leader) = {
        let (now, may_ask_leader) = (host.now(), may_ask_leader(host));
        let holds_lease = leader::lease_mark(host).is_some();
        let mut state = host.state();
        let own = &host.settings.host;
        let source = match grant_source(own, state.leader.as_ref(), holds_lease, now) {
            GrantSource::Leader if !may_ask_leader => GrantSource::Nobody,
            source => source,
        };
        let leader = state.leader.as_ref().map(|leader| leader.host.clone());
        (state.buckets.charge(now, team, cost, source), leader)
    };
    let outcome = match (outcome, leader) {
        (ChargeOutcome::AskLeader, Some(leader)) => request_grant(host, &leader, team, cost).await,
        (outcome, _) => outcome,
    };
    host.heartbeat_wanted.notify_one();
    match outcome {
        ChargeOutcome::Over(wait) => Err(GatewayRefusal::over_rate(wait.min(MAX_RETRY_AFTER))),
        ChargeOutcome::Taken | ChargeOutcome::AskLeader => Ok(()),
    }
}

/// Returns whether the leader may be asked now: it has not just left a request unanswered.
fn may_ask_leader(host: &Host) -> bool {
    let until = host.grants.lock().leader_backoff_until;
    until.is_none_or(|until| until <= host.now())
}

/// Returns who can grant tokens to the host `own`, which knows `leader`, at `now`. A host whose
/// lease expired is not the leader, even if it does not know another one yet.
pub fn grant_source(
    own: &HostId,
    leader: Option<&KnownLeader>,
    holds_lease: bool,
    now: ClockInstant,
) -> GrantSource {
    match leader {
        Some(leader) if leader.host == *own && holds_lease => GrantSource::Itself,
        Some(leader) if leader.host == *own => GrantSource::Nobody,
        Some(leader) if now.since(leader.heard) < LEADER_TIMEOUT => GrantSource::Leader,
        _ => GrantSource::Nobody,
    }
}

/// Requests tokens from the leader; falls back to this host's own balance if it does not answer.
async fn request_grant(
    host: &Arc<Host>,
    leader: &HostId,
    team: &TeamId,
    cost: TokenCount,
) -> ChargeOutcome {
    let request = GrantRequest { id: rand::random(), team: team.clone(), tokens: cost };
    let (sender, mut response) = oneshot::channel();
    host.grants.lock().pending.insert(request.id, sender);
    for _ in 0..MAX_ATTEMPTS {
        send_to_host(host, leader, &PeerMessage::GrantRequest(request.clone()));
        match timeout(ANSWER_TIMEOUT, &mut response).await {
            Ok(Ok(GrantAnswer::Granted)) => {
                host.state().buckets.take_granted(host.now(), team, cost);
                host.metrics.grants.with_label_values(&["granted"]).inc();
                return ChargeOutcome::Taken;
            }
            Ok(Ok(GrantAnswer::OverRate(wait))) => {
                host.metrics.grants.with_label_values(&["over"]).inc();
                return ChargeOutcome::Over(wait);
            }
            Ok(Ok(GrantAnswer::NotLeader) | Err(_)) => break,
            Err(_elapsed) => {}
        }
    }
    let now = host.now();
    {
        let mut grants = host.grants.lock();
        grants.pending.remove(&request.id);
        grants.leader_backoff_until = Some(now + LEADER_BACKOFF);
    }
    host.metrics.grants.with_label_values(&["unanswered"]).inc();
    host.state().buckets.charge(now, team, cost, GrantSource::Nobody)
}

/// Handles a grant request of another host.
pub fn on_grant_request(
    host: &Host,
    from: &HostId,
    incarnation: HostIncarnation,
    request: &GrantRequest,
) {
    let now = host.now();
    let known = {
        let mut grants = host.grants.lock();
        grants.answered.retain(|_, (at, _)| now.since(*at) < ANSWER_RETENTION);
        grants.answered.get(&request.id).map(|(_, answer)| *answer)
    };
    let answer = known.unwrap_or_else(|| {
        let answer = decide(host, now, from, incarnation, request);
        host.grants.lock().answered.insert(request.id, (now, answer));
        answer
    });
    send_to_host(host, from, &PeerMessage::GrantAnswer(request.id, answer));
}

/// Decides a grant request as the leader, or reports that this host is not the leader.
fn decide(
    host: &Host,
    now: ClockInstant,
    from: &HostId,
    incarnation: HostIncarnation,
    request: &GrantRequest,
) -> GrantAnswer {
    // The lease decides: after a suspension this host may still take itself for the leader.
    if leader::lease_mark(host).is_none() {
        return GrantAnswer::NotLeader;
    }
    let GrantRequest { team, tokens, .. } = request;
    match host.state().buckets.grant(now, (from, incarnation), team, *tokens) {
        Ok(()) => GrantAnswer::Granted,
        Err(wait) => GrantAnswer::OverRate(wait),
    }
}

/// Handles the leader's answer to a grant request of this host.
pub fn on_grant_answer(host: &Host, id: u64, answer: GrantAnswer) {
    if let Some(pending) = host.grants.lock().pending.remove(&id) {
        // The caller may have disconnected; the leader detects that the grant is not spent.
        let _ = pending.send(answer);
    }
}
