//! Makes changes: edit, validate, propose, wait until in force.

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

/// Attempts of a small change that others come before.
const MAX_RACES: u32 = 8;
/// Attempts of a proposal whose answer is lost.
const MAX_PROPOSALS: u32 = 3;
/// Wait for a change to be in force, unless the operator says otherwise.
const DEFAULT_WAIT_SECONDS: u32 = 5;
const MAX_WAIT_SECONDS: u32 = 30;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Wait for the version that a proposal lost against.
const NEWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest summary kept in history.
const MAX_SUMMARY_CHARS: usize = 200;

/// How a change is asked for.
pub(crate) struct ChangeOrder {
    pub access: OperatorAccess,
    /// Version that the operator saw; a small change without it goes on top of any version.
    pub expected: Option<ConfigVersion>,
    /// Names the change, so that a lost answer can be asked for again.
    pub change: RequestId,
    pub summary: String,
    pub wait: Duration,
    pub dry_run: bool,
}

impl ChangeOrder {
    /// Reads how a change is asked for.
    pub fn read(
        request: &RequestContext<Arc<AdminContext>>,
        access: OperatorAccess,
        query: ChangeQuery,
        default_summary: String,
    ) -> Result<Self, ApiProblem> {
        let given = if query.summary.is_empty() { default_summary } else { query.summary };
        let summary = given.chars().filter(|c| !c.is_control()).take(MAX_SUMMARY_CHARS).collect();
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

/// Makes a change by editing the newest document, or the one that the operator saw.
pub(crate) async fn make_change<E>(
    context: &AdminContext,
    order: ChangeOrder,
    edit: E,
) -> Result<ChangeAnswer, ApiProblem>
where
    E: Fn(&ConfigurationDocument) -> Result<ConfigurationDocument, ApiProblem>
        + Send
        + Sync
        + 'static,
{
    let outcome = try_change(context, order, edit).await;
    context.metrics.count_change(&outcome);
    outcome
}

async fn try_change<E>(
    context: &AdminContext,
    order: ChangeOrder,
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
    for _ in 0..MAX_RACES {
        order.access.recheck(context, &base)?;
        let edited_from = edit_base(context, &order, &base).await?;
        // This daemon may lag behind the version that the operator saw.
        order.access.recheck(context, &edited_from)?;
        let edited = {
            let (edit, edited_from) = (edit.clone(), edited_from.clone());
            compute(move || edit_document(&*edit, &edited_from)).await?
        };
        if order.dry_run {
            return Ok(edited.answer(context, true, edited_from.version));
        }
        match propose(context, &order, edited_from.version, &edited.document).await {
            Ok(version) => {
                await_in_force(context, version, order.wait).await;
                return Ok(edited.answer(context, false, version));
            }
            Err(ProposalError::Raced { current }) if order.expected.is_some() => {
                let race = move || Ok(lost_race(&edited_from, &edited.document, &current));
                return Err(compute(race).await?);
            }
            Err(ProposalError::Raced { current }) => {
                base = await_newer(context, current, base.version).await;
            }
            Err(error) => {
                return Err(ApiProblem::platform(&error).with_change(order.change.to_string()));
            }
        }
    }
    Err(ApiProblem::busy())
}

/// Returns the version that the operator saw, or the newest one.
async fn edit_base(
    context: &AdminContext,
    order: &ChangeOrder,
    newest: &Arc<ConfigurationSnapshot>,
) -> Result<Arc<ConfigurationSnapshot>, ApiProblem> {
    let Some(expected) = order.expected.filter(|expected| *expected != newest.version) else {
        return Ok(newest.clone());
    };
    let content = context.ports.content(expected).await;
    let content = content.map_err(|error| ApiProblem::platform(&error))?;
    let missing = || ApiProblem::not_found(format!("version {expected} is not kept"));
    content.map(Arc::new).ok_or_else(missing)
}

/// Returns a version after `version`, or the newest known one if none comes in time.
async fn await_newer(
    context: &AdminContext,
    raced: Arc<ConfigurationSnapshot>,
    version: ConfigVersion,
) -> Arc<ConfigurationSnapshot> {
    if raced.version > version {
        return raced;
    }
    let mut feed = context.ports.configuration.subscribe();
    let newer = feed.wait_for(|snapshot| snapshot.version > version);
    // The feed outlives its receivers, so that only the time can run out.
    let _ = timeout(NEWER_TIMEOUT, newer).await;
    context.current()
}

async fn propose(
    context: &AdminContext,
    order: &ChangeOrder,
    expected: ConfigVersion,
    document: &ConfigurationDocument,
) -> Result<ConfigVersion, ProposalError> {
    let proposed = ProposedChange {
        change: order.change,
        expected,
        operator: order.access.operator.clone(),
        summary: order.summary.clone(),
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
            Err(ProposalError::Unknown { .. }) if attempt < MAX_PROPOSALS => attempt += 1,
            Err(error) => return Err(error),
        }
    }
}

async fn await_in_force(context: &AdminContext, version: ConfigVersion, wait: Duration) {
    let until = Instant::now() + wait;
    while !context.ports.progress(version).in_force && Instant::now() < until {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

/// A document after an edit, and what the edit changed.
struct EditedDocument {
    document: ConfigurationDocument,
    differences: Vec<DifferenceBody>,
    diff: String,
}

impl EditedDocument {
    fn answer(self, context: &AdminContext, dry_run: bool, version: ConfigVersion) -> ChangeAnswer {
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

/// Runs a computation over whole documents apart from the threads that serve requests.
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

fn lost_race(
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
    let malformed = || ApiProblem::bad_request("If-Match must be one version, as \"17\"");
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
