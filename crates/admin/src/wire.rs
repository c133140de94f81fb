//! Bodies of the administration API.

use dotterellane_fleet::{ChangeProgress, ChangeRecord};
use dotterellane_settings::{DifferenceKind, DocumentFault, EntryDifference};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One fault of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct FaultBody {
    /// Where in the document, as `teams.freight.rate`.
    pub path: String,
    /// Line in the text, from 1; absent if no text was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<u64>,
    /// Column in the text, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<u64>,
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub help: String,
}

impl From<DocumentFault> for FaultBody {
    fn from(fault: DocumentFault) -> Self {
        let DocumentFault { path, line, column, message, help } = fault;
        Self { path, line, column, message, help }
    }
}

/// One entry that differs between two documents.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct DifferenceBody {
    /// Where in the document, as `teams.freight`.
    pub path: String,
    /// `added`, `removed` or `changed`.
    pub kind: String,
    /// Names of the fields that differ; empty unless changed.
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

/// How far a version has come into force.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ProgressBody {
    /// The version.
    pub version: u64,
    /// Whether every daemon that admits requests follows it.
    pub in_force: bool,
    /// Listed hosts that have not confirmed it.
    pub outstanding: Vec<String>,
}

impl From<ChangeProgress> for ProgressBody {
    fn from(progress: ChangeProgress) -> Self {
        let outstanding = progress.outstanding.iter().map(ToString::to_string).collect();
        Self { version: progress.version.0, in_force: progress.in_force, outstanding }
    }
}

/// Answer to a change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ChangeAnswer {
    /// Whether the change was only tried and not made.
    pub dry_run: bool,
    /// Version that holds the change, or that a dry run was made against.
    pub progress: ProgressBody,
    /// Entries that the change touches.
    pub differences: Vec<DifferenceBody>,
    /// The same as a unified diff of the YAML.
    pub diff: String,
}

/// One accepted change.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct HistoryEntry {
    /// Version that the change made.
    pub version: u64,
    /// Names the change.
    pub change: String,
    /// Who asked.
    pub operator: String,
    /// What the operator said of it.
    pub summary: String,
    /// Seconds since the Unix epoch.
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

/// Result of checking a document.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct CheckAnswer {
    /// Version that the document was compared with.
    pub version: u64,
    /// All faults; the document is sound if there is none.
    pub faults: Vec<FaultBody>,
    /// The document in its usual form, as YAML; empty if it has faults.
    pub document: String,
    /// The document as JSON; null if it has faults.
    pub plain: serde_json::Value,
    /// Entries that differ from that version.
    pub differences: Vec<DifferenceBody>,
    /// The same as a unified diff of the YAML.
    pub diff: String,
}

/// A caller's key without its digest.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct KeyBody {
    /// Public part of the key.
    pub id: String,
    /// Team that requests with this key run for.
    pub team: String,
    /// Seconds since the Unix epoch after which it is refused.
    pub expires_at: Option<u64>,
    /// Whether it has been withdrawn.
    pub withdrawn: bool,
    /// Seconds since its last request; absent if this daemon has seen none.
    pub used_ago_seconds: Option<f64>,
}

/// Order to issue a key.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IssueOrder {
    /// Public part of the new key.
    pub id: String,
    /// Team that requests with it run for.
    pub team: String,
    /// Seconds since the Unix epoch after which it is refused.
    #[serde(default)]
    pub expires_at: Option<u64>,
}

/// Order to issue a key in the place of another.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RotateOrder {
    /// Public part of the new key.
    pub new_id: String,
    /// Seconds for which the old key keeps working.
    pub overlap_seconds: u64,
    /// Seconds since the Unix epoch after which the new key is refused.
    #[serde(default)]
    pub expires_at: Option<u64>,
}

/// Order to let a key expire.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExpireOrder {
    /// Seconds since the Unix epoch after which the key is refused; null to let it live.
    pub expires_at: Option<u64>,
}

/// Order to give an operator a key; an operator who has one loses it.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorOrder {
    /// `read`, `keys` or `all`.
    pub role: String,
}

/// A key that was issued; the secret is shown this once.
#[derive(Clone)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct IssuedAnswer {
    /// Public part of the key.
    pub id: String,
    /// The whole key.
    pub key: String,
    /// The change that added it.
    pub change: ChangeAnswer,
}

/// Order to sign in at the console.
#[derive(Clone)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SignInOrder {
    /// The operator's whole key.
    pub key: String,
}

/// Who is signed in.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct SessionBody {
    /// Name of the operator.
    pub operator: String,
    /// `read`, `keys` or `all`.
    pub role: String,
}

/// Version in a path.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct VersionPath {
    /// Version of the configuration.
    pub version: u64,
}

/// Id in a path.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct IdPath {
    /// Id of the entry.
    pub id: String,
}

/// Entry in a path.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct EntryPath {
    /// Part of the document, as `teams`.
    pub section: String,
    /// Id of the entry.
    pub id: String,
}

/// How a change is made.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct ChangeQuery {
    /// Only tells what the change would do.
    #[serde(default)]
    pub dry_run: bool,
    /// What history shall say of the change.
    #[serde(default)]
    pub summary: String,
    /// Longest wait for the change to be in force before the answer, in seconds; at most 30.
    pub wait_seconds: Option<u32>,
}

/// Form in which the document is read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum DocumentFormat {
    /// As operators write it.
    #[default]
    Yaml,
    /// For programs.
    Json,
}

/// How the document is read.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct DocumentQuery {
    /// Form in which the document is read.
    #[serde(default)]
    pub format: DocumentFormat,
}

/// How much of history is shown.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema)]
pub struct HistoryQuery {
    /// Number of changes, newest first.
    pub limit: Option<u32>,
}
