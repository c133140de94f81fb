//! Errors of parsing units from text.

use thiserror::Error;

/// Why a text is not the unit that was expected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum UnitError {
    /// An id is empty or longer than 63 bytes.
    #[error("{kind} must have 1 to 63 characters, but has {length}")]
    IdLength {
        /// Which id was parsed.
        kind: &'static str,
        /// Length of the text in bytes.
        length: usize,
    },
    /// An id holds a character outside `a-z`, `A-Z`, `0-9`, `-`, `_`, `.` and `:`.
    #[error("{kind} {text:?} holds {found:?}; use letters, digits, '-', '_', '.' or ':'")]
    IdCharacter {
        /// Which id was parsed.
        kind: &'static str,
        /// The whole text.
        text: String,
        /// The first character that is not allowed.
        found: char,
    },
    /// A number or its suffix is not understood.
    #[error("{kind} {text:?} is not understood; write for example {example}")]
    Malformed {
        /// Which unit was parsed.
        kind: &'static str,
        /// The whole text.
        text: String,
        /// A text that would be accepted.
        example: &'static str,
    },
}
