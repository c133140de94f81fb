//! Endpoints for the keys of callers and operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use dotterellane_settings::document::{ConfigurationDocument, OperatorRole};
use dotterellane_units::{KeyId, OperatorId, TeamId};
use dropshot::{
    ApiDescriptionRegisterError, HttpResponseOk, Path, Query, RequestContext, TypedBody, endpoint,
};

use super::{Api, parse_id};
use crate::access::{OperatorAccess, require_role};
use crate::changes::{ChangeOptions, submit_change};
use crate::context::AdminContext;
use crate::issue;
use crate::problem::ApiProblem;
use crate::wire::{
    ChangeAnswer, ChangeQuery, ExpireOrder, IdPath, IssueOrder, IssuedAnswer, KeyBody,
    OperatorOrder, RotateOrder,
};

/// Maximum time for which the old key stays valid after a rotation.
const MAX_OVERLAP_SECONDS: u64 = 30 * 24 * 3_600;

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(keys_list)?;
    api.register(key_issue)?;
    api.register(key_rotate)?;
    api.register(key_withdraw)?;
    api.register(key_expire)?;
    api.register(operator_key_issue)
}

/// List callers' keys, without their digests
#[endpoint { method = GET, path = "/v1/keys" }]
async fn keys_list(
    request: RequestContext<Arc<AdminContext>>,
) -> Result<HttpResponseOk<Vec<KeyBody>>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let context = request.context();
    let key_uses = context.overview().keys;
    let last_uses: BTreeMap<&str, f64> =
        key_uses.iter().map(|key_use| (key_use.key.as_str(), key_use.used_ago_seconds)).collect();
    let snapshot = context.current();
    let keys = snapshot.document.keys.iter().map(|(id, entry)| KeyBody {
        id: id.to_string(),
        team: entry.team.to_string(),
        expires_at: entry.expires_at,
        withdrawn: entry.withdrawn,
        used_ago_seconds: last_uses.get(id.as_str()).copied(),
    });
    Ok(HttpResponseOk(keys.collect()))
}

/// Issue a key; only this response contains the secret
#[endpoint { method = POST, path = "/v1/keys" }]
async fn key_issue(
    request: RequestContext<Arc<AdminContext>>,
    query: Query<ChangeQuery>,
    body: TypedBody<IssueOrder>,
) -> Result<HttpResponseOk<IssuedAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::Keys)?;
    let IssueOrder { id, team, expires_at } = body.into_inner();
    let key = issue::random_key(parse_id::<KeyId>(&id)?);
    let team: TeamId = parse_id(&team)?;
    let options = secret_options(&request, access, query, format!("issued key {id}"))?;
    let secret = key.expose().to_owned();
    let edit = move |document: &_| issue::with_key(document, &key, &team, expires_at);
    let change = submit_change(request.context(), options, edit).await?;
    Ok(HttpResponseOk(IssuedAnswer { id, key: secret, change }))
}

/// Issue a key that replaces another one; the old key stays valid for the overlap
#[endpoint { method = POST, path = "/v1/keys/{id}/rotate" }]
async fn key_rotate(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<IdPath>,
    query: Query<ChangeQuery>,
    body: TypedBody<RotateOrder>,
) -> Result<HttpResponseOk<IssuedAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::Keys)?;
    let old: KeyId = parse_id(&path.into_inner().id)?;
    let RotateOrder { new_id, overlap_seconds, expires_at } = body.into_inner();
    if overlap_seconds > MAX_OVERLAP_SECONDS {
        let message = format!("overlap_seconds must be at most {MAX_OVERLAP_SECONDS}");
        return Err(ApiProblem::bad_request(message));
    }
    let key = issue::random_key(parse_id::<KeyId>(&new_id)?);
    let context = request.context();
    let old_expiry = context.wall_seconds() + overlap_seconds;
    let options =
        secret_options(&request, access, query, format!("rotated key {old} to {new_id}"))?;
    let secret = key.expose().to_owned();
    let edit =
        move |document: &_| issue::with_key_rotated(document, &old, &key, old_expiry, expires_at);
    let change = submit_change(context, options, edit).await?;
    Ok(HttpResponseOk(IssuedAnswer { id: new_id, key: secret, change }))
}

/// Withdraw a key; this cannot be undone
#[endpoint { method = POST, path = "/v1/keys/{id}/withdraw" }]
async fn key_withdraw(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<IdPath>,
    query: Query<ChangeQuery>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let id: KeyId = parse_id(&path.into_inner().id)?;
    let summary = format!("withdrew key {id}");
    let edit = move |document: &_| issue::with_key_withdrawn(document, &id);
    change_key(&request, query, summary, edit).await
}

/// Set or remove the expiry time of a key
#[endpoint { method = POST, path = "/v1/keys/{id}/expire" }]
async fn key_expire(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<IdPath>,
    query: Query<ChangeQuery>,
    body: TypedBody<ExpireOrder>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem> {
    let id: KeyId = parse_id(&path.into_inner().id)?;
    let expires_at = body.into_inner().expires_at;
    let summary = format!("set expiry of key {id}");
    let edit = move |document: &_| issue::with_key_expiry(document, &id, expires_at);
    change_key(&request, query, summary, edit).await
}

/// Issue a key to an operator and set the role; only this response contains the secret
#[endpoint { method = POST, path = "/v1/operators/{id}/key" }]
async fn operator_key_issue(
    request: RequestContext<Arc<AdminContext>>,
    path: Path<IdPath>,
    query: Query<ChangeQuery>,
    body: TypedBody<OperatorOrder>,
) -> Result<HttpResponseOk<IssuedAnswer>, ApiProblem> {
    let access = require_role(&request, OperatorRole::All)?;
    let id: OperatorId = parse_id(&path.into_inner().id)?;
    let role = match body.into_inner().role.as_str() {
        "read" => OperatorRole::Read,
        "keys" => OperatorRole::Keys,
        "all" => OperatorRole::All,
        _ => return Err(ApiProblem::bad_request("role must be read, keys or all")),
    };
    let key = issue::random_operator_key(id.clone());
    let options = secret_options(&request, access, query, format!("issued operator key {id}"))?;
    let secret = key.expose().to_owned();
    let edit = move |document: &_| Ok(issue::with_operator(document, &key, role));
    let change = submit_change(request.context(), options, edit).await?;
    Ok(HttpResponseOk(IssuedAnswer { id: id.to_string(), key: secret, change }))
}

async fn change_key<E>(
    request: &RequestContext<Arc<AdminContext>>,
    query: Query<ChangeQuery>,
    summary: String,
    edit: E,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiProblem>
where
    E: Fn(&ConfigurationDocument) -> Result<ConfigurationDocument, ApiProblem>
        + Send
        + Sync
        + 'static,
{
    let access = require_role(request, OperatorRole::Keys)?;
    let options = ChangeOptions::from_request(request, access, query.into_inner(), summary)?;
    Ok(HttpResponseOk(submit_change(request.context(), options, edit).await?))
}

/// Reads the options of a change whose response contains a secret.
///
/// A `Change-Id` is refused: a retry with the same id would return the record of the first change,
/// but show a newly generated secret that does not match the key in the document.
fn secret_options(
    request: &RequestContext<Arc<AdminContext>>,
    access: OperatorAccess,
    query: Query<ChangeQuery>,
    summary: String,
) -> Result<ChangeOptions, ApiProblem> {
    if request.request.headers().contains_key("change-id") {
        let message = "Change-Id is not allowed for a change that issues a key";
        return Err(ApiProblem::bad_request(message));
    }
    ChangeOptions::from_request(request, access, query.into_inner(), summary)
}
