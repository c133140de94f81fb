//! Relaying of event streams from runners to callers.
//!
//! A stream that breaks is resumed at another runner, which skips the chunks that the caller
//! already has.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use dotterellane_fleet::CallOutcome;
use dotterellane_units::TokenCount;
use dotterellane_upstream::{CallError, CallFault, ResponseBody};
use futures::future::BoxFuture;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::time::Instant;

use crate::admission::deadline_exceeded;
use crate::attempt::{AttemptLog, OpenCall, open_call};
use crate::completion::CompletionCall;
use crate::context::SharedContext;
use crate::crashes::{AttemptGuard, report_if_crashed};
use crate::events::EventSplitter;
use crate::guards::{ChargeGuard, PermitGuard};
use crate::keys::is_key_valid;
use crate::refusal::{EntryRefusal, RefusalKind};
use crate::streams::StreamRegistration;

type Reopening = BoxFuture<'static, (Result<OpenCall, EntryRefusal>, AttemptLog)>;

enum RelayPhase {
    /// Events are forwarded as they are received.
    Relaying(Box<RelaySource>),
    /// The `[DONE]` event was forwarded; waiting for the end of the runner's body.
    Closing { body: ResponseBody },
    /// The stream broke; another runner is called to resume it.
    Reopening(Reopening),
    /// The stream ends after this error event.
    Refusing(Bytes),
    /// The stream has ended.
    Ended,
}

/// Call of the runner that the events currently come from.
struct RelaySource {
    body: ResponseBody,
    permit: PermitGuard,
    attempt: AttemptGuard,
}

/// Side of the relay that a stream waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AwaitedSide {
    Upstream,
    Caller,
}

/// State of a relayed stream.
pub struct RelayState {
    context: SharedContext,
    call: Arc<CompletionCall>,
    headers: HeaderMap,
    charge: Option<ChargeGuard>,
    log: AttemptLog,
    phase: RelayPhase,
    splitter: EventSplitter,
    awaited: AwaitedSide,
    awaited_since: Instant,
    waker: Option<Waker>,
}

/// Relayed stream, polled by the caller's connection and checked periodically by
/// [`sweep_streams`](crate::streams::sweep_streams).
pub struct RelayStream(Mutex<RelayState>);

impl RelayStream {
    fn state(&self) -> MutexGuard<'_, RelayState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends or resumes the stream if one side is idle for too long, the deadline has passed or the
    /// key was withdrawn.
    pub fn check(&self) {
        let mut state = self.state();
        if state.check(Instant::now())
            && let Some(waker) = state.waker.take()
        {
            waker.wake();
        }
    }

    fn close(&self) {
        let mut state = self.state();
        state.phase = RelayPhase::Ended;
        state.charge = None;
    }
}

/// Body of a response that relays an event stream.
///
/// Only complete events are forwarded, so that another runner can resume the stream exactly after
/// the last event that the caller has.
pub struct RelayBody {
    stream: Arc<RelayStream>,
    _registration: StreamRegistration,
}

impl RelayBody {
    /// Starts to relay the response of `open` to `call`.
    pub fn new(
        context: SharedContext,
        call: Arc<CompletionCall>,
        headers: HeaderMap,
        charge: ChargeGuard,
        log: AttemptLog,
        open: OpenCall,
    ) -> Self {
        let streams = context.streams.clone();
        let state = RelayState {
            context,
            call,
            headers,
            charge: Some(charge),
            log,
            phase: relaying(open),
            splitter: EventSplitter::default(),
            awaited: AwaitedSide::Upstream,
            awaited_since: Instant::now(),
            waker: None,
        };
        let stream = Arc::new(RelayStream(Mutex::new(state)));
        let registration = streams.register(stream.clone());
        Self { stream, _registration: registration }
    }

