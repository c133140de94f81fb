//! Answers that are held whole before they are passed on.

use bytes::Bytes;
use dotterellane_fleet::CallOutcome;
use dotterellane_units::TokenCount;
use dotterellane_upstream::CallFault;
use http::{HeaderMap, Response};
use tokio::time::timeout;

use crate::admission::deadline_exceeded;
use crate::attempt::{AttemptLog, OpenCall, is_callers_mistake, open_answer};
use crate::body::{BoundedBuffer, EntryBody};
use crate::completion::CompletionCall;
use crate::context::{EntryContext, SharedContext};
use crate::crashes::report_break;
use crate::events::TokenUsage;
use crate::headers::runner_answer_headers;
use crate::holds::ChargeHold;
use crate::refusal::{EntryRefusal, RefusalKind};

/// Answers a request with a whole answer of a runner, or a refusal.
///
/// # Errors
/// Refuses if no runner gives a whole answer in time.
pub async fn answer_whole(
    context: &SharedContext,
    call: &CompletionCall,
    headers: &HeaderMap,
    charge: &mut ChargeHold,
    log: &mut AttemptLog,
    mut open: OpenCall,
) -> Result<Response<EntryBody>, EntryRefusal> {
    loop {
        let reading = read_whole(context, &mut open);
        let read = timeout(context.time_left(call.deadline), reading).await;
        let Ok(read) = read else {
            return Err(deadline_exceeded().with_reached(true));
        };
        match read {
            Ok(content) => {
                settle(charge, call, &open, &content);
                let head = (open.answer.status, runner_answer_headers(&open.answer.headers));
                open.permit.finish(CallOutcome::Answered);
                if open.answer.status.is_success() {
                    open.flight.completed(context.ports.clock.now());
                }
                return Ok(build_answer(head, content));
            }
            Err(fault) => {
                open.permit.finish(CallOutcome::Broken);
                log.excluded.push(open.flight.runner().clone());
                report_break(context, open.flight, fault).await;
            }
        }
        if log.count >= context.limits.attempts {
            let message = "no upstream gave a whole answer";
            let refusal = EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message);
            return Err(refusal.with_reached(true));
        }
        open = open_answer(context, call, headers, log, 0).await?;
    }
}

async fn read_whole(context: &EntryContext, open: &mut OpenCall) -> Result<Bytes, CallFault> {
    let mut buffer = BoundedBuffer::new(context.limits.answer);
    loop {
        match open.answer.body.data().await {
            Ok(Some(data)) if buffer.push(&data) => (),
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(_)) => return Err(CallFault::MismatchedId),
            Err(error) => return Err(error.fault),
        }
    }
}

fn settle(charge: &mut ChargeHold, call: &CompletionCall, open: &OpenCall, content: &[u8]) {
    if is_callers_mistake(open.answer.status) {
        return;
    }
    let used = TokenUsage::from_json(content)
        .map_or(call.charged(), |usage| TokenCount(usage.prompt_tokens + usage.completion_tokens));
    charge.set_used(used);
}

fn build_answer(head: (http::StatusCode, HeaderMap), content: Bytes) -> Response<EntryBody> {
    let mut response = Response::new(EntryBody::full(content));
    (*response.status_mut(), *response.headers_mut()) = head;
    response
}
