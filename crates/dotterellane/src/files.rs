//! Reading of files named on the command line.

use std::fs;
use std::path::Path;

use miette::{IntoDiagnostic, WrapErr};

/// Reads a UTF-8 text file.
///
/// # Errors
/// Fails if the file cannot be read or is not UTF-8; the error names the file.
pub(crate) fn read_file(file: &Path) -> miette::Result<String> {
    let text = fs::read_to_string(file).into_diagnostic();
    text.wrap_err_with(|| format!("reading {}", file.display()))
}
