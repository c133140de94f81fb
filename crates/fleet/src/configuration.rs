//! The newest configuration that this daemon has applied, published to all parts of it.

use std::sync::Arc;

use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_units::ConfigVersion;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// One accepted version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigurationSnapshot {
    /// Version of the document; 0 before the first accepted change.
    pub version: ConfigVersion,
    /// Content of this version.
    pub document: ConfigurationDocument,
}

/// Watch channel for the newest configuration. Clones share the channel.
#[derive(Clone, Debug)]
pub struct ConfigurationFeed(watch::Sender<Arc<ConfigurationSnapshot>>);

impl ConfigurationFeed {
    /// Creates the feed with `snapshot` as its first value.
    pub fn new(snapshot: ConfigurationSnapshot) -> Self {
        Self(watch::Sender::new(Arc::new(snapshot)))
    }

    /// Returns the newest configuration.
    pub fn current(&self) -> Arc<ConfigurationSnapshot> {
        self.0.borrow().clone()
    }

    /// Returns a receiver that is notified of each new configuration.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigurationSnapshot>> {
        self.0.subscribe()
    }

    /// Publishes `snapshot` if its version is newer than the current one; returns whether it was.
    pub fn publish_if_newer<S>(&self, snapshot: S) -> bool
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
