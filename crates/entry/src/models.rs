//! Listing of the models and adapters that a team may call.

use dotterellane_settings::document::{CallerScope, ConfigurationDocument};
use dotterellane_units::TeamId;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use serde::Serialize;

use crate::body::EntryBody;
use crate::completion::find_target;
use crate::refusal::EntryRefusal;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Serialize)]
struct ModelItem<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    owned_by: &'a str,
}

/// Lists the models that `team` may call, then the adapters.
pub fn list_models(team: &TeamId, document: &ConfigurationDocument) -> Response<EntryBody> {
    let allowed = |scope: &CallerScope| scope.allows(team) && *scope != CallerScope::Open;
    let models = document.models.iter().filter(|(_, entry)| allowed(&entry.callers));
    let adapters = document.adapters.iter().filter(|(_, entry)| allowed(&entry.callers));
    let names = models.map(|(id, _)| id.as_str()).chain(adapters.map(|(id, _)| id.as_str()));
    let data = names.map(list_item).collect();
    let list = ModelList { object: "list", data };
    json_response(&list)
}

fn list_item(id: &str) -> ModelItem<'_> {
    ModelItem { id, object: "model", created: 0, owned_by: "dotterellane" }
}

pub(crate) fn json_response<T>(document: &T) -> Response<EntryBody>
where
    T: Serialize,
{
    let content = serde_json::to_vec(document).unwrap_or_default();
    let mut response = Response::new(EntryBody::full(content));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Describes one model or adapter.
///
/// # Errors
/// Refuses a name that does not exist, or that `team` may not call.
pub fn show_model(
    name: &str,
    team: &TeamId,
    document: &ConfigurationDocument,
) -> Result<Response<EntryBody>, EntryRefusal> {
    find_target(name, team, document)?;
    Ok(json_response(&list_item(name)))
}
