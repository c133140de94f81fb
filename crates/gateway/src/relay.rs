//! Relays a stream of events to the caller as it arrives.
//!
//! If the runner fails and the route allows it, another runner resumes the stream after the last
//! event that was passed on. The part of a stream that comes from one runner is a segment. A runner
//! that is only silent is replaced once another one has resumed the stream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_decisions::memory_budget::MemoryUse;
use dotterellane_decisions::upstream_pace::{PaceSample, PacedModel, PacedUpstream, StreamPace};
use dotterellane_units::{ByteSize, ClockInstant};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use crate::beside::{SEARCH_INTERVAL, SilentUpstream, ask_beside, note_replaced};
use crate::body::{BrokenResponse, GatewayBody, ResponseChunk};
use crate::dispatch::{RequestProgress, send};
use crate::document::CallKind;
use crate::events::{EventFramer, EventTail, ResumePoint};
use crate::handler::{Admission, GatewayCall, model_text};
use crate::outcomes::SendOutcome;
use crate::peeked::PeekedBody;
use crate::resumption::StreamKind;
use crate::selection::{SelectedUpstream, select_upstream};
use crate::state::Host;
use crate::stream_versions::{AllowedVersions, origins};

/// Bytes queued for a caller that reads slowly, those included that wait to be written to it.
const QUEUED_BYTES: usize = 64 << 10;

/// What a short chunk counts as, in bytes: it keeps a read buffer of this size alive.
const MIN_CHUNK_BYTES: usize = 8 << 10;

/// Number of chunks queued.
const QUEUED_CHUNKS: usize = QUEUED_BYTES / MIN_CHUNK_BYTES;

/// What a stream takes whose caller reads slowly: the queue, and what was read from its upstream.
const HELD_UP_STREAM: ByteSize = ByteSize(96 << 10);

/// Minimum time without an event after which another runner is asked to resume the stream.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without an event after which another runner is asked to resume the stream, in multiples of
/// the route's event gap; the longer of both times applies.
const STALL_EVENT_GAPS: u32 = 5;

/// Fraction of the idle timeout after which a silent runner is asked again itself, on a new
/// connection: the old one may have gone dead without a sign.
const REPEAT_SILENCE_FRACTION: f64 = 0.75;

/// Time beyond the deadline in which a stream that is still flowing may end.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// The part of a stream that comes from one runner.
struct Segment {
    selected: SelectedUpstream,
    source: SegmentSource,
    /// When another runner was first sought as this one was silent.
    silent_since: Option<ClockInstant>,
    pace: StreamPace,
}

/// Reads the events of a segment.
struct SegmentSource {
    body: PeekedBody,
    framer: EventFramer,
    tail: EventTail,
    end_rule: EndRule,
    /// Whether the runner was asked to resume after an event that the caller has.
    resumes: bool,
    /// Whether only complete events are passed on, so that another runner can resume the stream.
    resumable: bool,
    /// What was read already.
    read_ahead: Option<StreamPiece>,
}

/// The next piece of a segment.
enum StreamPiece {
    /// Data to pass on: complete events if the stream can be resumed.
    Data(Bytes),
    /// The stream is complete.
    Complete,
    /// The runner broke the stream off or sent something invalid; holds the cause.
    Broken(String),
}

/// Content type of a stream of events, before its parameters.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Why a segment of a stream ended.
enum SegmentEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The runner broke the stream off or sent something invalid; holds the cause.
    Broken(String),
    /// The runner was silent, and this segment resumes the stream.
    Replaced(Box<Segment>),
    /// The deadline passed.
    DeadlineExceeded,
}

/// What came of a search for another runner beside a silent one.
enum SearchEnd {
    /// The silent runner went on with this.
    Piece(StreamPiece),
    /// No other runner resumes the stream now.
    Nobody,
    /// The segment ended.
    Ended(SegmentEnd),
}

struct StreamRelay {
    host: Arc<Host>,
    call: Arc<GatewayCall>,
    admission: Admission,
    progress: RequestProgress,
    kind: StreamKind,
    /// Whether an event was passed on.
    has_begun: bool,
    chunks: mpsc::Sender<ResponseChunk>,
    /// Room for bytes that the caller has not taken.
    room: Arc<Semaphore>,
}

