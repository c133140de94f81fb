//! Ranks the hosts that could take the leader lease.

use std::cmp::{Ordering, Reverse};

use dotterellane_units::{HostId, HostIncarnation};

use crate::rendezvous::role_holder;

/// Start times in the same interval of this length, in milliseconds, are ranked as equal.
const START_INTERVAL_MS: u64 = 2_000;

/// A host that could become the leader.
#[derive(Clone, Copy, Debug)]
pub struct LeaderCandidate<'a> {
    /// Name of the host.
    pub host: &'a HostId,
    /// Incarnation of its daemon: the start time in milliseconds.
    pub incarnation: HostIncarnation,
    /// Processor capacity, in thousandths of a core; zero if it is not known.
    pub processor: u32,
}

/// Returns how many of `hosts` rank before `own`.
///
/// Hosts with more processor capacity rank first, as the leader works for all hosts. Among equals,
/// hosts that started later rank first: in a rolling restart the hosts that started earlier are
/// restarted sooner.
pub fn candidate_rank<'a, H>(hosts: H, own: LeaderCandidate<'_>) -> u32
where
    H: Iterator<Item = LeaderCandidate<'a>>,
{
    let count = hosts.filter(|other| match rank_key(other).cmp(&rank_key(&own)) {
        Ordering::Less => true,
        Ordering::Equal => role_holder("keeper", "", [other.host, own.host]) == Some(other.host),
        Ordering::Greater => false,
    });
    u32::try_from(count.count()).unwrap_or(u32::MAX)
}

/// Factor in processor capacity from which the leader hands over; smaller gains do not justify the
/// gap without a leader.
const HANDOVER_FACTOR: u32 = 2;

/// Returns whether one of `hosts` has so much more processor capacity than the leader `own` that it
/// should lead instead.
pub fn has_much_larger_candidate<'a, H>(mut hosts: H, own: LeaderCandidate<'_>) -> bool
where
    H: Iterator<Item = LeaderCandidate<'a>>,
{
    hosts.any(|other| other.processor >= own.processor.saturating_mul(HANDOVER_FACTOR).max(1))
}

/// Sort key of a candidate, without the tie-break by name.
fn rank_key(candidate: &LeaderCandidate<'_>) -> (Reverse<u32>, Reverse<u64>) {
    (Reverse(candidate.processor), Reverse(candidate.incarnation.0 / START_INTERVAL_MS))
}
