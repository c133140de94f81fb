//! Web console. Its files are compiled into the daemon.

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpError, RequestContext, endpoint,
};
use http::Response;
use http::header::{
    CACHE_CONTROL, CONTENT_SECURITY_POLICY, CONTENT_TYPE, REFERRER_POLICY, X_CONTENT_TYPE_OPTIONS,
    X_FRAME_OPTIONS,
};

use crate::context::AdminContext;

const PAGE: &str = include_str!("../console/index.html");
const STYLE: &str = include_str!("../console/console.css");
const SCRIPT: &str = include_str!("../console/console.js");
const FORMS_SCRIPT: &str = include_str!("../console/forms.js");
const OVERVIEW_SCRIPT: &str = include_str!("../console/overview.js");

/// Content security policy: allows only the daemon's own pages, scripts and styles, and no frames.
const CONTENT_POLICY: &str = "default-src 'none'; script-src 'self'; style-src 'self'; \
    img-src 'self' data:; connect-src 'self'; form-action 'self'; base-uri 'none'; \
    frame-ancestors 'none'";

/// Registers the pages and their assets.
pub(crate) fn register(
    api: &mut ApiDescription<Arc<AdminContext>>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(page_get)?;
    api.register(style_get)?;
    api.register(script_get)?;
    api.register(forms_script_get)?;
    api.register(overview_script_get)
}

/// Page of the console
#[endpoint { method = GET, path = "/", unpublished = true }]
async fn page_get(
    _request: RequestContext<Arc<AdminContext>>,
) -> Result<Response<Body>, HttpError> {
    asset_response("text/html; charset=utf-8", PAGE)
}

/// Style sheet of the console
#[endpoint { method = GET, path = "/console.css", unpublished = true }]
async fn style_get(
    _request: RequestContext<Arc<AdminContext>>,
) -> Result<Response<Body>, HttpError> {
    asset_response("text/css; charset=utf-8", STYLE)
}

/// Main script of the console
#[endpoint { method = GET, path = "/console.js", unpublished = true }]
async fn script_get(
    _request: RequestContext<Arc<AdminContext>>,
) -> Result<Response<Body>, HttpError> {
    asset_response("text/javascript; charset=utf-8", SCRIPT)
}

/// Script of the console's forms
#[endpoint { method = GET, path = "/forms.js", unpublished = true }]
async fn forms_script_get(
    _request: RequestContext<Arc<AdminContext>>,
) -> Result<Response<Body>, HttpError> {
    asset_response("text/javascript; charset=utf-8", FORMS_SCRIPT)
}

/// Script of the console's overview
#[endpoint { method = GET, path = "/overview.js", unpublished = true }]
async fn overview_script_get(
    _request: RequestContext<Arc<AdminContext>>,
) -> Result<Response<Body>, HttpError> {
    asset_response("text/javascript; charset=utf-8", OVERVIEW_SCRIPT)
}

fn asset_response(content_type: &str, text: &'static str) -> Result<Response<Body>, HttpError> {
    let response = Response::builder()
        .header(CONTENT_TYPE, content_type)
        .header(CONTENT_SECURITY_POLICY, CONTENT_POLICY)
        .header(X_CONTENT_TYPE_OPTIONS, "nosniff")
        .header(X_FRAME_OPTIONS, "DENY")
        .header(REFERRER_POLICY, "no-referrer")
        .header(CACHE_CONTROL, "no-cache")
        .body(Body::from(text.to_owned()))?;
    Ok(response)
}
