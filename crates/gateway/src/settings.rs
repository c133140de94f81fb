//! Settings of a host's daemon. Some of them may change while it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_decisions::domain_spill::SpillPrice;
use dotterellane_decisions::team_buckets::LimitTolerance;
use dotterellane_units::{ByteSize, DomainId, HostId, RegionId};

/// Settings of one host's daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Unique name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Regions of the failure domains, as far as known.
    pub regions: BTreeMap<DomainId, RegionId>,
    /// Resources that the daemon may use.
    pub limits: HostLimits,
    /// Address where callers connect.
    pub callers: SocketAddr,
    /// Address of the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address for datagrams of other daemons; the port is the same on all hosts.
    pub peers: SocketAddr,
    /// Address where metrics are served.
    pub metrics: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// CPU capacity of the host, in thousandths of a core.
    pub processor: u32,
    /// What leaving the failure domain must gain; `None` if the failure domain only breaks ties.
    pub spill: Option<SpillPrice>,
    /// Minimum time between the last order of one leader and the first order of the next.
    pub leader_gap: Duration,
    /// Settings that may change while the daemon runs.
    pub tuning: HostTuning,
}

/// Resources that the daemon may use. `None` where the settings state no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostLimits {
    /// Memory; a process that exceeds it is killed.
    pub memory: Option<ByteSize>,
    /// Open file descriptors.
    pub descriptors: Option<u32>,
}

/// Settings that may change while the daemon runs.
#[derive(Clone, Debug, PartialEq)]
pub struct HostTuning {
    /// Addresses of some other daemons; they may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Time for which the configuration counts as the newest after the store confirmed it, counted
    /// from the start of that call.
    pub freshness: Duration,
    /// Time within which a changed configuration must take effect.
    pub change_bound: Duration,
    /// Time within which an upstream that is leaving must stop receiving requests.
    pub leaving_bound: Duration,
    /// Time within which an evacuated failure domain must stop receiving requests.
    pub evacuation_bound: Duration,
    /// Time from SIGTERM until the process is killed.
    pub shutdown: Duration,
    /// Retries that a service's upstreams may receive per request, on average.
    pub retry_ratio: f64,
    /// Retries per service and window that the whole fleet may make in addition.
    pub retry_slack: f64,
    /// Length of the sliding window over which retries are counted.
    pub retry_window: Duration,
    /// How far the fleet may exceed a team's limit in tokens.
    pub tolerance: LimitTolerance,
    /// Whether upstreams crash if the requests that they hold exceed their memory, so that hosts
    /// together must not send them more than they have room for.
    pub limits_room: bool,
}

impl HostSettings {
    /// Returns the names of the settings that differ in `newer` and take effect only after a
    /// restart.
    pub fn differing(&self, newer: &Self) -> Vec<&'static str> {
        let checks = [
            ("host", self.host != newer.host),
            ("domain", self.domain != newer.domain),
            ("regions", self.regions != newer.regions),
            ("limits", self.limits != newer.limits),
            ("callers", self.callers != newer.callers),
            ("readiness", self.readiness != newer.readiness),
            ("peers", self.peers != newer.peers),
            ("metrics", self.metrics != newer.metrics),
            ("processor", self.processor != newer.processor),
            ("keeper_gap", self.leader_gap != newer.leader_gap),
        ];
        // `first_start` is not compared: it only matters when the daemon starts.
        checks.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}
