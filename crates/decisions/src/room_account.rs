//! Account of the requests that all hosts have in flight at each upstream.
//!
//! Each host knows its own requests exactly, and those of others from their last reports. Several
//! hosts decide on reports of the same age at the same moment, so each may fill no more of the free
//! room than its share until it has told the others of what it sent.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, TokenCount, UpstreamId};

use crate::upstream_choice::tie_break_hash;
use crate::upstream_room::{UpstreamCapacity, UpstreamLoad};

/// Number of reports for which a share lasts: until the others have heard of what was sent.
const REPORTS_PER_SHARE: u32 = 2;

/// Maximum load of one host at one upstream that is believed: far above what any has, and far below
/// what sums of all hosts could hold.
const MAX_HOST_LOAD: UpstreamLoad = UpstreamLoad { requests: 1 << 16, memory: TokenCount(1 << 40) };

/// What a host has in flight at each upstream.
pub type LoadReport = Vec<(UpstreamId, UpstreamLoad)>;

/// What this host has in flight at one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct OwnLoad {
    load: UpstreamLoad,
    /// What was sent since the last report.
    untold: UpstreamLoad,
    /// What was sent between the two last reports. Others hear of it before this host hears what
    /// they sent at the same time, so it uses up the same share.
    just_told: UpstreamLoad,
    /// Whether a request waits for room there.
    wanted: bool,
    /// Number of reports in series that told others of it.
    wanted_reports: u32,
}

impl OwnLoad {
    /// Returns what was sent so recently that it counts against this host's share.
    fn recent(&self) -> UpstreamLoad {
        self.untold + self.just_told
    }

    fn is_idle(&self) -> bool {
        self.load.requests == 0
            && self.recent().requests == 0
            && !self.wanted
            && self.wanted_reports == 0
    }
}

/// What other hosts have in flight at one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct OthersLoad {
    /// Requests of the hosts that are heard, and memory of all that count.
    load: UpstreamLoad,
    /// Number of the hosts that are heard and have requests there or wait for room.
    hosts: u32,
}

/// The last report of another host.
#[derive(Clone, Debug)]
struct HostReport {
    heard: ClockInstant,
    silent: bool,
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
}

/// The requests in flight at each upstream, of this host and of all others.
#[derive(Clone, Debug, Default)]
pub struct RoomAccount {
    own: BTreeMap<UpstreamId, OwnLoad>,
    others: BTreeMap<UpstreamId, OthersLoad>,
    reports: BTreeMap<HostId, HostReport>,
    /// Number of the other hosts that are heard.
    heard: u64,
    /// Number of reports that this host sent; shares are drawn anew with each.
    reports_sent: u64,
    /// Makes the draws of this host differ from those of others.
    seed: u64,
}

/// A request that looks for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomRequest {
    /// Memory that it takes at most.
    pub memory: TokenCount,
    /// Whether it has waited, so that others may wait for the same room.
    pub has_waited: bool,
}

/// Why an upstream gets no request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomShortage {
    /// The request does not fit its memory at any time.
    TooLarge,
    /// Its memory is taken.
    Memory,
    /// As many requests are there as it runs soon.
    Slots,
    /// This host has used its share of the room that is free; others may be about to use the rest.
    Share,
}

impl RoomAccount {
    /// Creates an empty account; `seed` differs between hosts.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Records that a request of this host goes to `upstream`.
    pub fn begin(&mut self, upstream: &UpstreamId, memory: TokenCount) {
        let request = UpstreamLoad { requests: 1, memory };
        let own = self.own.entry(upstream.clone()).or_default();
        own.load = own.load + request;
        own.untold = own.untold + request;
    }

    /// Records that a request of this host at `upstream` has ended.
    pub fn end(&mut self, upstream: &UpstreamId, memory: TokenCount) {
        let Some(own) = self.own.get_mut(upstream) else { return };
        own.load = own.load - UpstreamLoad { requests: 1, memory };
        if own.is_idle() {
            self.own.remove(upstream);
        }
    }

    /// Records that a request of this host waits for room at `upstream`.
    pub fn note_wanted(&mut self, upstream: &UpstreamId) {
        self.own.entry(upstream.clone()).or_default().wanted = true;
    }

    /// Returns what this host has in flight, for its report, with the upstreams that it waits for.
    pub fn report(&self) -> LoadReport {
        let named = self.own.iter().filter(|(_, own)| own.load.requests > 0 || own.wanted);
        named.map(|(name, own)| (name.clone(), own.load)).collect()
    }

    /// Records that a report was sent to all hosts.
    pub fn note_told(&mut self) {
        self.reports_sent = self.reports_sent.wrapping_add(1);
        self.own.retain(|_, own| {
            own.just_told = std::mem::take(&mut own.untold);
            let told = std::mem::take(&mut own.wanted);
            own.wanted_reports = if told { own.wanted_reports.saturating_add(1) } else { 0 };
            !own.is_idle()
        });
    }

    /// Replaces what another host was known to have in flight.
    pub fn absorb(&mut self, now: ClockInstant, host: &HostId, report: LoadReport) {
        self.forget(host);
        let loads: BTreeMap<_, _> =
            report.into_iter().map(|(name, load)| (name, load.min(MAX_HOST_LOAD))).collect();
        for (name, load) in &loads {
            let others = self.others.entry(name.clone()).or_default();
            others.load = others.load + *load;
            others.hosts += 1;
        }
        self.heard += 1;
        self.reports.insert(host.clone(), HostReport { heard: now, silent: false, loads });
    }

