//! Chooses the upstream that a request is sent to.

use dotterellane_units::UpstreamId;

use crate::domain_spill::{DomainLoad, SpillPrice};
use crate::upstream_room::UpstreamRoom;

/// Part of an upstream's slots whose requests together slow a further one down as much as it takes
/// alone: their prompts are read between its events.
const CROWD_FRACTION: f64 = 0.125;

/// Number of upstreams that are compared with each other for one request.
const DRAWN: usize = 2;

/// An upstream that a request could be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamCandidate {
    /// Name that the choice returns; also breaks ties.
    pub name: UpstreamId,
    /// Whether the upstream is in the same failure domain as this host.
    pub same_domain: bool,
    /// What the upstream can take, and what it has, as far as this host knows.
    pub room: UpstreamRoom,
    /// Time that it takes for a request as a multiple of what an average one takes; 1 if unknown.
    pub slowness: f64,
    /// Whether a recent request of this host failed there.
    pub failing: bool,
    /// Whether this request was sent there before.
    pub tried: bool,
}

impl UpstreamCandidate {
    /// Returns whether its service states what it can take.
    fn states_room(&self) -> bool {
        self.room.capacity.memory.is_some()
    }

    /// Returns whether a request would wait there for the end of another one.
    fn is_full(&self) -> bool {
        self.states_room() && self.room.load.requests >= self.room.capacity.slots
    }

    /// Returns the number of requests that slow a further one down as much as it takes alone.
    fn alone(&self) -> f64 {
        (f64::from(self.room.capacity.slots) * CROWD_FRACTION).max(1.0)
    }

    /// Returns a measure of the time that a request takes there. Without a statement of what the
    /// upstream can take, that is the number of requests in flight.
    fn time(&self) -> f64 {
        let requests = f64::from(self.room.load.requests);
        if self.states_room() { self.slowness * (self.alone() + requests) } else { requests }
    }

    /// Returns its place in the draw of a request, the lowest first: an exponential time whose mean
    /// grows with the square of its slowness.
    fn draw(&self, tie_break: u64) -> f64 {
        let hash = tie_break_hash(tie_break, &self.name);
        -hash_fraction(hash).max(f64::MIN_POSITIVE).ln() * self.slowness * self.slowness
    }

    fn rank(&self) -> (bool, bool) {
        (self.tried, self.failing)
    }

    /// Returns what comes before the time; the lowest is preferred.
    fn preference(&self) -> ((bool, bool), bool) {
        (self.rank(), self.is_full())
    }
}

/// Returns the upstream to send a request to; `None` without candidates.
///
/// Prefers, in this order, upstreams that this request was not sent to before, that are not
/// failing, that have a free slot, that take the least time for it, and that are in the same
/// failure domain. Ties are broken by a hash of `tie_break` and the name. With a `price`, a request leaves
/// the failure domain only if that has enough to gain, provided that the upstreams state what they
/// can take.
pub fn choose_upstream<'a>(
    candidates: &'a [UpstreamCandidate],
    price: Option<&SpillPrice>,
    tie_break: u64,
) -> Option<&'a UpstreamCandidate> {
    if !candidates.iter().all(UpstreamCandidate::states_room) {
        return first_done(candidates.iter(), tie_break);
    }
    let rank = candidates.iter().map(UpstreamCandidate::rank).min()?;
    let best = || candidates.iter().filter(|one| one.rank() == rank);
    let Some(price) = price else { return first_drawn(best(), tie_break) };
    let own = || best().filter(|one| one.same_domain);
    let others = || best().filter(|one| !one.same_domain);
    let leaves = price.leaves(&sum_up(own()), &sum_up(others()), tie_break);
    let (own, other) = (first_drawn(own(), tie_break), first_drawn(others(), tie_break));
    if leaves { other.or(own) } else { own.or(other) }
}

/// Returns the upstream that takes the least time for a request, without a draw among the
/// candidates: for those to which every send needs a permit, as permits spread the requests.
pub fn choose_soonest(candidates: &[UpstreamCandidate]) -> Option<&UpstreamCandidate> {
    first_done(candidates.iter(), 0)
}

fn sum_up<'a>(candidates: impl Iterator<Item = &'a UpstreamCandidate>) -> DomainLoad {
    candidates.fold(DomainLoad::default(), |sum, one| DomainLoad {
        slots: sum.slots + f64::from(one.room.capacity.slots),
        requests: sum.requests + f64::from(one.room.load.requests),
        alone: sum.alone + one.alone(),
        speed: sum.speed + 1.0 / one.slowness,
    })
}

/// Returns the better of two candidates that are drawn at random, fast ones more often: what is
/// known of other hosts' requests is some hundred milliseconds old, so all would crowd the one
/// that was best then.
fn first_drawn<'a>(
    candidates: impl Iterator<Item = &'a UpstreamCandidate>,
    tie_break: u64,
) -> Option<&'a UpstreamCandidate> {
    let mut places: Vec<_> = candidates.map(|one| (one.draw(tie_break), one)).collect();
    places.sort_by(|(draw, one), (other_draw, other)| {
        one.preference().cmp(&other.preference()).then_with(|| draw.total_cmp(other_draw))
    });
    first_done(places.into_iter().take(DRAWN).map(|(_, one)| one), tie_break)
}

fn first_done<'a>(
    candidates: impl Iterator<Item = &'a UpstreamCandidate>,
    tie_break: u64,
) -> Option<&'a UpstreamCandidate> {
    let last = |one: &UpstreamCandidate| (!one.same_domain, tie_break_hash(tie_break, &one.name));
    candidates.min_by(|one, other| {
        let preferred = one.preference().cmp(&other.preference());
        let sooner = || one.time().total_cmp(&other.time());
        preferred.then_with(sooner).then_with(|| last(one).cmp(&last(other)))
    })
}

/// Returns a fraction below 1, evenly distributed over all hashes.
pub(crate) fn hash_fraction(hash: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "as many bits as the fraction holds")]
    let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    fraction
}

/// Returns a hash of an upstream's name that differs by seed.
pub(crate) fn tie_break_hash(seed: u64, name: &UpstreamId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(name.as_str().as_bytes());
    let digest = hasher.finalize();
    let mut hash = [0; 8];
    hash.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(hash)
}
