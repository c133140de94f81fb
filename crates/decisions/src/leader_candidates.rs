//! Which host takes the keeper's lease next.

use std::cmp::{Ordering, Reverse};

use dotterellane_units::{HostId, HostIncarnation};

use crate::rendezvous::role_holder;

/// Milliseconds within which hosts count as started at the same time.
const START_ROUNDING_MS: u64 = 2_000;

/// A host that could be the keeper.
#[derive(Clone, Copy, Debug)]
pub struct LeaderCandidate<'a> {
    /// Name.
    pub host: &'a HostId,
    /// Its start, in milliseconds.
    pub incarnation: HostIncarnation,
    /// Processor that it has, in thousandths of a core.
    pub processor: u32,
}

/// Returns how many of `hosts` come before `own`: those with more processor, as the keeper works for all;
/// among equals those that started later, because hosts that are restarted in turn come to the others
/// first.
pub fn candidate_rank<'a, H>(hosts: H, own: LeaderCandidate<'_>) -> u32
where
    H: Iterator<Item = LeaderCandidate<'a>>,
{
    let count = hosts.filter(|other| match order(other).cmp(&order(&own)) {
        Ordering::Less => true,
        Ordering::Equal => role_holder("keeper", "", [other.host, own.host]) == Some(other.host),
        Ordering::Greater => false,
    });
    u32::try_from(count.count()).unwrap_or(u32::MAX)
}

/// Times as much processor for which a keeper gives way: until the next one orders, nobody does.
const MUCH_LARGER: u32 = 2;

/// Tells whether one of `hosts` is so much larger than `own`, the keeper, that it should keep instead.
pub fn has_much_larger_candidate<'a, H>(mut hosts: H, own: LeaderCandidate<'_>) -> bool
where
    H: Iterator<Item = LeaderCandidate<'a>>,
{
    hosts.any(|other| other.processor >= own.processor.saturating_mul(MUCH_LARGER).max(1))
}

fn order(candidate: &LeaderCandidate<'_>) -> (Reverse<u32>, Reverse<u64>) {
    (Reverse(candidate.processor), Reverse(candidate.incarnation.0 / START_ROUNDING_MS))
}
