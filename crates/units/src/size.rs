//! Sizes in bytes and in tokens.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::UnitError;

const SUFFIXES: [(&str, u64); 4] =
    [("TiB", 1 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

/// Size in bytes; written `16GiB`, `512MiB` or `100B`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(DeserializeFromStr, JsonSchema, SerializeDisplay)]
pub struct ByteSize(#[schemars(with = "String")] pub u64);

impl ByteSize {
    /// Returns a size of `count` gibibytes.
    pub const fn gibibytes(count: u64) -> Self {
        Self(count << 30)
    }

    /// Returns a size of `count` mebibytes.
    pub const fn mebibytes(count: u64) -> Self {
        Self(count << 20)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |unit: u64| self.0 != 0 && self.0.is_multiple_of(unit);
        match SUFFIXES.iter().find(|(_, unit)| fits(*unit)) {
            Some((suffix, unit)) => write!(f, "{}{suffix}", self.0 / unit),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let malformed = || UnitError::Malformed {
            kind: "size",
            text: text.to_owned(),
            example: "16GiB, 512MiB or 100B",
        };
        let trimmed = text.trim();
        let scaled =
            SUFFIXES.iter().find_map(|(suffix, unit)| Some((trimmed.strip_suffix(suffix)?, *unit)));
        let (number, unit) = match scaled {
            Some(parts) => parts,
            None => (trimmed.strip_suffix('B').ok_or_else(malformed)?, 1),
        };
        let number: u64 = number.trim().parse().map_err(|_| malformed())?;
        number.checked_mul(unit).map(Self).ok_or_else(malformed)
    }
}

/// Number of tokens.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(transparent)]
pub struct TokenCount(pub u64);

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TokenCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse().map(Self).map_err(|_| UnitError::Malformed {
            kind: "token count",
            text: text.to_owned(),
            example: "4096",
        })
    }
}

macro_rules! saturating_arithmetic {
    ($($name:ident)*) => {$(
        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl Sum for $name {
            fn sum<I>(parts: I) -> Self
            where
                I: Iterator<Item = Self>,
            {
                parts.fold(Self::default(), Add::add)
            }
        }
    )*};
}

saturating_arithmetic! { ByteSize TokenCount }
