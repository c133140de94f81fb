//! Relays a stream of events from a runner to the caller.

use std::fmt;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use dotterellane_fleet::CallOutcome;
use dotterellane_units::TokenCount;
use dotterellane_upstream::{AnswerBody, CallError};
use futures::future::BoxFuture;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};

use crate::attempt::{AttemptLog, OpenCall, open_answer};
use crate::completion::CompletionCall;
use crate::context::SharedContext;
use crate::events::EventSplitter;
use crate::holds::{ChargeHold, PermitHold};
use crate::refusal::{EntryRefusal, RefusalKind};

type Reopening = BoxFuture<'static, (Result<OpenCall, EntryRefusal>, AttemptLog)>;

enum RelayPhase {
    /// Chunks come.
    Relaying { body: AnswerBody, permit: PermitHold },
    /// The final mark was passed on; the connection's end is awaited.
    Closing { body: AnswerBody },
    /// The stream broke; another runner is asked to go on.
    Reopening(Reopening),
    /// Nothing comes any more.
    Ended,
}

/// The body of a relayed stream.
///
/// Whole events alone are passed on, so that a resumed stream continues where the caller stands.
pub struct RelayBody {
    context: SharedContext,
    call: Arc<CompletionCall>,
    headers: HeaderMap,
    charge: ChargeHold,
    log: AttemptLog,
    phase: RelayPhase,
    splitter: EventSplitter,
}

impl RelayBody {
    /// Relays `open`, which answers `call`.
    pub fn new(
        context: SharedContext,
        call: Arc<CompletionCall>,
        headers: HeaderMap,
        charge: ChargeHold,
        log: AttemptLog,
        open: OpenCall,
    ) -> Self {
        let phase = RelayPhase::Relaying { body: open.answer.body, permit: open.permit };
        let splitter = EventSplitter::default();
        Self { context, call, headers, charge, log, phase, splitter }
    }

    /// Polls for the next events; `None` at the end.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            let step = match &mut self.phase {
                RelayPhase::Relaying { body, .. } => match body.poll_data(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(read) => self.on_read(read),
                },
                RelayPhase::Closing { body } => match body.poll_data(cx) {
                    Poll::Pending => return Poll::Pending,
                    // Whatever comes after the mark is not the caller's; the connection is closed.
                    Poll::Ready(_) => {
                        self.phase = RelayPhase::Ended;
                        None
                    }
                },
                RelayPhase::Reopening(reopening) => match reopening.as_mut().poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready((reopened, log)) => {
                        self.log = log;
                        self.on_reopened(reopened)
                    }
                },
                RelayPhase::Ended => return Poll::Ready(None),
            };
            if let Some(events) = step {
                return Poll::Ready(Some(events));
            }
        }
    }

    fn on_read(&mut self, read: Result<Option<Bytes>, CallError>) -> Option<Bytes> {
        let events = match read {
            Ok(Some(data)) => self.splitter.push(data),
            Ok(None) | Err(_) => {
                self.reopen();
                return None;
            }
        };
        let Ok(events) = events else {
            self.reopen();
            return None;
        };
        self.charge.set_used(self.used());
        if self.splitter.is_done() {
            self.finish();
        }
        (!events.is_empty()).then_some(events)
    }

    fn used(&self) -> TokenCount {
        self.call.prompt + TokenCount(self.splitter.chunks())
    }

    fn finish(&mut self) {
        if let Some(usage) = self.splitter.usage() {
            self.charge.set_used(TokenCount(usage.prompt_tokens + usage.completion_tokens));
        }
        if let RelayPhase::Relaying { body, permit } = self.end_phase() {
            permit.finish(CallOutcome::Answered);
            if !self.splitter.has_excess() {
                self.phase = RelayPhase::Closing { body };
            }
        }
    }

    fn end_phase(&mut self) -> RelayPhase {
        std::mem::replace(&mut self.phase, RelayPhase::Ended)
    }

    /// Asks another runner to go on from what the caller already has.
    fn reopen(&mut self) {
        if let RelayPhase::Relaying { permit, .. } = self.end_phase() {
            permit.finish(CallOutcome::Broken);
        }
        self.splitter.resume();
        let context = self.context.clone();
        let call = self.call.clone();
        let headers = self.headers.clone();
        let mut log = self.log.clone();
        let chunks = self.splitter.chunks();
        self.phase = RelayPhase::Reopening(Box::pin(async move {
            if log.count >= context.limits.attempts {
                let message = "the stream broke and no runner could go on with it";
                let refusal = EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message);
                return (Err(refusal.with_reached(true)), log);
            }
            let reopened = open_answer(&context, &call, &headers, &mut log, chunks).await;
            (reopened, log)
        }));
    }

    fn on_reopened(&mut self, reopened: Result<OpenCall, EntryRefusal>) -> Option<Bytes> {
        match reopened {
            Ok(open) if is_event_stream(&open) => {
                self.phase = RelayPhase::Relaying { body: open.answer.body, permit: open.permit };
                None
            }
            Ok(_) => {
                let message = "the stream broke and the next runner refused to go on with it";
                let refusal = EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message);
                self.phase = RelayPhase::Ended;
                Some(refusal.to_event())
            }
            Err(refusal) => {
                self.phase = RelayPhase::Ended;
                Some(refusal.to_event())
            }
        }
    }
}

/// Tells whether an answer is a stream of events.
pub fn is_event_stream(open: &OpenCall) -> bool {
    let kind = open.answer.headers.get(CONTENT_TYPE);
    open.answer.status == StatusCode::OK
        && kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

impl fmt::Debug for RelayBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayBody").field("request", &self.call.request).finish_non_exhaustive()
    }
}
