//! Configuration changes: edits the document, validates the result, proposes it and waits until
//! it is in force.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_fleet::{ConfigurationSnapshot, ProposalError, ProposedChange};
use dotterellane_settings::difference::{entry_differences, merge_documents, text_difference};
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_settings::{check_successor, write_document};
use dotterellane_units::{ConfigVersion, RequestId};
use dropshot::{HttpError, RequestContext};
use spdlog::info;
use tokio::time::{Instant, timeout};

use crate::access::OperatorAccess;
use crate::context::AdminContext;
use crate::problem::{ApiProblem, RaceBody};
use crate::wire::{ChangeAnswer, ChangeQuery, DifferenceBody};

/// Maximum number of attempts to change single entries while other changes are accepted first.
const MAX_EDIT_ATTEMPTS: u32 = 8;
/// Maximum number of attempts of a proposal whose outcome is unknown.
const MAX_PROPOSAL_ATTEMPTS: u32 = 3;
/// Time to wait for a change to be in force if the request does not set it.
const DEFAULT_WAIT_SECONDS: u32 = 5;
/// Maximum time to wait for a change to be in force; longer ones that a request sets are reduced.
const MAX_WAIT_SECONDS: u32 = 30;
/// Interval of checks whether a change is in force.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Time to wait until this daemon has applied the version that was accepted first.
const NEWER_VERSION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a summary in the history; longer ones are cut.
const MAX_SUMMARY_CHARS: usize = 200;

/// Parameters of a change, from the headers and the query of its request.
pub(crate) struct ChangeOptions {
    pub access: OperatorAccess,
    /// Version that the change was made from (`If-Match`). A change to single entries may omit it,
    /// and is then made on top of the newest version.
    pub expected: Option<ConfigVersion>,
    /// Id of the change (`Change-Id`), with which it can be retried if the response is lost.
    pub change: RequestId,
    pub summary: String,
    /// Maximum time to wait for the change to be in force.
    pub wait: Duration,
    pub dry_run: bool,
}

impl ChangeOptions {
    /// Reads the parameters; a missing `Change-Id` is replaced by a random one.
    pub fn from_request(
        request: &RequestContext<Arc<AdminContext>>,
        access: OperatorAccess,
        query: ChangeQuery,
        default_summary: String,
    ) -> Result<Self, ApiProblem> {
        let text = if query.summary.is_empty() { default_summary } else { query.summary };
        let summary = text.chars().filter(|c| !c.is_control()).take(MAX_SUMMARY_CHARS).collect();
        let seconds = query.wait_seconds.unwrap_or(DEFAULT_WAIT_SECONDS).min(MAX_WAIT_SECONDS);
        Ok(Self {
            access,
            expected: expected_version(request)?,
            change: change_id(request)?,
            summary,
            wait: Duration::from_secs(seconds.into()),
            dry_run: query.dry_run,
        })
    }
}

/// Edits and proposes the document of the version that the operator saw, or else the newest one.
///
/// Without an expected version, the edit is repeated on the newer document if another change was
/// accepted first.
pub(crate) async fn submit_change<E>(
    context: &AdminContext,
    options: ChangeOptions,
    edit: E,
) -> Result<ChangeAnswer, ApiProblem>
where
    E: Fn(&ConfigurationDocument) -> Result<ConfigurationDocument, ApiProblem>
        + Send
        + Sync
        + 'static,
{
    let outcome = attempt_change(context, options, edit).await;
    context.metrics.count_change(&outcome);
    outcome
}

async fn attempt_change<E>(
    context: &AdminContext,
    options: ChangeOptions,
    edit: E,
) -> Result<ChangeAnswer, ApiProblem>
where
    E: Fn(&ConfigurationDocument) -> Result<ConfigurationDocument, ApiProblem>
        + Send
        + Sync
        + 'static,
{
    let edit = Arc::new(edit);
    let mut base = context.current();
    for _ in 0..MAX_EDIT_ATTEMPTS {
        options.access.recheck(context, &base)?;
        let base_snapshot = load_base(context, &options, &base).await?;
        // The operator may have seen a newer version than this daemon has applied.
        options.access.recheck(context, &base_snapshot)?;
        let edited = {
            let (edit, base_snapshot) = (edit.clone(), base_snapshot.clone());
            compute(move || edit_document(&*edit, &base_snapshot)).await?
        };
        if options.dry_run {
            return Ok(edited.into_answer(context, true, base_snapshot.version));
        }
        match propose(context, &options, base_snapshot.version, &edited.document).await {
            Ok(version) => {
                wait_until_in_force(context, version, options.wait).await;
                return Ok(edited.into_answer(context, false, version));
            }
            Err(ProposalError::Raced { current }) if options.expected.is_some() => {
                let problem = move || Ok(raced_problem(&base_snapshot, &edited.document, &current));
                return Err(compute(problem).await?);
            }
            Err(ProposalError::Raced { current }) => {
                base = wait_for_newer(context, current, base.version).await;
            }
            Err(error) => {
                return Err(ApiProblem::platform(&error).with_change(options.change.to_string()));
            }
        }
    }
    Err(ApiProblem::busy())
}

