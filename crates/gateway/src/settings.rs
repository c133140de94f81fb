//! What a host's daemon is told at its start, and again when its settings change.

use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_decisions::team_levels::LimitTolerance;
use dotterellane_units::{DomainId, HostId};

/// Settings of one host's daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host takes callers.
    pub readiness: SocketAddr,
    /// Where other daemons send datagrams; the port is the same on all hosts.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Processor that the host has, in thousandths of a core.
    pub processor: u32,
    /// Time between the last order of one keeper and the first of the next.
    pub leader_gap: Duration,
    /// What may change while the daemon runs.
    pub tuning: HostTuning,
}

/// Settings that may change while the daemon runs.
#[derive(Clone, Debug, PartialEq)]
pub struct HostTuning {
    /// Addresses of some other daemons; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Time after the start of a look at the configuration for which it counts as the newest.
    pub freshness: Duration,
    /// Time within which a change of the configuration must be in force.
    pub change_bound: Duration,
    /// Time within which an upstream that leaves must get no more requests.
    pub leaving_bound: Duration,
    /// Time from the request to stop until the process is killed.
    pub shutdown: Duration,
    /// Further sends that each request earns its upstreams.
    pub retry_ratio: f64,
    /// Further sends that the whole fleet may make in a window besides.
    pub retry_slack: f64,
    /// Span over which further sends are counted.
    pub retry_window: Duration,
    /// How far the fleet may exceed a team's limit in tokens.
    pub tolerance: LimitTolerance,
}

impl HostSettings {
    /// Returns the settings other than the tuning that differ in `newer`; they need a restart.
    pub fn differing(&self, newer: &Self) -> Vec<&'static str> {
        let checks = [
            ("host", self.host != newer.host),
            ("domain", self.domain != newer.domain),
            ("callers", self.callers != newer.callers),
            ("readiness", self.readiness != newer.readiness),
            ("peers", self.peers != newer.peers),
            ("metrics", self.metrics != newer.metrics),
            ("processor", self.processor != newer.processor),
            ("keeper_gap", self.leader_gap != newer.leader_gap),
        ];
        // Whether the fleet starts for the first time means nothing to a daemon that runs.
        checks.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}
