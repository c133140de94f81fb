//! Relays a stream of events from a runner to the caller.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use dotterellane_fleet::CallOutcome;
use dotterellane_units::TokenCount;
use dotterellane_upstream::{AnswerBody, CallError, CallFault};
use futures::future::BoxFuture;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use crate::admission::deadline_exceeded;
use crate::attempt::{AttemptLog, OpenCall, open_answer};
use crate::completion::CompletionCall;
use crate::context::SharedContext;
use crate::crashes::{FlightHold, report_break};
use crate::events::EventSplitter;
use crate::holds::{ChargeHold, PermitHold};
use crate::keys::still_valid;
use crate::refusal::{EntryRefusal, RefusalKind};
use crate::streams::StreamTicket;

type Reopening = BoxFuture<'static, (Result<OpenCall, EntryRefusal>, AttemptLog)>;

enum RelayPhase {
    /// Chunks come.
    Relaying(Box<RelayLeg>),
    /// The final mark was passed on; the connection's end is awaited.
    Closing { body: AnswerBody },
    /// The stream broke; another runner is asked to go on.
    Reopening(Reopening),
    /// One last event, then the end.
    Refusing(Bytes),
    /// Nothing comes any more.
    Ended,
}

/// A stream's part that one runner gives.
struct RelayLeg {
    body: AnswerBody,
    permit: PermitHold,
    flight: FlightHold,
}

/// Whom a stream waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AwaitedSide {
    Upstream,
    Caller,
}

/// What a stream needs when its next chunk comes, or none does.
pub struct RelayState {
    context: SharedContext,
    call: Arc<CompletionCall>,
    headers: HeaderMap,
    charge: Option<ChargeHold>,
    log: AttemptLog,
    phase: RelayPhase,
    splitter: EventSplitter,
    awaited: AwaitedSide,
    since: Instant,
    waker: Option<Waker>,
}

/// A stream that is polled by its caller's connection and checked by the sweeper.
pub struct RelayStream(Mutex<RelayState>);

impl RelayStream {
    fn state(&self) -> MutexGuard<'_, RelayState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends or reopens the stream if a side is silent, the deadline passed or the key was withdrawn.
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

/// The body of a relayed stream.
///
/// Whole events alone are passed on, so that a resumed stream continues where the caller stands.
pub struct RelayBody {
    stream: Arc<RelayStream>,
    _ticket: StreamTicket,
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
            since: Instant::now(),
            waker: None,
        };
        let stream = Arc::new(RelayStream(Mutex::new(state)));
        let ticket = streams.register(stream.clone());
        Self { stream, _ticket: ticket }
    }

    /// Polls for the next events; `None` at the end.
    pub fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let mut state = self.stream.state();
        let polled = state.poll_event(cx);
        match polled {
            Poll::Ready(_) => state.await_side(AwaitedSide::Caller, Instant::now()),
            Poll::Pending => {
                if state.awaited != AwaitedSide::Upstream {
                    state.await_side(AwaitedSide::Upstream, Instant::now());
                }
                state.keep_waker(cx);
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
    let leg = RelayLeg { body: open.answer.body, permit: open.permit, flight: open.flight };
    RelayPhase::Relaying(Box::new(leg))
}

impl RelayState {
    fn await_side(&mut self, side: AwaitedSide, now: Instant) {
        self.awaited = side;
        self.since = now;
    }

    fn keep_waker(&mut self, cx: &Context<'_>) {
        match &mut self.waker {
            Some(waker) => waker.clone_from(cx.waker()),
            None => self.waker = Some(cx.waker().clone()),
        }
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            let step = match &mut self.phase {
                RelayPhase::Relaying(leg) => match leg.body.poll_data(cx) {
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
        self.await_side(AwaitedSide::Upstream, Instant::now());
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
        if let RelayPhase::Relaying(leg) = self.end_phase() {
            let RelayLeg { body, permit, flight } = *leg;
            permit.finish(CallOutcome::Answered);
            flight.completed(self.context.ports.clock.now());
            if !self.splitter.has_excess() {
                self.phase = RelayPhase::Closing { body };
            }
        }
    }

    fn end_phase(&mut self) -> RelayPhase {
        std::mem::replace(&mut self.phase, RelayPhase::Ended)
    }

    fn refuse(&mut self, refusal: &EntryRefusal) {
        self.phase = RelayPhase::Refusing(refusal.to_event());
    }

    /// Asks another runner to go on from what the caller already has.
    fn reopen(&mut self, fault: CallFault) {
        let RelayPhase::Relaying(leg) = self.end_phase() else { return };
        let RelayLeg { body, permit, flight } = *leg;
        // A connection that lost its way says nothing of the runner behind it.
        let lost = fault == CallFault::TimedOut && body.is_reused();
        permit.finish(CallOutcome::Broken);
        self.splitter.resume();
        let (context, call) = (self.context.clone(), self.call.clone());
        let headers = self.headers.clone();
        let mut log = self.log.clone();
        let chunks = self.splitter.chunks();
        self.phase = RelayPhase::Reopening(Box::pin(async move {
            if !lost {
                log.excluded.push(flight.runner().clone());
            }
            report_break(&context, flight, fault).await;
            if log.count >= context.limits.attempts {
                let message = "the stream broke and no runner could go on with it";
                let refusal = EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message);
                return (Err(refusal.with_reached(true)), log);
            }
            let reopened = open_answer(&context, &call, &headers, &mut log, chunks).await;
            (reopened, log)
        }));
    }

    fn on_reopened(&mut self, reopened: Result<OpenCall, EntryRefusal>) {
        match reopened {
            Ok(open) if is_event_stream(&open) => self.phase = relaying(open),
            Ok(_) => {
                let message = "the stream broke and the next runner refused to go on with it";
                self.refuse(&EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message));
            }
            Err(refusal) => self.refuse(&refusal),
        }
    }

    /// Tells whether the stream changed and must be polled again.
    fn check(&mut self, now: Instant) -> bool {
        if matches!(self.phase, RelayPhase::Ended | RelayPhase::Refusing(_)) {
            return false;
        }
        if let RelayPhase::Closing { .. } = self.phase {
            let silent = self.is_silent(now);
            if silent {
                self.phase = RelayPhase::Ended;
            }
            return silent;
        }
        if !self.key_valid() {
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

    /// Lets the runner go if the caller takes nothing; its connection has a bound of its own.
    fn check_caller(&mut self, now: Instant) -> bool {
        let stalled = now.duration_since(self.since) >= self.context.limits.write_stall;
        if stalled {
            let message = "the caller took no data for too long";
            self.refuse(&EntryRefusal::before_sending(RefusalKind::SlowCaller, message));
        }
        stalled
    }

    fn check_upstream(&mut self, now: Instant) -> bool {
        if !self.is_silent(now) {
            return false;
        }
        let RelayPhase::Relaying(leg) = &mut self.phase else { return false };
        leg.body.invalidate();
        self.reopen(CallFault::TimedOut);
        true
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.awaited == AwaitedSide::Upstream
            && now.duration_since(self.since) >= self.context.limits.silence
    }

    fn key_valid(&self) -> bool {
        let snapshot = self.context.ports.configuration.current();
        let epoch_seconds = (self.context.epoch_seconds)();
        still_valid(&self.call.key, &self.call.team, &snapshot.document, epoch_seconds)
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
        f.write_str("RelayBody")
    }
}
