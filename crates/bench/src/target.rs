//! Description of the fleet under load, as printed by `dotterellane demo --json`.

use std::path::Path;

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::Deserialize;

/// Addresses and keys of a running fleet.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct LoadTarget {
    /// Base URLs of the daemons' entries, their servers for callers.
    pub entries: Vec<String>,
    /// Teams with their keys.
    pub teams: Vec<TargetTeam>,
    /// Names of the models.
    pub models: Vec<String>,
    /// Names of the adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A team with its caller key.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct TargetTeam {
    /// Name of the team.
    pub team: String,
    /// Caller key of the team, in plain text.
    pub key: String,
}

impl LoadTarget {
    /// Reads the description from the first line of `file`.
    ///
    /// # Errors
    /// Fails if the file cannot be read, if its first line is not such a description, or if that
    /// has no entry, team or model.
    pub fn read(file: &Path) -> miette::Result<Self> {
        let text = std::fs::read_to_string(file)
            .into_diagnostic()
            .wrap_err_with(|| format!("reading {}", file.display()))?;
        let line = text.lines().next().unwrap_or_default();
        let target: Self = serde_json::from_str(line).into_diagnostic().wrap_err_with(|| {
            format!("{}: line 1 is not output of `demo --json`", file.display())
        })?;
        if target.entries.is_empty() || target.teams.is_empty() || target.models.is_empty() {
            return Err(miette!(
                "{}: at least one entry, team and model are required",
                file.display()
            ));
        }
        Ok(target)
    }
}
