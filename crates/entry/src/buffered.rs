//! Responses of runners that are buffered completely before they are forwarded.

use bytes::Bytes;
use dotterellane_fleet::CallOutcome;
use dotterellane_units::TokenCount;
use dotterellane_upstream::CallFault;
use http::{HeaderMap, Response};
use tokio::time::timeout;

use crate::admission::deadline_exceeded;
use crate::attempt::{AttemptLog, OpenCall, is_caller_error, open_call};
use crate::body::{BoundedBuffer, EntryBody};
use crate::completion::CompletionCall;
use crate::context::{EntryContext, SharedContext};
use crate::crashes::report_if_crashed;
use crate::events::TokenUsage;
use crate::guards::ChargeGuard;
use crate::headers::runner_response_headers;
use crate::refusal::{EntryRefusal, RefusalKind};

/// Reads the response of `open` to its end, calling other runners if it breaks.
///
/// # Errors
/// Refuses if no runner sends a complete response within the limit of attempts and the deadline.
pub async fn buffer_response(
    context: &SharedContext,
    call: &CompletionCall,
    headers: &HeaderMap,
    charge: &mut ChargeGuard,
    log: &mut AttemptLog,
    mut open: OpenCall,
) -> Result<Response<EntryBody>, EntryRefusal> {
    loop {
        let reading = read_to_end(context, &mut open);
        let read = timeout(context.time_left(call.deadline), reading).await;
        let Ok(read) = read else {
            return Err(deadline_exceeded().with_reached(true));
        };
        match read {
            Ok(content) => {
                set_actual_usage(charge, call, &open, &content);
                let head = (open.response.status, runner_response_headers(&open.response.headers));
                open.permit.finish(CallOutcome::Answered);
                if open.response.status.is_success() {
                    open.attempt.completed(context.ports.clock.now());
                }
                return Ok(build_response(head, content));
            }
            Err(fault) => {
                open.permit.finish(CallOutcome::Broken);
                log.excluded.push(open.attempt.runner().clone());
                report_if_crashed(context, open.attempt, fault).await;
            }
        }
        if log.count >= context.limits.attempts {
            let message = "no upstream sent a complete response";
            let refusal = EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message);
            return Err(refusal.with_reached(true));
        }
        open = open_call(context, call, headers, log, 0).await?;
    }
}

async fn read_to_end(context: &EntryContext, open: &mut OpenCall) -> Result<Bytes, CallFault> {
    let mut buffer = BoundedBuffer::new(context.limits.buffered_response);
    loop {
        match open.response.body.data().await {
            Ok(Some(data)) if buffer.push(&data) => (),
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(_)) => return Err(CallFault::MismatchedId),
            Err(error) => return Err(error.fault),
        }
    }
}

fn set_actual_usage(
    charge: &mut ChargeGuard,
    call: &CompletionCall,
    open: &OpenCall,
    content: &[u8],
) {
    if is_caller_error(open.response.status) {
        return;
    }
    let used = TokenUsage::from_json(content)
        .map_or(call.charged(), |usage| TokenCount(usage.prompt_tokens + usage.completion_tokens));
    charge.set_used(used);
}

fn build_response(head: (http::StatusCode, HeaderMap), content: Bytes) -> Response<EntryBody> {
    let mut response = Response::new(EntryBody::full(content));
    (*response.status_mut(), *response.headers_mut()) = head;
    response
}
