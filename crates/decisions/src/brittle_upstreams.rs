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
    rejections: RequestRate,
    until: ClockInstant,
}

/// The upstreams that said of late that they are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    marks: BTreeMap<UpstreamId, BrittleMark>,
}

impl BrittleUpstreams {
    /// Records what a response of `upstream`, started at `started_at`, said: how many requests it can
    /// turn away, or `None` if it did not say that it is brittle.
    pub fn note(
        &mut self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
        rejections: Option<RequestRate>,
    ) {
        self.marks.retain(|_, mark| mark.until > now);
        let is_old = |mark: &BrittleMark| mark.started_at > started_at;
        if self.marks.get(upstream).is_some_and(is_old) {
            return;
        }
        match rejections {
            Some(rejections) => {
                let mark = BrittleMark { started_at, rejections, until: now + MARK_SPAN };
                self.marks.insert(upstream.clone(), mark);
            }
            None => {
                self.marks.remove(upstream);
            }
        }
    }

    /// Returns whether `upstream` is brittle as started at `started_at`.
    pub fn is_brittle(&self, now: ClockInstant, upstream: &UpstreamId, started_at: u64) -> bool {
        self.mark(now, upstream, started_at).is_some()
    }

    /// Returns how many requests a second all hosts together may send to `upstream` once it turned
    /// one away; `None` if it is not brittle.
    pub fn rate_when_full(
        &self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
    ) -> Option<RequestRate> {
        let mark = self.mark(now, upstream, started_at)?;
        Some(mark.rejections.scaled(ASKED_FRACTION))
    }

    fn mark(
        &self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
    ) -> Option<&BrittleMark> {
        let mark = self.marks.get(upstream)?;
        (mark.until > now && mark.started_at == started_at).then_some(mark)
    }
}
