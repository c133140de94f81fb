//! Endpoints for the state of the fleet, metrics and the schema of the document.

use std::sync::Arc;

use dotterellane_settings::document::OperatorRole;
use dotterellane_settings::schema::document_schema;
use dropshot::{ApiDescriptionRegisterError, Body, HttpResponseOk, RequestContext, endpoint};
use http::Response;
use prometheus::TextEncoder;
use serde_json::Value;

use super::{Api, text_response};
use crate::access::require_role;
use crate::context::AdminContext;
use crate::overview::FleetOverview;
use crate::problem::ApiProblem;

pub(super) fn register(api: &mut Api) -> Result<(), ApiDescriptionRegisterError> {
    api.register(overview_get)?;
    api.register(metrics_get)?;
    api.register(schema_get)
}

/// Read the state of the fleet as this daemon knows it
#[endpoint { method = GET, path = "/v1/overview" }]
async fn overview_get(
    request: RequestContext<Arc<AdminContext>>,
) -> Result<HttpResponseOk<FleetOverview>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    Ok(HttpResponseOk(request.context().overview()))
}

/// Read the metrics of this daemon in the Prometheus text format
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics_get(
    request: RequestContext<Arc<AdminContext>>,
) -> Result<Response<Body>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    let families = request.context().registry.gather();
    let text = TextEncoder::new().encode_to_string(&families);
    let text = text.map_err(|error| dropshot::HttpError::for_internal_error(error.to_string()))?;
    Ok(text_response(prometheus::TEXT_FORMAT, text))
}

/// Read the JSON Schema of the configuration document
#[endpoint { method = GET, path = "/v1/schema" }]
async fn schema_get(
    request: RequestContext<Arc<AdminContext>>,
) -> Result<HttpResponseOk<Value>, ApiProblem> {
    require_role(&request, OperatorRole::Read)?;
    Ok(HttpResponseOk(document_schema()))
}