    /// Polls for the next complete events; `None` at the end of the stream.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let mut state = self.stream.state();
        let polled = state.poll_event(cx);
        match polled {
            Poll::Ready(_) => state.set_awaited(AwaitedSide::Caller, Instant::now()),
            Poll::Pending => {
                if state.awaited != AwaitedSide::Upstream {
                    state.set_awaited(AwaitedSide::Upstream, Instant::now());
                }
                state.store_waker(cx);
            }
        }
        polled
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.stream.close();
    }
}

fn relaying(open: OpenCall) -> RelayPhase {
    let source =
        RelaySource { body: open.response.body, permit: open.permit, attempt: open.attempt };
    RelayPhase::Relaying(Box::new(source))
}

impl RelayState {
    fn set_awaited(&mut self, side: AwaitedSide, now: Instant) {
        self.awaited = side;
        self.awaited_since = now;
    }

    fn store_waker(&mut self, cx: &Context<'_>) {
        match &mut self.waker {
            Some(waker) => waker.clone_from(cx.waker()),
            None => self.waker = Some(cx.waker().clone()),
        }
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            let step = match &mut self.phase {
                RelayPhase::Relaying(source) => match source.body.poll_data(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(read) => self.on_read(read),
                },
                RelayPhase::Closing { body } => match body.poll_data(cx) {
                    Poll::Pending => return Poll::Pending,
                    // Data after `[DONE]` is not forwarded; the connection that sent it is closed.
                    Poll::Ready(_) => {
                        self.phase = RelayPhase::Ended;
                        None
                    }
                },
                RelayPhase::Reopening(reopening) => match reopening.as_mut().poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready((reopened, log)) => {
                        self.log = log;
                        self.on_reopened(reopened);
                        None
                    }
                },
                RelayPhase::Refusing(event) => {
                    let event = std::mem::take(event);
                    self.phase = RelayPhase::Ended;
                    Some(event)
                }
                RelayPhase::Ended => {
                    self.charge = None;
                    return Poll::Ready(None);
                }
            };
            if let Some(events) = step {
                return Poll::Ready(Some(events));
            }
        }
    }

    fn on_read(&mut self, read: Result<Option<Bytes>, CallError>) -> Option<Bytes> {
        self.set_awaited(AwaitedSide::Upstream, Instant::now());
        let data = match read {
            Ok(Some(data)) => data,
            Ok(None) => {
                self.reopen(CallFault::Incomplete);
                return None;
            }
            Err(error) => {
                self.reopen(error.fault);
                return None;
            }
        };
        let Ok(events) = self.splitter.push(data) else {
            self.reopen(CallFault::Incomplete);
            return None;
        };
        if let Some(charge) = &mut self.charge {
            charge.set_used(self.call.prompt + TokenCount(self.splitter.chunks()));
        }
        if self.splitter.is_done() {
            self.finish();
        }
        (!events.is_empty()).then_some(events)
    }

    fn finish(&mut self) {
        if let (Some(usage), Some(charge)) = (self.splitter.usage(), &mut self.charge) {
            charge.set_used(TokenCount(usage.prompt_tokens + usage.completion_tokens));
        }
        if let RelayPhase::Relaying(source) = self.take_phase() {
            let RelaySource { body, permit, attempt } = *source;
            permit.finish(CallOutcome::Answered);
            attempt.completed(self.context.ports.clock.now());
            if !self.splitter.has_excess() {
                self.phase = RelayPhase::Closing { body };
            }
        }
    }

    fn take_phase(&mut self) -> RelayPhase {
        std::mem::replace(&mut self.phase, RelayPhase::Ended)
    }

    fn refuse(&mut self, refusal: &EntryRefusal) {
        self.phase = RelayPhase::Refusing(refusal.to_event());
    }

    /// Calls another runner to resume the stream after the chunks that the caller already has.
    fn reopen(&mut self, fault: CallFault) {
        let RelayPhase::Relaying(source) = self.take_phase() else { return };
        let RelaySource { body, permit, attempt } = *source;
        // A reused connection may have died unnoticed; its silence is no evidence against the
        // runner, which may be tried again.
        let lost = fault == CallFault::TimedOut && body.is_reused();
        permit.finish(CallOutcome::Broken);
        self.splitter.discard_partial();
        let (context, call) = (self.context.clone(), self.call.clone());
        let headers = self.headers.clone();
        let mut log = self.log.clone();
        let chunks = self.splitter.chunks();
        self.phase = RelayPhase::Reopening(Box::pin(async move {
            if !lost {
                log.excluded.push(attempt.runner().clone());
            }
            report_if_crashed(&context, attempt, fault).await;
            if log.count >= context.limits.attempts {
                let message = "the stream broke and no runner could resume it";
                let refusal = EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message);
                return (Err(refusal.with_reached(true)), log);
            }
            let reopened = open_call(&context, &call, &headers, &mut log, chunks).await;
            (reopened, log)
        }));
    }

    fn on_reopened(&mut self, reopened: Result<OpenCall, EntryRefusal>) {
        match reopened {
            Ok(open) => {
                let is_continued =
                    is_event_stream(&open) && !open.response.headers.contains_key(CONTENT_ENCODING);
                self.phase = relaying(open);
                if !is_continued {
                    self.reopen(CallFault::MismatchedId);
                }
            }
            Err(refusal) => self.refuse(&refusal),
        }
    }

    /// Checks timeouts, deadline and key; returns whether the stream must be polled again.
    fn check(&mut self, now: Instant) -> bool {
        if matches!(self.phase, RelayPhase::Ended | RelayPhase::Refusing(_)) {
            return false;
        }
        if let RelayPhase::Closing { .. } = self.phase {
            let silent = self.is_idle(now);
            if silent {
                self.phase = RelayPhase::Ended;
            }
            return silent;
        }
        if !self.is_key_valid() {
            let message = "the key was withdrawn";
            self.refuse(&EntryRefusal::before_sending(RefusalKind::KeyWithdrawn, message));
            return true;
        }
        if self.context.time_left(self.call.deadline).is_zero() {
            self.refuse(&deadline_exceeded());
            return true;
        }
        match self.awaited {
            AwaitedSide::Caller => self.check_caller(now),
            AwaitedSide::Upstream => self.check_upstream(now),
        }
    }

    /// Ends the call to the runner if the caller has accepted no data for too long.
    ///
    /// The write timeout of the caller's connection does not cover a single stalled HTTP/2 stream.
    fn check_caller(&mut self, now: Instant) -> bool {
        let stalled = now.duration_since(self.awaited_since) >= self.context.limits.write_timeout;
        if stalled {
            let message = "the caller accepted no data for too long";
            self.refuse(&EntryRefusal::before_sending(RefusalKind::SlowCaller, message));
        }
        stalled
    }

    fn check_upstream(&mut self, now: Instant) -> bool {
        if !self.is_idle(now) {
            return false;
        }
        let RelayPhase::Relaying(source) = &mut self.phase else { return false };
        source.body.invalidate();
        self.reopen(CallFault::TimedOut);
        true
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.awaited == AwaitedSide::Upstream
            && now.duration_since(self.awaited_since) >= self.context.limits.idle_timeout
    }

    fn is_key_valid(&self) -> bool {
        let snapshot = self.context.ports.configuration.current();
        let epoch_seconds = (self.context.epoch_seconds)();
        is_key_valid(&self.call.key, &self.call.team, &snapshot.document, epoch_seconds)
    }
}

/// Returns whether a response is an event stream.
pub fn is_event_stream(open: &OpenCall) -> bool {
    let content_type = open.response.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let media_type = content_type.and_then(|value| value.split(|byte| *byte == b';').next());
    open.response.status == StatusCode::OK
        && media_type
            .is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
}

impl fmt::Debug for RelayBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayBody")
    }
}
