//! Relays a stream of events to the caller as it arrives.
//!
//! If the runner fails and the route allows it, another runner resumes the stream after the last
//! event that was passed on. The part of a stream that comes from one runner is a segment.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::body::{BrokenResponse, GatewayBody, ResponseChunk};
use crate::crashes::check_for_crash;
use crate::dispatch::{RequestProgress, SendOutcome, send};
use crate::document::CallKind;
use crate::events::{EventFramer, EventTail, ResumePoint};
use crate::handler::{Admission, GatewayCall, model_text};
use crate::resumption::StreamKind;
use crate::selection::{SelectedUpstream, select_upstream};
use crate::state::Host;

/// Number of chunks queued for a caller that reads slowly.
const QUEUED_CHUNKS: usize = 8;

/// Minimum time without an event after which another runner resumes the stream.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without an event after which another runner resumes the stream, in multiples of the route's
/// event gap; the longer of both times applies.
const STALL_EVENT_GAPS: u32 = 5;

/// Time beyond the deadline in which a stream that is still flowing may end.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Why a segment of a stream ended.
#[derive(Clone, Debug)]
enum SegmentEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The runner broke the stream off, stalled, or sent something invalid; holds the cause.
    Broken(String),
    /// The deadline passed.
    DeadlineExceeded,
}

struct StreamRelay {
    host: Arc<Host>,
    call: Arc<GatewayCall>,
    admission: Admission,
    progress: RequestProgress,
    framer: EventFramer,
    kind: StreamKind,
    chunks: mpsc::Sender<ResponseChunk>,
}

/// Starts to relay a runner's stream in the background, and returns the response with its body.
pub fn start_relay(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: Admission,
    mut progress: RequestProgress,
    selected: SelectedUpstream,
    head: Response<Incoming>,
) -> Response<GatewayBody> {
    let (chunks, received) = mpsc::channel(QUEUED_CHUNKS);
    let mut response = Response::new(GatewayBody::Chunks(received));
    *response.status_mut() = head.status();
    *response.headers_mut() = (host.wire.caller_headers)(head.headers());
    progress.runs += 1;
    let relay = StreamRelay {
        host: host.clone(),
        call: call.clone(),
        admission,
        progress,
        framer: EventFramer::default(),
        kind: StreamKind::of(&head),
        chunks,
    };
    host.tasks.spawn(relay.run(selected, head));
    response
}

/// Returns whether the response can only be recognized as complete by the end of its last event: a
/// stream of events that ends when the connection closes also ends that way if its upstream
/// crashes.
fn ends_with_event(headers: &HeaderMap) -> bool {
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let kind = headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
    !framed && kind.starts_with(b"text/event-stream")
}

impl StreamRelay {
    async fn run(mut self, selected: SelectedUpstream, head: Response<Incoming>) {
        let mut segment = Some((selected, head));
        while let Some((selected, head)) = segment.take() {
            let (name, address) = (selected.name.clone(), selected.address);
            let mut end = self.relay_segment(head).await;
            if matches!(end, SegmentEnd::Complete) && !self.framer.may_end() {
                end = SegmentEnd::Broken("ended without the rest of the stream".into());
            }
            match end {
                SegmentEnd::Complete => {
                    spdlog::info!("stream completed", kv: {
                        request = self.call.head.request_id.as_str(),
                        upstream = name.as_str(),
                        after_ms = self.host.now().since(self.call.arrived).as_millis() as u64,
                    });
                    selected.in_flight.completed();
                    let remainder = self.framer.take_remainder();
                    if !remainder.is_empty() {
                        let _gone = self.chunks.send(Ok(remainder)).await;
                    }
                    return;
                }
                SegmentEnd::CallerDisconnected => {
                    self.log(name.as_str(), "caller disconnected");
                    return;
                }
                SegmentEnd::DeadlineExceeded => {
                    self.log(name.as_str(), "deadline exceeded");
                    break;
                }
                SegmentEnd::Broken(cause) => {
                    self.log(name.as_str(), &cause);
                    self.host.state().directory.note_failure(self.host.now(), &name);
                    check_for_crash(&self.host, selected.in_flight, address);
                    drop(selected.running_guard);
                    segment = self.resume().await;
                }
            }
        }
        let _gone = self.chunks.send(Err(BrokenResponse)).await;
    }

