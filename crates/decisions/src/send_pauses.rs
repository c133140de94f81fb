//! Upstreams that asked this host to send them no requests for some time, as with `Retry-After`.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};

/// End of the pause that each upstream asked for.
#[derive(Clone, Debug, Default)]
pub struct SendPauses {
    ends: BTreeMap<UpstreamId, ClockInstant>,
}

impl SendPauses {
    /// Notes that `upstream` asked for a pause of `span` from now; never shortens an earlier pause.
    pub fn note(&mut self, now: ClockInstant, upstream: &UpstreamId, span: Duration) {
        self.ends.retain(|_, end| *end > now);
        let end = self.ends.entry(upstream.clone()).or_insert(now);
        *end = (*end).max(now + span);
    }

    /// Returns when the pause of `upstream` ends; `None` if it accepts requests now.
    pub fn end(&self, now: ClockInstant, upstream: &UpstreamId) -> Option<ClockInstant> {
        self.ends.get(upstream).copied().filter(|end| *end > now)
    }
}
