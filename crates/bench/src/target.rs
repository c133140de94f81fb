//! The fleet under load, as `dotterellane demo --json` describes it.

use std::path::Path;

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::Deserialize;

/// Addresses and keys of a running fleet.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct LoadTarget {
    /// Callers' addresses, one a daemon.
    pub entries: Vec<String>,
    /// Teams and their keys.
    pub teams: Vec<TargetTeam>,
    /// Names of the models.
    pub models: Vec<String>,
    /// Names of the adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A team and its key.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct TargetTeam {
    /// Name of the team.
    pub team: String,
    /// Whole key.
    pub key: String,
}

impl LoadTarget {
    /// Reads the first line of `file`.
    ///
    /// # Errors
    /// Fails if the file cannot be read, its first line is not such a description, or a list in
    /// it is empty.
    pub fn read(file: &Path) -> miette::Result<Self> {
        let text = std::fs::read_to_string(file)
            .into_diagnostic()
            .wrap_err_with(|| format!("reading {}", file.display()))?;
        let line = text.lines().next().unwrap_or_default();
        let target: Self = serde_json::from_str(line).into_diagnostic().wrap_err_with(|| {
            format!("{}: line 1 is not what `demo --json` prints", file.display())
        })?;
        if target.entries.is_empty() || target.teams.is_empty() || target.models.is_empty() {
            return Err(miette!("{}: needs an entry, a team and a model", file.display()));
        }
        Ok(target)
    }
}
