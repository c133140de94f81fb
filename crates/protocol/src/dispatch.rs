//! Permits of a model's dispatcher.

use serde::{Deserialize, Serialize};

/// Permits of a model's dispatcher.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum DispatchMessage {}
