//! The configuration that this daemon follows.

use std::sync::Arc;

use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_units::ConfigVersion;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// One accepted version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigurationSnapshot {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document.
    pub document: ConfigurationDocument,
}

/// Gives the newest configuration to parts of the daemon and wakes them when it changes.
#[derive(Clone, Debug)]
pub struct ConfigurationFeed(watch::Sender<Arc<ConfigurationSnapshot>>);

impl ConfigurationFeed {
    /// Starts with `snapshot`.
    pub fn new(snapshot: ConfigurationSnapshot) -> Self {
        Self(watch::Sender::new(Arc::new(snapshot)))
    }

    /// Returns the newest configuration.
    pub fn current(&self) -> Arc<ConfigurationSnapshot> {
        self.0.borrow().clone()
    }

    /// Returns a receiver that is woken at each change.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigurationSnapshot>> {
        self.0.subscribe()
    }

    /// Follows `snapshot` if it is newer than the current one; tells whether it was.
    pub fn follow<S>(&self, snapshot: S) -> bool
    where
        S: Into<Arc<ConfigurationSnapshot>>,
    {
        let snapshot = snapshot.into();
        self.0.send_if_modified(|current| {
            let newer = snapshot.version > current.version;
            if newer {
                *current = snapshot;
            }
            newer
        })
    }
}
