//! Whether a host may handle requests that need no key by the configuration that it has.
//!
//! Requests with a key need a configuration that was confirmed recently, as their key may have been
//! withdrawn. Those without one are also served while no host can read a newer configuration.

use std::time::Duration;

/// What a host knows of how current its configuration is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigurationEvidence {
    /// Time since the configuration in use was confirmed as the newest; `None` if it never was.
    pub confirmed: Option<Duration>,
    /// Time since the store, or the leader, last showed which configuration is the newest, whether
    /// or not that can be used; `None` if they never did.
    pub shown: Option<Duration>,
    /// Whether a newer configuration than the one in use exists, as the store or another host told.
    pub knows_newer: bool,
    /// Whether the last attempt to read the configuration from the store failed.
    pub store_fails: bool,
}

impl ConfigurationEvidence {
    /// Returns whether a request that needs no key may be handled by the configuration in use, where
    /// changes must take effect within `bound`.
    pub fn allows_open(&self, bound: Duration) -> bool {
        let is_recent = |age: Option<Duration>| age.is_some_and(|age| age < bound);
        if self.knows_newer {
            is_recent(self.confirmed)
        } else {
            self.store_fails || is_recent(self.shown)
        }
    }
}
