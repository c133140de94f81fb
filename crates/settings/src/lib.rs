//! Daemon settings and the configuration document that operators write.

pub mod daemon;
pub mod difference;
pub mod document;
pub mod fault;
pub mod fields;
pub mod keys;
pub mod rules;
pub mod schema;
mod tree;
pub mod validation;

pub use difference::{DifferenceKind, EntryDifference};
pub use fault::{DocumentFault, DocumentFaults};
pub use validation::{check_document, check_successor, read_document, write_document};
