//! Permits to send requests to upstreams that announced a rate limit.
//!
//! One host issues the permits for the whole fleet. A permit names the time at which its request may
//! be sent; the permits for one upstream are spaced by its limit, so their sum over all hosts stays
//! within it. A request that would have to wait too long gets no permit, but the time at which it
//! could be sent. The leader is the issuer. A host that hears of none asks its deputy, the live host
//! with the lowest id, which issues permits at half the rate times the fraction of hosts that it
//! hears: the parts of a partitioned fleet together get half of the limit beside a leader's whole.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterellane_units::{ClockInstant, FenceNumber, HostId, RequestRate, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Time after its slot within which a permit must be used.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(300);

/// Time that a new issuer waits before its first permit for an upstream. Until then all hosts have
/// heard of it and discarded the permits of the issuer before.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Fraction of a limit that all deputies together may use.
const DEPUTY_RATE_FRACTION: f64 = 0.5;

/// Lowest rate at which permits are issued. An upstream without any requests could not announce that
/// its limit has ended.
const MIN_RATE: RequestRate = RequestRate::from_milli_requests(33);

/// Longest time between two permits, which stands for any longer one.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// Time after their last slot for which the slots of an upstream are remembered.
const SLOT_RETENTION: Duration = Duration::from_secs(60);

/// Number of slots ahead from which on no team may take more than half of them while others wait.
const SHARED_SLOTS: usize = 4;

/// Time for which a team counts as waiting for slots after its last request for one.
const TEAM_RECENCY: Duration = Duration::from_secs(2);

/// The host that issues permits.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PermitIssuer {
    /// The leader, with the fencing number of its lease.
    Leader(HostId, FenceNumber),
    /// The live host with the lowest id, while there is no leader.
    Deputy(HostId),
}

impl PermitIssuer {
    /// Returns the issuing host.
    pub fn host(&self) -> &HostId {
        let (Self::Leader(host, _) | Self::Deputy(host)) = self;
        host
    }

    /// Returns the time between two permits for an upstream with this limit.
    fn interval(&self, limit: RequestRate, heard_fraction: f64) -> Duration {
        let limit = limit.max(MIN_RATE);
        let rate = match self {
            Self::Leader(..) => limit,
            Self::Deputy(_) => limit.scaled(DEPUTY_RATE_FRACTION * heard_fraction),
        };
        rate.interval().min(MAX_INTERVAL)
    }

    /// Returns the time before its first permit for `upstream`, as permits may be used elsewhere.
    /// Deputies that start at the same time in a partitioned fleet do not issue one at once each.
    fn first_delay(&self, upstream: &UpstreamId, interval: Duration) -> Duration {
        match self {
            Self::Leader(..) => TAKEOVER_DELAY,
            Self::Deputy(host) => TAKEOVER_DELAY + interval.mul_f64(phase_of(host, upstream)),
        }
    }
}

/// Returns a number from 0 to 1 that differs between hosts and between upstreams.
fn phase_of(host: &HostId, upstream: &UpstreamId) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(host.as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(upstream.as_str().as_bytes());
    let [first, second, ..] = *hasher.finalize().as_bytes();
    f64::from(u16::from_le_bytes([first, second])) / f64::from(u16::MAX)
}

/// A request that needs a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PermitRequest {
    /// Upstream that the request would be sent to.
    pub upstream: UpstreamId,
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
    /// Limit of the upstream.
    pub limit: RequestRate,
    /// Team that sent the request, if it has one.
    pub team: Option<TeamId>,
    /// Longest time for which the request can wait for its slot.
    pub longest_wait: Duration,
}

/// A permit to send one request to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendPermit {
    /// Host that issued it.
    pub issuer: PermitIssuer,
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
    /// Limit of the upstream when the permit was issued.
    pub limit: RequestRate,
    /// Time from which on the request may be sent, for [`PERMIT_VALIDITY`].
    pub slot: ClockInstant,
}

