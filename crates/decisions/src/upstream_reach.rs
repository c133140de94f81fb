//! Whether a host is cut off from all upstreams, or some of them are down.
//!
//! One upstream to which connecting fails says nothing about the host. Several without a success
//! between them say that the host may be cut off; only other hosts that reach upstreams meanwhile
//! show that it is not the upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};

/// Number of upstreams to which connecting fails in a row until a host counts as cut off; all of
/// them if fewer are listed.
const MIN_FAILED: usize = 3;

/// Time for which a failure counts.
const FAILURE_SPAN: Duration = Duration::from_secs(3);

/// Time for which an upstream that failed is no good witness.
const DOWN_SPAN: Duration = Duration::from_secs(4);

/// What a host's attempts to connect show of its reach.
#[derive(Clone, Debug, Default)]
pub struct UpstreamReach {
    /// Upstreams to which connecting failed since the last success, with the time of the failure.
    failed: BTreeMap<UpstreamId, ClockInstant>,
    /// Upstreams to which connecting failed last, with the time of the failure.
    down: BTreeMap<UpstreamId, ClockInstant>,
    connected_at: Option<ClockInstant>,
    cut_off_at: Option<ClockInstant>,
}

impl UpstreamReach {
    /// Records that a connection to `upstream` was established. Returns whether the host counted as
    /// cut off until now.
    pub fn note_connected(&mut self, now: ClockInstant, upstream: &UpstreamId) -> bool {
        self.failed.clear();
        self.down.remove(upstream);
        self.connected_at = Some(now);
        self.cut_off_at.take().is_some()
    }

    /// Records that no connection to `upstream` could be established, one of `listed` upstreams.
    /// Returns whether the host counts as cut off from now on.
    pub fn note_failed(&mut self, now: ClockInstant, upstream: &UpstreamId, listed: usize) -> bool {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_SPAN);
        self.failed.insert(upstream.clone(), now);
        self.down.retain(|_, at| now.since(*at) < DOWN_SPAN);
        self.down.insert(upstream.clone(), now);
        let is_new = self.cut_off_at.is_none() && self.failed.len() >= MIN_FAILED.min(listed);
        if is_new {
            self.cut_off_at = self.failed.values().min().copied();
        }
        is_new
    }

    /// Returns the first failure of those by which the host counts as cut off; `None` if it does
    /// not.
    pub fn cut_off_at(&self) -> Option<ClockInstant> {
        self.cut_off_at
    }

    /// Returns whether connecting to `upstream` failed last, so that another failure says little.
    pub fn is_down(&self, now: ClockInstant, upstream: &UpstreamId) -> bool {
        self.down.get(upstream).is_some_and(|at| now.since(*at) < DOWN_SPAN)
    }

    /// Returns whether connecting failed since a connection was last established.
    pub fn is_in_doubt(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Returns when a connection was last established.
    pub fn connected_at(&self) -> Option<ClockInstant> {
        self.connected_at
    }
}
