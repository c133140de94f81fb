//! Exit codes of the program.

use std::process;

/// Outcome of the program, as its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command did what was asked (0).
    Success,
    /// The command failed (1).
    GeneralError,
    /// Arguments, settings or a document are invalid; nothing was changed (2).
    InvalidInput,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => Self::SUCCESS,
            ExitCode::GeneralError => Self::from(1),
            ExitCode::InvalidInput => Self::from(2),
        }
    }
}
