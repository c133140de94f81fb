//! Passing a stream of events on to the caller as it comes.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::answer::{Admission, GatewayCall, model_text};
use crate::body::{AnswerPiece, BrokenAnswer, GatewayBody};
use crate::crashes::report_break;
use crate::dispatch::{Journey, SendEnd, send};
use crate::document::CallKind;
use crate::events::{EventCutter, EventTail, ResumePoint};
use crate::places::{FoundPlace, find_place};
use crate::state::Host;

/// Pieces that may wait for a caller that reads slowly.
const QUEUED_PIECES: usize = 8;

/// Shortest time without an event after which another runner is asked to go on.
const LEAST_STALL: Duration = Duration::from_millis(1_500);

/// Allowed pauses between events after which another runner is asked to go on.
const STALL_GAPS: u32 = 5;

/// Time beyond the deadline in which a stream that still flows may end.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Why a stream no longer comes from a runner.
#[derive(Clone, Debug)]
enum LegEnd {
    /// It is whole.
    Whole,
    /// The caller went away.
    CallerLeft,
    /// The runner broke it off or went silent.
    Broken(String),
    /// The deadline passed.
    Late,
}

struct StreamRelay {
    host: Arc<Host>,
    call: Arc<GatewayCall>,
    admission: Admission,
    journey: Journey,
    cutter: EventCutter,
    pieces: mpsc::Sender<AnswerPiece>,
}

/// Answers with the stream of a runner and goes on elsewhere if it breaks and may.
pub fn start_relay(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: Admission,
    mut journey: Journey,
    place: FoundPlace,
    head: Response<Incoming>,
) -> Response<GatewayBody> {
    let (pieces, received) = mpsc::channel(QUEUED_PIECES);
    let mut response = Response::new(GatewayBody::Pieces(received));
    *response.status_mut() = head.status();
    *response.headers_mut() = (host.wire.caller_headers)(head.headers());
    journey.runs += 1;
    let relay = StreamRelay {
        host: host.clone(),
        call: call.clone(),
        admission,
        journey,
        cutter: EventCutter::default(),
        pieces,
    };
    host.tasks.spawn(relay.run(place, head));
    response
}

/// Tells whether only the end of an event shows that an answer is whole: one of events that ends with
/// its connection does so also when its upstream crashes.
fn ends_with_event(headers: &HeaderMap) -> bool {
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let kind = headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
    !framed && kind.starts_with(b"text/event-stream")
}

impl StreamRelay {
    async fn run(mut self, place: FoundPlace, head: Response<Incoming>) {
        let mut leg = Some((place, head));
        while let Some((place, head)) = leg.take() {
            let (name, address) = (place.name.clone(), place.address);
            match self.relay_leg(head).await {
                LegEnd::Whole => {
                    spdlog::info!("stream ended whole", kv: {
                        request = self.call.head.request_id.as_str(),
                        upstream = name.as_str(),
                        after_ms = self.host.now().since(self.call.arrived).as_millis() as u64,
                    });
                    place.flight.completed();
                    let rest = self.cutter.rest();
                    if !rest.is_empty() {
                        let _gone = self.pieces.send(Ok(rest)).await;
                    }
                    return;
                }
                LegEnd::CallerLeft => {
                    self.log(name.as_str(), "the caller left");
                    return;
                }
                LegEnd::Late => {
                    self.log(name.as_str(), "the deadline passed");
                    break;
                }
                LegEnd::Broken(cause) => {
                    self.log(name.as_str(), &cause);
                    self.host.state().directory.note_failure(self.host.now(), &name);
                    report_break(&self.host, place.flight, address);
                    drop(place.hold);
                    leg = self.go_on().await;
                }
            }
        }
        let _gone = self.pieces.send(Err(BrokenAnswer)).await;
    }

    fn log(&self, upstream: &str, cause: &str) {
        spdlog::info!("stream broke", kv: {
            request = self.call.head.request_id.as_str(),
            upstream = upstream,
            model = model_text(self.call.head.model.as_ref()).as_str(),
            cause = cause,
            last_event = self.cutter.last_id().unwrap_or(""),
            after_ms = self.host.now().since(self.call.arrived).as_millis() as u64,
        });
    }

