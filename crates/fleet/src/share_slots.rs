//! The slot map as hard state of the log: its changes come into force like any other.
//!
//! The shares see the number of the map's change as the version of its row. An entry of the log
//! announces each change, so a daemon that follows the log knows when its map is old.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use dotterellane_decisions::shares::SlotMap;
use dotterellane_platform::{
    CommitOutcome, PlatformTable, RowCondition, TableError, TableRow, TableTransaction,
};
use dotterellane_protocol::LogBody;
use dotterellane_units::{RequestId, RowVersion};

use crate::control::{AppendError, FleetControl};
use crate::shares::{SLOTS_KEY, SlotStanding};
use crate::{FleetNode, FreshnessState};

const SLOTS_KIND: &str = "share-slots";

/// The slot map's table and versions, for [`crate::shares::ShareParts`].
#[derive(Clone, Debug)]
pub struct SlotLog {
    core: Arc<SlotCore>,
}

struct SlotCore {
    control: Arc<FleetControl>,
    table: PlatformTable,
    /// Change of the map that was read last, and the version of its row.
    read: Mutex<(u64, RowVersion)>,
    /// Change of the map that this daemon's shares follow.
    confirmed: AtomicU64,
    /// Newest change known to be in force.
    in_force: AtomicU64,
}

impl std::fmt::Debug for SlotCore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SlotCore").finish_non_exhaustive()
    }
}

impl SlotLog {
    /// Keeps the slot map in the log of `node` and in `table`.
    pub fn new(node: &FleetNode, table: PlatformTable) -> Self {
        let core = SlotCore {
            control: node.control.clone(),
            table,
            read: Mutex::default(),
            confirmed: AtomicU64::new(0),
            in_force: AtomicU64::new(0),
        };
        Self { core: Arc::new(core) }
    }

    /// Returns the table that the shares read and change the slot map with.
    pub fn table(&self) -> PlatformTable {
        let (reader, committer) = (self.core.clone(), self.core.clone());
        let scanned = self.core.table.clone();
        PlatformTable::new(
            move |_keys| reader.clone().read(),
            move |prefix| {
                let table = scanned.clone();
                async move { table.scan(prefix).await }
            },
            move |transaction| committer.clone().commit(transaction),
        )
    }

    /// Notes that the shares follow the map of `version`.
    pub fn confirm(&self, version: RowVersion) {
        self.core.confirmed.fetch_max(version.0, Ordering::AcqRel);
    }

    /// Returns this daemon's standing now.
    pub fn standing(&self) -> SlotStanding {
        let head = self.core.follow_log();
        let confirmed = self.core.confirmed.load(Ordering::Acquire);
        let fresh = self.core.control.freshness() == FreshnessState::Fresh;
        SlotStanding {
            fresh: fresh && confirmed >= head,
            in_force: RowVersion(self.core.in_force.load(Ordering::Acquire)),
            head: RowVersion(head),
        }
    }
}

impl SlotCore {
    /// Returns the newest change that the log announces, 0 if none; notes what is in force.
    fn follow_log(&self) -> u64 {
        let state = self.control.state();
        let Some(other) = state.log.snapshot.others.get(SLOTS_KIND) else { return 0 };
        let change = postcard::from_bytes(&other.content).unwrap_or(0);
        if other.position <= state.machine.heads().in_force {
            self.in_force.fetch_max(change, Ordering::AcqRel);
        }
        change
    }

    async fn read(self: Arc<Self>) -> Result<Vec<TableRow>, TableError> {
        let mut rows = self.table.read(vec![SLOTS_KEY.to_owned()]).await?;
        for row in &mut rows {
            let change = change_of(&row.value).ok_or_else(|| malformed("read slot map"))?;
            self.note_read(change, row.version);
            row.version = RowVersion(change);
        }
        Ok(rows)
    }

    async fn commit(
        self: Arc<Self>,
        transaction: TableTransaction,
    ) -> Result<CommitOutcome, TableError> {
        let expected = transaction.conditions.first().map_or(0, |condition| condition.version.0);
        let (read_change, row_version) = *self.read.lock().unwrap_or_else(PoisonError::into_inner);
        if expected != read_change {
            return Ok(CommitOutcome::Conflict(Vec::new()));
        }
        let written = transaction.writes.first().and_then(|write| write.value.as_deref());
        let change = written.and_then(change_of).ok_or_else(|| malformed("move slots"))?;
        let content = postcard::to_stdvec(&change).map_err(|_error| malformed("move slots"))?;
        let condition = RowCondition { key: SLOTS_KEY.to_owned(), version: row_version };
        let extra = TableTransaction { conditions: vec![condition], writes: transaction.writes };
        let appended = self.control.append(RequestId(rand::random()), |_snapshot| {
            let body = LogBody::Other { kind: SLOTS_KIND.to_owned(), content: content.clone() };
            Ok::<_, AppendError<()>>((body, extra.clone()))
        });
        match appended.await {
            Ok(_entry) => Ok(CommitOutcome::Committed(vec![RowVersion(change)])),
            Err(AppendError::Unknown(error)) => Err(TableError::AnswerLost {
                step: "move slots",
                peer: "log".to_owned(),
                cause: error.to_string(),
            }),
            Err(error) => Err(TableError::Unavailable {
                step: "move slots",
                peer: "log".to_owned(),
                cause: error.to_string(),
            }),
        }
    }

    fn note_read(&self, change: u64, version: RowVersion) {
        *self.read.lock().unwrap_or_else(PoisonError::into_inner) = (change, version);
    }
}

fn change_of(value: &[u8]) -> Option<u64> {
    postcard::from_bytes::<SlotMap>(value).ok().map(|map| map.change)
}

fn malformed(step: &'static str) -> TableError {
    TableError::Unavailable {
        step,
        peer: "table".to_owned(),
        cause: "the slot map is malformed".to_owned(),
    }
}