impl SendPermit {
    /// Returns whether the request may be sent at `now` to the upstream as started at `started_at`,
    /// whose limit is `limit`, while `issuer` issues the permits.
    pub fn allows(
        &self,
        now: ClockInstant,
        started_at: u64,
        limit: RequestRate,
        issuer: &PermitIssuer,
    ) -> bool {
        self.issuer == *issuer
            && self.started_at == started_at
            && self.limit == limit
            && self.slot <= now
            && now <= self.slot + PERMIT_VALIDITY
    }
}

/// Decision of the issuer on a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitDecision {
    /// The request may be sent at this time.
    Slot(ClockInstant),
    /// The request could only be sent at this time, which is too late for it.
    TooLate(ClockInstant),
}

#[derive(Clone, Debug)]
struct UpstreamSlots {
    started_at: u64,
    limit: RequestRate,
    /// The next free slot.
    next: ClockInstant,
    /// Slots taken and still ahead, with the team that took each.
    taken: VecDeque<(ClockInstant, Option<TeamId>)>,
    /// When each team last asked for a slot.
    asked: BTreeMap<Option<TeamId>, ClockInstant>,
}

impl UpstreamSlots {
    fn prune(&mut self, now: ClockInstant) {
        while self.taken.front().is_some_and(|(slot, _)| *slot < now) {
            self.taken.pop_front();
        }
        self.asked.retain(|_, at| now.since(*at) < TEAM_RECENCY);
    }

    /// Returns whether `team` holds so many of the slots ahead that it has to leave the next one to
    /// another team.
    fn is_beyond_share(&self, team: &Option<TeamId>) -> bool {
        let held = self.taken.iter().filter(|(_, of)| of == team).count();
        self.asked.len() > 1 && self.taken.len() >= SHARED_SLOTS && held * 2 > self.taken.len()
    }
}

/// The permits that this host issued.
#[derive(Clone, Debug, Default)]
pub struct PermitBook {
    /// This host's role when it last issued a permit, and since when it has that role.
    role: Option<(PermitIssuer, ClockInstant)>,
    upstreams: BTreeMap<UpstreamId, UpstreamSlots>,
}

impl PermitBook {
    /// Decides on `request` as `issuer`, which is this host. It hears `heard_fraction` of the hosts.
    pub fn decide(
        &mut self,
        now: ClockInstant,
        issuer: &PermitIssuer,
        heard_fraction: f64,
        request: &PermitRequest,
    ) -> PermitDecision {
        let since = self.take_role(now, issuer);
        self.upstreams.retain(|_, slots| now.since(slots.next) < SLOT_RETENTION);
        let interval = issuer.interval(request.limit, heard_fraction);
        let first = since + issuer.first_delay(&request.upstream, interval);
        let slots = self.slots_of(now, request, interval, first);
        slots.prune(now);
        slots.asked.insert(request.team.clone(), now);
        let slot = slots.next.max(now);
        if slot.since(now) > request.longest_wait || slots.is_beyond_share(&request.team) {
            return PermitDecision::TooLate(slot);
        }
        slots.next = slot + interval;
        slots.taken.push_back((slot, request.team.clone()));
        PermitDecision::Slot(slot)
    }

    /// Returns since when this host has the role of `issuer`; forgets all slots if it had another
    /// one.
    fn take_role(&mut self, now: ClockInstant, issuer: &PermitIssuer) -> ClockInstant {
        match &self.role {
            Some((known, since)) if known == issuer => *since,
            _ => {
                self.role = Some((issuer.clone(), now));
                self.upstreams.clear();
                now
            }
        }
    }

    /// Returns the slots of the upstream. Hosts discard permits for another limit or start, so the
    /// slots taken before are free again.
    fn slots_of(
        &mut self,
        now: ClockInstant,
        request: &PermitRequest,
        interval: Duration,
        first: ClockInstant,
    ) -> &mut UpstreamSlots {
        let fresh = |next| UpstreamSlots {
            started_at: request.started_at,
            limit: request.limit,
            next,
            taken: VecDeque::new(),
            asked: BTreeMap::new(),
        };
        let slots =
            self.upstreams.entry(request.upstream.clone()).or_insert_with(|| fresh(first.max(now)));
        if slots.limit != request.limit || slots.started_at != request.started_at {
            *slots = fresh(now + interval);
        }
        slots
    }
}
