//! What is known of the newest version of the configuration's row in the store.
//!
//! Three cases differ: the newest version is in use, a newer one exists that cannot be used, and
//! nothing recent is known. An answer without changes confirms the configuration in use only in the
//! first case.

use std::fmt;

use dotterellane_units::RowVersion;

/// Why the newest version of the configuration cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowFault {
    /// Its content cannot be read; holds the cause.
    Unreadable(String),
    /// The store has no such row, or no longer.
    Missing,
    /// Its revision, which this holds, is lower than that of a configuration used before.
    Older(u64),
}

impl fmt::Display for RowFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(cause) => write!(f, "it cannot be read: {cause}"),
            Self::Missing => write!(f, "the store has no such row"),
            Self::Older(revision) => {
                write!(f, "its revision {revision} is lower than one used before")
            }
        }
    }
}

/// Newest known version of the configuration's row, whether or not it can be used.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigurationRow {
    /// Version of the row; the last known one if the row is missing.
    pub version: RowVersion,
    /// Why this version is not in use; `None` if it is.
    pub fault: Option<RowFault>,
}

impl ConfigurationRow {
    /// Records the version that an answer showed. Returns whether a fault of it was not known
    /// before.
    pub fn note(&mut self, version: RowVersion, fault: Option<RowFault>) -> bool {
        let next = Self { version, fault };
        let is_news = next.fault.is_some() && *self != next;
        *self = next;
        is_news
    }

    /// Returns whether an answer of the store at `answered` that shows no later change of the row
    /// confirms `in_use` as the newest version. In a new era the row has to be seen again, and an
    /// answer from before this version shows nothing.
    pub fn confirms(&self, in_use: RowVersion, answered: RowVersion) -> bool {
        self.fault.is_none()
            && self.version == in_use
            && self.version.era == answered.era
            && self.version <= answered
    }
}
