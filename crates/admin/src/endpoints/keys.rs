//! Keys of callers and operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use dotterellane_settings::document::{ConfigurationDocument, OperatorRole};
use dotterellane_units::{KeyId, OperatorId, TeamId};
use dropshot::{
    ApiDescriptionRegisterError, HttpResponseOk, Path, Query, RequestContext, TypedBody, endpoint,
};

use super::{Api, parse_id};
use crate::access::{OperatorAccess, require_role};
use crate::changes::{ChangeOrder, make_change};
use crate::context::AdminContext;
use crate::issue;
use crate::problem::ApiProblem;
use crate::wire::{
    ChangeAnswer, ChangeQuery, ExpireOrder, IdPath, IssueOrder, IssuedAnswer, KeyBody,
    OperatorOrder, RotateOrder,
};

/// Longest time for which a rotated key keeps working.
const MAX_OVERLAP_SECONDS: u64 = 30 * 24 * 3_600;

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(keys_list)?;
    api.register(key_issue)?;
    api.register(key_rotate)?;
    api.register(key_withdraw)?;
    api.register(key_expire)?;
    api.register(operator_key_issue)
}

/// List callers' keys, without digests
#[endpoint { method = GET, path = "/v1/keys" }]
async fn keys_list(
    request: RequestContext<Arc<AdminContext>>,
) -> Result<HttpResponseOk<Vec<KeyBody>>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let context = request.context();
    let uses = context.overview().keys;
    let uses: BTreeMap<&str, f64> =
        uses.iter().map(|used| (used.key.as_str(), used.used_ago_seconds)).collect();
    let snapshot = context.current();
    let keys = snapshot.document.keys.iter().map(|(id, entry)| KeyBody {
        id: id.to_string(),
        team: entry.team.to_string(),
        expires_at: entry.expires_at,
        withdrawn: entry.withdrawn,
        used_ago_seconds: uses.get(id.as_str()).copied(),
    });
    Ok(HttpResponseOk(keys.collect()))
}

/// Issue a key; the answer shows its secret this once
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
    let order = secret_order(&request, access, query, format!("issued key {id}"))?;
    let shown = key.expose().to_owned();
    let edit = move |document: &_| issue::with_key(document, &key, &team, expires_at);
    let change = make_change(request.context(), order, edit).await?;
    Ok(HttpResponseOk(IssuedAnswer { id, key: shown, change }))
}

/// Issue a key in the place of another, which keeps working for the overlap
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
    let old_ends_at = context.wall_seconds() + overlap_seconds;
    let order = secret_order(&request, access, query, format!("rotated key {old} to {new_id}"))?;
    let shown = key.expose().to_owned();
    let edit =
        move |document: &_| issue::with_key_rotated(document, &old, &key, old_ends_at, expires_at);
    let change = make_change(context, order, edit).await?;
    Ok(HttpResponseOk(IssuedAnswer { id: new_id, key: shown, change }))
}

/// Withdraw a key
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

/// Set when a key expires
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

/// Give an operator a key and a role; the answer shows the secret this once
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
    let order = secret_order(&request, access, query, format!("issued operator key {id}"))?;
    let shown = key.expose().to_owned();
    let edit = move |document: &_| Ok(issue::with_operator(document, &key, role));
    let change = make_change(request.context(), order, edit).await?;
    Ok(HttpResponseOk(IssuedAnswer { id: id.to_string(), key: shown, change }))
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
    let order = ChangeOrder::read(request, access, query.into_inner(), summary)?;
    Ok(HttpResponseOk(make_change(request.context(), order, edit).await?))
}

/// Reads the order of a change whose answer shows a secret.
///
/// Such a change has no id of the operator's: a repeated one would find the first one's key in
/// the document and show another secret.
fn secret_order(
    request: &RequestContext<Arc<AdminContext>>,
    access: OperatorAccess,
    query: Query<ChangeQuery>,
    summary: String,
) -> Result<ChangeOrder, ApiProblem> {
    if request.request.headers().contains_key("change-id") {
        let message = "a change that shows a secret takes no Change-Id";
        return Err(ApiProblem::bad_request(message));
    }
    ChangeOrder::read(request, access, query.into_inner(), summary)
}
