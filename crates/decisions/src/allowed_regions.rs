//! The regions in which a request may run.

use std::collections::BTreeSet;

use dotterellane_units::RegionId;
use serde::{Deserialize, Serialize};

/// The regions in which a request may run, as its route and its team allow.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum AllowedRegions {
    /// All, also where the region is unknown.
    #[default]
    Any,
    /// Only these.
    Only(BTreeSet<RegionId>),
}

impl AllowedRegions {
    /// Returns whether a request may run in `region`; `None` is an unknown one.
    pub fn allow(&self, region: Option<&RegionId>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Returns whether there is a region that they do not allow.
    pub fn is_restricted(&self) -> bool {
        matches!(self, Self::Only(_))
    }

    /// Returns the regions that both allow, possibly none.
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(one), Self::Only(other)) => Self::Only(one & other),
        }
    }
}
