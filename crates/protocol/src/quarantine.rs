//! Crashes of upstreams and the requests that were running there.

use std::fmt;
use std::time::Duration;

use dotterellane_units::UpstreamId;
use serde::{Deserialize, Serialize};

/// Largest number of fingerprints in one report; keeps it within one datagram.
pub const MAX_REPORT_FINGERPRINTS: usize = 48;

/// Tells a request from others at every host: a digest of its path and body.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RequestFingerprint(pub u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What one host tells the others about crashes.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum CrashReport {
    /// An upstream crashed while requests of this host were running there.
    Crashed {
        /// Upstream that crashed.
        runner: UpstreamId,
        /// Requests that were running there.
        suspects: Vec<RequestFingerprint>,
    },
    /// A suspect ran to its end and succeeded.
    Cleared {
        /// The request.
        fingerprint: RequestFingerprint,
        /// How long ago.
        age: Duration,
    },
}
