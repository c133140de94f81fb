//! Which of several upstreams gets a request.

use dotterellane_units::UpstreamId;

/// Part of an upstream's places that this host fills before it spreads a session's requests.
const STICKY_FILL: f64 = 0.5;

/// An upstream that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerCandidate {
    /// Name.
    pub name: UpstreamId,
    /// Whether it is in this host's failure domain.
    pub near: bool,
    /// Requests of this host that it works on.
    pub running: u32,
    /// Requests that it works on at once.
    pub places: u32,
    /// Whether it failed a request of this host a moment ago.
    pub failing: bool,
    /// Whether this request was sent to it before.
    pub tried: bool,
}

/// Returns the upstream that a request goes to, `None` without candidates.
///
/// `affinity` is what requests share whose prompts begin alike: they go to the same upstream, which
/// keeps that beginning in memory, from every host and without any talk. Others go to the upstream
/// with the fewest requests, near ones first.
pub fn choose_runner(
    candidates: &[RunnerCandidate],
    affinity: Option<u64>,
    spread: u64,
) -> Option<&RunnerCandidate> {
    let sound = |candidate: &&RunnerCandidate| !candidate.failing && !candidate.tried;
    let untried = |candidate: &&RunnerCandidate| !candidate.tried;
    let pools: [Vec<&RunnerCandidate>; 3] = [
        candidates.iter().filter(sound).collect(),
        candidates.iter().filter(untried).collect(),
        candidates.iter().collect(),
    ];
    let pool = pools.iter().find(|pool| !pool.is_empty())?;
    if let Some(affinity) = affinity {
        let roomy = |candidate: &&&RunnerCandidate| {
            f64::from(candidate.running) < f64::from(candidate.places) * STICKY_FILL
        };
        let sticky = pool.iter().filter(roomy).max_by_key(|one| weight(affinity, &one.name));
        if let Some(sticky) = sticky {
            return Some(sticky);
        }
    }
    pool.iter().min_by_key(|one| (one.running, !one.near, weight(spread, &one.name))).copied()
}

fn weight(seed: u64, name: &UpstreamId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(name.as_str().as_bytes());
    let digest = hasher.finalize();
    let mut weight = [0; 8];
    weight.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(weight)
}
