//! Endpoints for the configuration document as a whole, its versions and its history.

use std::sync::Arc;

use dotterellane_fleet::ConfigurationSnapshot;
use dotterellane_settings::difference::{entry_differences, text_difference};
use dotterellane_settings::document::{ConfigurationDocument, OperatorRole};
use dotterellane_settings::{read_document, write_document};
use dotterellane_units::ConfigVersion;
use dropshot::{
    ApiDescriptionRegisterError, Body, HttpResponseOk, Path, Query, RequestContext, UntypedBody,
    endpoint,
};
use http::Response;
use http::header::{ETAG, HeaderValue};
use serde_json::Value;

use super::{Api, text_response};
use crate::access::require_role;
use crate::changes::{ChangeOptions, compute, submit_change};
use crate::context::AdminContext;
use crate::problem::ApiProblem;
use crate::wire::{
    ChangeAnswer, ChangeQuery, CheckAnswer, DocumentFormat, DocumentQuery, HistoryEntry,
    HistoryQuery, ProgressBody, VersionPath,
};

/// Number of changes listed if the request does not set a limit.
const DEFAULT_HISTORY_LIMIT: u32 = 50;
/// Maximum number of changes listed, also if the request asks for more.
const MAX_HISTORY_LIMIT: u32 = 1_000;

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(configuration_get)?;
    api.register(configuration_put)?;
    api.register(configuration_check)?;
    api.register(configuration_history)?;
    api.register(version_get)?;
    api.register(version_progress)?;
    api.register(version_restore)
}

/// Read the configuration document; the ETag is its version
#[endpoint { method = GET, path = "/v1/configuration" }]
async fn configuration_get(
    request: RequestContext<Arc<AdminContext>>,
    query: Query<DocumentQuery>,
) -> Result<Response<Body>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let format = query.into_inner().format;
    Ok(document_response(&request.context().current(), format))
}

/// Replace the configuration document; If-Match must be the version that it was made from
#[endpoint { method = PUT, path = "/v1/configuration", request_body_max_bytes = 8 * 1024 * 1024 }]
async fn configuration_put(
    request: RequestContext<Arc<AdminContext>>,
    query: Query<ChangeQuery>,
    body: UntypedBody,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let summary = "replaced the document".to_owned();
    let options = ChangeOptions::from_request(&request, access, query.into_inner(), summary)?;
    if options.expected.is_none() {
        return Err(ApiProblem::precondition_required());
    }
    let text = body.as_str()?.to_owned();
    let read = move || read_document("document", &text).map_err(ApiProblem::faulty);
    let document = compute(read).await?;
    let answer = submit_change(request.context(), options, move |_| Ok(document.clone())).await?;
    Ok(HttpResponseOk(answer))
}

/// Validate a document and compare it with the current one, without changing anything
#[endpoint { method = POST, path = "/v1/check", request_body_max_bytes = 8 * 1024 * 1024 }]
async fn configuration_check(
    request: RequestContext<Arc<AdminContext>>,
    body: UntypedBody,
) -> Result<HttpResponseOk<CheckAnswer>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let current = request.context().current();
    let text = body.as_str()?.to_owned();
    let answer = compute(move || Ok(check_text(&current, &text))).await?;
    Ok(HttpResponseOk(answer))
}

/// List accepted changes, newest first
#[endpoint { method = GET, path = "/v1/history" }]
async fn configuration_history(
    request: RequestContext<Arc<AdminContext>>,
    query: Query<HistoryQuery>,
) -> Result<HttpResponseOk<Vec<HistoryEntry>>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let limit = query.into_inner().limit.unwrap_or(DEFAULT_HISTORY_LIMIT).min(MAX_HISTORY_LIMIT);
    let history = request.context().ports.history(limit as usize).await;
    let history = history.map_err(|error| ApiProblem::platform(&error))?;
    Ok(HttpResponseOk(history.into_iter().map(Into::into).collect()))
}

/// Read an earlier version of the document
#[endpoint { method = GET, path = "/v1/configuration/{version}" }]
async fn version_get(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<VersionPath>,
) -> Result<Response<Body>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let snapshot = load_version(request.context(), path.into_inner()).await?;
    Ok(document_response(&snapshot, DocumentFormat::Yaml))
}

/// Show whether a version is in force and which hosts have not confirmed it
#[endpoint { method = GET, path = "/v1/configuration/{version}/progress" }]
async fn version_progress(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<VersionPath>,
) -> Result<HttpResponseOk<ProgressBody>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let version = ConfigVersion(path.into_inner().version);
    Ok(HttpResponseOk(request.context().ports.progress(version).into()))
}

/// Restore the content of an earlier version as a new version; keys and operators are not restored
#[endpoint { method = POST, path = "/v1/configuration/{version}/restore" }]
async fn version_restore(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<VersionPath>,
    query: Query<ChangeQuery>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let earlier = load_version(request.context(), path.into_inner()).await?;
    let summary = format!("restored version {}", earlier.version);
    let options = ChangeOptions::from_request(&request, access, query.into_inner(), summary)?;
    if options.expected.is_none() {
        return Err(ApiProblem::precondition_required());
    }
    let edit = move |document: &ConfigurationDocument| {
        // Restoring must not bring back keys that have been withdrawn or replaced since.
        let (keys, operators) = (document.keys.clone(), document.operators.clone());
        Ok(ConfigurationDocument { keys, operators, ..earlier.document.clone() })
    };
    Ok(HttpResponseOk(submit_change(request.context(), options, edit).await?))
}

fn to_json(document: &ConfigurationDocument) -> Value {
    serde_json::to_value(document).expect("a document can be serialized as JSON")
}

fn check_text(current: &ConfigurationSnapshot, text: &str) -> CheckAnswer {
    let version = current.version.0;
    match read_document("document", text) {
        Ok(document) => CheckAnswer {
            version,
            faults: Vec::new(),
            document: write_document(&document),
            plain: to_json(&document),
            differences: entry_differences(&current.document, &document)
                .into_iter()
                .map(Into::into)
                .collect(),
            diff: text_difference(&current.document, &document),
        },
        Err(faults) => CheckAnswer {
            version,
            faults: faults.faults.into_iter().map(Into::into).collect(),
            document: String::new(),
            plain: Value::Null,
            differences: Vec::new(),
            diff: String::new(),
        },
    }
}

async fn load_version(
    context: &AdminContext,
    path: VersionPath,
) -> Result<ConfigurationSnapshot, ApiProblem> {
    let version = ConfigVersion(path.version);
    let content = context.ports.content(version).await;
    let content = content.map_err(|error| ApiProblem::platform(&error))?;
    content.ok_or_else(|| ApiProblem::not_found(format!("version {version} is not available")))
}

fn document_response(snapshot: &ConfigurationSnapshot, format: DocumentFormat) -> Response<Body> {
    let document = &snapshot.document;
    let mut response = match format {
        DocumentFormat::Yaml => text_response("application/yaml", write_document(document)),
        DocumentFormat::Json => text_response("application/json", to_json(document).to_string()),
    };
    let tag = format!("\"{}\"", snapshot.version);
    let tag = HeaderValue::from_str(&tag).expect("digits in quotes are a valid header value");
    response.headers_mut().insert(ETAG, tag);
    response
}
