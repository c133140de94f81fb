//! Replicated state: configuration and member lists, built by applying the log of changes in order.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use dotterellane_decisions::membership::{MemberChange, MemberLists};
use dotterellane_protocol::{LogBody, LogEntry, LogPosition};
use dotterellane_units::ConfigVersion;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ConfigurationSnapshot;
use crate::document_edits::{EditError, apply_edit};

/// Newest entries kept in memory to be sent to peers.
pub const MAX_KEPT_ENTRIES: usize = 256;

/// Why an entry cannot be applied.
#[derive(Debug)]
#[derive(Error)]
pub enum ApplyError {
    /// The entry is not the next one in the log.
    #[error("apply log entry {found}: the next entry is {expected}")]
    OutOfOrder {
        /// Position of the entry.
        found: LogPosition,
        /// Position that can be applied next.
        expected: LogPosition,
    },
    /// An edit of the configuration does not fit the document.
    #[error("apply log entry {position}: {cause}")]
    Edit {
        /// Position of the entry.
        position: LogPosition,
        /// Why the edit was rejected.
        cause: EditError,
    },
}

/// Replicated state after a log entry; also the content of a snapshot in the object store.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct LogSnapshot {
    /// Last entry that has been applied.
    pub position: LogPosition,
    /// Member lists after that entry.
    pub lists: MemberLists,
    /// Configuration after that entry, shared with the parts of the daemon that use it.
    pub configuration: Arc<ConfigurationSnapshot>,
    /// Newest entry of each other kind, by the name of the kind.
    #[serde(default)]
    pub others: BTreeMap<String, OtherState>,
}

/// Newest entry of a kind that the log itself does not interpret.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OtherState {
    /// Position of the entry.
    pub position: LogPosition,
    /// Content in the encoding of the module that owns the kind.
    pub content: Vec<u8>,
}

impl Default for LogSnapshot {
    fn default() -> Self {
        Self {
            position: LogPosition(0),
            lists: MemberLists::default(),
            configuration: Arc::default(),
            others: BTreeMap::new(),
        }
    }
}

impl LogSnapshot {
    /// Applies the next entry; returns whether it changed the configuration.
    ///
    /// # Errors
    /// Fails if the entry is not the next one or an edit is malformed; the state is then unchanged.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<bool, ApplyError> {
        let (found, expected) = (entry.position, self.position.next());
        if found != expected {
            return Err(ApplyError::OutOfOrder { found, expected });
        }
        let mut changed = false;
        match &entry.body {
            LogBody::Configuration { version, edits, .. } => {
                let mut document = self.configuration.document.clone();
                for edit in edits {
                    apply_edit(&mut document, edit)
                        .map_err(|cause| ApplyError::Edit { position: found, cause })?;
                }
                self.configuration =
                    Arc::new(ConfigurationSnapshot { version: *version, document });
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

/// Replicated state of this daemon, with the newest entries kept to be sent to peers.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    /// State after the newest entry.
    pub snapshot: LogSnapshot,
    entries: VecDeque<LogEntry>,
}

impl LogState {
    /// Starts from a snapshot, with no entries kept.
    pub fn new(snapshot: LogSnapshot) -> Self {
        Self { snapshot, entries: VecDeque::new() }
    }

    /// Applies the next entry and keeps it; returns whether it changed the configuration.
    ///
    /// # Errors
    /// Fails if the entry is not the next one or an edit is malformed; the state is then unchanged.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<bool, ApplyError> {
        let changed = self.snapshot.apply(entry)?;
        self.entries.push_back(entry.clone());
        if self.entries.len() > MAX_KEPT_ENTRIES {
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

    /// Returns the position of the entry that created configuration `version`.
    ///
    /// If that entry is not kept any more, returns an upper bound: the position just before the
    /// oldest kept entry, or the current position if none is kept. Returns `None` if the version
    /// does not exist yet.
    pub fn position_of(&self, version: ConfigVersion) -> Option<LogPosition> {
        if version > self.snapshot.configuration.version {
            return None;
        }
        let created_version = |entry: &&LogEntry| matches!(&entry.body, LogBody::Configuration { version: created, .. } if *created == version);
        let found = self.entries.iter().find(created_version).map(|entry| entry.position);
        let before_kept = || match self.entries.front() {
            Some(entry) => LogPosition(entry.position.0.saturating_sub(1)),
            None => self.snapshot.position,
        };
        Some(found.unwrap_or_else(before_kept))
    }
}
