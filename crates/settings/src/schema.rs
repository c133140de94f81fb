//! JSON Schemas of the configuration document and the daemon settings, derived from their types.

use schemars::schema_for;
use serde_json::Value;

use crate::daemon::DaemonSettings;
use crate::document::ConfigurationDocument;

/// Returns the JSON Schema of the configuration document.
pub fn document_schema() -> Value {
    schema_for!(ConfigurationDocument).to_value()
}

/// Returns the JSON Schema of the daemon settings.
pub fn daemon_schema() -> Value {
    schema_for!(DaemonSettings).to_value()
}
