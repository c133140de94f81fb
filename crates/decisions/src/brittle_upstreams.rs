//! Upstreams that fall over if they have to turn too many requests away for want of room.
//!
//! They say so in all their responses. While one does, it gets no more requests than it runs at
//! once; when it turns one away, all hosts together ask it rarely until it has run one again.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, RequestRate, UpstreamId};

/// Time for which an upstream counts as brittle after it last said so.
const MARK_SPAN: Duration = Duration::from_secs(10);

/// Fraction of what a full upstream can turn away that all hosts together send it: other requests
/// were on their way when the first was turned away.
const ASKED_FRACTION: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct BrittleMark {
    started_at: u64,
    /// When the request was sent whose response said this.
    asked_at: ClockInstant,
    /// Requests that it can turn away; `None` if it did not say that it is brittle.
    rejections: Option<RequestRate>,
    until: ClockInstant,
}

/// The upstreams that said of late that they are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    marks: BTreeMap<UpstreamId, BrittleMark>,
}

impl BrittleUpstreams {
    /// Records what the response of `upstream`, started at `started_at`, to a request sent at
    /// `asked_at` said: how many requests it can turn away, or `None` if it did not say that it is
    /// brittle. A response to an earlier request says nothing new.
    pub fn note(
        &mut self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
        asked_at: ClockInstant,
        rejections: Option<RequestRate>,
    ) {
        self.marks.retain(|_, mark| mark.until > now);
        let known = self.marks.get(upstream);
        let is_late =
            known.is_some_and(|mark| (started_at, asked_at) < (mark.started_at, mark.asked_at));
        if is_late || (known.is_none() && rejections.is_none()) {
            return;
        }
        let mark = BrittleMark { started_at, asked_at, rejections, until: now + MARK_SPAN };
        self.marks.insert(upstream.clone(), mark);
    }

    /// Returns whether `upstream` is brittle as started at `started_at`.
    pub fn is_brittle(&self, now: ClockInstant, upstream: &UpstreamId, started_at: u64) -> bool {
        self.rejections(now, upstream, started_at).is_some()
    }

    /// Returns how many requests a second all hosts together may send to `upstream` once it turned
    /// one away; `None` if it is not brittle.
    pub fn rate_when_full(
        &self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
    ) -> Option<RequestRate> {
        let rejections = self.rejections(now, upstream, started_at)?;
        Some(rejections.scaled(ASKED_FRACTION))
    }

    fn rejections(
        &self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
    ) -> Option<RequestRate> {
        let mark = self.marks.get(upstream)?;
        mark.rejections.filter(|_| mark.until > now && mark.started_at == started_at)
    }
}
