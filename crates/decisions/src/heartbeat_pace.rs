//! Heartbeat interval between hosts, and the time after which a host without heartbeats is silent.
//!
//! Every host sends heartbeats to every other one. The interval grows with the number of hosts, so
//! that the datagrams a host sends per second don't; the time after which a peer counts as silent
//! grows with it.

use std::time::Duration;

/// Shortest interval between two heartbeats of a host.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest interval between two heartbeats in a fleet of up to 75 hosts.
const MAX_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest interval per receiving peer; limits a host to 250 heartbeats per second.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(4);

/// As [`INTERVAL_PER_PEER`], for the leader, whose heartbeats carry its lease.
const LEADER_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);

/// Number of longest intervals for which heartbeats repeat an update, since datagrams may be lost.
const REPEAT_INTERVALS: u32 = 5;

/// Silence timeout, in thirds of the longest interval; above 6, so that one lost heartbeat doesn't
/// make a peer silent.
const SILENCE_THIRDS: u32 = 7;

/// Heartbeat intervals of a host, and the time after which it counts a peer as silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatPace {
    /// Shortest interval between two heartbeats, even if updates are pending.
    pub min_interval: Duration,
    /// Longest interval between two heartbeats, even without updates.
    pub max_interval: Duration,
    /// Time without a heartbeat after which a peer counts as silent; more than two longest
    /// intervals.
    pub silence_timeout: Duration,
}

impl HeartbeatPace {
    /// Returns the pace of a host that hears `peers` other hosts.
    pub fn of(peers: usize) -> Self {
        let max_interval = interval_for(INTERVAL_PER_PEER, peers).max(MAX_INTERVAL);
        let min_interval = interval_for(INTERVAL_PER_PEER, peers).max(MIN_INTERVAL);
        Self { min_interval, max_interval, silence_timeout: max_interval * SILENCE_THIRDS / 3 }
    }

    /// Returns how long heartbeats repeat an update.
    pub fn repeat_span(&self) -> Duration {
        self.max_interval * REPEAT_INTERVALS
    }

    /// Returns the pace of the leader when it hears `peers` other hosts.
    ///
    /// Its intervals stay within those of a small fleet; it counts peers as silent as others do.
    pub fn of_leader(peers: usize) -> Self {
        let min_interval =
            interval_for(LEADER_INTERVAL_PER_PEER, peers).clamp(MIN_INTERVAL, MAX_INTERVAL);
        Self { min_interval, max_interval: MAX_INTERVAL, ..Self::of(peers) }
    }
}

fn interval_for(per_peer: Duration, peers: usize) -> Duration {
    per_peer.saturating_mul(u32::try_from(peers).unwrap_or(u32::MAX))
}
