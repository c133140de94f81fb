//! Remembers upstreams that announced in an answer that they are shutting down.
//!
//! Rows of the directory may lag behind such an answer, or contradict it for as long as the store is
//! down, so the announcement is remembered beside them. A mark holds for one start of the upstream
//! and all earlier ones; only a later start ends it.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};
use serde::{Deserialize, Serialize};

/// Time for which a mark is kept although no row names its upstream.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// An upstream that is leaving, as hosts report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeavingMark {
    /// Upstream that announced its leaving.
    pub upstream: UpstreamId,
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct MarkEntry {
    start: u64,
    noted: ClockInstant,
}

/// The upstreams that are known to be leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    marks: BTreeMap<UpstreamId, MarkEntry>,
}

impl LeavingMarks {
    /// Notes that `upstream` as started at `start` is leaving; returns whether this was not known.
    pub fn note(&mut self, now: ClockInstant, upstream: &UpstreamId, start: u64) -> bool {
        if self.is_leaving(upstream, start) {
            return false;
        }
        self.marks.insert(upstream.clone(), MarkEntry { start, noted: now });
        true
    }

    /// Tells whether `upstream` as started at `start` is leaving: a mark names this start or a later
    /// one.
    pub fn is_leaving(&self, upstream: &UpstreamId, start: u64) -> bool {
        self.marks.get(upstream).is_some_and(|mark| start <= mark.start)
    }

    /// Returns the marks that were noted within the last `span`.
    pub fn recent(&self, now: ClockInstant, span: Duration) -> Vec<LeavingMark> {
        self.marks_where(|mark| now.since(mark.noted) < span)
    }

    /// Returns all marks, also those that were noted long ago.
    pub fn all(&self) -> Vec<LeavingMark> {
        self.marks_where(|_| true)
    }

    /// Drops the marks of upstreams that are not listed in the directory, once they are old enough.
    pub fn sweep<L>(&mut self, now: ClockInstant, mut is_listed: L)
    where
        L: FnMut(&UpstreamId) -> bool,
    {
        self.marks.retain(|upstream, mark| {
            now.since(mark.noted) < UNLISTED_RETENTION || is_listed(upstream)
        });
    }

    fn marks_where<W>(&self, wanted: W) -> Vec<LeavingMark>
    where
        W: Fn(&MarkEntry) -> bool,
    {
        let marks = self.marks.iter().filter(|(_, mark)| wanted(mark));
        let marks = marks.map(|(upstream, mark)| LeavingMark {
            upstream: upstream.clone(),
            started_at: mark.start,
        });
        marks.collect()
    }
}
