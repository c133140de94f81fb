//! Results as JSON on standard output.

use miette::IntoDiagnostic;
use serde::Serialize;

/// Prints a result.
///
/// # Errors
/// Fails if the result cannot be written.
pub fn print<R>(result: &R) -> miette::Result<()>
where
    R: Serialize,
{
    let text = serde_json::to_string_pretty(result).into_diagnostic()?;
    println!("{text}");
    Ok(())
}
