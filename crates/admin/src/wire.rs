//! Request and response bodies, paths and queries of the administration API.

use dotterellane_fleet::{ChangeProgress, ChangeRecord};
use dotterellane_settings::{DifferenceKind, DocumentFault, EntryDifference};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A syntax error, an invalid field or a violated rule in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct FaultBody {
    /// Path in the document, such as `teams.freight.rate`; empty for the document as a whole.
    pub path: String,
    /// Line in the text, starting at 1; absent if no text was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<u64>,
    /// Column in the text, starting at 1; absent if no text was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<u64>,
    /// Description of the fault.
    pub message: String,
    /// How to correct it.
    pub help: String,
}

impl From<DocumentFault> for FaultBody {
    fn from(fault: DocumentFault) -> Self {
        let DocumentFault { path, line, column, message, help } = fault;
        Self { path, line, column, message, help }
    }
}

/// An entry that differs between two documents.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct DifferenceBody {
    /// Path of the entry, such as `teams.freight`.
    pub path: String,
    /// `added`, `removed` or `changed`.
    pub kind: String,
    /// Names of the fields that differ; empty unless `kind` is `changed`.
    pub fields: Vec<String>,
}

impl From<EntryDifference> for DifferenceBody {
    fn from(difference: EntryDifference) -> Self {
        let kind = match difference.kind {
            DifferenceKind::Added => "added",
            DifferenceKind::Removed => "removed",
            DifferenceKind::Changed => "changed",
        };
        Self { path: difference.path, kind: kind.to_owned(), fields: difference.fields }
    }
}

/// Whether a version is in force, and which hosts it still waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ProgressBody {
    /// Version of the configuration.
    pub version: u64,
    /// Whether every daemon that admits requests has applied this version or a newer one.
    pub in_force: bool,
    /// Member hosts that have not confirmed the version.
    pub outstanding: Vec<String>,
}

impl From<ChangeProgress> for ProgressBody {
    fn from(progress: ChangeProgress) -> Self {
        let outstanding = progress.outstanding.iter().map(ToString::to_string).collect();
        Self { version: progress.version.0, in_force: progress.in_force, outstanding }
    }
}

/// Response to a change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ChangeAnswer {
    /// Whether this was a dry run, which changes nothing.
    pub dry_run: bool,
    /// Progress of the version that contains the change, or that a dry run was based on.
    pub progress: ProgressBody,
    /// Entries that the change adds, removes or changes.
    pub differences: Vec<DifferenceBody>,
    /// The differences as a unified diff of the YAML.
    pub diff: String,
}

/// An accepted change.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct HistoryEntry {
    /// Version that the change created.
    pub version: u64,
    /// Id of the change.
    pub change: String,
    /// Operator who requested the change.
    pub operator: String,
    /// Description given by the operator, or generated if there was none.
    pub summary: String,
    /// Time of acceptance, in seconds since the Unix epoch.
    pub accepted_at: u64,
}

impl From<ChangeRecord> for HistoryEntry {
    fn from(record: ChangeRecord) -> Self {
        Self {
            version: record.version.0,
            change: record.change.to_string(),
            operator: record.operator.to_string(),
            summary: record.summary,
            accepted_at: record.accepted_at,
        }
    }
}

/// Result of validating a document and comparing it with the current one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct CheckAnswer {
    /// Version that the document was compared with.
    pub version: u64,
    /// Faults of the document, which is valid if there are none.
    pub faults: Vec<FaultBody>,
    /// The document as normalized YAML; empty if it has faults.
    pub document: String,
    /// The document as JSON; null if it has faults.
    pub plain: serde_json::Value,
    /// Entries that differ from `version`.
    pub differences: Vec<DifferenceBody>,
    /// The differences as a unified diff of the YAML.
    pub diff: String,
}

/// A caller's key, without its digest.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct KeyBody {
    /// Id of the key, which is its public part.
    pub id: String,
    /// Team that requests with the key are charged to.
    pub team: String,
    /// Time from which the key is refused, in seconds since the Unix epoch; null for no expiry.
    pub expires_at: Option<u64>,
    /// Whether the key is withdrawn.
    pub withdrawn: bool,
    /// Time since the last request with the key, in seconds; null if this daemon knows of none.
    pub used_ago_seconds: Option<f64>,
}

/// Request to issue a key.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IssueOrder {
    /// Id of the new key, which is its public part.
    pub id: String,
    /// Team that requests with the key are charged to.
    pub team: String,
    /// Time from which the key is refused, in seconds since the Unix epoch; null for no expiry.
    #[serde(default)]
    pub expires_at: Option<u64>,
}

/// Request to issue a key that replaces another one.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RotateOrder {
    /// Id of the new key, which is its public part.
    pub new_id: String,
    /// Time for which the old key stays valid, in seconds.
    pub overlap_seconds: u64,
    /// Time from which the new key is refused, in seconds since the Unix epoch; null for no expiry.
    #[serde(default)]
    pub expires_at: Option<u64>,
}

/// Request to change the expiry time of a key.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExpireOrder {
    /// Time from which the key is refused, in seconds since the Unix epoch; null for no expiry.
    pub expires_at: Option<u64>,
}

/// Request to issue a key to an operator; it replaces the operator's previous key.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorOrder {
    /// `read`, `keys` or `all`.
    pub role: String,
}

/// An issued key; only this response contains the secret.
#[derive(Clone)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct IssuedAnswer {
    /// Id of the key, which is its public part.
    pub id: String,
    /// The whole key, including the secret.
    pub key: String,
    /// The change that added the key to the document.
    pub change: ChangeAnswer,
}

/// Request to sign in to the console.
#[derive(Clone)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SignInOrder {
    /// The whole key of the operator.
    pub key: String,
}

/// The authenticated operator.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct SessionBody {
    /// Id of the operator.
    pub operator: String,
    /// `read`, `keys` or `all`.
    pub role: String,
}

/// Path parameter of endpoints for one version.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct VersionPath {
    /// Version of the configuration.
    pub version: u64,
}

/// Path parameter of endpoints for one key or operator.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct IdPath {
    /// Id of the key or operator.
    pub id: String,
}

/// Path parameters of endpoints for one entry of the document.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct EntryPath {
    /// Section of the document, such as `teams`.
    pub section: String,
    /// Id of the entry.
    pub id: String,
}

/// Query parameters of changes.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct ChangeQuery {
    /// Only reports what the change would do, without making it.
    #[serde(default)]
    pub dry_run: bool,
    /// Description of the change for the history.
    #[serde(default)]
    pub summary: String,
    /// Maximum time to wait for the change to be in force, in seconds; 5 if absent, at most 30.
    pub wait_seconds: Option<u32>,
}

/// Format of the document.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum DocumentFormat {
    /// YAML, as operators write it.
    #[default]
    Yaml,
    /// JSON, for programs.
    Json,
}

/// Query parameters of reading the document.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct DocumentQuery {
    /// Format of the document.
    #[serde(default)]
    pub format: DocumentFormat,
}

/// Query parameters of the history.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct HistoryQuery {
    /// Maximum number of changes to list, newest first; 50 if absent, at most 1000.
    pub limit: Option<u32>,
}
