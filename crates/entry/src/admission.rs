//! Checks and reservations that precede sending a request upstream.

use dotterellane_fleet::{ChargeRequest, FreshnessState, PermitRequest};
use dotterellane_units::{TeamId, UpstreamId};
use tokio::time::timeout;

use crate::completion::CompletionCall;
use crate::context::{EntryContext, SharedContext};
use crate::guards::{ChargeGuard, PermitGuard};
use crate::refusal::{EntryRefusal, RefusalKind};

/// Checks that this daemon knows every change of the configuration that is in force.
///
/// # Errors
/// Refuses if the daemon is stale, that is, may lack such a change.
pub fn check_freshness(context: &EntryContext) -> Result<(), EntryRefusal> {
    match context.ports.freshness() {
        FreshnessState::Fresh => Ok(()),
        FreshnessState::Stale => {
            let message = "this host may not know the newest configuration";
            Err(EntryRefusal::before_sending(RefusalKind::Stale, message))
        }
    }
}

/// Charges a request to its team's rate limit, waiting for tokens until the deadline if necessary.
///
/// # Errors
/// Refuses if the team is over its rate or burst, or if its share cannot be reached in time.
pub async fn charge_team(
    context: &SharedContext,
    charge: ChargeRequest,
) -> Result<ChargeGuard, EntryRefusal> {
    let team = charge.team.clone();
    let time_left = context.time_left(charge.deadline);
    match timeout(time_left, context.ports.charge(charge)).await {
        Ok(Ok(receipt)) => Ok(ChargeGuard::new(context.clone(), receipt)),
        Ok(Err(refusal)) => Err(with_burst(refusal.into(), context, &team)),
        Err(_) => Err(deadline_exceeded()),
    }
}

fn with_burst(mut refusal: EntryRefusal, context: &EntryContext, team: &TeamId) -> EntryRefusal {
    let snapshot = context.ports.configuration.current();
    refusal.burst = snapshot.document.teams.get(team).map(|team| team.burst);
    refusal
}

/// Acquires a permit for a runner that is not in `excluded`, waiting in the model's queue.
///
/// # Errors
/// Refuses if the dispatcher denies the permit or the deadline passes.
pub async fn acquire_permit(
    context: &SharedContext,
    call: &CompletionCall,
    excluded: &[UpstreamId],
) -> Result<(PermitTarget, PermitGuard), EntryRefusal> {
    let permit = PermitRequest {
        request: call.request,
        team: call.team.clone(),
        model: call.model.clone(),
        adapter: call.adapter.clone(),
        tokens: call.charged(),
        prefix: call.prefix.clone(),
        excluded: excluded.to_vec(),
        deadline: call.deadline,
    };
    let waiting = context.ports.permit(permit);
    match timeout(context.time_left(call.deadline), waiting).await {
        Ok(Ok(permit)) => {
            let target = PermitTarget {
                runner: permit.runner.clone(),
                address: permit.address,
                priority: permit.priority,
            };
            Ok((target, PermitGuard::new(context.clone(), permit)))
        }
        Ok(Err(refusal)) => Err(refusal.into()),
        Err(_) => Err(deadline_exceeded()),
    }
}

/// Runner that a permit assigns to its request.
#[derive(Clone, Debug)]
pub struct PermitTarget {
    /// Id of the runner.
    pub runner: UpstreamId,
    /// Address of the runner.
    pub address: std::net::SocketAddr,
    /// Priority at the runner's engine; smaller runs first.
    pub priority: u32,
}

/// Returns the refusal of a request whose deadline passed.
///
/// It says that the request was not run unless [`EntryRefusal::with_reached`] is applied.
pub fn deadline_exceeded() -> EntryRefusal {
    let message = "the request could not be answered before its deadline";
    EntryRefusal::before_sending(RefusalKind::DeadlineExceeded, message)
        .with_retry_after(crate::refusal::DEFAULT_RETRY_AFTER)
}
