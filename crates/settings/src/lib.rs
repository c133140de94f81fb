//! Settings of a single daemon, and the configuration document that the whole fleet shares.
//!
//! Operators write both in YAML. This crate parses and validates them, compares and merges
//! documents, and provides their JSON Schemas.

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
