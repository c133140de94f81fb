//! Files that the command line names.

use std::fs;
use std::path::Path;

use miette::{IntoDiagnostic, WrapErr};

/// Reads a file.
///
/// # Errors
/// Fails with the name of the file if it cannot be read as text.
pub(crate) fn read_file(file: &Path) -> miette::Result<String> {
    let text = fs::read_to_string(file).into_diagnostic();
    text.wrap_err_with(|| format!("reading {}", file.display()))
}