    /// Forgets a host that has ended or started anew: its requests ended with its connections.
    pub fn forget(&mut self, host: &HostId) {
        let Some(report) = self.reports.remove(host) else { return };
        self.heard -= u64::from(!report.silent);
        for (name, load) in &report.loads {
            if !report.silent {
                self.subtract_requests(name, load.requests);
            }
            self.subtract_memory(name, load.memory);
        }
    }

    /// Forgets the hosts that are not `known`, and leaves out the requests of those that were silent
    /// for `timeout`. A host that died has no requests; one that is cut off may still have them, so
    /// their memory counts on.
    pub fn sweep<F>(&mut self, now: ClockInstant, timeout: Duration, known: F)
    where
        F: Fn(&HostId) -> bool,
    {
        let gone: Vec<HostId> = self.reports.keys().filter(|host| !known(host)).cloned().collect();
        for host in &gone {
            self.forget(host);
        }
        let mut reports = std::mem::take(&mut self.reports);
        for report in reports.values_mut().filter(|report| !report.silent) {
            if now.since(report.heard) >= timeout {
                report.silent = true;
                self.heard -= 1;
                for (name, load) in &report.loads {
                    self.subtract_requests(name, load.requests);
                }
            }
        }
        self.reports = reports;
    }

    /// Returns what all hosts have in flight at `upstream`, as far as known.
    pub fn load(&self, upstream: &UpstreamId) -> UpstreamLoad {
        let others = self.others.get(upstream).map_or_else(UpstreamLoad::default, |one| one.load);
        self.own_load(upstream) + others
    }

    /// Returns what this host has in flight at `upstream`.
    pub fn own_load(&self, upstream: &UpstreamId) -> UpstreamLoad {
        self.own.get(upstream).map_or_else(UpstreamLoad::default, |own| own.load)
    }

    /// Checks whether this host may send a request to `upstream` now.
    ///
    /// # Errors
    /// Fails with what is short.
    pub fn check(
        &self,
        upstream: &UpstreamId,
        capacity: &UpstreamCapacity,
        request: &RoomRequest,
    ) -> Result<(), RoomShortage> {
        let Some(memory) = capacity.memory else { return Ok(()) };
        let needed = request.memory.0.max(1);
        if needed > memory.0 {
            return Err(RoomShortage::TooLarge);
        }
        let load = self.load(upstream);
        let free_memory = memory.0.saturating_sub(load.memory.0);
        if needed > free_memory {
            return Err(RoomShortage::Memory);
        }
        let free_requests = capacity.max_requests().saturating_sub(load.requests);
        if free_requests == 0 {
            return Err(RoomShortage::Slots);
        }
        // What was sent recently was still free for all when the others decided.
        let own = self.own.get(upstream).copied().unwrap_or_default();
        let recent = own.recent();
        let shared_requests = u64::from(free_requests) + u64::from(recent.requests);
        let shared_places =
            shared_requests.min(free_memory.saturating_add(recent.memory.0) / needed);
        let used_places = u64::from(recent.requests).max(recent.memory.0.div_ceil(needed));
        let is_settled = request.has_waited && own.wanted_reports >= REPORTS_PER_SHARE;
        let hosts = if is_settled { self.claiming_hosts(upstream) } else { self.heard_hosts() };
        let drawn = if request.has_waited { self.draw(upstream) % hosts } else { 0 };
        let in_share = used_places.saturating_mul(hosts).saturating_add(drawn) < shared_places;
        if in_share { Ok(()) } else { Err(RoomShortage::Share) }
    }

    /// Draws which hosts get what is left of a share. Without, all that waited for the same event
    /// would round their shares up at once.
    fn draw(&self, upstream: &UpstreamId) -> u64 {
        let round = self.reports_sent / u64::from(REPORTS_PER_SHARE);
        tie_break_hash(self.seed.wrapping_add(round), upstream)
    }

    /// Returns the number of hosts, with this one, that are known to have requests at `upstream` or
    /// to wait for room there.
    fn claiming_hosts(&self, upstream: &UpstreamId) -> u64 {
        let others = self.others.get(upstream).map_or(0, |others| others.hosts);
        u64::from(others) + 1
    }

    /// Returns the number of hosts that are heard, with this one: any may be about to send.
    fn heard_hosts(&self) -> u64 {
        self.heard + 1
    }

    fn subtract_requests(&mut self, upstream: &UpstreamId, requests: u32) {
        if let Some(others) = self.others.get_mut(upstream) {
            others.load.requests = others.load.requests.saturating_sub(requests);
            others.hosts = others.hosts.saturating_sub(1);
        }
    }

    fn subtract_memory(&mut self, upstream: &UpstreamId, memory: TokenCount) {
        let Some(others) = self.others.get_mut(upstream) else { return };
        others.load.memory = TokenCount(others.load.memory.0.saturating_sub(memory.0));
        if others.hosts == 0 && others.load.memory == TokenCount(0) {
            self.others.remove(upstream);
        }
    }
}
