//! Storage of the log of changes: rows in the platform's table, snapshots in the object store.
//!
//! Every append also rewrites the row `log/head`, on condition that it has not changed, so the
//! entries have one total order.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_platform::{
    CommitOutcome, ObjectError, ObjectStore, PlatformTable, RowCondition, RowWrite, TableError,
    TableRow, TableTransaction,
};
use dotterellane_protocol::{LogEntry, LogPosition};
use dotterellane_units::{RequestId, RowVersion};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

use crate::log_state::{LogSnapshot, LogState};

/// Entries between two snapshots; a snapshot is written at each multiple of this position.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// Most entries that one read of the table returns.
pub const READ_BATCH: u64 = 64;

/// Time limit of one call to the table.
pub const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the row that names the newest entry.
const HEAD_KEY: &str = "log/head";

/// Content of the row `log/head`, which every append is conditional on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogHead {
    /// Position of the newest entry.
    pub newest: LogPosition,
    /// Newest position that the author of entry `newest` knew to be in force.
    pub in_force: LogPosition,
}

/// Result of reading the row `log/head`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeadReading {
    /// Version of the row, 0 before the first entry.
    pub version: RowVersion,
    /// Content of the row.
    pub head: LogHead,
    /// Position of the change that was looked up; `None` if it is not in the log.
    pub accepted: Option<LogPosition>,
}

/// Why the log could not be read or written.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum LogError {
    /// The call to the table failed.
    #[error("{0}")]
    Table(#[from] TableError),
    /// A row is missing or malformed.
    #[error("{step}: row {key} is missing or malformed")]
    Row {
        /// Operation that failed.
        step: &'static str,
        /// Key of the row.
        key: String,
    },
    /// The call to the object store failed.
    #[error("{0}")]
    Objects(#[from] ObjectError),
    /// A row cannot be encoded.
    #[error("{step}: {cause}")]
    Encoding {
        /// Operation that failed.
        step: &'static str,
        /// Error of the encoder.
        cause: postcard::Error,
    },
    /// An entry could not be applied or appended; the text says why.
    #[error("{0}")]
    Entry(String),
}

/// Reads and writes the log. Clones share the platform's clients.
#[derive(Clone, Debug)]
pub struct LogStore {
    table: PlatformTable,
    objects: ObjectStore,
}

impl LogStore {
    /// Builds the store from clients of the platform's services.
    pub fn new(table: PlatformTable, objects: ObjectStore) -> Self {
        Self { table, objects }
    }

    /// Returns the table that holds the log.
    pub fn table(&self) -> &PlatformTable {
        &self.table
    }

    /// Reads the head of the log and, if `change` is given, the position that it was accepted at.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn read_head(&self, change: Option<RequestId>) -> Result<HeadReading, LogError> {
        let mut keys = vec![HEAD_KEY.to_owned()];
        keys.extend(change.map(change_key));
        let rows = bounded("read head", self.table.read(keys)).await?;
        let mut reading = HeadReading::default();
        for row in rows {
            if row.key == HEAD_KEY {
                reading.version = row.version;
                reading.head = decode("read head", &row)?;
            } else {
                reading.accepted = Some(decode("read change", &row)?);
            }
        }
        Ok(reading)
    }

    /// Reads the entries from `first` through `last` in order, at most [`READ_BATCH`] of them.
    ///
    /// # Errors
    /// Fails if the table does not answer or an entry is missing.
    pub async fn read_entries(
        &self,
        first: LogPosition,
        last: LogPosition,
    ) -> Result<Vec<LogEntry>, LogError> {
        let last = last.0.min(first.0.saturating_add(READ_BATCH - 1));
        let keys: Vec<String> = (first.0..=last).map(|at| entry_key(LogPosition(at))).collect();
        let rows = bounded("read entries", self.table.read(keys.clone())).await?;
        let mut entries: Vec<LogEntry> =
            rows.iter().map(|row| decode("read entries", row)).collect::<Result<_, _>>()?;
        entries.sort_by_key(|entry| entry.position);
        if entries.len() != keys.len() {
            return Err(LogError::Row { step: "read entries", key: entry_key(first) });
        }
        Ok(entries)
    }

    /// Appends `entry` if the head is still the one in `reading` and the change is not in the log
    /// yet; the conditions and writes of `extra` are part of the same transaction.
    ///
    /// Returns whether the entry was committed.
    ///
    /// # Errors
    /// Fails if the table does not answer; the entry may have been committed.
    pub async fn commit(
        &self,
        reading: &HeadReading,
        entry: &LogEntry,
        in_force: LogPosition,
        extra: TableTransaction,
    ) -> Result<bool, LogError> {
        let change = change_key(entry.change);
        let mut transaction = TableTransaction {
            conditions: vec![
                RowCondition { key: HEAD_KEY.to_owned(), version: reading.version },
                RowCondition { key: change.clone(), version: RowVersion::ABSENT },
            ],
            writes: vec![
                encode(HEAD_KEY.to_owned(), &LogHead { newest: entry.position, in_force })?,
                encode(entry_key(entry.position), entry)?,
                encode(change, &entry.position)?,
            ],
        };
        transaction.conditions.extend(extra.conditions);
        transaction.writes.extend(extra.writes);
        let outcome = bounded("commit entry", self.table.commit(transaction)).await?;
        Ok(matches!(outcome, CommitOutcome::Committed(_)))
    }

    /// Builds the state at `position` from the newest usable snapshot up to it and the entries that
    /// follow the snapshot.
    ///
    /// # Errors
    /// Fails if the platform does not answer or an entry cannot be applied.
    pub async fn load(&self, position: LogPosition) -> Result<LogState, LogError> {
        let mut state = LogState::new(self.find_snapshot(position).await?);
        while state.snapshot.position < position {
            for entry in self.read_entries(state.snapshot.position.next(), position).await? {
                state.apply(&entry).map_err(|error| LogError::Entry(error.to_string()))?;
            }
        }
        Ok(state)
    }

    /// Writes a snapshot; idempotent. A failure is logged only, since readers can start from an
    /// older snapshot.
    pub async fn put_snapshot(&self, snapshot: &LogSnapshot) {
        let Ok(content) = serde_json::to_vec(snapshot) else { return };
        let key = snapshot_key(snapshot.position);
        if let Err(error) = self.objects.put(key, Bytes::from(content)).await {
            spdlog::warn!("{error}");
        }
    }

    async fn find_snapshot(&self, position: LogPosition) -> Result<LogSnapshot, LogError> {
        let mut at = position.0 - position.0 % SNAPSHOT_INTERVAL;
        while at > 0 {
            let found = self.objects.get(snapshot_key(LogPosition(at))).await?;
            let snapshot = found.and_then(|content| serde_json::from_slice(&content).ok());
            if let Some(snapshot) = snapshot {
                return Ok(snapshot);
            }
            at -= SNAPSHOT_INTERVAL;
        }
        Ok(LogSnapshot::default())
    }
}

