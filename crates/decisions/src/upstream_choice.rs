//! Which of several upstreams gets a request.

use dotterellane_units::UpstreamId;

/// An upstream that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamCandidate {
    /// Name.
    pub name: UpstreamId,
    /// Whether it is in this host's failure domain.
    pub same_domain: bool,
    /// Requests that it works on, as far as this host knows.
    pub running: u32,
    /// Whether it failed a request of this host a moment ago.
    pub failing: bool,
    /// Whether this request was sent to it before.
    pub tried: bool,
}

/// Returns the upstream that a request goes to, `None` without candidates: a sound one that the
/// request has not been sent to, with the fewest requests, near ones first. `spread` breaks ties.
pub fn choose_upstream(
    candidates: &[UpstreamCandidate],
    spread: u64,
) -> Option<&UpstreamCandidate> {
    candidates.iter().min_by_key(|one| {
        (one.tried, one.failing, one.running, !one.same_domain, weight(spread, &one.name))
    })
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
