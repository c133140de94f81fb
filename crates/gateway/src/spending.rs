//! Charging teams: by this host alone, or with tokens that the keeper grants.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::team_buckets::{ChargeOutcome, GrantSource};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::keeper::{self, KEEPER_SILENCE};
use crate::messages::{GrantAnswer, GrantRequest, PeerNote};
use crate::peers::send_to_host;
use crate::refusal::GatewayRefusal;
use crate::state::{Host, KnownKeeper};

/// Longest wait told to a team that is over its rate.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// Time after which a question that was not answered is put once more.
const ANSWER_PAUSE: Duration = Duration::from_millis(40);

/// Times that a question is put.
const QUESTIONS: u32 = 3;

/// Time for which a keeper that answered nothing is not asked.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);

/// Time for which an answer is remembered, in case its question comes again.
const ANSWER_MEMORY: Duration = Duration::from_millis(500);

/// What this host asked the keeper, and what it answered others as the keeper.
#[derive(Debug, Default)]
pub struct GrantDesk(Mutex<GrantBook>);

#[derive(Debug, Default)]
struct GrantBook {
    /// Who waits here for the answer to a question.
    waiting: BTreeMap<u64, oneshot::Sender<GrantAnswer>>,
    /// Answers that were given to others.
    given: BTreeMap<u64, (ClockInstant, GrantAnswer)>,
    /// Until when the keeper is not asked.
    unanswered_until: Option<ClockInstant>,
}

impl GrantDesk {
    fn lock(&self) -> MutexGuard<'_, GrantBook> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes `cost` from the level of `team`.
///
/// # Errors
/// Fails if the team is over its rate; nothing is taken then.
pub async fn charge(
    host: &Arc<Host>,
    team: &TeamId,
    cost: TokenCount,
) -> Result<(), GatewayRefusal> {
    let (outcome, keeper) = {
        let (now, may_ask) = (host.now(), may_ask(host));
        let holds_lease = keeper::mark(host).is_some();
        let mut state = host.state();
        let own = &host.settings.host;
        let source = match grant_source(own, state.keeper.as_ref(), holds_lease, now) {
            GrantSource::Leader if !may_ask => GrantSource::Nobody,
            source => source,
        };
        let keeper = state.keeper.as_ref().map(|keeper| keeper.host.clone());
        (state.levels.charge(now, team, cost, source), keeper)
    };
    let outcome = match (outcome, keeper) {
        (ChargeOutcome::AskLeader, Some(keeper)) => ask(host, &keeper, team, cost).await,
        (outcome, _) => outcome,
    };
    host.spending_changed.notify_one();
    match outcome {
        ChargeOutcome::Over(wait) => Err(GatewayRefusal::over_rate(wait.min(LONGEST_RETRY))),
        ChargeOutcome::Taken | ChargeOutcome::AskLeader => Ok(()),
    }
}

fn may_ask(host: &Host) -> bool {
    let until = host.grants.lock().unanswered_until;
    until.is_none_or(|until| until <= host.now())
}

/// Returns who can grant tokens to the host `own` now, which knows `keeper`. A host whose lease ran out
/// is no keeper, though it may know no other one yet.
pub fn grant_source(
    own: &HostId,
    keeper: Option<&KnownKeeper>,
    holds_lease: bool,
    now: ClockInstant,
) -> GrantSource {
    match keeper {
        Some(keeper) if keeper.host == *own && holds_lease => GrantSource::Itself,
        Some(keeper) if keeper.host == *own => GrantSource::Nobody,
        Some(keeper) if now.since(keeper.heard) < KEEPER_SILENCE => GrantSource::Leader,
        _ => GrantSource::Nobody,
    }
}

/// Asks the keeper; goes by what is known here if it does not answer.
async fn ask(host: &Arc<Host>, keeper: &HostId, team: &TeamId, cost: TokenCount) -> ChargeOutcome {
    let request = GrantRequest { number: rand::random(), team: team.clone(), tokens: cost };
    let (sender, mut answered) = oneshot::channel();
    host.grants.lock().waiting.insert(request.number, sender);
    for _ in 0..QUESTIONS {
        send_to_host(host, keeper, &PeerNote::GrantRequest(request.clone()));
        match timeout(ANSWER_PAUSE, &mut answered).await {
            Ok(Ok(GrantAnswer::Granted)) => {
                host.state().levels.take_granted(host.now(), team, cost);
                host.metrics.grants.with_label_values(&["granted"]).inc();
                return ChargeOutcome::Taken;
            }
            Ok(Ok(GrantAnswer::Over(wait))) => {
                host.metrics.grants.with_label_values(&["over"]).inc();
                return ChargeOutcome::Over(wait);
            }
            Ok(Ok(GrantAnswer::NotKeeper) | Err(_)) => break,
            Err(_elapsed) => {}
        }
    }
    let now = host.now();
    {
        let mut book = host.grants.lock();
        book.waiting.remove(&request.number);
        book.unanswered_until = Some(now + UNANSWERED_PAUSE);
    }
    host.metrics.grants.with_label_values(&["unanswered"]).inc();
    host.state().levels.charge(now, team, cost, GrantSource::Nobody)
}

/// Answers the question of another host, as the keeper.
pub fn on_request(
    host: &Host,
    from: &HostId,
    incarnation: HostIncarnation,
    request: &GrantRequest,
) {
    let now = host.now();
    let known = {
        let mut book = host.grants.lock();
        book.given.retain(|_, (at, _)| now.since(*at) < ANSWER_MEMORY);
        book.given.get(&request.number).map(|(_, answer)| *answer)
    };
    let answer = known.unwrap_or_else(|| {
        let answer = decide(host, now, from, incarnation, request);
        host.grants.lock().given.insert(request.number, (now, answer));
        answer
    });
    send_to_host(host, from, &PeerNote::GrantAnswer(request.number, answer));
}

fn decide(
    host: &Host,
    now: ClockInstant,
    from: &HostId,
    incarnation: HostIncarnation,
    request: &GrantRequest,
) -> GrantAnswer {
    // The lease is asked, as a host that stood still may take itself for the keeper.
    if keeper::mark(host).is_none() {
        return GrantAnswer::NotKeeper;
    }
    let GrantRequest { team, tokens, .. } = request;
    match host.state().levels.grant(now, (from, incarnation), team, *tokens) {
        Ok(()) => GrantAnswer::Granted,
        Err(wait) => GrantAnswer::Over(wait),
    }
}

/// Takes in an answer of the keeper.
pub fn on_answer(host: &Host, number: u64, answer: GrantAnswer) {
    if let Some(waiting) = host.grants.lock().waiting.remove(&number) {
        // Who asked may have gone away; the keeper notices that the grant is not spent.
        let _ = waiting.send(answer);
    }
}
