//! Permits of a model's dispatcher.

use serde::{Deserialize, Serialize};

/// Permits of a model's dispatcher.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DispatchMessage {}
