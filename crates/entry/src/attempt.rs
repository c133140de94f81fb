//! Attempts of one request at one runner after another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dotterellane_fleet::CallOutcome;
use dotterellane_units::UpstreamId;
use dotterellane_upstream::{CallError, CallFault, CallLimits, CallRequest, OpenAnswer, send_call};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use rand::RngExt;

use crate::admission::{PermitTarget, check_freshness, deadline_exceeded, take_permit};
use crate::completion::CompletionCall;
use crate::context::{EntryContext, SharedContext};
use crate::crashes::{
    FlightHold, check_quarantine, enter_flight, report_break, wait_for_isolation,
};
use crate::headers::{PRIORITY, RESUME_FROM};
use crate::holds::PermitHold;
use crate::refusal::{EntryRefusal, RefusalKind};

/// Longest pause before the second attempt; doubled for each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Whether an upstream may have run a part of a request; seen also by who cancels it.
#[derive(Clone, Debug, Default)]
pub struct ReachFlag(Arc<AtomicBool>);

impl ReachFlag {
    /// Reads the flag.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn set(&self, reached: bool) {
        self.0.store(reached, Ordering::Relaxed);
    }
}

/// What has become of a request so far.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    /// Runners that failed it.
    pub excluded: Vec<UpstreamId>,
    /// Whether an upstream may have run a part of it.
    pub reached: ReachFlag,
    /// Attempts made.
    pub count: u32,
}

/// An answer that has begun, and the permit it runs under.
#[derive(Debug)]
pub struct OpenCall {
    /// The answer.
    pub answer: OpenAnswer,
    /// Permit.
    pub permit: PermitHold,
    /// Its time at the runner.
    pub flight: FlightHold,
}

/// Calls one runner after another until one begins to answer.
///
/// # Errors
/// Refuses when the attempts or the time are used up, or no runner can be had.
pub async fn open_answer(
    context: &SharedContext,
    call: &CompletionCall,
    headers: &HeaderMap,
    log: &mut AttemptLog,
    resume_from: u64,
) -> Result<OpenCall, EntryRefusal> {
    loop {
        let (target, permit, flight) = take_place(context, call, log).await?;
        // The wait for the place may have outlasted what this host knows.
        check_freshness(context).map_err(|refusal| refusal.with_reached(log.reached.get()))?;
        log.count += 1;
        let request = build_call(context, call, headers, &target, resume_from);
        let reached_before = log.reached.get();
        log.reached.set(true);
        let sent = send_call(&context.pool, &request).await;
        // A connection that lost its way says nothing of the runner behind it.
        let lost =
            matches!(&sent, Err(error) if error.fault == CallFault::TimedOut && error.reused);
        let failure = match sent {
            Ok(answer) if answer.says_not_run() => {
                log.reached.set(reached_before);
                permit.finish(CallOutcome::Refused);
                not_run_refusal(&answer)
            }
            Ok(answer) if answer.status.is_server_error() => {
                permit.finish(CallOutcome::Broken);
                upstream_failed(&format!("{} answered {}", target.runner, answer.status))
            }
            Ok(answer) => return Ok(OpenCall { answer, permit, flight }),
            Err(error) => {
                log.reached.set(reached_before || error.reached);
                permit.finish(outcome_of(&error));
                report_break(context, flight, error.fault).await;
                upstream_failed(&error.to_string())
            }
        };
        if !lost {
            log.excluded.push(target.runner);
        }
        pause_before_retry(context, call, log, failure).await?;
    }
}

/// Takes a permit for a runner that the request may go to.
async fn take_place(
    context: &SharedContext,
    call: &CompletionCall,
    log: &AttemptLog,
) -> Result<(PermitTarget, PermitHold, FlightHold), EntryRefusal> {
    let reached = log.reached.get();
    let mut avoided = Vec::new();
    loop {
        check_quarantine(context, call, reached)?;
        let excluded = [log.excluded.as_slice(), avoided.as_slice()].concat();
        let (target, permit) = match take_permit(context, call, &excluded).await {
            Ok(taken) => taken,
            Err(_) if !avoided.is_empty() => {
                // Every other runner is taken by a suspect too; one of them leaves sooner or later.
                avoided.clear();
                wait_for_isolation(context, call, reached).await?;
                continue;
            }
            Err(refusal) => return Err(refusal.with_reached(reached)),
        };
        if let Some(flight) = enter_flight(context, call, &target.runner, target.address) {
            return Ok((target, permit, flight));
        }
        avoided.push(target.runner);
    }
}

fn outcome_of(error: &CallError) -> CallOutcome {
    if error.reached || error.fault == CallFault::Connect {
        return CallOutcome::Broken;
    }
    CallOutcome::Refused
}

/// Ends the attempts with `failure`, or waits a little before the next.
async fn pause_before_retry(
    context: &EntryContext,
    call: &CompletionCall,
    log: &AttemptLog,
    failure: EntryRefusal,
) -> Result<(), EntryRefusal> {
    if log.count >= context.limits.attempts {
        return Err(failure.with_reached(log.reached.get()));
    }
    let longest = RETRY_PAUSE * 2_u32.saturating_pow(log.count.saturating_sub(1));
    let pause = longest.mul_f64(rand::rng().random_range(0.0..1.0));
    if context.time_left(call.deadline) <= pause {
        return Err(deadline_exceeded().with_reached(log.reached.get()));
    }
    tokio::time::sleep(pause).await;
    Ok(())
}

fn build_call(
    context: &EntryContext,
    call: &CompletionCall,
    headers: &HeaderMap,
    target: &PermitTarget,
    resume_from: u64,
) -> CallRequest {
    let mut headers = headers.clone();
    headers.insert(PRIORITY, HeaderValue::from(target.priority));
    if resume_from > 0 {
        headers.insert(RESUME_FROM, HeaderValue::from(resume_from));
    }
    CallRequest {
        address: target.address,
        request: call.request,
        method: Method::POST,
        target: call.kind.path().to_owned(),
        headers,
        body: call.body.clone(),
        dedicated_connection: false,
        echo_required: true,
        limits: call_limits(context, call),
    }
}

/// A stream begins soon; a whole answer comes late, but leaves time for another attempt.
fn call_limits(context: &EntryContext, call: &CompletionCall) -> CallLimits {
    let half = context.time_left(call.deadline) / 2;
    let first_byte = if call.streamed { half.min(context.limits.silence) } else { half };
    CallLimits { connect: context.limits.connect.min(half), first_byte }
}

fn not_run_refusal(answer: &OpenAnswer) -> EntryRefusal {
    let seconds = answer.headers.get(http::header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(1);
    let refusal = EntryRefusal::before_sending(
        RefusalKind::Unavailable,
        format!("the runners refuse new requests ({})", answer.status),
    );
    refusal.with_retry_after(Duration::from_secs(seconds))
}

fn upstream_failed(cause: &str) -> EntryRefusal {
    spdlog::debug!("upstream call failed: {}", cause);
    let message = "no upstream gave a whole answer";
    EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message)
        .with_retry_after(crate::refusal::DEFAULT_RETRY_AFTER)
}

/// Tells whether an answer carries the caller's own mistake, to be passed on as it is.
pub fn is_callers_mistake(status: StatusCode) -> bool {
    status.is_client_error()
}
