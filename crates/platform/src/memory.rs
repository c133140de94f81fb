//! An in-memory platform with fault injection, for tests and for the stand-in servers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use dotterellane_units::RowVersion;

use crate::{
    CommitOutcome, HostList, ListedHost, ObjectError, ObjectStore, PlatformTable, RowCondition,
    TableError, TableRow, TableTransaction,
};

const PEER: &str = "memory";

/// Fault injected into every call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformFault {
    /// Every call works.
    #[default]
    None,
    /// Every call fails and has no effect.
    Down,
    /// Commits take effect, but their answers are lost.
    CommitAnswersLost,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, TableRow>,
    last_version: u64,
    objects: BTreeMap<String, Bytes>,
    hosts: Vec<ListedHost>,
    fault: PlatformFault,
    reads: u64,
    commits: u64,
}

/// A table, an object store and a host list in memory. Clones share the same state.
#[derive(Clone, Default)]
pub struct MemoryPlatform(Arc<Mutex<PlatformState>>);

impl MemoryPlatform {
    /// Returns a client of the table.
    pub fn table(&self) -> PlatformTable {
        let (reader, scanner, committer) = (self.clone(), self.clone(), self.clone());
        PlatformTable::new(
            move |keys| std::future::ready(reader.read_rows(&keys)),
            move |prefix| std::future::ready(scanner.scan_rows(&prefix)),
            move |transaction| std::future::ready(committer.commit(&transaction)),
        )
    }

    /// Returns a client of the object store.
    pub fn objects(&self) -> ObjectStore {
        let (getter, putter) = (self.clone(), self.clone());
        ObjectStore::new(
            move |key| std::future::ready(getter.get_object(key)),
            move |key, content| std::future::ready(putter.put_object(key, content)),
        )
    }

    /// Returns a client of the host list.
    pub fn host_list(&self) -> HostList {
        let platform = self.clone();
        HostList::new(move || {
            let state = platform.state();
            let listed = check_available("list hosts", state.fault).map(|()| state.hosts.clone());
            std::future::ready(listed)
        })
    }

    /// Replaces the injected fault for all later calls.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.state().fault = fault;
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.state().hosts = hosts;
    }

    /// Returns how many reads (scans included) and commits the table has executed so far, in this
    /// order; calls refused by [`PlatformFault::Down`] do not count.
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.reads, state.commits)
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_rows(&self, keys: &[String]) -> Result<Vec<TableRow>, TableError> {
        let mut state = self.state();
        check_available("read rows", state.fault)?;
        state.reads += 1;
        Ok(keys.iter().filter_map(|key| state.rows.get(key)).cloned().collect())
    }

    fn scan_rows(&self, prefix: &str) -> Result<Vec<TableRow>, TableError> {
        let mut state = self.state();
        check_available("scan rows", state.fault)?;
        state.reads += 1;
        let from = state.rows.range(prefix.to_owned()..);
        Ok(from
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect())
    }

    fn commit(&self, transaction: &TableTransaction) -> Result<CommitOutcome, TableError> {
        let mut state = self.state();
        check_available("commit", state.fault)?;
        state.commits += 1;
        let outcome = state.apply(transaction);
        match state.fault {
            PlatformFault::CommitAnswersLost => Err(TableError::AnswerLost {
                step: "commit",
                peer: PEER.to_owned(),
                cause: "injected fault".to_owned(),
            }),
            PlatformFault::None | PlatformFault::Down => Ok(outcome),
        }
    }

    fn get_object(&self, key: String) -> Result<Option<Bytes>, ObjectError> {
        let state = self.state();
        match check_available("get", state.fault) {
            Ok(()) => Ok(state.objects.get(&key).cloned()),
            Err(error) => Err(object_error("get", key, &error)),
        }
    }

    fn put_object(&self, key: String, content: Bytes) -> Result<(), ObjectError> {
        let mut state = self.state();
        match check_available("put", state.fault) {
            Ok(()) => {
                state.objects.insert(key, content);
                Ok(())
            }
            Err(error) => Err(object_error("put", key, &error)),
        }
    }
}

impl PlatformState {
    fn apply(&mut self, transaction: &TableTransaction) -> CommitOutcome {
        if !transaction.conditions.iter().all(|condition| self.holds(condition)) {
            let keys = transaction.conditions.iter().map(|condition| &condition.key);
            return CommitOutcome::Conflict(
                keys.filter_map(|key| self.rows.get(key)).cloned().collect(),
            );
        }
        let mut versions = Vec::with_capacity(transaction.writes.len());
        for write in &transaction.writes {
            let Some(value) = write.value.clone() else {
                self.rows.remove(&write.key);
                versions.push(RowVersion::ABSENT);
                continue;
            };
            // One counter for all rows, so a row that is deleted and written again never gets a
            // version it already had.
            self.last_version += 1;
            let version = RowVersion::new(self.last_version);
            versions.push(version);
            let row = TableRow { key: write.key.clone(), version, value };
            self.rows.insert(write.key.clone(), row);
        }
        CommitOutcome::Committed(versions)
    }

    fn holds(&self, condition: &RowCondition) -> bool {
        let found = self.rows.get(&condition.key).map_or(RowVersion::ABSENT, |row| row.version);
        found == condition.version
    }
}

fn check_available(step: &'static str, fault: PlatformFault) -> Result<(), TableError> {
    if fault == PlatformFault::Down {
        let (peer, cause) = (PEER.to_owned(), "injected fault".to_owned());
        return Err(TableError::Unavailable { step, peer, cause });
    }
    Ok(())
}

fn object_error(step: &'static str, key: String, error: &TableError) -> ObjectError {
    ObjectError { step, key, peer: PEER.to_owned(), cause: error.to_string() }
}
