//! Keeps a stream at the software version of the runner that began it.
//!
//! What two versions write does not fit together, and runners do not check it. Which versions have
//! served a service is in the [`VersionHistory`], which the leader writes to the store before a
//! version is used. While one version alone has served for as long as a stream can be resumed, that
//! answers for every stream. Otherwise the hosts remember who began which stream: see
//! [`StreamOrigins`].

mod history;
mod origins;

use std::time::Duration;

use dotterellane_units::{ServiceId, SoftwareVersion, TeamId};
use serde::{Deserialize, Serialize};

pub use self::history::{ServedVersion, VersionHistory, VersionMap};
pub use self::origins::{OriginReport, StreamOrigins};

/// Longest time after its first event at which a caller may still resume a stream.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(120);

/// Time for which a history counts as known after it was last confirmed to be the newest.
pub const HISTORY_FRESHNESS: Duration = Duration::from_secs(2);

/// Longest time that a write of the history may take.
pub const HISTORY_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between the decision to add a version to the history and the first stream that begins there:
/// by then, no host counts on an older history.
pub const VERSION_SETTLE: Duration = Duration::from_secs(3);

/// Digest of a team and the id of the request that began a stream, so that no host learns the ids of
/// another team's requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StreamDigest(pub [u8; 16]);

impl StreamDigest {
    /// Returns the digest of the stream that the request `request` of `team` began.
    pub fn of(team: Option<&TeamId>, request: &[u8]) -> Self {
        let team = team.map_or("", TeamId::as_str);
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::try_from(team.len()).unwrap_or(u8::MAX)]);
        hasher.update(team.as_bytes());
        hasher.update(request);
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(digest)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StreamOrigin {
    /// Service whose runner sent its first event.
    pub service: ServiceId,
    /// Software version of that runner.
    pub version: SoftwareVersion,
}
