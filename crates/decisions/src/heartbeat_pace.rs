//! How often hosts beat to each other, and when one that does not counts as silent.
//!
//! Every host beats to every other one. So that the datagrams of a host do not grow with the fleet,
//! the pause between two beats does, and with it the time after which a peer counts as silent.

use std::time::Duration;

/// Least time between two beats.
const LEAST_PAUSE: Duration = Duration::from_millis(100);

/// Longest time between two beats in a fleet of up to 75 hosts.
const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// Least time between two beats for each peer that gets them.
const PAUSE_A_PEER: Duration = Duration::from_millis(4);

/// The same for the keeper, whose beats carry its lease.
const KEEPER_PAUSE_A_PEER: Duration = Duration::from_millis(1);

/// Longest pauses for which beats repeat what is new, in case some are lost.
const REPEATED_PAUSES: u32 = 5;

/// Thirds of the longest interval after which a peer counts as silent, so that one beat may be lost.
const SILENT_THIRDS: u32 = 7;

/// Pace of beats in a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatPace {
    /// Least time between two beats, however much there is to tell.
    pub min_interval: Duration,
    /// Longest time between two beats.
    pub max_interval: Duration,
    /// Time without a beat after which a peer counts as silent: one may be lost.
    pub silence_timeout: Duration,
}

impl HeartbeatPace {
    /// Returns the pace of a host that hears `peers` others.
    pub fn of(peers: usize) -> Self {
        let max_interval = pause_for(PAUSE_A_PEER, peers).max(LONGEST_PAUSE);
        let min_interval = pause_for(PAUSE_A_PEER, peers).max(LEAST_PAUSE);
        Self { min_interval, max_interval, silence_timeout: max_interval * SILENT_THIRDS / 3 }
    }

    /// Returns the time for which beats repeat what is new.
    pub fn repeat_span(&self) -> Duration {
        self.max_interval * REPEATED_PAUSES
    }

    /// Returns the pace of the keeper that hears `peers` others.
    pub fn of_leader(peers: usize) -> Self {
        let min_interval = pause_for(KEEPER_PAUSE_A_PEER, peers).clamp(LEAST_PAUSE, LONGEST_PAUSE);
        Self { min_interval, max_interval: LONGEST_PAUSE, ..Self::of(peers) }
    }
}

fn pause_for(a_peer: Duration, peers: usize) -> Duration {
    a_peer.saturating_mul(u32::try_from(peers).unwrap_or(u32::MAX))
}
