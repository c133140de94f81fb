//! Change feed of one table: a snapshot of all rows, then the changes since a version.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use dotterellane_units::{RowVersion, StoreInstant};
use futures::future::BoxFuture;
use thiserror::Error;

use crate::TableError;

/// The state of one row in a snapshot, or one change of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedRow {
    /// Key of the row within its table.
    pub key: String,
    /// Store version at which the row was last written or removed.
    pub version: RowVersion,
    /// Content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Answer of a feed: rows of one table as of one version of the whole store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FeedBatch {
    /// All rows for a snapshot, the changed ones for an update, in the order of the store's answer.
    pub rows: Vec<FeedRow>,
    /// Store version that the rows are complete up to; the next update asks for changes after it.
    pub version: RowVersion,
    /// Reading of the store's monotonic clock when it answered.
    pub answered_at: StoreInstant,
}

/// Why a feed could not return changes.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum FeedError {
    /// The store no longer keeps the changes after that version; the follower has to take a new
    /// snapshot.
    #[error("the table no longer keeps its changes after version {after}")]
    HistoryLost {
        /// Version that changes were requested after.
        after: RowVersion,
    },
    /// The table answered with a state older than one that it has already shown. A feed that starts
    /// at an old version may do so for as long as its replica is behind.
    #[error("the table answered with version {version}, older than {known}")]
    Outdated {
        /// Version of the answer.
        version: RowVersion,
        /// Newest version that was known before the call.
        known: RowVersion,
    },
    /// The table did not answer, or a snapshot was older than a state it has already shown.
    #[error(transparent)]
    Table(#[from] TableError),
}

type SnapshotCall = dyn Fn() -> BoxFuture<'static, Result<FeedBatch, TableError>> + Send + Sync;
type ChangesCall =
    dyn Fn(RowVersion) -> BoxFuture<'static, Result<FeedBatch, FeedError>> + Send + Sync;

/// Read access to one table for a follower that keeps a copy of it. Clones share the calls.
#[derive(Clone)]
pub struct RowFeed {
    snapshot: Arc<SnapshotCall>,
    changes: Arc<ChangesCall>,
}

impl RowFeed {
    /// Builds a feed from a call that reads all rows and one that reads the changes after a
    /// version.
    pub fn new<S, SF, C, CF>(snapshot: S, changes: C) -> Self
    where
        S: Fn() -> SF + Send + Sync + 'static,
        SF: Future<Output = Result<FeedBatch, TableError>> + Send + 'static,
        C: Fn(RowVersion) -> CF + Send + Sync + 'static,
        CF: Future<Output = Result<FeedBatch, FeedError>> + Send + 'static,
    {
        Self {
            snapshot: Arc::new(move || Box::pin(snapshot())),
            changes: Arc::new(move |after| Box::pin(changes(after))),
        }
    }

    /// Reads all rows, consistent as of one version.
    ///
    /// # Errors
    /// Fails if the table does not answer, or answers with a state older than one already shown.
    pub async fn snapshot(&self) -> Result<FeedBatch, TableError> {
        (self.snapshot)().await
    }

    /// Returns the rows that changed after version `after`; none if nothing changed.
    ///
    /// # Errors
    /// Fails if the table does not answer, or with [`FeedError::HistoryLost`] if it no longer keeps
    /// changes that old.
    pub async fn changes(&self, after: RowVersion) -> Result<FeedBatch, FeedError> {
        (self.changes)(after).await
    }
}

impl fmt::Debug for RowFeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RowFeed")
    }
}
