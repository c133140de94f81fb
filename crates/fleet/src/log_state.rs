//! Hard state as the log of changes makes it, up to the entry that this daemon follows.

use std::collections::{BTreeMap, VecDeque};

use dotterellane_decisions::membership::{MemberChange, MemberLists};
use dotterellane_protocol::{LogBody, LogEntry, LogPosition};
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_units::ConfigVersion;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::ConfigurationSnapshot;
use crate::document_edits::{EditError, apply_edits};

/// Entries kept in memory to hand on to peers.
pub const ENTRIES_KEPT: usize = 256;

/// Why an entry cannot be followed.
#[derive(Debug)]
#[derive(Error)]
pub enum FollowError {
    /// It is not the next one.
    #[error("follow entry {found}: the next one is {expected}")]
    OutOfOrder {
        /// Position of the entry.
        found: LogPosition,
        /// Position that comes next.
        expected: LogPosition,
    },
    /// An edit is malformed.
    #[error("follow entry {position}: {cause}")]
    Edit {
        /// Position of the entry.
        position: LogPosition,
        /// What was wrong.
        cause: EditError,
    },
    /// The document does not fit what this daemon understands.
    #[error("follow entry {position}: {cause}")]
    Document {
        /// Position of the entry.
        position: LogPosition,
        /// What was wrong.
        cause: serde_json::Error,
    },
}

/// What a snapshot in the object store holds.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct LogSnapshot {
    /// Last entry that is in the snapshot.
    pub position: LogPosition,
    /// Member lists after it.
    pub lists: MemberLists,
    /// Version of the configuration after it.
    pub version: ConfigVersion,
    /// The document, by section.
    pub document: Value,
    /// Newest entry of each kind of other hard state.
    #[serde(default)]
    pub others: BTreeMap<String, OtherState>,
}

/// Newest entry of one kind of other hard state.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OtherState {
    /// Position of the entry.
    pub position: LogPosition,
    /// Its content.
    pub content: Vec<u8>,
}

impl Default for LogSnapshot {
    fn default() -> Self {
        Self {
            position: LogPosition(0),
            lists: MemberLists::default(),
            version: ConfigVersion(0),
            document: Value::Object(Map::new()),
            others: BTreeMap::new(),
        }
    }
}

impl LogSnapshot {
    /// Returns the configuration in the snapshot.
    ///
    /// # Errors
    /// Fails if the document does not fit what this daemon understands.
    pub fn configuration(&self) -> Result<ConfigurationSnapshot, serde_json::Error> {
        let document = ConfigurationDocument::deserialize(&self.document)?;
        Ok(ConfigurationSnapshot { version: self.version, document })
    }

    /// Follows the next entry; tells whether the configuration changed.
    ///
    /// # Errors
    /// Fails if the entry is not the next one or is not understood; nothing has changed then.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<bool, FollowError> {
        let (found, expected) = (entry.position, self.position.next());
        if found != expected {
            return Err(FollowError::OutOfOrder { found, expected });
        }
        let mut changed = false;
        match &entry.body {
            LogBody::Configuration { version, edits, .. } => {
                let mut document = self.document.clone();
                apply_edits(&mut document, edits)
                    .map_err(|cause| FollowError::Edit { position: found, cause })?;
                ConfigurationDocument::deserialize(&document)
                    .map_err(|cause| FollowError::Document { position: found, cause })?;
                self.document = document;
                self.version = *version;
                changed = true;
            }
            LogBody::Members { joined, removed, in_force } => {
                let in_force = *in_force;
                let change = MemberChange { position: found, joined, removed, in_force };
                self.lists = self.lists.changed(&change);
            }
            LogBody::Other { kind, content } => {
                let other = OtherState { position: found, content: content.clone() };
                self.others.insert(kind.clone(), other);
            }
        }
        self.position = found;
        Ok(changed)
    }
}

/// The state that is followed, with the newest entries.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    /// State after the newest entry.
    pub snapshot: LogSnapshot,
    entries: VecDeque<LogEntry>,
}

impl LogState {
    /// Starts from a snapshot.
    pub fn new(snapshot: LogSnapshot) -> Self {
        Self { snapshot, entries: VecDeque::new() }
    }

    /// Follows the next entry; tells whether the configuration changed.
    ///
    /// # Errors
    /// Fails if the entry is not the next one or is not understood; nothing has changed then.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<bool, FollowError> {
        let changed = self.snapshot.apply(entry)?;
        self.entries.push_back(entry.clone());
        if self.entries.len() > ENTRIES_KEPT {
            self.entries.pop_front();
        }
        Ok(changed)
    }

    /// Returns the entry at `position` if it is still kept.
    pub fn entry(&self, position: LogPosition) -> Option<&LogEntry> {
        let first = self.entries.front()?.position;
        let index = usize::try_from(position.0.checked_sub(first.0)?).ok()?;
        self.entries.get(index)
    }

    /// Returns the position of the entry that made `version`, or the newest position that is
    /// older than every kept entry if `version` is older still; `None` if it does not exist yet.
    pub fn position_of(&self, version: ConfigVersion) -> Option<LogPosition> {
        if version > self.snapshot.version {
            return None;
        }
        let makes = |entry: &&LogEntry| matches!(&entry.body, LogBody::Configuration { version: made, .. } if *made == version);
        let found = self.entries.iter().find(makes).map(|entry| entry.position);
        let oldest = || match self.entries.front() {
            Some(entry) => LogPosition(entry.position.0.saturating_sub(1)),
            None => self.snapshot.position,
        };
        Some(found.unwrap_or_else(oldest))
    }
}
