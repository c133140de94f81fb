//! The transactional table service.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use dotterellane_units::RowVersion;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use thiserror::Error;

/// One row. Keys are paths such as `members/host-3`; a version grows with each write of its row.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row, at least 1.
    pub version: RowVersion,
    /// Content, `postcard` or JSON as its owner chooses.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// What a transaction requires of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must be absent.
    pub version: RowVersion,
}

/// A write of one row.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New content, or `None` to delete the row.
    #[serde_as(as = "Option<Base64>")]
    pub value: Option<Vec<u8>>,
}

/// Writes that take effect together if every condition holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableTransaction {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What is written.
    pub writes: Vec<RowWrite>,
}

/// How a transaction ended.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum CommitOutcome {
    /// It took effect; the versions of the written rows, in order, 0 for a deleted one.
    Committed(Vec<RowVersion>),
    /// A condition did not hold; the rows of the conditions as they are, absent ones left out.
    Conflict(Vec<TableRow>),
}

/// Why the table did not answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum TableError {
    /// The table refused or could not be reached: nothing took effect.
    #[error("{step}: table at {peer} is unavailable: {cause}")]
    Unavailable {
        /// What was asked.
        step: &'static str,
        /// Address of the table.
        peer: String,
        /// What was seen.
        cause: String,
    },
    /// No answer came: a transaction may or may not have taken effect.
    #[error("{step}: answer of table at {peer} is lost: {cause}")]
    AnswerLost {
        /// What was asked.
        step: &'static str,
        /// Address of the table.
        peer: String,
        /// What was seen.
        cause: String,
    },
}

type ReadCall =
    dyn Fn(Vec<String>) -> BoxFuture<'static, Result<Vec<TableRow>, TableError>> + Send + Sync;
type ScanCall =
    dyn Fn(String) -> BoxFuture<'static, Result<Vec<TableRow>, TableError>> + Send + Sync;
type CommitCall =
    dyn Fn(TableTransaction) -> BoxFuture<'static, Result<CommitOutcome, TableError>> + Send + Sync;

/// The table as the rest of dotterellane sees it.
#[derive(Clone)]
pub struct PlatformTable {
    read: Arc<ReadCall>,
    scan: Arc<ScanCall>,
    commit: Arc<CommitCall>,
}

impl PlatformTable {
    /// Builds a table from its three calls.
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

    /// Reads the rows with the given keys at one moment; absent ones are left out.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<TableRow>, TableError> {
        (self.read)(keys).await
    }

    /// Reads all rows whose key starts with `prefix` at one moment, in key order.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn scan<P>(&self, prefix: P) -> Result<Vec<TableRow>, TableError>
    where
        P: Into<String>,
    {
        (self.scan)(prefix.into()).await
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// Fails if the table does not answer; with [`TableError::AnswerLost`] it may have committed.
    pub async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, TableError> {
        (self.commit)(transaction).await
    }
}

impl fmt::Debug for PlatformTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformTable")
    }
}
