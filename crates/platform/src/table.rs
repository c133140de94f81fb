//! Client interface of the platform's transactional table: rows of key, version and value.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use dotterellane_units::{RowNumber, RowVersion};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use thiserror::Error;

/// A row as it was read. Keys are paths such as `members/host-3`.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row, at least 1; it grows with each write of the row.
    #[serde_as(as = "RowNumber")]
    pub version: RowVersion,
    /// Content; the module that owns the key chooses the encoding, `postcard` or JSON.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// A precondition of a transaction on one row.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if the row must not exist.
    #[serde_as(as = "RowNumber")]
    pub version: RowVersion,
}

/// A write or deletion of one row.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New content; `None` deletes the row.
    #[serde_as(as = "Option<Base64>")]
    pub value: Option<Vec<u8>>,
}

/// Writes that are applied atomically if every condition holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableTransaction {
    /// Preconditions, all checked as of the same moment; may be empty.
    pub conditions: Vec<RowCondition>,
    /// Writes, applied together or not at all.
    pub writes: Vec<RowWrite>,
}

/// Result of a transaction that the table answered.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum CommitOutcome {
    /// The writes were applied; new versions in the order of the writes, 0 for a deleted row.
    Committed(#[serde_as(as = "Vec<RowNumber>")] Vec<RowVersion>),
    /// A condition did not hold and nothing was written; the current rows of the conditions,
    /// without those that do not exist.
    Conflict(Vec<TableRow>),
}

/// A failed call of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum TableError {
    /// The table refused the call or could not be reached: the call had no effect.
    #[error("{step}: table at {peer} is unavailable: {cause}")]
    Unavailable {
        /// Operation that failed, such as `read rows`.
        step: &'static str,
        /// Address of the table.
        peer: String,
        /// Underlying error, as text.
        cause: String,
    },
    /// No usable answer came back: a transaction may or may not have been committed.
    #[error("{step}: no usable answer from table at {peer}, outcome unknown: {cause}")]
    AnswerLost {
        /// Operation that failed, such as `read rows`.
        step: &'static str,
        /// Address of the table.
        peer: String,
        /// Underlying error, as text.
        cause: String,
    },
}

type ReadCall =
    dyn Fn(Vec<String>) -> BoxFuture<'static, Result<Vec<TableRow>, TableError>> + Send + Sync;
type ScanCall =
    dyn Fn(String) -> BoxFuture<'static, Result<Vec<TableRow>, TableError>> + Send + Sync;
type CommitCall =
    dyn Fn(TableTransaction) -> BoxFuture<'static, Result<CommitOutcome, TableError>> + Send + Sync;

/// Client of the table, independent of its wire format. Clones share the calls.
#[derive(Clone)]
pub struct PlatformTable {
    read: Arc<ReadCall>,
    scan: Arc<ScanCall>,
    commit: Arc<CommitCall>,
}

impl PlatformTable {
    /// Builds a table from its `read`, `scan` and `commit` calls.
    pub fn new<R, RF, S, SF, C, CF>(read: R, scan: S, commit: C) -> Self
    where
        R: Fn(Vec<String>) -> RF + Send + Sync + 'static,
        RF: Future<Output = Result<Vec<TableRow>, TableError>> + Send + 'static,
        S: Fn(String) -> SF + Send + Sync + 'static,
        SF: Future<Output = Result<Vec<TableRow>, TableError>> + Send + 'static,
        C: Fn(TableTransaction) -> CF + Send + Sync + 'static,
        CF: Future<Output = Result<CommitOutcome, TableError>> + Send + 'static,
    {
        Self {
            read: Arc::new(move |keys| Box::pin(read(keys))),
            scan: Arc::new(move |prefix| Box::pin(scan(prefix))),
            commit: Arc::new(move |transaction| Box::pin(commit(transaction))),
        }
    }

    /// Reads the rows with the given keys in one consistent read; keys without a row are left out.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<TableRow>, TableError> {
        (self.read)(keys).await
    }

    /// Reads all rows whose key starts with `prefix` in one consistent read, in key order.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn scan<P>(&self, prefix: P) -> Result<Vec<TableRow>, TableError>
    where
        P: Into<String>,
    {
        (self.scan)(prefix.into()).await
    }

    /// Applies the writes of a transaction if all its conditions hold.
    ///
    /// # Errors
    /// Fails if the table does not answer; after [`TableError::AnswerLost`] the transaction may
    /// have been committed.
    pub async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, TableError> {
        (self.commit)(transaction).await
    }
}

impl fmt::Debug for PlatformTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformTable")
    }
}
