//! JSON Schemas of the document and of the daemon's settings.

use schemars::schema_for;
use serde_json::Value;

use crate::daemon::DaemonSettings;
use crate::document::ConfigurationDocument;

/// Returns the JSON Schema of the configuration document.
pub fn document_schema() -> Value {
    schema_for!(ConfigurationDocument).to_value()
}

/// Returns the JSON Schema of the daemon's settings.
pub fn daemon_schema() -> Value {
    schema_for!(DaemonSettings).to_value()
}
