//! Messages about crashes of upstreams and what is suspected of causing them.

use std::fmt;
use std::time::Duration;

use dotterellane_units::UpstreamId;
use serde::{Deserialize, Serialize};

/// Largest number of suspects in one report, so that it fits one datagram.
pub const MAX_REPORT_SUSPECTS: usize = 48;

/// Digest of a request's path and body; the same request has the same fingerprint on every host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RequestFingerprint(pub u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Digest of one part of a prompt and of the service that runs it; the same on every host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct PartFingerprint(pub u64);

/// What may have crashed an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum CrashSuspect {
    /// A part that the prompts of several requests share.
    Part(PartFingerprint),
    /// One request with its repetitions.
    Request(RequestFingerprint),
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(PartFingerprint(digest)) => write!(f, "part-{digest:016x}"),
            Self::Request(fingerprint) => write!(f, "request-{fingerprint}"),
        }
    }
}

/// One start of an upstream. After a restart it is another one, although its id may be the same.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamStart {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// When it started, in milliseconds as it states it; `None` if that is not known.
    pub started_at: Option<u64>,
}

/// Report from one host to all others.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum CrashReport {
    /// An upstream crashed while requests of this host were running there.
    Crashed {
        /// Upstream that crashed.
        runner: UpstreamStart,
        /// Requests of the reporting host that were running there, and the parts of their prompts.
        suspects: Vec<CrashSuspect>,
    },
    /// A request ran to completion, which clears these suspects of earlier crashes.
    Cleared {
        /// The request, and the parts of its prompt.
        suspects: Vec<CrashSuspect>,
        /// Time since its completion.
        age: Duration,
    },
}
