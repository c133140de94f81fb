//! Prints results as JSON.

use miette::IntoDiagnostic;
use serde::Serialize;

/// Prints `result` to standard output as indented JSON.
///
/// # Errors
/// Fails if the result cannot be serialized.
pub fn print<R>(result: &R) -> miette::Result<()>
where
    R: Serialize,
{
    let text = serde_json::to_string_pretty(result).into_diagnostic()?;
    println!("{text}");
    Ok(())
}
