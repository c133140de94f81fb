//! Endpoints for single entries of the configuration document.

use std::sync::Arc;

use dotterellane_settings::document::{ConfigurationDocument, OperatorRole};
use dotterellane_settings::validation::SECTIONS;
use dotterellane_settings::{DocumentFaults, read_document};
use dropshot::{
    ApiDescriptionRegisterError, HttpResponseOk, Path, Query, RequestContext, TypedBody, endpoint,
};
use serde_json::{Map, Value};

use super::Api;
use crate::access::require_role;
use crate::changes::{ChangeOptions, submit_change};
use crate::context::AdminContext;
use crate::problem::ApiProblem;
use crate::wire::{ChangeAnswer, ChangeQuery, EntryPath};

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(entry_get)?;
    api.register(entry_put)?;
    api.register(entry_patch)?;
    api.register(entry_delete)
}

/// Read one entry of the document, such as a team or a model
#[endpoint { method = GET, path = "/v1/entries/{section}/{id}" }]
async fn entry_get(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<EntryPath>,
) -> Result<HttpResponseOk<Value>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let path = checked_path(path)?;
    let document = document_json(&request.context().current().document);
    match document[&path.section].get(&path.id) {
        Some(entry) => Ok(HttpResponseOk(entry.clone())),
        None => Err(not_found(&path)),
    }
}

/// Add or replace one entry; the rest of the document is unchanged
#[endpoint { method = PUT, path = "/v1/entries/{section}/{id}", request_body_max_bytes = 64 * 1024 }]
async fn entry_put(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<EntryPath>,
    query: Query<ChangeQuery>,
    body: TypedBody<Map<String, Value>>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let path = checked_path(path)?;
    let summary = format!("put {}.{}", path.section, path.id);
    let options = ChangeOptions::from_request(&request, access, query.into_inner(), summary)?;
    let entry = Value::Object(body.into_inner());
    let edit = move |document: &ConfigurationDocument| {
        let mut document = document_json(document);
        document[&path.section][&path.id] = entry.clone();
        read_json(&document)
    };
    Ok(HttpResponseOk(submit_change(request.context(), options, edit).await?))
}

/// Change some fields of an entry; a field set to null is reset to its default
#[endpoint {
    method = PATCH,
    path = "/v1/entries/{section}/{id}",
    request_body_max_bytes = 64 * 1024,
}]
async fn entry_patch(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<EntryPath>,
    query: Query<ChangeQuery>,
    body: TypedBody<Map<String, Value>>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let path = checked_path(path)?;
    let summary = format!("changed {}.{}", path.section, path.id);
    let options = ChangeOptions::from_request(&request, access, query.into_inner(), summary)?;
    let fields = body.into_inner();
    let edit = move |document: &ConfigurationDocument| {
        let mut document = document_json(document);
        let entry = document[&path.section].get_mut(&path.id).and_then(Value::as_object_mut);
        let entry = entry.ok_or_else(|| not_found(&path))?;
        for (name, value) in &fields {
            match value {
                Value::Null => entry.remove(name),
                value => entry.insert(name.clone(), value.clone()),
            };
        }
        read_json(&document)
    };
    Ok(HttpResponseOk(submit_change(request.context(), options, edit).await?))
}

/// Remove one entry; refused while other entries refer to it
#[endpoint { method = DELETE, path = "/v1/entries/{section}/{id}" }]
async fn entry_delete(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<EntryPath>,
    query: Query<ChangeQuery>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let path = checked_path(path)?;
    let summary = format!("removed {}.{}", path.section, path.id);
    let options = ChangeOptions::from_request(&request, access, query.into_inner(), summary)?;
    let edit = move |document: &ConfigurationDocument| {
        let mut document = document_json(document);
        let entries = document[&path.section].as_object_mut();
        if entries.and_then(|entries| entries.remove(&path.id)).is_none() {
            return Err(not_found(&path));
        }
        read_json(&document)
    };
    Ok(HttpResponseOk(submit_change(request.context(), options, edit).await?))
}

/// Requires that the path names a section of the document.
fn checked_path(path: Path<EntryPath>) -> Result<EntryPath, ApiProblem> {
    let path = path.into_inner();
    if SECTIONS.contains(&path.section.as_str()) {
        return Ok(path);
    }
    let message =
        format!("unknown section {:?}; the sections are {}", path.section, SECTIONS.join(", "));
    Err(ApiProblem::not_found(message))
}

fn not_found(path: &EntryPath) -> ApiProblem {
    ApiProblem::not_found(format!("{}.{} does not exist", path.section, path.id))
}

fn document_json(document: &ConfigurationDocument) -> Value {
    serde_json::to_value(document).expect("a document can be serialized as JSON")
}

/// Parses and validates an edited document. The faults carry no lines, since the operator has not
/// seen this text.
fn read_json(document: &Value) -> Result<ConfigurationDocument, ApiProblem> {
    read_document("document", &document.to_string()).map_err(|faults| {
        let DocumentFaults { mut faults, name, .. } = faults;
        for fault in &mut faults {
            fault.line = None;
            fault.column = None;
        }
        ApiProblem::faulty(DocumentFaults::without_text(name, faults))
    })
}
