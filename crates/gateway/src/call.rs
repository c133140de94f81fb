//! The gateway's own types for what requests, responses and rows say, and the translations between
//! these and a platform's wire format.

use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_decisions::upstream_room::RequestSize;
use dotterellane_decisions::weight_plan::{OrderOutcome, PlannedOrder, RunnerReport};
use dotterellane_units::{
    AdapterId, DomainId, FenceNumber, HostId, ModelId, RequestRate, ServiceId, SoftwareVersion,
    TeamId, TokenCount, UpstreamId,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::document::RoutingDocument;
use crate::settings::HostSettings;

/// The model that a request names, with an adapter on top of it if it names one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ModelChoice {
    /// Base model.
    pub model: ModelId,
    /// Adapter; `None` for the base model alone.
    pub adapter: Option<AdapterId>,
}

/// Fields parsed from the headers of a caller's request. `None` where a header is absent or
/// invalid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of this request; empty if it sent none.
    pub request_id: String,
    /// Key that identifies the caller's team.
    pub key: Option<String>,
    /// Time that the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Model that must run the request.
    pub model: Option<ModelChoice>,
    /// Tokens of the prompt, and maximum tokens of the response.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// Tokens that the caller expects in the response, which may be far off.
    pub expected_output: Option<TokenCount>,
    /// Ids of the parts of its prompt that other requests may share, in order.
    pub shared_parts: Vec<String>,
    /// Id of the last event that the caller received of a broken stream.
    pub last_event: Option<HeaderValue>,
    /// Id of the request that brought the first event of that stream.
    pub resumes: Option<HeaderValue>,
}

impl CallHead {
    /// Returns the tokens of the request; zero where it names none.
    pub fn size(&self) -> RequestSize {
        let (prompt, max_output) = self.tokens.unwrap_or_default();
        let expected_output = self.expected_output.map_or(max_output, |hint| hint.min(max_output));
        RequestSize { prompt, expected_output, max_output }
    }
}

/// What the gateway adds to the caller's headers when it forwards a request.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// Upstream that must run the request; another one at the same address rejects it.
    pub upstream: &'a UpstreamId,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Team that is charged, if any.
    pub team: Option<&'a TeamId>,
    /// Priority in the runner's queue, 0 first; `None` for requests that name no model.
    pub priority: Option<u8>,
    /// Id of the last event that the caller received, to resume a stream after it.
    pub last_event: Option<&'a HeaderValue>,
}

/// Whether an upstream ran a request, as the head of its response shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The upstream ran the request and this is its response, whatever the status.
    Run,
    /// The upstream did not run the request.
    NotRun,
    /// The upstream does not hold the model; the request did not run.
    ModelNotHeld,
    /// Another upstream now has this address; the request did not run.
    WrongUpstream,
    /// The response belongs to another request or does not come from an upstream; holds the cause.
    Invalid(&'static str),
}

/// What an upstream says about itself in the head of a response, whether or not it ran the request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamNotice {
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Time for which it asks this host to send it nothing.
    pub pause: Option<Duration>,
    /// What it says about its rate limit.
    pub rate_limit: LimitNotice,
    /// How many requests a second it can turn away for want of room before it falls over.
    pub brittle: LimitNotice,
    /// Whether it did not run a request as it has no room.
    pub full: bool,
    /// Names of headers by which it announces something that the adapter does not understand.
    pub unknown: Vec<HeaderName>,
}

/// What a response says about a number of requests per second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Unstated,
    /// It names one that cannot be understood.
    Unreadable,
    /// This many requests per second, from all hosts together.
    Limit(RequestRate),
}

/// An upstream's row in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryEntry {
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Address where it accepts requests.
    pub address: SocketAddr,
    /// Failure domain of its machine.
    pub domain: DomainId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software; `None` if its row does not state one.
    pub version: Option<SoftwareVersion>,
    /// Time for which it is still cold, zero if it is warm or its row does not state any.
    pub cold_left: Duration,
    /// The models that it holds, and whether it is draining.
    pub report: RunnerReport,
}

/// A row or document that could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("field {field}: {cause}")]
pub struct DecodeError {
    /// Path of the field that is invalid or missing.
    pub field: String,
    /// Reason why it was rejected.
    pub cause: String,
}

/// The leader as the sender of an order.
#[derive(Clone, Debug)]
pub struct OrderIssuer<'a> {
    /// Host that holds the leader lease.
    pub host: &'a HostId,
    /// Fencing number of that lease; runners reject orders with a lower one than they have seen.
    pub fence: FenceNumber,
}

/// A request that the gateway itself makes to a runner.
#[derive(Clone, Debug)]
pub struct RunnerCall {
    /// HTTP method.
    pub method: http::Method,
    /// URL path.
    pub path: &'static str,
    /// Headers without the content length.
    pub headers: HeaderMap,
    /// Complete body; empty for none.
    pub body: Vec<u8>,
}

/// Translations between the gateway's types and a platform's wire format.
///
/// These are pure functions; they keep no state and make no decisions.
#[derive(Clone, Copy, Debug)]
pub struct WireFormat {
    /// Parses the settings file.
    pub parse_settings: fn(&str) -> Result<HostSettings, DecodeError>,
    /// Key of the row that holds the configuration.
    pub document_key: &'static str,
    /// Prefix of the keys, in the same table, of rows that ask to evacuate a failure domain; its name
    /// follows.
    pub evacuation_prefix: &'static str,
    /// Parses a configuration.
    pub parse_document: fn(&[u8]) -> Result<RoutingDocument, DecodeError>,
    /// Parses the revision alone of a configuration that cannot be parsed as a whole.
    pub parse_revision: fn(&[u8]) -> Option<u64>,
    /// Parses a row of the directory.
    pub parse_entry: fn(&[u8]) -> Result<DirectoryEntry, DecodeError>,
    /// Parses the report that a runner returns when it is queried.
    pub parse_report: fn(&[u8]) -> Result<RunnerReport, DecodeError>,
    /// Parses the headers of a caller's request.
    pub parse_head: fn(&HeaderMap) -> CallHead,
    /// Builds the headers that are sent to an upstream from those of the caller.
    pub upstream_headers: fn(&HeaderMap, &SendHead<'_>) -> HeaderMap,
    /// Classifies an upstream's response head; takes the status, the headers, the id of the request
    /// and the upstream that it was sent to.
    pub classify_response: fn(StatusCode, &HeaderMap, &str, &UpstreamId) -> ResponseKind,
    /// Parses what the given upstream says about itself in a response head.
    pub parse_notice: fn(StatusCode, &HeaderMap, &UpstreamId) -> UpstreamNotice,
    /// Builds the headers that are sent to the caller from those of an upstream's response.
    pub caller_headers: fn(&HeaderMap) -> HeaderMap,
    /// Builds the call that sends an order to a runner.
    pub order_call: fn(&PlannedOrder, &OrderIssuer<'_>) -> RunnerCall,
    /// Maps the status of the response to an order to its outcome.
    pub order_outcome: fn(StatusCode) -> OrderOutcome,
    /// Builds the call that queries a runner for its report.
    pub report_call: fn(&UpstreamId) -> RunnerCall,
}