    fn log(&self, upstream: &str, cause: &str) {
        spdlog::info!("stream broke", kv: {
            request = self.call.head.request_id.as_str(),
            upstream = upstream,
            model = model_text(self.call.head.model.as_ref()).as_str(),
            cause = cause,
            last_event = self.framer.last_id().unwrap_or(""),
            after_ms = self.host.now().since(self.call.arrived).as_millis() as u64,
        });
    }

    /// Relays what one runner sends.
    async fn relay_segment(&mut self, head: Response<Incoming>) -> SegmentEnd {
        if head.headers().contains_key(CONTENT_ENCODING) {
            return SegmentEnd::Broken("unexpected content-encoding".into());
        }
        let resumable = self.admission.route.kind == CallKind::ResumableStream;
        let ends_with_event = ends_with_event(head.headers());
        let mut tail = EventTail::default();
        let mut body = head.into_body();
        let end = self.progress.deadline + DEADLINE_GRACE;
        let longest = MIN_STALL_TIMEOUT.max(self.admission.route.event_gap * STALL_EVENT_GAPS);
        // Only complete events reset the stall timeout: a stalled runner may still send single
        // bytes.
        let mut last_event = self.host.now();
        loop {
            let now = self.host.now();
            let left = end.since(now);
            // Checked here too, as a timeout does not fire while data is always ready.
            if left.is_zero() {
                return SegmentEnd::DeadlineExceeded;
            }
            let stall = (last_event + longest).since(now);
            let gap = if resumable { stall.min(left) } else { left };
            let frame = tokio::select! {
                frame = timeout(gap, body.frame()) => frame,
                () = self.chunks.closed() => return SegmentEnd::CallerDisconnected,
            };
            let data = match frame {
                Err(_elapsed) if gap == left => return SegmentEnd::DeadlineExceeded,
                Err(_elapsed) => return SegmentEnd::Broken(format!("no event for {longest:?}")),
                Ok(None) if ends_with_event && !tail.is_between_events() => {
                    return SegmentEnd::Broken(
                        "connection closed in the middle of an event".into(),
                    );
                }
                Ok(None) => return SegmentEnd::Complete,
                Ok(Some(Err(error))) => return SegmentEnd::Broken(error.to_string()),
                // Trailers are not passed on.
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if ends_with_event {
                tail.push(&data);
            }
            let events = if resumable { self.framer.push(&data) } else { data };
            if self.framer.is_overlong() {
                return SegmentEnd::Broken("event is too long".into());
            }
            if events.is_empty() && self.framer.is_misplaced() {
                return SegmentEnd::Broken("what follows is no part of the stream".into());
            }
            if events.is_empty() {
                continue;
            }
            // Without this timeout, a caller that does not read would occupy its runner past the
            // deadline.
            match timeout(end.since(self.host.now()), self.chunks.send(Ok(events))).await {
                Ok(Ok(())) => last_event = self.host.now(),
                Ok(Err(_closed)) => return SegmentEnd::CallerDisconnected,
                Err(_elapsed) => return SegmentEnd::DeadlineExceeded,
            }
        }
    }

    /// Selects another runner that resumes the stream after the last event passed on.
    async fn resume(&mut self) -> Option<(SelectedUpstream, Response<Incoming>)> {
        self.framer.discard();
        match self.framer.resume_point() {
            ResumePoint::Beginning => {}
            ResumePoint::After(id) => self.progress.last_event = Some(id.clone()),
            ResumePoint::Nowhere => {
                self.log("", "no event of the stream has an id to resume after");
                return None;
            }
        }
        let caller = self.chunks.clone();
        tokio::select! {
            found = self.reopen() => found,
            () = caller.closed() => None,
        }
    }

    async fn reopen(&mut self) -> Option<(SelectedUpstream, Response<Incoming>)> {
        while self.progress.try_reserve_rerun(&self.host, &self.admission) {
            let (host, call) = (self.host.clone(), self.call.clone());
            let selected = select_upstream(&host, &call, &mut self.admission, &self.progress).await;
            let selected = match selected {
                Ok(selected) => selected,
                Err(refusal) => {
                    self.log("", refusal.reason);
                    return None;
                }
            };
            match send(&host, &call, &self.admission, &mut self.progress, selected).await {
                SendOutcome::Head(selected, head) if self.kind.is_continued_by(&head) => {
                    self.progress.runs += 1;
                    return Some((selected, *head));
                }
                SendOutcome::Head(..) => self.progress.runs += 1,
                SendOutcome::NotRun(pause) => tokio::time::sleep(pause).await,
                SendOutcome::NotSent | SendOutcome::Broken(_) => {}
            }
        }
        None
    }
}