/// Returns the write of a row with `value` encoded as `postcard`.
///
/// # Errors
/// Fails if the value cannot be encoded.
pub(crate) fn encode<T>(key: String, value: &T) -> Result<RowWrite, LogError>
where
    T: Serialize,
{
    let encoded = postcard::to_stdvec(value);
    let encoded = encoded.map_err(|cause| LogError::Encoding { step: "encode row", cause })?;
    Ok(RowWrite { key, value: Some(encoded) })
}

/// Applies the time limit [`TABLE_TIMEOUT`] to a call of the table.
///
/// # Errors
/// Fails with [`TableError::AnswerLost`] after [`TABLE_TIMEOUT`].
pub(crate) async fn bounded<F, T>(step: &'static str, call: F) -> Result<T, LogError>
where
    F: Future<Output = Result<T, TableError>>,
{
    let timed_out = |_| TableError::AnswerLost {
        step,
        peer: "table".to_owned(),
        cause: format!("no answer within {} s", TABLE_TIMEOUT.as_secs()),
    };
    Ok(timeout(TABLE_TIMEOUT, call).await.map_err(timed_out)??)
}

/// Decodes the content of a row from `postcard`.
///
/// # Errors
/// Fails if the row is malformed.
pub(crate) fn decode<T>(step: &'static str, row: &TableRow) -> Result<T, LogError>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(&row.value).map_err(|_| LogError::Row { step, key: row.key.clone() })
}

fn entry_key(position: LogPosition) -> String {
    format!("log/entries/{:020}", position.0)
}

fn change_key(change: RequestId) -> String {
    format!("log/changes/{change}")
}

fn snapshot_key(position: LogPosition) -> String {
    format!("log/snapshots/{:020}", position.0)
}