/// A chunk that takes room until it has been written to the caller.
struct QueuedChunk {
    data: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Starts to relay a runner's stream in the background, and returns the response with its body.
pub fn start_relay(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: Admission,
    progress: RequestProgress,
    selected: SelectedUpstream,
    head: Response<PeekedBody>,
) -> Response<GatewayBody> {
    let (chunks, received) = mpsc::channel(QUEUED_CHUNKS);
    let mut response = Response::new(GatewayBody::Chunks(received));
    *response.status_mut() = head.status();
    *response.headers_mut() = (host.wire.caller_headers)(head.headers());
    let kind = StreamKind::of(&head);
    let resumable = admission.route.kind == CallKind::ResumableStream;
    let segment = Segment::new(selected, head, EventFramer::default(), resumable, &progress);
    let relay = StreamRelay {
        host: host.clone(),
        call: call.clone(),
        admission,
        progress,
        kind,
        has_begun: false,
        chunks,
        room: Arc::new(Semaphore::new(QUEUED_BYTES)),
    };
    host.tasks.spawn(relay.run(segment));
    response
}

/// How the end of a segment shows that the stream is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EndRule {
    /// By the framing of the response.
    Framing,
    /// By its framing, and its last event is complete.
    FramingAndEvent,
    /// By an event that is complete: the connection also ends if the upstream crashes.
    Event,
}

impl EndRule {
    /// Returns the rule for a response with these headers. A stream without a content type is one of
    /// events.
    fn of(headers: &HeaderMap) -> Self {
        let framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let kind = headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
        let starts = kind.get(..EVENT_STREAM.len());
        let is_events =
            kind.is_empty() || starts.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM));
        match (is_events, framed) {
            (false, _) => Self::Framing,
            (true, true) => Self::FramingAndEvent,
            (true, false) => Self::Event,
        }
    }
}

impl Segment {
    /// Creates a segment; `framer` knows the events that were passed on before, if there are any, and
    /// `progress` the one after which the runner was asked to resume.
    fn new(
        selected: SelectedUpstream,
        head: Response<PeekedBody>,
        framer: EventFramer,
        resumable: bool,
        progress: &RequestProgress,
    ) -> Self {
        let is_encoded = head.headers().contains_key(CONTENT_ENCODING);
        let cause = || StreamPiece::Broken("unexpected content-encoding".to_owned());
        let source = SegmentSource {
            end_rule: EndRule::of(head.headers()),
            resumes: progress.last_event.is_some(),
            body: head.into_body(),
            framer,
            tail: EventTail::default(),
            resumable,
            read_ahead: is_encoded.then(cause),
        };
        Self { selected, source, silent_since: None, pace: StreamPace::default() }
    }
}

impl SegmentSource {
    /// Reads until there is something to pass on. Nothing is lost if the future is dropped.
    async fn read(&mut self) -> StreamPiece {
        if let Some(piece) = self.read_ahead.take() {
            return piece;
        }
        loop {
            let data = match self.body.frame().await {
                None => return self.end(),
                Some(Err(error)) => return StreamPiece::Broken(error.to_string()),
                // Trailers are not passed on.
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.tail.push(&data);
            let data = if self.resumable { self.framer.push(&data) } else { data };
            if self.framer.is_overlong() {
                return StreamPiece::Broken("event is too long".to_owned());
            }
            if data.is_empty() && self.framer.is_misplaced() {
                return StreamPiece::Broken("what follows is no part of the stream".to_owned());
            }
            if !data.is_empty() {
                return StreamPiece::Data(data);
            }
        }
    }

    /// Returns what the end of the body means.
    fn end(&self) -> StreamPiece {
        if self.end_rule != EndRule::Framing && !self.tail.is_between_events() {
            return StreamPiece::Broken("stream ends in the middle of an event".to_owned());
        }
        if self.end_rule == EndRule::Event && !self.tail.has_event() && !self.resumes {
            return StreamPiece::Broken("connection ends before the first event".to_owned());
        }
        if !self.framer.may_end() {
            return StreamPiece::Broken("ended without the rest of the stream".to_owned());
        }
        StreamPiece::Complete
    }

    /// Returns whether another runner can resume the stream.
    fn may_resume(&self) -> bool {
        self.resumable && *self.framer.resume_point() != ResumePoint::Nowhere
    }
}

impl StreamRelay {
    async fn run(mut self, segment: Segment) {
        if !self.relay(segment).await {
            let _gone = self.chunks.send(Err(BrokenResponse)).await;
        }
    }

