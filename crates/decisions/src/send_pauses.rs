//! Upstreams that asked this host to send them nothing for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};

/// Until when which upstreams want nothing.
#[derive(Clone, Debug, Default)]
pub struct SendPauses {
    ends: BTreeMap<UpstreamId, ClockInstant>,
}

impl SendPauses {
    /// Notes that `upstream` wants nothing for `span`; a longer pause that was asked before stays.
    pub fn note(&mut self, now: ClockInstant, upstream: &UpstreamId, span: Duration) {
        self.ends.retain(|_, end| *end > now);
        let end = self.ends.entry(upstream.clone()).or_insert(now);
        *end = (*end).max(now + span);
    }

    /// Returns when `upstream` takes requests again; `None` if it does now.
    pub fn end(&self, now: ClockInstant, upstream: &UpstreamId) -> Option<ClockInstant> {
        self.ends.get(upstream).copied().filter(|end| *end > now)
    }
}
