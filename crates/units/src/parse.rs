//! Errors when units are parsed from text.

use thiserror::Error;

/// Why a text cannot be parsed as the expected unit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum UnitError {
    /// An id is empty or longer than 63 bytes.
    #[error("{kind} must have 1 to 63 characters, but has {length}")]
    IdLength {
        /// Kind of id that was expected, such as `team id`.
        kind: &'static str,
        /// Length of the text in bytes.
        length: usize,
    },
    /// A text is empty or too long.
    #[error("{kind} must have 1 to {longest} bytes, but has {length}")]
    TextLength {
        /// Kind of text that was expected, such as `software version`.
        kind: &'static str,
        /// Length of the text in bytes.
        length: usize,
        /// Longest text that is allowed, in bytes.
        longest: usize,
    },
    /// A name contains a control character, or starts or ends with a space.
    #[error("{kind} {text:?} contains a control character, or starts or ends with a space")]
    NameCharacter {
        /// Kind of id that was expected, such as `team id`.
        kind: &'static str,
        /// Text that was parsed.
        text: String,
    },
    /// An id contains a character outside `a-z`, `A-Z`, `0-9`, `-`, `_`, `.` and `:`.
    #[error("{kind} {text:?} contains {found:?}; use letters, digits, '-', '_', '.' or ':'")]
    IdCharacter {
        /// Kind of id that was expected, such as `team id`.
        kind: &'static str,
        /// Text that was parsed.
        text: String,
        /// First character that is not allowed.
        found: char,
    },
    /// A number or its suffix is malformed or out of range.
    #[error("{kind} {text:?} is not understood; write for example {example}")]
    Malformed {
        /// Kind of unit that was expected, such as `rate`.
        kind: &'static str,
        /// Text that was parsed.
        text: String,
        /// Example of a valid text.
        example: &'static str,
    },
}
