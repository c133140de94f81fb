//! Endpoints for signing in to and out of the console.

use std::sync::Arc;

use dotterellane_settings::document::OperatorRole;
use dotterellane_settings::keys::OperatorKey;
use dropshot::{
    ApiDescriptionRegisterError, HttpResponseHeaders, HttpResponseOk, HttpResponseUpdatedNoContent,
    RequestContext, TypedBody, endpoint,
};
use http::HeaderValue;
use http::header::SET_COOKIE;
use spdlog::info;

use super::Api;
use crate::access::{
    OperatorAccess, check_key, expired_cookie, require_role, require_same_origin, role_name,
    session_cookie,
};
use crate::context::AdminContext;
use crate::problem::ApiProblem;
use crate::wire::{SessionBody, SignInOrder};

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(session_get)?;
    api.register(session_begin)?;
    api.register(session_end)
}

/// Show the authenticated operator and role
#[endpoint { method = GET, path = "/v1/session" }]
async fn session_get(
    request: RequestContext<Arc<AdminContext>>,
) -> Result<HttpResponseOk<SessionBody>, ApiProblem> {
    let access = require_role(&request, OperatorRole::Read)?;
    Ok(HttpResponseOk(session_body(&access)))
}

/// Start a browser session; the key is stored in a cookie that scripts cannot read
#[endpoint { method = POST, path = "/v1/session" }]
async fn session_begin(
    request: RequestContext<Arc<AdminContext>>,
    body: TypedBody<SignInOrder>,
) -> Result<HttpResponseHeaders<HttpResponseOk<SessionBody>>, ApiProblem> {
    require_same_origin(&request.request)?;
    let context = request.context();
    let key: OperatorKey =
        body.into_inner().key.trim().parse().map_err(|_| ApiProblem::unauthorized())?;
    let cookie = session_cookie(context, &key);
    let access = check_key(context, key)?;
    info!("operator={} signed in", access.operator);
    let mut response = HttpResponseHeaders::new_unnamed(HttpResponseOk(session_body(&access)));
    response.headers_mut().insert(SET_COOKIE, cookie_header(&cookie));
    Ok(response)
}

/// End a browser session
#[endpoint { method = DELETE, path = "/v1/session" }]
async fn session_end(
    request: RequestContext<Arc<AdminContext>>,
) -> Result<HttpResponseHeaders<HttpResponseUpdatedNoContent>, ApiProblem> {
    require_same_origin(&request.request)?;
    let cookie = expired_cookie(request.context());
    let mut response = HttpResponseHeaders::new_unnamed(HttpResponseUpdatedNoContent());
    response.headers_mut().insert(SET_COOKIE, cookie_header(&cookie));
    Ok(response)
}

fn session_body(access: &OperatorAccess) -> SessionBody {
    SessionBody { operator: access.operator.to_string(), role: role_name(access.role).to_owned() }
}

fn cookie_header(cookie: &str) -> HeaderValue {
    let mut value =
        HeaderValue::from_str(cookie).expect("ids and hex digits are a valid header value");
    value.set_sensitive(true);
    value
}