    /// Relays the stream from one runner after the other; returns `false` if it breaks off.
    async fn relay(&mut self, mut segment: Segment) -> bool {
        loop {
            let end = self.relay_segment(&mut segment).await;
            self.note_silence_end(&mut segment, &end);
            match end {
                SegmentEnd::Complete => {
                    self.complete(segment).await;
                    return true;
                }
                SegmentEnd::CallerDisconnected => {
                    self.log(&segment, "caller disconnected");
                    return true;
                }
                SegmentEnd::DeadlineExceeded => {
                    self.log(&segment, "deadline exceeded");
                    return false;
                }
                SegmentEnd::Replaced(next) => {
                    self.log(&segment, "silent, and resumed by another upstream");
                    self.release(segment);
                    segment = *next;
                }
                SegmentEnd::Broken(cause) => {
                    self.log(&segment, &cause);
                    let framer = self.release(segment);
                    match self.resume(framer).await {
                        Some(next) => segment = next,
                        None => return false,
                    }
                }
            }
        }
    }

    /// Records that a stream is complete, and passes on what follows its last event.
    async fn complete(&self, segment: Segment) {
        let Segment { selected, mut source, .. } = segment;
        spdlog::info!("stream completed", kv: {
            request = self.call.head.request_id.as_str(),
            upstream = selected.name.as_str(),
            after_ms = self.host.now().since(self.call.arrived).as_millis() as u64,
        });
        if let Some(in_flight) = selected.in_flight {
            in_flight.completed();
        }
        selected.running_guard.complete();
        let remainder = source.framer.take_remainder();
        if !remainder.is_empty() {
            let _gone = self.chunks.send(Ok(remainder)).await;
        }
    }

    /// Lets go of a runner that failed; returns what is known of the events passed on.
    fn release(&self, segment: Segment) -> EventFramer {
        let Segment { selected, source, .. } = segment;
        let SegmentSource { body, framer, .. } = source;
        drop(body);
        note_replaced(&self.host, selected);
        framer
    }

    /// Counts and logs the end of a silence that ended the segment.
    fn note_silence_end(&self, segment: &mut Segment, end: &SegmentEnd) {
        let how = match end {
            SegmentEnd::Complete => "waited_out",
            SegmentEnd::Replaced(_) => "handed_over",
            SegmentEnd::Broken(_) => "broke",
            SegmentEnd::CallerDisconnected => "caller_left",
            SegmentEnd::DeadlineExceeded => "cut",
        };
        self.note_silence(segment, how);
    }

    /// Counts and logs the end of a silence, if there was one.
    fn note_silence(&self, segment: &mut Segment, end: &str) {
        let Some(since) = segment.silent_since.take() else { return };
        let now = self.host.now();
        self.host.metrics.silences.with_label_values(&["stream", end]).inc();
        spdlog::info!("silence in a stream ended", kv: {
            request = self.call.head.request_id.as_str(),
            upstream = segment.selected.name.as_str(),
            end = end,
            runs = self.progress.runs,
            search_ms = now.since(since).as_millis() as u64,
            after_ms = now.since(self.call.arrived).as_millis() as u64,
        });
    }

    fn log(&self, segment: &Segment, cause: &str) {
        self.log_break(segment.selected.name.as_str(), &segment.source.framer, cause);
    }

    fn log_break(&self, upstream: &str, framer: &EventFramer, cause: &str) {
        spdlog::info!("stream broke", kv: {
            request = self.call.head.request_id.as_str(),
            upstream = upstream,
            model = model_text(self.call.head.model.as_ref()).as_str(),
            cause = cause,
            last_event = framer.last_id().unwrap_or(""),
            after_ms = self.host.now().since(self.call.arrived).as_millis() as u64,
        });
    }

    /// Returns the time without an event after which another runner is asked.
    fn stall_timeout(&self) -> Duration {
        MIN_STALL_TIMEOUT.max(self.admission.route.event_gap * STALL_EVENT_GAPS)
    }

