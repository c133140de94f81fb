//! What operators configured: routes, services, teams and limits, as the gateway uses it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::team_levels::TeamLimit;
use dotterellane_decisions::weight_plan::PlanFacts;
use dotterellane_units::{ServiceId, TeamId, TokenCount};

/// What may be done again when a call of a route fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The call may run more than once.
    Repeatable,
    /// The call may run once at most.
    Once,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that another runner can go on with.
    ResumableStream,
}

impl CallKind {
    /// Tells whether the call may be sent again when its fate is unknown.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A route from a host name and the beginning of a path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRoute {
    /// Name of the route, for logs.
    pub name: String,
    /// Beginning of the path, from slash to slash.
    pub prefix: String,
    /// What may be done again.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub event_gap: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// Runners that one request may be sent to.
    pub attempts: u32,
    /// Whether callers without a key may use it.
    pub open_to_all: bool,
}

/// Shortest time after which callers give a silent stream up.
const LEAST_STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// Objectives after which callers give a silent stream up.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Allowed pauses after which callers give a silent stream up.
const PATIENCE_GAPS: u32 = 8;

/// Longest head of a request before a configuration names one, in bytes.
const DEFAULT_HEAD_BYTES: usize = 32 * 1024;

/// Longest body of a request before a configuration names one, in bytes.
const DEFAULT_BODY_BYTES: usize = 1 << 20;

/// Time that a caller's connection may be idle before a configuration names one.
pub const DEFAULT_IDLE: Duration = Duration::from_secs(15);

impl HostRoute {
    /// Returns how long callers wait for the first or next event of a stream, or for an answer.
    pub fn patience(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        let longest = (self.objective * PATIENCE_OBJECTIVES).max(self.event_gap * PATIENCE_GAPS);
        longest.max(LEAST_STREAM_PATIENCE).min(self.timeout)
    }
}

/// A service: upstreams that give the same answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceEntry {
    /// What its runners may hold, if it serves models.
    pub models: Option<PlanFacts>,
}

/// A team and its share of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamEntry {
    /// Name.
    pub name: TeamId,
    /// Rate and burst.
    pub limit: TeamLimit,
    /// Whether the limit counts tokens; otherwise requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that does not say how many it needs.
    pub default_tokens: TokenCount,
    /// Rank that overrides that of routes.
    pub priority: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time that a connection may be idle and that a body may take.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the bounds that hold before a configuration names any.
    fn default() -> Self {
        Self {
            header_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            idle_timeout: DEFAULT_IDLE,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingDocument {
    /// The operator's own number of the version.
    pub revision: u64,
    /// Routes by host name, the longest prefix first.
    pub routes: HashMap<String, Vec<Arc<HostRoute>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Teams.
    pub teams: Vec<TeamEntry>,
    /// Index into `teams` by digest of a key.
    pub keys: HashMap<KeyDigest, usize>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

/// Digest under which a caller's key is kept; the key itself is not.
pub type KeyDigest = [u8; 32];

/// Returns the digest of a key.
pub fn key_digest(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}

impl RoutingDocument {
    /// Returns the route with the longest prefix that begins `path` at `host`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the team that holds `key`.
    pub fn find_team(&self, key: &str) -> Option<&TeamEntry> {
        self.keys.get(&key_digest(key)).and_then(|index| self.teams.get(*index))
    }
}
