//! The document as a whole.

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
use crate::changes::{ChangeOrder, compute, make_change};
use crate::context::AdminContext;
use crate::problem::ApiProblem;
use crate::wire::{
    ChangeAnswer, ChangeQuery, CheckAnswer, DocumentFormat, DocumentQuery, HistoryEntry,
    HistoryQuery, ProgressBody, VersionPath,
};

const DEFAULT_HISTORY: u32 = 50;
const MAX_HISTORY: u32 = 1_000;

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(configuration_get)?;
    api.register(configuration_put)?;
    api.register(configuration_check)?;
    api.register(configuration_history)?;
    api.register(version_get)?;
    api.register(version_progress)?;
    api.register(version_restore)
}

/// Read the document; its version is the ETag
#[endpoint { method = GET, path = "/v1/configuration" }]
async fn configuration_get(
    request: RequestContext<Arc<AdminContext>>,
    query: Query<DocumentQuery>,
) -> Result<Response<Body>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let format = query.into_inner().format;
    Ok(document_response(&request.context().current(), format))
}

/// Replace the document; If-Match names the version that it was made from
#[endpoint { method = PUT, path = "/v1/configuration", request_body_max_bytes = 8 * 1024 * 1024 }]
async fn configuration_put(
    request: RequestContext<Arc<AdminContext>>,
    query: Query<ChangeQuery>,
    body: UntypedBody,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let summary = "replaced the document".to_owned();
    let order = ChangeOrder::read(&request, access, query.into_inner(), summary)?;
    if order.expected.is_none() {
        return Err(ApiProblem::precondition_required());
    }
    let text = body.as_str()?.to_owned();
    let read = move || read_document("document", &text).map_err(ApiProblem::faulty);
    let document = compute(read).await?;
    let answer = make_change(request.context(), order, move |_| Ok(document.clone())).await?;
    Ok(HttpResponseOk(answer))
}

/// Check a document and compare it with the current one
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
    let limit = query.into_inner().limit.unwrap_or(DEFAULT_HISTORY).min(MAX_HISTORY);
    let history = request.context().ports.history(limit as usize).await;
    let history = history.map_err(|error| ApiProblem::platform(&error))?;
    Ok(HttpResponseOk(history.into_iter().map(Into::into).collect()))
}

/// Read the document as it was at a version
#[endpoint { method = GET, path = "/v1/configuration/{version}" }]
async fn version_get(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<VersionPath>,
) -> Result<Response<Body>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let snapshot = kept_version(request.context(), path.into_inner()).await?;
    Ok(document_response(&snapshot, DocumentFormat::Yaml))
}

/// Tell how far a version has come into force
#[endpoint { method = GET, path = "/v1/configuration/{version}/progress" }]
async fn version_progress(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<VersionPath>,
) -> Result<HttpResponseOk<ProgressBody>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let version = ConfigVersion(path.into_inner().version);
    Ok(HttpResponseOk(request.context().ports.progress(version).into()))
}

/// Make the content of an earlier version the newest one; keys and operators stay as they are
#[endpoint { method = POST, path = "/v1/configuration/{version}/restore" }]
async fn version_restore(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<VersionPath>,
    query: Query<ChangeQuery>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let earlier = kept_version(request.context(), path.into_inner()).await?;
    let summary = format!("restored version {}", earlier.version);
    let order = ChangeOrder::read(&request, access, query.into_inner(), summary)?;
    if order.expected.is_none() {
        return Err(ApiProblem::precondition_required());
    }
    let edit = move |document: &ConfigurationDocument| {
        // An earlier content must not bring back keys that were withdrawn or replaced since.
        let (keys, operators) = (document.keys.clone(), document.operators.clone());
        Ok(ConfigurationDocument { keys, operators, ..earlier.document.clone() })
    };
    Ok(HttpResponseOk(make_change(request.context(), order, edit).await?))
}

fn plain(document: &ConfigurationDocument) -> Value {
    serde_json::to_value(document).expect("a document is plain data")
}

fn check_text(current: &ConfigurationSnapshot, text: &str) -> CheckAnswer {
    let version = current.version.0;
    match read_document("document", text) {
        Ok(document) => CheckAnswer {
            version,
            faults: Vec::new(),
            document: write_document(&document),
            plain: plain(&document),
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

async fn kept_version(
    context: &AdminContext,
    path: VersionPath,
) -> Result<ConfigurationSnapshot, ApiProblem> {
    let version = ConfigVersion(path.version);
    let content = context.ports.content(version).await;
    let content = content.map_err(|error| ApiProblem::platform(&error))?;
    content.ok_or_else(|| ApiProblem::not_found(format!("version {version} is not kept")))
}

fn document_response(snapshot: &ConfigurationSnapshot, format: DocumentFormat) -> Response<Body> {
    let document = &snapshot.document;
    let mut response = match format {
        DocumentFormat::Yaml => text_response("application/yaml", write_document(document)),
        DocumentFormat::Json => text_response("application/json", plain(document).to_string()),
    };
    let tag = format!("\"{}\"", snapshot.version);
    let tag = HeaderValue::from_str(&tag).expect("digits in quotes are a header value");
    response.headers_mut().insert(ETAG, tag);
    response
}
