//! What is settled before anything of a request is sent upstream.

use dotterellane_fleet::{ChargeRequest, FreshnessState, PermitRequest};
use dotterellane_units::{TeamId, UpstreamId};
use tokio::time::timeout;

use crate::completion::CompletionCall;
use crate::context::{EntryContext, SharedContext};
use crate::holds::{ChargeHold, PermitHold};
use crate::refusal::{EntryRefusal, RefusalKind};

/// Refuses while this daemon may have missed a change.
///
/// # Errors
/// Refuses if the daemon is not fresh.
pub fn check_freshness(context: &EntryContext) -> Result<(), EntryRefusal> {
    match context.ports.freshness() {
        FreshnessState::Fresh => Ok(()),
        FreshnessState::Stale => {
            let message = "this host may not know the newest configuration";
            Err(EntryRefusal::before_sending(RefusalKind::Stale, message))
        }
    }
}

/// Charges the team for a request.
///
/// # Errors
/// Refuses if the team's share does not allow it in time.
pub async fn charge_team(
    context: &SharedContext,
    charge: ChargeRequest,
) -> Result<ChargeHold, EntryRefusal> {
    let team = charge.team.clone();
    let time_left = context.time_left(charge.deadline);
    match timeout(time_left, context.ports.charge(charge)).await {
        Ok(Ok(receipt)) => Ok(ChargeHold::new(context.clone(), receipt)),
        Ok(Err(refusal)) => Err(with_burst(refusal.into(), context, &team)),
        Err(_) => Err(deadline_exceeded()),
    }
}

fn with_burst(mut refusal: EntryRefusal, context: &EntryContext, team: &TeamId) -> EntryRefusal {
    let snapshot = context.ports.configuration.current();
    refusal.burst = snapshot.document.teams.get(team).map(|team| team.burst);
    refusal
}

/// Waits for a place on a runner that has not failed this request.
///
/// # Errors
/// Refuses if no place can be had in time.
pub async fn take_permit(
    context: &SharedContext,
    call: &CompletionCall,
    excluded: &[UpstreamId],
) -> Result<(PermitTarget, PermitHold), EntryRefusal> {
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
            Ok((target, PermitHold::new(context.clone(), permit)))
        }
        Ok(Err(refusal)) => Err(refusal.into()),
        Err(_) => Err(deadline_exceeded()),
    }
}

/// Where a permit sends its request.
#[derive(Clone, Debug)]
pub struct PermitTarget {
    /// Runner.
    pub runner: UpstreamId,
    /// Address of the runner.
    pub address: std::net::SocketAddr,
    /// Priority at the engine.
    pub priority: u32,
}

/// Returns the refusal of a request whose deadline passed before it was sent.
pub fn deadline_exceeded() -> EntryRefusal {
    let message = "the request could not be answered before its deadline";
    EntryRefusal::before_sending(RefusalKind::DeadlineExceeded, message)
        .with_retry_after(crate::refusal::DEFAULT_RETRY_AFTER)
}
