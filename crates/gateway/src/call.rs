//! What a caller's request and an upstream's answer say in their heads, in the gateway's terms.

use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_decisions::weight_plan::{OrderOutcome, PlannedOrder, RunnerReport};
use dotterellane_units::{
    AdapterId, DomainId, FenceNumber, HostId, ModelId, ServiceId, TeamId, TokenCount, UpstreamId,
};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::document::RoutingDocument;
use crate::settings::HostSettings;

/// A model, with an adapter on top of it if the request names one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ModelChoice {
    /// Model.
    pub model: ModelId,
    /// Adapter.
    pub adapter: Option<AdapterId>,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of this try.
    pub request_id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Model that must run the request.
    pub model: Option<ModelChoice>,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// Last event that the caller has of a broken stream.
    pub last_event: Option<HeaderValue>,
}

/// What the gateway tells an upstream besides the caller's own headers.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// Upstream that must be the one to run it.
    pub upstream: &'a UpstreamId,
    /// Time that is left.
    pub remaining: Duration,
    /// Team that it runs for.
    pub team: Option<&'a TeamId>,
    /// Rank among other requests of the runner.
    pub priority: Option<u8>,
    /// Last event that the caller has, for a stream that goes on.
    pub last_event: Option<&'a HeaderValue>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// An answer of this request's run, whatever its status.
    Run,
    /// The upstream did not run the request.
    NotRun,
    /// The upstream does not hold the model; the request did not run.
    ModelNotHeld,
    /// Another upstream is at this address; the request did not run.
    WrongUpstream,
    /// The answer is of another request, or nothing that an upstream says.
    Invalid(&'static str),
}

/// What an upstream says of itself in the head of an answer, whatever became of the request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamNotice {
    /// Whether it leaves.
    pub leaving: bool,
    /// Time for which it wants nothing from this host.
    pub pause: Option<Duration>,
}

/// An upstream as the directory shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryEntry {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it says of the weights that it holds, and whether it leaves.
    pub report: RunnerReport,
}

/// Why a row or document could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("field {field}: {cause}")]
pub struct DecodeError {
    /// Field that is wrong or missing.
    pub field: String,
    /// What is wrong with it.
    pub cause: String,
}

/// Who gives an order.
#[derive(Clone, Debug)]
pub struct OrderIssuer<'a> {
    /// Host that holds the keeper's lease.
    pub host: &'a HostId,
    /// Fencing number of the lease.
    pub fence: FenceNumber,
}

/// A request that the gateway makes of a runner on its own behalf.
#[derive(Clone, Debug)]
pub struct RunnerCall {
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: &'static str,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// Translations between the gateway's terms and what the platform puts on the wire.
///
/// Plain functions: nothing here keeps state or decides.
#[derive(Clone, Copy, Debug)]
pub struct WireFormat {
    /// Reads the settings file.
    pub parse_settings: fn(&str) -> Result<HostSettings, DecodeError>,
    /// Key of the configuration's row.
    pub document_key: &'static str,
    /// Reads a configuration.
    pub parse_document: fn(&[u8]) -> Result<RoutingDocument, DecodeError>,
    /// Reads a row of the directory.
    pub parse_entry: fn(&[u8]) -> Result<DirectoryEntry, DecodeError>,
    /// Reads a runner's own report.
    pub parse_report: fn(&[u8]) -> Result<RunnerReport, DecodeError>,
    /// Reads the head of a caller's request.
    pub parse_head: fn(&HeaderMap) -> CallHead,
    /// Returns the headers that go to an upstream.
    pub upstream_headers: fn(&HeaderMap, &SendHead<'_>) -> HeaderMap,
    /// Reads the head of the answer of an upstream to the request with the given id.
    pub classify_answer: fn(StatusCode, &HeaderMap, &str, &UpstreamId) -> AnswerKind,
    /// Reads what the upstream with the given name says of itself in the head of an answer.
    pub parse_notice: fn(StatusCode, &HeaderMap, &UpstreamId) -> UpstreamNotice,
    /// Returns the headers of an answer that go to the caller.
    pub caller_headers: fn(&HeaderMap) -> HeaderMap,
    /// Returns the call that gives an order.
    pub order_call: fn(&PlannedOrder, &OrderIssuer<'_>) -> RunnerCall,
    /// Reads the answer to an order.
    pub order_outcome: fn(StatusCode) -> OrderOutcome,
    /// Returns the call that asks a runner for its report.
    pub report_call: fn(&UpstreamId) -> RunnerCall,
}
