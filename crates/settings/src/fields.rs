//! Fields of each entry type: whether they are required, and how their values are checked.
//!
//! The document is checked field by field with these tables, so that all faults are reported at
//! once; deserializing the entries would stop at the first one.

use std::collections::BTreeSet;

use dotterellane_units::{
    ByteSize, DomainId, ModelId, TeamId, TokenCount, TokenRate, VersionLabel,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::{CallKind, CallerScope, OperatorRole, UpstreamRole};

/// A field of an entry type.
#[derive(Clone, Copy, Debug)]
pub struct FieldRule {
    /// Name of the field in the document.
    pub name: &'static str,
    /// Whether the field must be present.
    pub required: bool,
    /// Example of a valid value, shown in hints.
    pub example: &'static str,
    /// Key and fields of a nested map: if the value is a map with only this key, the map under it
    /// is checked against these fields. `None` if the value is checked as a whole.
    pub inner: Option<(&'static str, &'static [FieldRule])>,
    check: fn(&Value) -> Result<(), String>,
}

impl FieldRule {
    /// Checks whether `value` is valid for the field.
    ///
    /// # Errors
    /// Returns why the value is invalid.
    pub fn check(&self, value: &Value) -> Result<(), String> {
        (self.check)(value)
    }

    const fn required(mut self) -> Self {
        self.required = true;
        self
    }
}

const fn field<T>(name: &'static str, example: &'static str) -> FieldRule
where
    T: DeserializeOwned,
{
    FieldRule { name, required: false, example, inner: None, check: check_value::<T> }
}

fn check_value<T>(value: &Value) -> Result<(), String>
where
    T: DeserializeOwned,
{
    T::deserialize(value).map(|_| ()).map_err(|error| error.to_string())
}

/// Fields of a team.
pub const TEAM_FIELDS: &[FieldRule] = &[
    field::<TokenRate>("rate", "1500/s").required(),
    field::<TokenCount>("burst", "30000").required(),
];

/// Fields of a caller's API key.
pub const KEY_FIELDS: &[FieldRule] = &[
    field::<TeamId>("team", "freight").required(),
    field::<String>("digest", "64 hex digits").required(),
    field::<Option<u64>>("expires_at", "1798761600 (seconds since the Unix epoch)"),
    field::<bool>("withdrawn", "false"),
];

/// Fields of an operator.
pub const OPERATOR_FIELDS: &[FieldRule] = &[
    field::<OperatorRole>("role", "read, keys or all").required(),
    field::<String>("digest", "64 hex digits").required(),
];

/// Fields of a model.
pub const MODEL_FIELDS: &[FieldRule] = &[
    field::<VersionLabel>("version", "'2026-01' (quoted if it looks like a number)").required(),
    field::<ByteSize>("memory", "14GiB").required(),
    field::<ByteSize>("kv_reserve", "2GiB"),
    field::<u32>("slots", "2"),
    field::<u32>("max_slots", "4"),
    field::<u32>("concurrency", "16"),
    field::<TokenCount>("max_output", "1024"),
    field::<f64>("deadline_seconds", "60"),
    field::<CallerScope>("callers", CALLERS_EXAMPLE),
];

/// Fields of an adapter.
pub const ADAPTER_FIELDS: &[FieldRule] = &[
    field::<ModelId>("model", "the id of the base model").required(),
    field::<VersionLabel>("version", "'2026-01' (quoted if it looks like a number)").required(),
    field::<ByteSize>("memory", "200MiB").required(),
    field::<CallerScope>("callers", CALLERS_EXAMPLE),
];

/// Fields of a plain service.
pub const SERVICE_FIELDS: &[FieldRule] = &[
    field::<CallerScope>("callers", CALLERS_EXAMPLE),
    field::<CallKind>("calls", "once-only or repeatable"),
    field::<TokenCount>("cost", "10"),
    field::<f64>("deadline_seconds", "60"),
    field::<ByteSize>("body_bound", "1MiB"),
];

/// Fields of an upstream.
pub const UPSTREAM_FIELDS: &[FieldRule] = &[
    field::<std::net::SocketAddr>("address", "10.0.0.1:9000").required(),
    field::<DomainId>("domain", "the id of the failure domain").required(),
    ROLE_FIELD.required(),
    field::<bool>("leaving", "false"),
];

/// Fields of a runner, nested in an upstream's `role`.
pub const RUNNER_FIELDS: &[FieldRule] = &[
    field::<ByteSize>("memory", "80GiB").required(),
    field::<u32>("accelerators", "1"),
    field::<bool>("honours_fencing", "true"),
];

const ROLE_FIELD: FieldRule = FieldRule {
    inner: Some(("runner", RUNNER_FIELDS)),
    ..field::<UpstreamRole>("role", "{runner: {memory: 80GiB}} or {service: bookings}")
};

const CALLERS_EXAMPLE: &str = "all-teams, open (services only) or {teams: [freight]}";

/// Returns the names of the fields in alphabetical order, separated by commas.
pub(crate) fn field_names(rules: &[FieldRule]) -> String {
    let names: BTreeSet<&str> = rules.iter().map(|rule| rule.name).collect();
    names.into_iter().collect::<Vec<_>>().join(", ")
}