/// Returns the version that the operator saw, or else the newest one.
async fn load_base(
    context: &AdminContext,
    options: &ChangeOptions,
    newest: &Arc<ConfigurationSnapshot>,
) -> Result<Arc<ConfigurationSnapshot>, ApiProblem> {
    let Some(expected) = options.expected.filter(|expected| *expected != newest.version) else {
        return Ok(newest.clone());
    };
    let content = context.ports.content(expected).await;
    let content = content.map_err(|error| ApiProblem::platform(&error))?;
    let unavailable = || ApiProblem::not_found(format!("version {expected} is not available"));
    content.map(Arc::new).ok_or_else(unavailable)
}

/// Returns `raced` if it is newer than `version`. Otherwise waits until this daemon has applied a
/// newer version, and returns the newest one that it has applied if that takes too long.
async fn wait_for_newer(
    context: &AdminContext,
    raced: Arc<ConfigurationSnapshot>,
    version: ConfigVersion,
) -> Arc<ConfigurationSnapshot> {
    if raced.version > version {
        return raced;
    }
    let mut feed = context.ports.configuration.subscribe();
    let newer = feed.wait_for(|snapshot| snapshot.version > version);
    // The feed outlives its receivers, so the only possible error is the timeout.
    let _ = timeout(NEWER_VERSION_TIMEOUT, newer).await;
    context.current()
}

async fn propose(
    context: &AdminContext,
    options: &ChangeOptions,
    expected: ConfigVersion,
    document: &ConfigurationDocument,
) -> Result<ConfigVersion, ProposalError> {
    let proposed = ProposedChange {
        change: options.change,
        expected,
        operator: options.access.operator.clone(),
        summary: options.summary.clone(),
        document: document.clone(),
    };
    let mut attempt = 1;
    loop {
        match context.ports.propose(proposed.clone()).await {
            Ok(record) => {
                let ProposedChange { change, operator, .. } = &proposed;
                info!("version={} change={change} operator={operator} accepted", record.version);
                return Ok(record.version);
            }
            Err(ProposalError::Unknown { .. }) if attempt < MAX_PROPOSAL_ATTEMPTS => attempt += 1,
            Err(error) => return Err(error),
        }
    }
}

async fn wait_until_in_force(context: &AdminContext, version: ConfigVersion, wait: Duration) {
    let deadline = Instant::now() + wait;
    while !context.ports.progress(version).in_force && Instant::now() < deadline {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

/// An edited document and its differences from the original.
struct EditedDocument {
    document: ConfigurationDocument,
    differences: Vec<DifferenceBody>,
    diff: String,
}

impl EditedDocument {
    fn into_answer(
        self,
        context: &AdminContext,
        dry_run: bool,
        version: ConfigVersion,
    ) -> ChangeAnswer {
        let progress = context.ports.progress(version).into();
        ChangeAnswer { dry_run, progress, differences: self.differences, diff: self.diff }
    }
}

fn edit_document<E>(edit: &E, base: &ConfigurationSnapshot) -> Result<EditedDocument, ApiProblem>
where
    E: Fn(&ConfigurationDocument) -> Result<ConfigurationDocument, ApiProblem>,
{
    let document = edit(&base.document)?;
    check_successor(&base.document, &document).map_err(ApiProblem::faulty)?;
    let differences = entry_differences(&base.document, &document);
    let differences = differences.into_iter().map(Into::into).collect();
    let diff = text_difference(&base.document, &document);
    Ok(EditedDocument { document, differences, diff })
}

/// Runs a computation on whole documents on a blocking thread, since it could hold up the threads
/// that serve requests.
pub(crate) async fn compute<F, T>(computation: F) -> Result<T, ApiProblem>
where
    F: FnOnce() -> Result<T, ApiProblem> + Send + 'static,
    T: Send + 'static,
{
    match tokio::task::spawn_blocking(computation).await {
        Ok(outcome) => outcome,
        Err(error) => Err(HttpError::for_internal_error(error.to_string()).into()),
    }
}

/// Returns the problem of a change that was made from an older version than the current one.
fn raced_problem(
    base: &ConfigurationSnapshot,
    mine: &ConfigurationDocument,
    current: &ConfigurationSnapshot,
) -> ApiProblem {
    let differences = |document| {
        let differences = entry_differences(&base.document, document);
        differences.into_iter().map(Into::into).collect()
    };
    let (merged, conflicts) = match merge_documents(&base.document, mine, &current.document) {
        Ok(merged) => (Some(write_document(&merged)), Vec::new()),
        Err(conflicts) => (None, conflicts),
    };
    ApiProblem::raced(RaceBody {
        expected: base.version.0,
        current: current.version.0,
        theirs: differences(&current.document),
        mine: differences(mine),
        conflicts,
        merged,
    })
}

fn expected_version(
    request: &RequestContext<Arc<AdminContext>>,
) -> Result<Option<ConfigVersion>, ApiProblem> {
    let Some(value) = request.request.headers().get(http::header::IF_MATCH) else {
        return Ok(None);
    };
    let malformed = || ApiProblem::bad_request("If-Match must be a single version, such as \"17\"");
    let text = value.to_str().map_err(|_| malformed())?.trim().trim_matches('"');
    text.parse().map(Some).map_err(|_| malformed())
}

fn change_id(request: &RequestContext<Arc<AdminContext>>) -> Result<RequestId, ApiProblem> {
    let Some(value) = request.request.headers().get("change-id") else {
        return Ok(RequestId(rand::random()));
    };
    let text = value.to_str().unwrap_or_default();
    text.parse().map_err(|error| ApiProblem::bad_request(format!("Change-Id: {error}")))
}
