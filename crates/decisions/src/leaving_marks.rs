//! Upstreams that said in an answer that they leave.
//!
//! Rows of the directory may lag behind such an answer, or say otherwise for as long as the store is
//! down, so the answer is remembered beside them. A mark names the start of the upstream that it is
//! about; only a later start ends it.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};
use serde::{Deserialize, Serialize};

/// Time for which the mark of an upstream that no row names is remembered.
const UNLISTED_MEMORY: Duration = Duration::from_secs(600);

/// One upstream that leaves, as hosts tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeavingMark {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream, in milliseconds.
    pub start: u64,
}

#[derive(Clone, Copy, Debug)]
struct MarkEntry {
    start: u64,
    noted: ClockInstant,
}

/// The upstreams that are known to leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    marks: BTreeMap<UpstreamId, MarkEntry>,
}

impl LeavingMarks {
    /// Notes that `upstream`, started at `start`, leaves. Tells whether that is news.
    pub fn note(&mut self, now: ClockInstant, upstream: &UpstreamId, start: u64) -> bool {
        if self.is_leaving(upstream, start) {
            return false;
        }
        self.marks.insert(upstream.clone(), MarkEntry { start, noted: now });
        true
    }

    /// Tells whether the start `start` of `upstream` is one that leaves, or an earlier one.
    pub fn is_leaving(&self, upstream: &UpstreamId, start: u64) -> bool {
        self.marks.get(upstream).is_some_and(|mark| start <= mark.start)
    }

    /// Returns the marks that were noted within the last `span`.
    pub fn recent(&self, now: ClockInstant, span: Duration) -> Vec<LeavingMark> {
        self.listed(|mark| now.since(mark.noted) < span)
    }

    /// Returns all marks.
    pub fn all(&self) -> Vec<LeavingMark> {
        self.listed(|_| true)
    }

    /// Forgets marks of upstreams that have long been out of the directory.
    pub fn sweep<L>(&mut self, now: ClockInstant, mut is_listed: L)
    where
        L: FnMut(&UpstreamId) -> bool,
    {
        self.marks.retain(|upstream, mark| {
            now.since(mark.noted) < UNLISTED_MEMORY || is_listed(upstream)
        });
    }

    fn listed<W>(&self, wanted: W) -> Vec<LeavingMark>
    where
        W: Fn(&MarkEntry) -> bool,
    {
        let marks = self.marks.iter().filter(|(_, mark)| wanted(mark));
        let marks = marks
            .map(|(upstream, mark)| LeavingMark { upstream: upstream.clone(), start: mark.start });
        marks.collect()
    }
}
