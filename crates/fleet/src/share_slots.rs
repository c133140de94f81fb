//! Changes of the share slot map as entries of the log of changes, which come into force like
//! configuration changes.
//!
//! The map itself is a row of the table; the entry carries only the number of the change.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dotterellane_decisions::shares::ShareStatus;
use dotterellane_protocol::LogBody;
use dotterellane_units::RequestId;

use crate::control::{AppendError, FleetControl};
use crate::shares::SlotChange;
use crate::{FleetNode, FreshnessState};

/// Kind of the log entries that carry slot changes.
const SLOTS_KIND: &str = "share-slots";

/// Commits slot changes through the log, and tells which are known and in force.
#[derive(Clone)]
pub struct SlotLog {
    control: Arc<FleetControl>,
    in_force: Arc<AtomicU64>,
}

impl SlotLog {
    /// Uses the log of `node`.
    pub fn new(node: &FleetNode) -> Self {
        Self { control: node.control.clone(), in_force: Arc::default() }
    }

    /// Commits a change of the slot map; returns whether it was committed. It is not if the log
    /// holds the same or a later change.
    ///
    /// # Errors
    /// Fails with the cause if the table does not answer; the change may have been committed.
    pub async fn append(self, change: SlotChange) -> Result<bool, String> {
        let content = postcard::to_stdvec(&change.number).map_err(|error| error.to_string())?;
        let appended = self.control.append(RequestId(rand::random()), |snapshot| {
            let known =
                snapshot.others.get(SLOTS_KIND).map_or(0, |other| decode_number(&other.content));
            if known >= change.number {
                return Err(());
            }
            let body = LogBody::Other { kind: SLOTS_KIND.to_owned(), content: content.clone() };
            Ok((body, change.transaction.clone()))
        });
        match appended.await {
            Ok(_entry) => Ok(true),
            Err(AppendError::Refused(())) => Ok(false),
            Err(AppendError::Down(error) | AppendError::Unknown(error)) => Err(error.to_string()),
        }
    }

    /// Returns whether this daemon is fresh now, and which slot changes are known and in force.
    pub fn status(&self) -> ShareStatus {
        let fresh = self.control.freshness() == FreshnessState::Fresh;
        let slots_known = self.newest_change();
        ShareStatus { fresh, slots_known, slots_in_force: self.in_force.load(Ordering::Acquire) }
    }

    /// Returns the number of the newest change in the log, 0 if there is none, and records it as in
    /// force if it is.
    fn newest_change(&self) -> u64 {
        let state = self.control.state();
        let Some(other) = state.log.snapshot.others.get(SLOTS_KIND) else { return 0 };
        let known = decode_number(&other.content);
        if other.position <= state.gossip.freshness.heads().in_force {
            self.in_force.fetch_max(known, Ordering::AcqRel);
        }
        known
    }
}

impl fmt::Debug for SlotLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SlotLog").finish_non_exhaustive()
    }
}

/// Decodes the number of a change. A malformed one counts as newer than all others, so that no
/// daemon relies on a map that may be outdated.
fn decode_number(content: &[u8]) -> u64 {
    postcard::from_bytes(content).unwrap_or(u64::MAX)
}
