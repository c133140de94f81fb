//! Error responses of the administration API.

use dotterellane_fleet::ProposalError;
use dotterellane_settings::DocumentFaults;
use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::wire::{DifferenceBody, FaultBody};

/// Delay that clients are asked to wait before they retry a change that may succeed later.
const RETRY_AFTER_SECONDS: u32 = 5;

/// Error response of the administration API.
#[derive(Clone, Debug)]
#[derive(Deserialize, Error, JsonSchema, Serialize)]
#[error("{message}")]
pub struct ApiProblem {
    /// Machine-readable kind of problem, such as `not-found`.
    pub code: String,
    /// Description for operators, with a hint where there is one.
    pub message: String,
    /// Faults that make the document invalid; absent if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultBody>,
    /// Both sides of the conflict, if another change was accepted first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub race: Option<Box<RaceBody>>,
    /// Id of the change; send it as `Change-Id` to retry the change without applying it twice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
    /// Time to wait before a retry, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_seconds: Option<u32>,
    #[serde(skip, default = "internal_status")]
    status: ErrorStatusCode,
}

/// Both sides of a conflict between a refused change and changes that were accepted first.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RaceBody {
    /// Version that the refused change was made from.
    pub expected: u64,
    /// Newest version of the document.
    pub current: u64,
    /// Entries that other changes have changed since `expected`.
    pub theirs: Vec<DifferenceBody>,
    /// Entries that the refused change would have changed.
    pub mine: Vec<DifferenceBody>,
    /// Paths of the entries that both sides changed in different ways.
    pub conflicts: Vec<String>,
    /// Document with the changes of both sides, as YAML; null if they conflict.
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

    /// Creates a 401 problem: the request has no valid operator key.
    pub fn unauthorized() -> Self {
        let message = "sign in with an operator's key: Authorization: Bearer do_<id>_<secret>";
        Self::new(ErrorStatusCode::UNAUTHORIZED, "unauthorized", message)
    }

    /// Creates a 403 problem: the operator's role does not allow the request, or a page of another
    /// site sent it.
    pub fn forbidden<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::FORBIDDEN, "forbidden", message)
    }

    /// Creates a 400 problem: the request is malformed.
    pub fn bad_request<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::BAD_REQUEST, "bad-request", message)
    }

    /// Creates a 404 problem: an entry, key or version does not exist.
    pub fn not_found<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::NOT_FOUND, "not-found", message)
    }

    /// Creates a 409 problem: the key exists already, or its state does not allow the change.
    pub fn exists<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::new(ErrorStatusCode::CONFLICT, "exists", message)
    }

    /// Creates a 428 problem: a change of the whole document lacks `If-Match`.
    pub fn precondition_required() -> Self {
        let message = "send If-Match with the version that the document was made from";
        Self::new(ErrorStatusCode::PRECONDITION_REQUIRED, "precondition-required", message)
    }

    /// Creates a 422 problem: the document is invalid.
    pub fn faulty(faults: DocumentFaults) -> Self {
        let mut problem =
            Self::new(ErrorStatusCode::UNPROCESSABLE_ENTITY, "faulty", faults.to_string());
        problem.faults = faults.faults.into_iter().map(Into::into).collect();
        problem
    }

    /// Creates a 409 problem: another change was accepted first.
    pub fn raced(race: RaceBody) -> Self {
        let message = format!(
            "the document is at version {}, the change was made from version {}",
            race.current, race.expected
        );
        let mut problem = Self::new(ErrorStatusCode::CONFLICT, "raced", message);
        problem.race = Some(Box::new(race));
        problem
    }

    /// Creates a 409 problem: on every attempt, another change was accepted first.
    pub fn busy() -> Self {
        let message =
            "other changes were accepted first on every attempt; nothing was changed, try again";
        let mut problem = Self::new(ErrorStatusCode::CONFLICT, "busy", message);
        problem.retry_after_seconds = Some(RETRY_AFTER_SECONDS);
        problem
    }

    /// Creates a 503 problem: the platform's table is down, or the outcome of a call to it is
    /// unknown.
    pub fn platform(error: &ProposalError) -> Self {
        let code = match error {
            ProposalError::TableDown { .. } => "table-down",
            _ => "unknown-outcome",
        };
        let mut problem = Self::new(ErrorStatusCode::SERVICE_UNAVAILABLE, code, error.to_string());
        problem.retry_after_seconds = Some(RETRY_AFTER_SECONDS);
        problem
    }

    /// Adds the id of the change that the problem is about.
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
