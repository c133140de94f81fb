//! Why the administration API did not do what it was asked.

use dotterellane_fleet::ProposalError;
use dotterellane_settings::DocumentFaults;
use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::wire::{DifferenceBody, FaultBody};

/// Seconds after which a change that failed for the platform may be tried again.
const RETRY_AFTER_SECONDS: u32 = 5;

/// Why the administration API did not do what it was asked.
#[derive(Clone, Debug)]
#[derive(Deserialize, Error, JsonSchema, Serialize)]
#[error("{message}")]
pub struct ApiProblem {
    /// Names the kind of problem.
    pub code: String,
    /// What is wrong and what can be done.
    pub message: String,
    /// All faults of the document that was sent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultBody>,
    /// What the lost race was about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub race: Option<Box<RaceBody>>,
    /// Names the change whose outcome is not known; send it again as `Change-Id`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
    /// When to come back, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_seconds: Option<u32>,
    #[serde(skip, default = "internal_status")]
    status: ErrorStatusCode,
}

/// Both sides of a lost race.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RaceBody {
    /// Version that the refused change was made from.
    pub expected: u64,
    /// Version of the document now.
    pub current: u64,
    /// What others changed since.
    pub theirs: Vec<DifferenceBody>,
    /// What the refused change was to change.
    pub mine: Vec<DifferenceBody>,
    /// Entries that both changed in different ways.
    pub conflicts: Vec<String>,
    /// Document with both sides' changes; absent if they conflict.
    pub merged: Option<String>,
}

fn internal_status() -> ErrorStatusCode {
    ErrorStatusCode::INTERNAL_SERVER_ERROR
}

impl ApiProblem {
    fn new<M>(status: ErrorStatusCode, code: &str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            code: code.to_owned(),
            message: message.into(),
            faults: Vec::new(),
            race: None,
            change: None,
            retry_after_seconds: None,
            status,
        }
    }

    /// No operator is known by what the request presents.
    pub fn unauthorized() -> Self {
        let message = "sign in with an operator's key: Authorization: Bearer do_<id>_<secret>";
        Self::new(ErrorStatusCode::UNAUTHORIZED, "unauthorized", message)
    }

    /// The operator's role does not allow it, or the request came from another site.
    pub fn forbidden<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::FORBIDDEN, "forbidden", message)
    }

    /// The request cannot be understood.
    pub fn bad_request<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::BAD_REQUEST, "bad-request", message)
    }

    /// There is no such thing.
    pub fn not_found<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::NOT_FOUND, "not-found", message)
    }

    /// It exists already.
    pub fn exists<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::CONFLICT, "exists", message)
    }

    /// A replacement of the whole document did not say what it replaces.
    pub fn precondition_required() -> Self {
        let message = "send If-Match with the version that the document was made from";
        Self::new(ErrorStatusCode::PRECONDITION_REQUIRED, "precondition-required", message)
    }

    /// The document has faults.
    pub fn faulty(faults: DocumentFaults) -> Self {
        let mut problem =
            Self::new(ErrorStatusCode::UNPROCESSABLE_ENTITY, "faulty", faults.to_string());
        problem.faults = faults.faults.into_iter().map(Into::into).collect();
        problem
    }

    /// Another change came first.
    pub fn raced(race: RaceBody) -> Self {
        let message = format!(
            "the document is at version {}, the change was made from version {}",
            race.current, race.expected
        );
        let mut problem = Self::new(ErrorStatusCode::CONFLICT, "raced", message);
        problem.race = Some(Box::new(race));
        problem
    }

    /// Other changes kept coming first.
    pub fn busy() -> Self {
        let message = "other changes came first each time; nothing was changed, try again";
        let mut problem = Self::new(ErrorStatusCode::CONFLICT, "busy", message);
        problem.retry_after_seconds = Some(RETRY_AFTER_SECONDS);
        problem
    }

    /// The platform did not do its part.
    pub fn platform(error: &ProposalError) -> Self {
        let code = match error {
            ProposalError::TableDown { .. } => "table-down",
            _ => "unknown-outcome",
        };
        let mut problem = Self::new(ErrorStatusCode::SERVICE_UNAVAILABLE, code, error.to_string());
        problem.retry_after_seconds = Some(RETRY_AFTER_SECONDS);
        problem
    }

    /// Names the change that the problem is about.
    #[must_use]
    pub fn with_change(mut self, change: String) -> Self {
        self.change = Some(change);
        self
    }
}

impl HttpResponseError for ApiProblem {
    fn status_code(&self) -> ErrorStatusCode {
        self.status
    }
}

impl From<HttpError> for ApiProblem {
    fn from(error: HttpError) -> Self {
        let code = error.error_code.as_deref().unwrap_or("refused").to_owned();
        Self::new(error.status_code, &code, error.external_message)
    }
}
