//! Pledges, grants and recalls of team shares.

use serde::{Deserialize, Serialize};

/// Pledges, grants and recalls of team shares.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShareMessage {}
