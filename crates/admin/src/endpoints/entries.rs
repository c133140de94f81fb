//! Single entries of the document.

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
use crate::changes::{ChangeOrder, make_change};
use crate::context::AdminContext;
use crate::problem::ApiProblem;
use crate::wire::{ChangeAnswer, ChangeQuery, EntryPath};

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(entry_get)?;
    api.register(entry_put)?;
    api.register(entry_patch)?;
    api.register(entry_delete)
}

/// Read one entry of the document, as one team or one model
#[endpoint { method = GET, path = "/v1/entries/{section}/{id}" }]
async fn entry_get(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<EntryPath>,
) -> Result<HttpResponseOk<Value>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let path = known_path(path)?;
    let document = plain_document(&request.context().current().document);
    match document[&path.section].get(&path.id) {
        Some(entry) => Ok(HttpResponseOk(entry.clone())),
        None => Err(missing(&path)),
    }
}

/// Add or replace one entry; nothing else of the document is touched
#[endpoint { method = PUT, path = "/v1/entries/{section}/{id}", request_body_max_bytes = 64 * 1024 }]
async fn entry_put(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<EntryPath>,
    query: Query<ChangeQuery>,
    body: TypedBody<Map<String, Value>>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let path = known_path(path)?;
    let summary = format!("put {}.{}", path.section, path.id);
    let order = ChangeOrder::read(&request, access, query.into_inner(), summary)?;
    let entry = Value::Object(body.into_inner());
    let edit = move |document: &ConfigurationDocument| {
        let mut document = plain_document(document);
        document[&path.section][&path.id] = entry.clone();
        read_plain(&document)
    };
    Ok(HttpResponseOk(make_change(request.context(), order, edit).await?))
}

/// Change single fields of an entry; a field set to null takes its default
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
    let path = known_path(path)?;
    let summary = format!("changed {}.{}", path.section, path.id);
    let order = ChangeOrder::read(&request, access, query.into_inner(), summary)?;
    let fields = body.into_inner();
    let edit = move |document: &ConfigurationDocument| {
        let mut document = plain_document(document);
        let entry = document[&path.section].get_mut(&path.id).and_then(Value::as_object_mut);
        let entry = entry.ok_or_else(|| missing(&path))?;
        for (name, value) in &fields {
            match value {
                Value::Null => entry.remove(name),
                value => entry.insert(name.clone(), value.clone()),
            };
        }
        read_plain(&document)
    };
    Ok(HttpResponseOk(make_change(request.context(), order, edit).await?))
}

/// Remove one entry; refused while others refer to it
#[endpoint { method = DELETE, path = "/v1/entries/{section}/{id}" }]
async fn entry_delete(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<EntryPath>,
    query: Query<ChangeQuery>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let path = known_path(path)?;
    let summary = format!("removed {}.{}", path.section, path.id);
    let order = ChangeOrder::read(&request, access, query.into_inner(), summary)?;
    let edit = move |document: &ConfigurationDocument| {
        let mut document = plain_document(document);
        let entries = document[&path.section].as_object_mut();
        if entries.and_then(|entries| entries.remove(&path.id)).is_none() {
            return Err(missing(&path));
        }
        read_plain(&document)
    };
    Ok(HttpResponseOk(make_change(request.context(), order, edit).await?))
}

fn known_path(path: Path<EntryPath>) -> Result<EntryPath, ApiProblem> {
    let path = path.into_inner();
    if SECTIONS.contains(&path.section.as_str()) {
        return Ok(path);
    }
    let message = format!("no part {:?}; the parts are {}", path.section, SECTIONS.join(", "));
    Err(ApiProblem::not_found(message))
}

fn missing(path: &EntryPath) -> ApiProblem {
    ApiProblem::not_found(format!("no {}.{}", path.section, path.id))
}

fn plain_document(document: &ConfigurationDocument) -> Value {
    serde_json::to_value(document).expect("a document is plain data")
}

/// Reads a document that operators did not write as one text; its faults have no lines.
fn read_plain(document: &Value) -> Result<ConfigurationDocument, ApiProblem> {
    read_document("document", &document.to_string()).map_err(|faults| {
        let DocumentFaults { mut faults, name, .. } = faults;
        for fault in &mut faults {
            fault.line = None;
            fault.column = None;
        }
        ApiProblem::faulty(DocumentFaults::without_text(name, faults))
    })
}
