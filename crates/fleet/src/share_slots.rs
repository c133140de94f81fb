//! Changes of the slot map as entries of the log: they come into force like any other.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dotterellane_decisions::shares::ShareStanding;
use dotterellane_protocol::LogBody;
use dotterellane_units::RequestId;

use crate::control::{AppendError, FleetControl};
use crate::shares::SlotChange;
use crate::{FleetNode, FreshnessState};

const SLOTS_KIND: &str = "share-slots";

/// The log as the shares see it: makes slot changes and tells which are known and in force.
#[derive(Clone)]
pub struct SlotLog {
    control: Arc<FleetControl>,
    in_force: Arc<AtomicU64>,
}

impl SlotLog {
    /// Keeps slot changes in the log of `node`.
    pub fn new(node: &FleetNode) -> Self {
        Self { control: node.control.clone(), in_force: Arc::default() }
    }

    /// Makes a change of the slot map; tells whether it was made.
    ///
    /// # Errors
    /// Fails with the cause if the table did not answer; the change may have been made.
    pub async fn append(self, change: SlotChange) -> Result<bool, String> {
        let content = postcard::to_stdvec(&change.number).map_err(|error| error.to_string())?;
        let appended = self.control.append(RequestId(rand::random()), |snapshot| {
            let known = snapshot.others.get(SLOTS_KIND).map_or(0, |other| number(&other.content));
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

    /// Returns this daemon's standing now.
    pub fn status(&self) -> ShareStanding {
        let fresh = self.control.freshness() == FreshnessState::Fresh;
        let slots_known = self.follow();
        ShareStanding { fresh, slots_known, slots_in_force: self.in_force.load(Ordering::Acquire) }
    }

    /// Returns the newest change in the log, 0 if none, and notes it once it is in force.
    fn follow(&self) -> u64 {
        let state = self.control.state();
        let Some(other) = state.log.snapshot.others.get(SLOTS_KIND) else { return 0 };
        let known = number(&other.content);
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

/// Reads the number of a change; one that is not understood counts as newer than all.
fn number(content: &[u8]) -> u64 {
    postcard::from_bytes(content).unwrap_or(u64::MAX)
}
