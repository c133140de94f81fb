//! Attempts of one request at one runner after another.

use std::time::Duration;

use dotterellane_fleet::CallOutcome;
use dotterellane_units::UpstreamId;
use dotterellane_upstream::{CallError, CallFault, CallLimits, CallRequest, OpenAnswer, send_call};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use rand::RngExt;

use crate::admission::{PermitTarget, deadline_exceeded, take_permit};
use crate::completion::CompletionCall;
use crate::context::EntryContext;
use crate::headers::{PRIORITY, RESUME_FROM};
use crate::holds::PermitHold;
use crate::refusal::{EntryRefusal, RefusalKind};

/// Longest pause before the second attempt; doubled for each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What has become of a request so far.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    /// Runners that failed it.
    pub excluded: Vec<UpstreamId>,
    /// Whether an upstream may have run a part of it.
    pub reached: bool,
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
    /// Runner that answers.
    pub runner: UpstreamId,
}

/// Calls one runner after another until one begins to answer.
///
/// # Errors
/// Refuses when the attempts or the time are used up, or no runner can be had.
pub async fn open_answer(
    context: &EntryContext,
    call: &CompletionCall,
    headers: &HeaderMap,
    log: &mut AttemptLog,
    resume_from: u64,
) -> Result<OpenCall, EntryRefusal> {
    loop {
        let taken = take_permit(context, call, &log.excluded).await;
        let (target, permit) = taken.map_err(|refusal| refusal.with_reached(log.reached))?;
        log.count += 1;
        let request = build_call(context, call, headers, &target, resume_from);
        let failure = match send_call(&context.pool, &request).await {
            Ok(answer) if answer.says_not_run() => {
                permit.finish(CallOutcome::Refused);
                not_run_refusal(&answer)
            }
            Ok(answer) if answer.status.is_server_error() => {
                log.reached = true;
                permit.finish(CallOutcome::Broken);
                upstream_failed(format!("{} answered {}", target.runner, answer.status))
            }
            Ok(answer) => {
                log.reached = true;
                return Ok(OpenCall { answer, permit, runner: target.runner });
            }
            Err(error) => {
                log.reached |= error.reached;
                permit.finish(outcome_of(&error));
                upstream_failed(error.to_string())
            }
        };
        log.excluded.push(target.runner);
        pause_before_retry(context, call, log, failure).await?;
    }
}

fn outcome_of(error: &CallError) -> CallOutcome {
    match error.fault {
        CallFault::Connect => CallOutcome::Broken,
        _ if error.reached => CallOutcome::Broken,
        _ => CallOutcome::Refused,
    }
}

/// Ends the attempts with `failure`, or waits a little before the next.
async fn pause_before_retry(
    context: &EntryContext,
    call: &CompletionCall,
    log: &AttemptLog,
    failure: EntryRefusal,
) -> Result<(), EntryRefusal> {
    if log.count >= context.limits.attempts {
        return Err(failure.with_reached(log.reached));
    }
    let longest = RETRY_PAUSE * 2_u32.saturating_pow(log.count.saturating_sub(1));
    let pause = longest.mul_f64(rand::rng().random_range(0.0..1.0));
    if context.time_left(call.deadline) <= pause {
        return Err(deadline_exceeded().with_reached(log.reached));
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
        fresh: false,
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

fn upstream_failed(cause: String) -> EntryRefusal {
    spdlog::debug!("upstream call failed: {}", cause);
    let message = "no upstream gave a whole answer";
    EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message)
        .with_retry_after(crate::refusal::DEFAULT_RETRY_AFTER)
}

/// Tells whether an answer carries the caller's own mistake, to be passed on as it is.
pub fn is_callers_mistake(status: StatusCode) -> bool {
    status.is_client_error()
}
