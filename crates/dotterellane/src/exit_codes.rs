//! Exit codes of the program.

use std::process;

/// How the program ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All that was asked was done.
    Success,
    /// Something failed while it ran.
    GeneralError,
    /// Arguments, settings or a document are wrong; nothing was done.
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
