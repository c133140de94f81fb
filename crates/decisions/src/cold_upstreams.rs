//! Remembers which upstreams are cold: they have just started, or may have, and take few requests
//! per second from all hosts together until they are warm.
//!
//! Hosts learn this from rows of the directory, from what they see themselves, and from each other.
//! The end is a span counted from when it was learnt, so it errs on the late side.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, RequestRate, UpstreamId};
use serde::{Deserialize, Serialize};

/// Added to what a host sees itself. A report that exceeds the known end by less than this brings
/// nothing new; otherwise hosts would extend each other's ends by the delay of each datagram.
const REPORT_TOLERANCE: Duration = Duration::from_millis(250);

/// Time after its end for which a mark is remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// Limit that the configuration sets for the upstreams of a service that are cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLimit {
    /// Time for which an upstream is cold after its start.
    pub span: Duration,
    /// Requests per second that it takes meanwhile, from all hosts together.
    pub rate: RequestRate,
}

/// A cold upstream, as hosts report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ColdMark {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
    /// Time until it is warm.
    pub left: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ColdSpan {
    started_at: u64,
    end: ClockInstant,
}

/// The upstreams that are known to be cold.
#[derive(Clone, Debug, Default)]
pub struct ColdUpstreams {
    spans: BTreeMap<UpstreamId, ColdSpan>,
}

impl ColdUpstreams {
    /// Notes that this host saw that `upstream`, started at `started_at`, is cold or may be, for
    /// `left` from now on. Returns whether it was not known to be cold.
    pub fn note(
        &mut self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
        left: Duration,
    ) -> bool {
        self.extend(now, upstream, started_at, now + left + REPORT_TOLERANCE)
    }

    /// Notes the report of another host. Returns whether the upstream was not known to be cold.
    pub fn absorb(&mut self, now: ClockInstant, mark: &ColdMark) -> bool {
        let end = now + mark.left;
        let known = self.spans.get(&mark.upstream);
        let is_known = known.is_some_and(|span| {
            span.started_at == mark.started_at && end <= span.end + REPORT_TOLERANCE
        });
        !is_known && self.extend(now, &mark.upstream, mark.started_at, end)
    }

    fn extend(
        &mut self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
        end: ClockInstant,
    ) -> bool {
        let was_cold = self.is_cold(now, upstream, started_at);
        match self.spans.get_mut(upstream) {
            Some(span) if started_at < span.started_at => return false,
            Some(span) if started_at == span.started_at => span.end = span.end.max(end),
            _ => {
                self.spans.insert(upstream.clone(), ColdSpan { started_at, end });
            }
        }
        !was_cold && now < end
    }

    /// Returns whether `upstream` as started at `started_at` is cold. A mark of a later start also
    /// holds, as the caller's row is out of date.
    pub fn is_cold(&self, now: ClockInstant, upstream: &UpstreamId, started_at: u64) -> bool {
        self.end(now, upstream, started_at).is_some()
    }

    /// Returns when `upstream` as started at `started_at` is warm; `None` if it is now.
    pub fn end(
        &self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
    ) -> Option<ClockInstant> {
        let span = self.spans.get(upstream).filter(|span| started_at <= span.started_at)?;
        (now < span.end).then_some(span.end)
    }

    /// Returns what other hosts are told of `upstream`; `None` if it is warm.
    pub fn mark(&self, now: ClockInstant, upstream: &UpstreamId) -> Option<ColdMark> {
        let span = self.spans.get(upstream).filter(|span| now < span.end)?;
        Some(ColdMark {
            upstream: upstream.clone(),
            started_at: span.started_at,
            left: span.end.since(now),
        })
    }

    /// Returns the marks of all upstreams that are cold.
    pub fn marks(&self, now: ClockInstant) -> impl Iterator<Item = ColdMark> {
        self.spans.keys().filter_map(move |upstream| self.mark(now, upstream))
    }

    /// Drops what ended long ago.
    pub fn sweep(&mut self, now: ClockInstant) {
        self.spans.retain(|_, span| now < span.end + RETENTION);
    }
}
