//! Charges teams for requests: from this host's balances, or with tokens granted by the leader.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::team_buckets::{ChargeOutcome, GrantSource};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};

use crate::leader::{self, LEADER_TIMEOUT};
use crate::messages::{GrantAnswer, GrantRequest, PeerMessage};
use crate::peers::send_to_host;
use crate::questions::{PendingQuestions, RecentAnswers};
use crate::refusal::GatewayRefusal;
use crate::state::{Host, KnownLeader};

/// Maximum `retry-after` for a team that is over its rate.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Grant requests of this host, and its answers to others while it is the leader.
#[derive(Debug, Default)]
pub struct TokenGrants {
    requests: PendingQuestions<GrantAnswer>,
    answers: RecentAnswers<GrantAnswer>,
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
    let (outcome, leader, source) = {
        let now = host.now();
        let may_ask_leader = host.grants.requests.may_ask(now);
        let holds_lease = leader::lease_mark(host).is_some();
        let mut state = host.state();
        let own = &host.settings.host;
        let source = match grant_source(own, state.leader.as_ref(), holds_lease, now) {
            GrantSource::Leader if !may_ask_leader => GrantSource::Nobody,
            source => source,
        };
        let leader = state.leader.as_ref().map(|leader| leader.host.clone());
        (state.buckets.charge(now, team, cost, source), leader, source)
    };
    let (outcome, decided_by) = match (outcome, leader) {
        (ChargeOutcome::AskLeader, Some(leader)) => request_grant(host, &leader, team, cost).await,
        (outcome, _) => (outcome, own_decision(source)),
    };
    host.heartbeat_wanted.notify_one();
    match outcome {
        ChargeOutcome::Over(wait) => {
            log_over_rate(host, team, cost, wait, decided_by);
            Err(GatewayRefusal::over_rate(wait.min(MAX_RETRY_AFTER)))
        }
        ChargeOutcome::Taken | ChargeOutcome::AskLeader => Ok(()),
    }
}

/// Returns who decided, for the log, where this host did by itself.
fn own_decision(source: GrantSource) -> &'static str {
    match source {
        GrantSource::Itself => "itself as the leader",
        GrantSource::Leader => "its own balance",
        GrantSource::Nobody => "its own balance without a leader",
    }
}

/// Logs a refusal with what this host knows of the team's bucket.
fn log_over_rate(host: &Host, team: &TeamId, cost: TokenCount, wait: Duration, decided_by: &str) {
    let Some(bucket) = host.state().buckets.summary(host.now(), team) else { return };
    spdlog::info!("team over its rate", kv: {
        team = team.as_str(),
        cost = cost.0,
        decided_by = decided_by,
        wait_ms = wait.as_millis() as u64,
        balance = bucket.balance.round(),
        reserve = bucket.reserve.round(),
        recent = bucket.recent.round(),
        rate = bucket.limit.rate,
        burst = bucket.limit.burst,
        heard_fraction = bucket.heard_fraction,
    });
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
/// Also returns who decided, for the log.
async fn request_grant(
    host: &Arc<Host>,
    leader: &HostId,
    team: &TeamId,
    cost: TokenCount,
) -> (ChargeOutcome, &'static str) {
    let request = GrantRequest { id: rand::random(), team: team.clone(), tokens: cost };
    let message = PeerMessage::GrantRequest(request.clone());
    match host.grants.requests.ask(host, leader, request.id, &message).await {
        Some(GrantAnswer::Granted) => {
            host.state().buckets.take_granted(host.now(), team, cost);
            host.metrics.grants.with_label_values(&["granted"]).inc();
            (ChargeOutcome::Taken, "the leader")
        }
        Some(GrantAnswer::OverRate(wait)) => {
            host.metrics.grants.with_label_values(&["over"]).inc();
            (ChargeOutcome::Over(wait), "the leader")
        }
        Some(GrantAnswer::NotLeader) | None => {
            let now = host.now();
            host.grants.requests.back_off(now);
            host.metrics.grants.with_label_values(&["unanswered"]).inc();
            let outcome = host.state().buckets.charge(now, team, cost, GrantSource::Nobody);
            (outcome, "its own balance, as the leader does not answer")
        }
    }
}

/// Handles a grant request of another host.
pub fn on_grant_request(
    host: &Host,
    from: &HostId,
    incarnation: HostIncarnation,
    request: &GrantRequest,
) {
    let now = host.now();
    let answer = host
        .grants
        .answers
        .answer_once(now, request.id, || decide(host, now, from, incarnation, request));
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
    host.grants.requests.resolve(id, answer);
}