    /// Relays what one runner sends.
    async fn relay_segment(&mut self, segment: &mut Segment) -> SegmentEnd {
        let end = self.progress.deadline + DEADLINE_GRACE;
        let longest = self.stall_timeout();
        // Only complete events reset the stall timeout: a stalled runner may still send single
        // bytes.
        let mut search_at = self.host.now() + longest;
        loop {
            let now = self.host.now();
            let left = end.since(now);
            // Checked here too, as a timeout does not fire while data is always ready.
            if left.is_zero() {
                return SegmentEnd::DeadlineExceeded;
            }
            let until_search =
                if segment.source.may_resume() { search_at.since(now).min(left) } else { left };
            let read = tokio::select! {
                read = timeout(until_search, segment.source.read()) => read.ok(),
                () = self.chunks.closed() => return SegmentEnd::CallerDisconnected,
            };
            let piece = match read {
                Some(piece) => piece,
                None if until_search == left => return SegmentEnd::DeadlineExceeded,
                None => match self.search_beside(segment, left).await {
                    SearchEnd::Piece(piece) => piece,
                    SearchEnd::Ended(end) => return end,
                    SearchEnd::Nobody => {
                        search_at = self.host.now() + SEARCH_INTERVAL;
                        continue;
                    }
                },
            };
            let data = match piece {
                StreamPiece::Data(data) => data,
                StreamPiece::Complete => return SegmentEnd::Complete,
                StreamPiece::Broken(cause) => return SegmentEnd::Broken(cause),
            };
            self.note_silence(segment, "waited_out");
            self.note_begun(&segment.selected);
            self.note_pace(segment);
            // Without this timeout, a caller that does not read would occupy its runner past the
            // deadline.
            match timeout(end.since(self.host.now()), self.pass_on(data)).await {
                Ok(true) => search_at = self.host.now() + longest,
                Ok(false) => return SegmentEnd::CallerDisconnected,
                Err(_elapsed) => return SegmentEnd::DeadlineExceeded,
            }
        }
    }

