//! Membership, freshness and soft state.

use serde::{Deserialize, Serialize};

/// Membership, freshness and soft state.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GossipMessage {}
