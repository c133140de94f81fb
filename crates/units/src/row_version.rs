//! Versions of rows in the platform's store.

use std::fmt;

use serde::de::Deserializer;
use serde::ser::Serializer;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeAs, SerializeAs};

use crate::StoreEra;

/// Version of a row, or of the whole store. The store's counter goes back when the store comes back
/// from an older copy, and numbers are given out again; they are only comparable within an era.
/// Versions of a later era are higher.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RowVersion {
    /// Era in which the store gave out the number.
    pub era: StoreEra,
    /// The store's counter; 0 if the row does not exist.
    pub number: u64,
}

impl RowVersion {
    /// Version of a row that does not exist.
    pub const ABSENT: Self = Self::new(0);

    /// Returns a version of a store without eras.
    pub const fn new(number: u64) -> Self {
        Self { era: StoreEra(0), number }
    }
}

impl fmt::Display for RowVersion {
    /// Formats the number, after the era and a slash if the store has eras.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            StoreEra(0) => self.number.fmt(f),
            era => write!(f, "{era}/{}", self.number),
        }
    }
}

/// Adapter for `serde_with`: the number alone, for stores without eras.
#[derive(Clone, Copy, Debug)]
pub struct RowNumber;

impl SerializeAs<RowVersion> for RowNumber {
    fn serialize_as<S>(version: &RowVersion, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        version.number.serialize(serializer)
    }
}

impl<'de> DeserializeAs<'de, RowVersion> for RowNumber {
    fn deserialize_as<D>(deserializer: D) -> Result<RowVersion, D::Error>
    where
        D: Deserializer<'de>,
    {
        u64::deserialize(deserializer).map(RowVersion::new)
    }
}
