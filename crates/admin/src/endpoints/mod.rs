//! Endpoints of the administration API.

mod configuration;
mod entries;
mod keys;
mod observe;
mod session;

use std::str::FromStr;
use std::sync::Arc;

use dotterellane_units::UnitError;
use dropshot::{ApiDescription, ApiDescriptionRegisterError, Body};
use http::Response;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};

use crate::context::AdminContext;
use crate::problem::ApiProblem;

pub(crate) type Api = ApiDescription<Arc<AdminContext>>;

/// Registers every endpoint.
pub(crate) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    configuration::register(api)?;
    entries::register(api)?;
    keys::register(api)?;
    observe::register(api)?;
    session::register(api)
}

fn parse_id<I>(text: &str) -> Result<I, ApiProblem>
where
    I: FromStr<Err = UnitError>,
{
    text.parse().map_err(|error: UnitError| ApiProblem::bad_request(error.to_string()))
}

/// Returns a response that must not be cached.
fn text_response(content_type: &str, text: String) -> Response<Body> {
    Response::builder()
        .header(CONTENT_TYPE, content_type)
        .header(CACHE_CONTROL, "no-store")
        .body(Body::from(text))
        .expect("the content type is a constant")
}
