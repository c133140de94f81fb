//! Authentication of operators by key, authorization by role, and protection against cross-site
//! requests.

use std::sync::Arc;

use dotterellane_fleet::ConfigurationSnapshot;
use dotterellane_settings::document::OperatorRole;
use dotterellane_settings::keys::OperatorKey;
use dotterellane_units::OperatorId;
use dropshot::{RequestContext, RequestInfo};
use http::header::{AUTHORIZATION, COOKIE, HOST, ORIGIN};

use crate::context::AdminContext;
use crate::problem::ApiProblem;

/// Lifetime of the session cookie, in seconds.
const SESSION_SECONDS: u32 = 12 * 3_600;
/// Name of the session cookie without TLS.
const COOKIE_NAME: &str = "dotterellane-operator";
/// Name of the session cookie with TLS. Browsers accept the prefix `__Host-` only if the cookie is
/// `Secure`, has the path `/` and names no `Domain`.
const SECURE_COOKIE_NAME: &str = "__Host-dotterellane-operator";

/// An operator whose key was valid in one version of the document.
pub(crate) struct OperatorAccess {
    pub operator: OperatorId,
    pub role: OperatorRole,
    key: OperatorKey,
}

impl OperatorAccess {
    /// Checks that the key is still valid, with at least the same role, in another version of the
    /// document.
    pub fn recheck(
        &self,
        context: &AdminContext,
        snapshot: &ConfigurationSnapshot,
    ) -> Result<(), ApiProblem> {
        match operator_role(context, snapshot, &self.key) {
            Some(role) if role >= self.role => Ok(()),
            _ => Err(ApiProblem::unauthorized()),
        }
    }
}

/// Authenticates the operator and requires at least the role `needed`.
pub(crate) fn require_role(
    request: &RequestContext<Arc<AdminContext>>,
    needed: OperatorRole,
) -> Result<OperatorAccess, ApiProblem> {
    let context = request.context();
    let key = request_key(context, &request.request)?;
    let access = check_key(context, key)?;
    if access.role < needed {
        let role = role_name(access.role);
        let needed = role_name(needed);
        let message = format!("role {role} does not allow this; it takes role {needed}");
        return Err(ApiProblem::forbidden(message));
    }
    Ok(access)
}

/// Checks a key against the newest document that this daemon has applied.
pub(crate) fn check_key(
    context: &AdminContext,
    key: OperatorKey,
) -> Result<OperatorAccess, ApiProblem> {
    let snapshot = context.current();
    let role = operator_role(context, &snapshot, &key).ok_or_else(ApiProblem::unauthorized)?;
    Ok(OperatorAccess { operator: key.id().clone(), role, key })
}

fn operator_role(
    context: &AdminContext,
    snapshot: &ConfigurationSnapshot,
    key: &OperatorKey,
) -> Option<OperatorRole> {
    let operators = &snapshot.document.operators;
    if let Some(entry) = operators.get(key.id()) {
        return key.matches(&entry.digest).then_some(entry.role);
    }
    let first = context.first_operator.as_ref().filter(|_| operators.is_empty())?;
    (first.id == *key.id() && key.matches(&first.digest)).then_some(OperatorRole::All)
}

fn request_key(context: &AdminContext, info: &RequestInfo) -> Result<OperatorKey, ApiProblem> {
    if let Some(value) = header(info, AUTHORIZATION.as_str()) {
        let text = value.strip_prefix("Bearer ").ok_or_else(ApiProblem::unauthorized)?;
        return text.trim().parse().map_err(|_| ApiProblem::unauthorized());
    }
    let cookies = header(info, COOKIE.as_str()).ok_or_else(ApiProblem::unauthorized)?;
    let key = cookie_value(cookies, cookie_name(context)).ok_or_else(ApiProblem::unauthorized)?;
    require_same_origin(info)?;
    key.parse().map_err(|_| ApiProblem::unauthorized())
}

/// Refuses requests that a browser sends on behalf of a page of another site.
pub(crate) fn require_same_origin(info: &RequestInfo) -> Result<(), ApiProblem> {
    let cross_site = || ApiProblem::forbidden("the request came from another site");
    match header(info, "sec-fetch-site") {
        None | Some("same-origin" | "none") => {}
        Some(_) => return Err(cross_site()),
    }
    if info.method().is_safe() {
        return Ok(());
    }
    let origin = header(info, ORIGIN.as_str()).ok_or_else(cross_site)?;
    let host = header(info, HOST.as_str()).ok_or_else(cross_site)?;
    let origin_host = origin.split_once("://").map(|(_, rest)| rest);
    if origin_host == Some(host) { Ok(()) } else { Err(cross_site()) }
}

/// Returns the `Set-Cookie` value that starts a session.
///
/// The cookie holds the key itself, so any host can check it and it becomes invalid together with
/// the key. Scripts cannot read it.
pub(crate) fn session_cookie(context: &AdminContext, key: &OperatorKey) -> String {
    cookie_text(context, key.expose(), SESSION_SECONDS)
}

/// Returns the `Set-Cookie` value that deletes the session cookie.
pub(crate) fn expired_cookie(context: &AdminContext) -> String {
    cookie_text(context, "", 0)
}

/// Returns the name of a role, as in the document and the API.
pub(crate) fn role_name(role: OperatorRole) -> &'static str {
    match role {
        OperatorRole::Read => "read",
        OperatorRole::Keys => "keys",
        OperatorRole::All => "all",
    }
}

fn cookie_text(context: &AdminContext, value: &str, seconds: u32) -> String {
    let name = cookie_name(context);
    let secure = if context.secure { "; Secure" } else { "" };
    format!("{name}={value}; Path=/; Max-Age={seconds}; HttpOnly; SameSite=Strict{secure}")
}

fn cookie_name(context: &AdminContext) -> &'static str {
    if context.secure { SECURE_COOKIE_NAME } else { COOKIE_NAME }
}

fn cookie_value<'a>(cookies: &'a str, name: &str) -> Option<&'a str> {
    let pairs = cookies.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value)
}

fn header<'a>(info: &'a RequestInfo, name: &str) -> Option<&'a str> {
    info.headers().get(name)?.to_str().ok()
}
