//! Following the rows of one table as they change.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use dotterellane_units::{RowVersion, StoreInstant};
use futures::future::BoxFuture;
use thiserror::Error;

use crate::TableError;

/// A row as a feed shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedRow {
    /// Key of the row within its table.
    pub key: String,
    /// Version at which it was written or removed.
    pub version: RowVersion,
    /// Content, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows of one table as of one version of the whole store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FeedBatch {
    /// All rows, or those that changed, in order.
    pub rows: Vec<FeedRow>,
    /// Version up to which the rows are told.
    pub version: RowVersion,
    /// What the store's steady clock showed when it answered.
    pub answered_at: StoreInstant,
}

/// Why a feed did not go on.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum FeedError {
    /// Changes since the version asked for are no longer kept; all rows must be read anew.
    #[error("the table's history no longer reaches back to version {after}")]
    HistoryLost {
        /// Version that was asked for.
        after: RowVersion,
    },
    /// The table did not answer, or with something older than it said before.
    #[error(transparent)]
    Table(#[from] TableError),
}

type SnapshotCall = dyn Fn() -> BoxFuture<'static, Result<FeedBatch, TableError>> + Send + Sync;
type ChangesCall =
    dyn Fn(RowVersion) -> BoxFuture<'static, Result<FeedBatch, FeedError>> + Send + Sync;

/// One table as a follower sees it.
#[derive(Clone)]
pub struct RowFeed {
    snapshot: Arc<SnapshotCall>,
    changes: Arc<ChangesCall>,
}

impl RowFeed {
    /// Builds a feed from its two calls.
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

    /// Reads all rows as of one moment.
    ///
    /// # Errors
    /// Fails if the table does not answer, or answers with an older state than before.
    pub async fn snapshot(&self) -> Result<FeedBatch, TableError> {
        (self.snapshot)().await
    }

    /// Returns what changed after a version, possibly nothing.
    ///
    /// # Errors
    /// Fails if the table does not answer or its history does not reach back that far.
    pub async fn changes(&self, after: RowVersion) -> Result<FeedBatch, FeedError> {
        (self.changes)(after).await
    }
}

impl fmt::Debug for RowFeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RowFeed")
    }
}
