//! The configuration document: everything the whole fleet follows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_units::{
    AdapterId, ByteSize, DomainId, KeyId, ModelId, OperatorId, ServiceId, TeamId, TokenCount,
    TokenRate, UpstreamId, VersionLabel,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationSecondsWithFrac, serde_as};

/// The whole configuration, as accepted under one version.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDocument {
    /// Teams and their shares of the fleet.
    #[serde(default)]
    pub teams: BTreeMap<TeamId, TeamEntry>,
    /// Callers' keys; only digests are kept.
    #[serde(default)]
    pub keys: BTreeMap<KeyId, KeyEntry>,
    /// Operators and their roles.
    #[serde(default)]
    pub operators: BTreeMap<OperatorId, OperatorEntry>,
    /// Models that runners may load.
    #[serde(default)]
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Adapters that can be loaded beside their base model.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterId, AdapterEntry>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Runners and service instances.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamId, UpstreamEntry>,
}

/// A team: the callers that share one rate.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Tokens a second over all hosts together.
    pub rate: TokenRate,
    /// Largest number of tokens admitted at once over all hosts together.
    pub burst: TokenCount,
}

/// A caller's key `dk_<id>_<secret>`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Team that requests with this key run for.
    pub team: TeamId,
    /// BLAKE3 digest of the whole key, 64 hex digits.
    pub digest: String,
    /// Seconds since the Unix epoch after which the key is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_at: Option<u64>,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// An operator of the fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// What the operator may do.
    pub role: OperatorRole,
    /// BLAKE3 digest of the whole key `do_<id>_<secret>`, 64 hex digits.
    pub digest: String,
}

/// What an operator may do; each role includes those before it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// Reads the document and the state of the fleet.
    Read,
    /// Issues, rotates and withdraws callers' keys.
    Keys,
    /// Changes everything.
    All,
}

/// Who may call a model, adapter or service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerScope {
    /// Every team.
    #[default]
    AllTeams,
    /// The listed teams.
    Teams(BTreeSet<TeamId>),
    /// Everyone, without a key; plain services alone.
    Open,
}

impl CallerScope {
    /// Tells whether requests of `team` are allowed.
    pub fn allows(&self, team: &TeamId) -> bool {
        match self {
            Self::AllTeams | Self::Open => true,
            Self::Teams(teams) => teams.contains(team),
        }
    }
}

/// A model that runners may load.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version that new loads take.
    pub version: VersionLabel,
    /// Accelerator memory of the weights.
    pub memory: ByteSize,
    /// Accelerator memory kept free for its KV cache while loaded.
    #[serde(default)]
    pub kv_reserve: ByteSize,
    /// Number of slots decided while the model is idle.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Largest number of slots.
    #[serde(default = "default_max_slots")]
    pub max_slots: u32,
    /// Requests that one replica runs side by side.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Largest output of one request, in tokens.
    #[serde(default = "default_max_output")]
    pub max_output: TokenCount,
    /// Time within which a request is answered or refused, in seconds.
    #[serde(default = "default_deadline")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[schemars(with = "f64")]
    pub deadline_seconds: Duration,
    /// Who may call the model.
    #[serde(default)]
    pub callers: CallerScope,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Base model.
    pub model: ModelId,
    /// Version that new loads take.
    pub version: VersionLabel,
    /// Accelerator memory of the adapter.
    pub memory: ByteSize,
    /// Who may call the adapter.
    #[serde(default)]
    pub callers: CallerScope,
}

/// A plain service.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Who may call the service.
    #[serde(default)]
    pub callers: CallerScope,
    /// Whether calls may be sent again after a failure.
    #[serde(default)]
    pub calls: CallKind,
    /// Tokens charged for a call.
    #[serde(default)]
    pub cost: TokenCount,
    /// Time within which a call is answered or refused, in seconds.
    #[serde(default = "default_deadline")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[schemars(with = "f64")]
    pub deadline_seconds: Duration,
    /// Largest request body.
    #[serde(default = "default_body_bound")]
    pub body_bound: ByteSize,
}

/// Whether a call may be sent again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Runs at most once for an idempotency key.
    #[default]
    OnceOnly,
    /// May be sent again.
    Repeatable,
}

/// A runner or an instance of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamEntry {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// What it does.
    pub role: UpstreamRole,
    /// Whether it is leaving: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What an upstream does.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamRole {
    /// Serves models.
    Runner(RunnerEntry),
    /// Serves calls of the named plain service.
    Service(ServiceId),
}

/// What is known of a runner beforehand.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerEntry {
    /// Accelerator memory.
    pub memory: ByteSize,
    /// Number of accelerators; idle time is counted for each.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
}

fn default_slots() -> u32 {
    2
}

fn default_max_slots() -> u32 {
    4
}

fn default_concurrency() -> u32 {
    16
}

fn default_max_output() -> TokenCount {
    TokenCount(1_024)
}

fn default_deadline() -> Duration {
    Duration::from_secs(60)
}

fn default_body_bound() -> ByteSize {
    ByteSize::mebibytes(1)
}

fn default_accelerators() -> u32 {
    1
}