    /// Queues data for the caller, once there is room; returns `false` if the caller is gone. While
    /// there is none, the upstream is not read, and the queue counts as held.
    async fn pass_on(&self, data: Bytes) -> bool {
        let size = data.len().clamp(MIN_CHUNK_BYTES, QUEUED_BYTES);
        let wanted = u32::try_from(size).unwrap_or(u32::MAX);
        let permit = match self.room.clone().try_acquire_many_owned(wanted) {
            Ok(permit) => Ok(permit),
            Err(_full) => {
                let mut held = self.call.caller.reserve(MemoryUse::Answer);
                held.resize(HELD_UP_STREAM);
                tokio::select! {
                    permit = self.room.clone().acquire_many_owned(wanted) => permit,
                    () = self.chunks.closed() => return false,
                }
            }
        };
        // The semaphore is never closed.
        let Ok(permit) = permit else { return false };
        let chunk = Bytes::from_owner(QueuedChunk { data, _permit: permit });
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Notes before an event is passed on that the stream has begun: from now on, only the software
    /// version of this runner may go on with it.
    fn note_begun(&mut self, selected: &SelectedUpstream) {
        if self.has_begun || self.admission.route.kind != CallKind::ResumableStream {
            return;
        }
        self.has_begun = true;
        if !matches!(self.progress.allowed, AllowedVersions::Begun(_)) {
            self.progress.allowed = AllowedVersions::Begun(selected.version.clone());
        }
        if let Some(stream) = self.progress.stream {
            origins::note_begun(&self.host, stream, selected);
        }
    }

    /// Learns how fast the runner is, if its service states what its runners can take.
    fn note_pace(&self, segment: &mut Segment) {
        let now = self.host.now();
        let Some(gap) = segment.pace.note(now, segment.source.tail.events()) else { return };
        let Some(choice) = &self.call.head.model else { return };
        let SelectedUpstream { name, started_at, service, .. } = &segment.selected;
        let mut state = self.host.state();
        if state.request_memory(service).is_none() {
            return;
        }
        let upstream = PacedUpstream::new(name, *started_at);
        state.paces.observe(now, PaceSample::new(upstream, PacedModel::new(&choice.model), gap));
    }

    /// Seeks another runner while the one of `segment` is silent, for `left` at most.
    async fn search_beside(&mut self, segment: &mut Segment, left: Duration) -> SearchEnd {
        let caller = self.chunks.clone();
        tokio::select! {
            biased;
            end = timeout(left, self.resume_beside(segment)) => {
                end.unwrap_or(SearchEnd::Ended(SegmentEnd::DeadlineExceeded))
            }
            () = caller.closed() => SearchEnd::Ended(SegmentEnd::CallerDisconnected),
        }
    }

    /// Asks another runner to resume the stream while the one of `segment` is silent.
    async fn resume_beside(&mut self, segment: &mut Segment) -> SearchEnd {
        let probes = segment.silent_since.is_none();
        let now = self.host.now();
        let silence = now.since(*segment.silent_since.get_or_insert(now)) + self.stall_timeout();
        let may_repeat =
            silence >= self.admission.route.idle_timeout().mul_f64(REPEAT_SILENCE_FRACTION);
        self.note_resume_point(&segment.source.framer);
        let is_sound = |piece: &StreamPiece| !matches!(piece, StreamPiece::Broken(_));
        let (admission, progress) = (&self.admission, &mut self.progress);
        let selected = &mut segment.selected;
        let silent = SilentUpstream { selected, probes, may_repeat, sends_events: true };
        let first = segment.source.read();
        let (host, call) = (&self.host, &self.call);
        let end = ask_beside(host, call, admission, progress, silent, first, is_sound).await;
        if let Some((selected, head)) = end.other {
            if self.continues(&segment.source.framer, &head) {
                let source = &segment.source;
                let (mut framer, resumable) = (source.framer.clone(), source.resumable);
                framer.discard();
                let next = Segment::new(selected, head, framer, resumable, &self.progress);
                return SearchEnd::Ended(SegmentEnd::Replaced(Box::new(next)));
            }
            self.log_break(selected.name.as_str(), &segment.source.framer, "not the same stream");
            drop(head);
            note_replaced(&self.host, selected);
        }
        match end.first {
            Some(piece) => SearchEnd::Piece(piece),
            None if end.gone => {
                SearchEnd::Piece(StreamPiece::Broken("upstream is silent and gone".to_owned()))
            }
            None => SearchEnd::Nobody,
        }
    }

    /// Returns whether what was received of a response so far continues the stream after the events
    /// that `framer` knows.
    fn continues(&self, framer: &EventFramer, head: &Response<PeekedBody>) -> bool {
        let mut framer = framer.clone();
        framer.discard();
        let (data, is_over) = head.body().received();
        framer.push(&data);
        let may_follow = framer.may_end() || !is_over;
        self.kind.is_continued_by(head) && !framer.is_misplaced() && may_follow
    }

    /// Remembers after which event another runner has to resume; returns whether one can.
    fn note_resume_point(&mut self, framer: &EventFramer) -> bool {
        match framer.resume_point() {
            ResumePoint::Beginning => true,
            ResumePoint::After(id) => {
                self.progress.last_event = Some(id.clone());
                true
            }
            ResumePoint::Nowhere => false,
        }
    }

    /// Selects another runner that resumes the stream after the last event passed on.
    async fn resume(&mut self, mut framer: EventFramer) -> Option<Segment> {
        framer.discard();
        if !self.note_resume_point(&framer) {
            self.log_break("", &framer, "no event of the stream has an id to resume after");
            return None;
        }
        let caller = self.chunks.clone();
        let (selected, head) = tokio::select! {
            found = self.reopen(&framer) => found?,
            () = caller.closed() => return None,
        };
        let resumable = self.admission.route.kind == CallKind::ResumableStream;
        Some(Segment::new(selected, head, framer, resumable, &self.progress))
    }

    async fn reopen(
        &mut self,
        framer: &EventFramer,
    ) -> Option<(SelectedUpstream, Response<PeekedBody>)> {
        while self.progress.try_reserve_rerun(&self.host, &self.admission) {
            let (host, call) = (self.host.clone(), self.call.clone());
            let selected = select_upstream(&host, &call, &mut self.admission, &self.progress).await;
            let selected = match selected {
                Ok(selected) => selected,
                Err(failure) => {
                    self.log_break("", framer, failure.into_refusal().reason);
                    return None;
                }
            };
            match send(&host, &call, &self.admission, &mut self.progress, selected).await {
                SendOutcome::Head(selected, head) if self.kind.is_continued_by(&head) => {
                    return Some((*selected, *head));
                }
                SendOutcome::NotRun(pause) => sleep(pause).await,
                SendOutcome::Head(..) | SendOutcome::NotSent | SendOutcome::Broken(_) => {}
            }
        }
        None
    }
}