    /// Passes on what one runner sends.
    async fn relay_leg(&mut self, head: Response<Incoming>) -> LegEnd {
        if head.headers().contains_key(CONTENT_ENCODING) {
            return LegEnd::Broken("the stream is encoded although that was not asked for".into());
        }
        let resumable = self.admission.route.kind == CallKind::ResumableStream;
        let ends_with_event = ends_with_event(head.headers());
        let mut tail = EventTail::default();
        let mut body = head.into_body();
        let end = self.journey.deadline + DEADLINE_GRACE;
        let longest = LEAST_STALL.max(self.admission.route.event_gap * STALL_GAPS);
        // Bytes that complete no event do not count: a runner that stalls may go on dripping them.
        let mut last_event = self.host.now();
        loop {
            let now = self.host.now();
            let left = end.since(now);
            // A stream that always has more to give is never waited for.
            if left.is_zero() {
                return LegEnd::Late;
            }
            let stall = (last_event + longest).since(now);
            let gap = if resumable { stall.min(left) } else { left };
            let frame = tokio::select! {
                frame = timeout(gap, body.frame()) => frame,
                () = self.pieces.closed() => return LegEnd::CallerLeft,
            };
            let data = match frame {
                Err(_elapsed) if gap == left => return LegEnd::Late,
                Err(_elapsed) => return LegEnd::Broken(format!("no event for {longest:?}")),
                Ok(None) if ends_with_event && !tail.is_between_events() => {
                    return LegEnd::Broken("the connection ended in the middle of an event".into());
                }
                Ok(None) => return LegEnd::Whole,
                Ok(Some(Err(error))) => return LegEnd::Broken(error.to_string()),
                // Trailers are of no use to callers.
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if ends_with_event {
                tail.push(&data);
            }
            let events = if resumable { self.cutter.push(&data) } else { data };
            if self.cutter.is_overlong() {
                return LegEnd::Broken("an event is too long".into());
            }
            if events.is_empty() {
                continue;
            }
            // A caller that does not read holds its runner until the deadline at most.
            match timeout(end.since(self.host.now()), self.pieces.send(Ok(events))).await {
                Ok(Ok(())) => last_event = self.host.now(),
                Ok(Err(_closed)) => return LegEnd::CallerLeft,
                Err(_elapsed) => return LegEnd::Late,
            }
        }
    }

    /// Finds another runner that goes on after the last event that the caller has.
    async fn go_on(&mut self) -> Option<(FoundPlace, Response<Incoming>)> {
        self.cutter.discard();
        match self.cutter.resume_point() {
            ResumePoint::Beginning => {}
            ResumePoint::After(id) => self.journey.last_event = Some(id.clone()),
            ResumePoint::Nowhere => {
                self.log("", "no event of the stream has an id to go on from");
                return None;
            }
        }
        let caller = self.pieces.clone();
        tokio::select! {
            found = self.reopen() => found,
            () = caller.closed() => None,
        }
    }

    async fn reopen(&mut self) -> Option<(FoundPlace, Response<Incoming>)> {
        while self.journey.may_run_again(&self.host, &self.admission) {
            let (host, call) = (self.host.clone(), self.call.clone());
            let place = find_place(&host, &call, &mut self.admission, &self.journey).await;
            let place = match place {
                Ok(place) => place,
                Err(refusal) => {
                    self.log("", refusal.reason);
                    return None;
                }
            };
            match send(&host, &call, &self.admission, &mut self.journey, place).await {
                SendEnd::Head(place, head) if head.status().is_success() => {
                    self.journey.runs += 1;
                    return Some((place, *head));
                }
                SendEnd::Head(..) => self.journey.runs += 1,
                SendEnd::NotRun(pause) => tokio::time::sleep(pause).await,
                SendEnd::NotSent | SendEnd::Broken(_) => {}
            }
        }
        None
    }
}
