//! Wakes of models and keepers of runners.

use serde::{Deserialize, Serialize};

/// Wakes of models and keepers of runners.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PlacementMessage {}
