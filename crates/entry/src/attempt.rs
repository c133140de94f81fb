//! Sends a request to runners, one attempt after another, until one starts to respond.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dotterellane_fleet::CallOutcome;
use dotterellane_units::UpstreamId;
use dotterellane_upstream::{
    CallError, CallFault, CallLimits, CallRequest, OpenResponse, send_call,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use rand::RngExt;

use crate::admission::{PermitTarget, acquire_permit, check_freshness, deadline_exceeded};
use crate::completion::CompletionCall;
use crate::context::{EntryContext, SharedContext};
use crate::crashes::{
    AttemptGuard, begin_attempt, check_quarantine, report_if_crashed, wait_for_isolation,
};
use crate::guards::PermitGuard;
use crate::headers::{PRIORITY, RESUME_FROM};
use crate::refusal::{EntryRefusal, RefusalKind};

/// Upper bound of the random backoff before the second attempt; doubled for each further attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(20);

/// Whether an upstream may have run a part of a request.
///
/// Clones share the flag, so that code that cancels the request can still read it.
#[derive(Clone, Debug, Default)]
pub struct ReachFlag(Arc<AtomicBool>);

impl ReachFlag {
    /// Returns whether an upstream may have run a part of the request.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn set(&self, reached: bool) {
        self.0.store(reached, Ordering::Relaxed);
    }
}

/// Attempts that were made for one request.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    /// Runners that failed the request and are not tried again.
    pub excluded: Vec<UpstreamId>,
    /// Whether an upstream may have run a part of the request.
    pub reached: ReachFlag,
    /// Number of attempts made.
    pub count: u32,
}

/// Call of a runner whose response head was received.
#[derive(Debug)]
pub struct OpenCall {
    /// Response whose body is still to be read.
    pub response: OpenResponse,
    /// Permit that the call holds.
    pub permit: PermitGuard,
    /// Record of the attempt for crash detection.
    pub attempt: AttemptGuard,
}

/// Calls one runner after another until one starts to respond.
///
/// A `resume_from` above 0 asks the runner to skip that many chunks, which the caller already has.
///
/// # Errors
/// Refuses if the limit of attempts or the deadline is reached, or if no runner is available.
pub async fn open_call(
    context: &SharedContext,
    call: &CompletionCall,
    headers: &HeaderMap,
    log: &mut AttemptLog,
    resume_from: u64,
) -> Result<OpenCall, EntryRefusal> {
    loop {
        let (target, permit, attempt) = acquire_runner(context, call, log).await?;
        // This host may have become stale while it waited for the permit.
        check_freshness(context).map_err(|refusal| refusal.with_reached(log.reached.get()))?;
        log.count += 1;
        let request = build_request(context, call, headers, &target, resume_from);
        let reached_before = log.reached.get();
        log.reached.set(true);
        let sent = send_call(&context.pool, &request).await;
        // A reused connection may have died unnoticed; its silence is no evidence against the
        // runner, which may be tried again.
        let lost =
            matches!(&sent, Err(error) if error.fault == CallFault::TimedOut && error.reused);
        let failure = match sent {
            Ok(response) if response.says_not_run() => {
                log.reached.set(reached_before);
                permit.finish(CallOutcome::Refused);
                not_run_refusal(&response)
            }
            Ok(response) if response.status.is_server_error() => {
                permit.finish(CallOutcome::Broken);
                upstream_failed(&format!("{} returned {}", target.runner, response.status))
            }
            Ok(response) => return Ok(OpenCall { response, permit, attempt }),
            Err(error) => {
                log.reached.set(reached_before || error.reached);
                permit.finish(outcome_of(&error));
                report_if_crashed(context, attempt, error.fault).await;
                upstream_failed(&error.to_string())
            }
        };
        if !lost {
            log.excluded.push(target.runner);
        }
        back_off(context, call, log, failure).await?;
    }
}

/// Acquires a permit for a runner that the request may be sent to.
///
/// A request suspected of crashing runners is not sent to a runner that serves another suspect.
async fn acquire_runner(
    context: &SharedContext,
    call: &CompletionCall,
    log: &AttemptLog,
) -> Result<(PermitTarget, PermitGuard, AttemptGuard), EntryRefusal> {
    let reached = log.reached.get();
    let mut avoided = Vec::new();
    loop {
        check_quarantine(context, call, reached)?;
        let excluded = [log.excluded.as_slice(), avoided.as_slice()].concat();
        let (target, permit) = match acquire_permit(context, call, &excluded).await {
            Ok(taken) => taken,
            Err(_) if !avoided.is_empty() => {
                // All available runners serve other suspects; wait until one of those finishes.
                avoided.clear();
                wait_for_isolation(context, call, reached).await?;
                continue;
            }
            Err(refusal) => return Err(refusal.with_reached(reached)),
        };
        if let Some(attempt) = begin_attempt(context, call, &target.runner, target.address) {
            return Ok((target, permit, attempt));
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

/// Waits before the next attempt.
///
/// # Errors
/// Returns `failure` if the limit of attempts is reached, or refuses if the deadline would pass
/// during the wait.
async fn back_off(
    context: &EntryContext,
    call: &CompletionCall,
    log: &AttemptLog,
    failure: EntryRefusal,
) -> Result<(), EntryRefusal> {
    if log.count >= context.limits.attempts {
        return Err(failure.with_reached(log.reached.get()));
    }
    let longest = BASE_BACKOFF * 2_u32.saturating_pow(log.count.saturating_sub(1));
    let pause = longest.mul_f64(rand::rng().random_range(0.0..1.0));
    if context.time_left(call.deadline) <= pause {
        return Err(deadline_exceeded().with_reached(log.reached.get()));
    }
    tokio::time::sleep(pause).await;
    Ok(())
}

fn build_request(
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

/// Returns the timeouts of one attempt, which leave half of the time for another one.
///
/// The head of a stream is due within the idle timeout. The head of a buffered response comes only
/// after the engine has generated all of it.
fn call_limits(context: &EntryContext, call: &CompletionCall) -> CallLimits {
    let half = context.time_left(call.deadline) / 2;
    let first_byte = if call.streamed { half.min(context.limits.idle_timeout) } else { half };
    CallLimits { connect: context.limits.connect_timeout.min(half), first_byte }
}

fn not_run_refusal(response: &OpenResponse) -> EntryRefusal {
    let seconds = response.headers.get(http::header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(1);
    let refusal = EntryRefusal::before_sending(
        RefusalKind::Unavailable,
        format!("the runners refuse new requests ({})", response.status),
    );
    refusal.with_retry_after(Duration::from_secs(seconds))
}

fn upstream_failed(cause: &str) -> EntryRefusal {
    spdlog::debug!("upstream call failed: {}", cause);
    let message = "no upstream sent a complete response";
    EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message)
        .with_retry_after(crate::refusal::DEFAULT_RETRY_AFTER)
}

/// Returns whether a response reports an error of the caller and is forwarded unchanged.
pub fn is_caller_error(status: StatusCode) -> bool {
    status.is_client_error()
}
