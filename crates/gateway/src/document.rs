//! The operators' configuration: routes, services, teams and limits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::cold_upstreams::ColdLimit;
use dotterellane_decisions::team_buckets::TeamLimit;
use dotterellane_decisions::weight_plan::ServiceProfile;
use dotterellane_units::{RegionId, ServiceId, TeamId, TokenCount};

use crate::call::DecodeError;

/// What a route allows when a call fails, and whether its responses are streams.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// The call may run more than once.
    Repeatable,
    /// The call may run at most once.
    Once,
    /// The response is a stream of events, and the call may run at most once.
    Stream,
    /// The response is a stream of events that another runner can resume.
    ResumableStream,
}

impl CallKind {
    /// Returns whether the call may be sent again when it may have run already.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A route from a host name and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRoute {
    /// Name given by the operators.
    pub name: String,
    /// Prefix of the path, from slash to slash.
    pub prefix: String,
    /// Which retries the route allows, and the kind of its responses.
    pub kind: CallKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Objective for the time until the response, or its first event, arrives.
    pub objective: Duration,
    /// Objective for the time between two events of a stream.
    pub event_gap: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights; none if the route cannot be read as a whole. Its requests are
    /// refused then.
    pub targets: Vec<(ServiceId, u32)>,
    /// Maximum number of times that one request may run.
    pub attempts: u32,
    /// Whether callers without a key may use the route.
    pub open_to_all: bool,
    /// Regions in which its requests may run.
    pub regions: AllowedRegions,
}

/// Minimum idle timeout of streams; the longest of this and the next two applies, up to the route's
/// timeout.
const MIN_STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle timeout of streams, in multiples of the route's objective.
const IDLE_TIMEOUT_OBJECTIVES: u32 = 4;

/// Idle timeout of streams, in multiples of the route's event gap.
const IDLE_TIMEOUT_EVENT_GAPS: u32 = 8;

/// Maximum size of a request head without a configuration, in bytes.
const DEFAULT_HEAD_BYTES: usize = 32 * 1024;

/// Maximum size of a request body without a configuration, in bytes.
const DEFAULT_BODY_BYTES: usize = 1 << 20;

/// Idle timeout of callers' connections without a configuration.
pub const DEFAULT_IDLE: Duration = Duration::from_secs(15);

impl HostRoute {
    /// Returns a route for a path prefix that no request can be served on.
    pub fn unusable(prefix: String) -> Self {
        Self {
            name: prefix.clone(),
            prefix,
            kind: CallKind::Once,
            timeout: Duration::ZERO,
            objective: Duration::ZERO,
            event_gap: Duration::ZERO,
            priority: 0,
            targets: Vec::new(),
            attempts: 1,
            open_to_all: false,
            regions: AllowedRegions::Any,
        }
    }

    /// Returns whether requests can be served on the route.
    pub fn is_usable(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Returns whether requests of the route may go to `service`. One whose weight is 0 gets none,
    /// unless all are: then the first one gets all.
    pub fn leads_to(&self, service: &ServiceId) -> bool {
        let mut weighted = self.targets.iter().filter(|(_, weight)| *weight > 0).peekable();
        if weighted.peek().is_none() {
            return self.targets.first().is_some_and(|(first, _)| first == service);
        }
        weighted.any(|(target, _)| target == service)
    }

    /// Returns how long callers are expected to wait for the first or next event of a stream; the
    /// full timeout for responses that are not streams.
    pub fn idle_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        let longest = (self.objective * IDLE_TIMEOUT_OBJECTIVES)
            .max(self.event_gap * IDLE_TIMEOUT_EVENT_GAPS);
        longest.max(MIN_STREAM_IDLE_TIMEOUT).min(self.timeout)
    }
}

/// A service: a group of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceEntry {
    /// The models that its runners can load, and their capacity; `None` if it serves no models.
    pub models: Option<ServiceProfile>,
    /// Limit of its upstreams while they are cold; `None` if they need none.
    pub cold_limit: Option<ColdLimit>,
}

/// A team and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamEntry {
    /// Unique name of the team.
    pub name: TeamId,
    /// Rate and burst of the team's token bucket.
    pub limit: TeamLimit,
    /// Whether the limit counts model tokens; otherwise each request costs one.
    pub counts_tokens: bool,
    /// Tokens charged for a request that does not state how many it needs.
    pub default_tokens: TokenCount,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may run.
    pub regions: AllowedRegions,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for which a connection may be idle and for which a body may be read.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            idle_timeout: DEFAULT_IDLE,
        }
    }
}

/// Who has a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyHolder<'a> {
    /// This team.
    Team(&'a TeamEntry),
    /// A team that cannot be read; or nobody, as far as the keys can be read.
    Unreadable,
    /// Nobody.
    Nobody,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingDocument {
    /// Revision number assigned by the operators.
    pub revision: u64,
    /// Routes by lower-case host name, sorted by descending prefix length.
    pub routes: HashMap<String, Vec<Arc<HostRoute>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// All teams that can be read.
    pub teams: Vec<TeamEntry>,
    /// Whether there are teams, readable or not; otherwise no route needs a key.
    pub needs_keys: bool,
    /// Index into `teams` by the digest of a key; `None` for a key of a team that cannot be read.
    pub keys: HashMap<KeyDigest, Option<usize>>,
    /// Whether `keys` has the keys of all teams.
    pub knows_all_keys: bool,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Fields that cannot be read. What depends on them is left out or refused.
    pub faults: Vec<DecodeError>,
}

/// BLAKE3 digest of a caller's key. Keys themselves are not stored.
pub type KeyDigest = [u8; 32];

/// Returns the digest of a key.
pub fn key_digest(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}

impl RoutingDocument {
    /// Returns the allowed regions for which `is_known` returns `false`, each with the route or team
    /// that names it.
    pub fn unknown_regions<K>(&self, mut is_known: K) -> Vec<(String, RegionId)>
    where
        K: FnMut(&RegionId) -> bool,
    {
        let routes = self.routes.values().flatten();
        let routes = routes.map(|route| (format!("route {}", route.name), &route.regions));
        let teams = self.teams.iter().map(|team| (format!("team {}", team.name), &team.regions));
        let mut unknown = Vec::new();
        for (owner, regions) in routes.chain(teams) {
            let AllowedRegions::Only(regions) = regions else { continue };
            let lacking = regions.iter().filter(|region| !is_known(region));
            unknown.extend(lacking.map(|region| (owner.clone(), region.clone())));
        }
        unknown.sort();
        unknown
    }

    /// Returns the route of `host`, with or without a port, whose prefix is the longest that
    /// matches `path`.
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

    /// Returns the limits of cold upstreams, by service, of the services that state one.
    pub fn cold_limits(&self) -> BTreeMap<ServiceId, ColdLimit> {
        let services = self.services.iter();
        services.filter_map(|(name, entry)| Some((name.clone(), entry.cold_limit?))).collect()
    }

    /// Returns who has `key`.
    pub fn find_holder(&self, key: &str) -> KeyHolder<'_> {
        match self.keys.get(&key_digest(key)) {
            Some(index) => index
                .and_then(|index| self.teams.get(index))
                .map_or(KeyHolder::Unreadable, KeyHolder::Team),
            None if self.knows_all_keys => KeyHolder::Nobody,
            None => KeyHolder::Unreadable,
        }
    }
}
