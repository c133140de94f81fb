//! Leader lease of the installation: its holder, the leader, is the only host that sends orders to
//! runners.
//!
//! The lease is one row in the platform's store. The leader renews the row and sends orders only
//! for a limited time after the start of its last renewal. Another host takes the lease over, with
//! a higher fencing number, once it has seen the row unchanged for longer than that. It sends its
//! first order only after a further gap, so that orders of two leaders never reach runners shortly
//! after one another. All times are readings of the host's own clock.

use std::time::Duration;

use dotterellane_units::{
    ClockInstant, FenceNumber, HostId, HostIncarnation, RowVersion, StoreEra,
};
use serde::{Deserialize, Serialize};

/// Time for which the lease is valid, from the start of its last renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_300);

/// Time between the starts of two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// Time before the end of the lease in which no order is sent, and after it in which the lease is
/// not taken over; allows for clock drift and calls in progress.
pub const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// Fencing numbers of one era of the store. The numbers of a later era are higher than all that may
/// have been lost when the store came back from an older copy.
const FENCES_PER_ERA: u64 = 1_000_000;

/// Highest fencing number of all eras that a store can state (32 bits); a row or a message with a
/// higher one is not a holder's.
pub const LAST_FENCE: FenceNumber = FenceNumber(FENCES_PER_ERA << 32);

/// Content of the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRow {
    /// Host that holds the lease.
    pub holder: HostId,
    /// Incarnation of the holder's daemon.
    pub incarnation: HostIncarnation,
    /// Fencing number, which grows with each change of holder.
    pub fence: FenceNumber,
    /// Whether the holder has released the lease; it sends no more orders.
    pub released: bool,
}

#[derive(Clone, Debug)]
struct KnownRow {
    version: RowVersion,
    row: LeaseRow,
    /// When this host first learned of `version`; for a call to the store, its start.
    unchanged_since: ClockInstant,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: FenceNumber,
    /// When the write that last renewed the lease was started.
    renewed_at: ClockInstant,
    /// When the first order may be sent.
    orders_from: ClockInstant,
}

/// Next operation of the holder or a candidate on the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Do nothing for this time.
    Wait(Duration),
    /// Read the lease row.
    Read,
    /// Write the lease row if its version is still `expected`.
    Write {
        /// Version that the lease row must have.
        expected: RowVersion,
        /// Content to write.
        row: LeaseRow,
    },
}

/// State of the leader lease as known to one host.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    own: HostId,
    incarnation: HostIncarnation,
    handover_gap: Duration,
    /// Whether the row was read and no call since has shown that the known row may be outdated.
    is_read: bool,
    known: Option<KnownRow>,
    held: Option<HeldLease>,
    /// Highest fencing number that any holder is known to have had. The row may show a lower one if
    /// the store came back from an older copy.
    highest_fence: FenceNumber,
    /// Era of the first read of the row.
    first_era: Option<StoreEra>,
    /// Version and time at which this host first saw that the row does not exist.
    absent: Option<(RowVersion, ClockInstant)>,
}

impl LeaderLease {
    /// Returns a lease whose row has not been read. `handover_gap` is the least time between the
    /// orders of two holders.
    pub fn new(own: HostId, incarnation: HostIncarnation, handover_gap: Duration) -> Self {
        Self {
            own,
            incarnation,
            handover_gap,
            is_read: false,
            known: None,
            held: None,
            highest_fence: FenceNumber(0),
            first_era: None,
            absent: None,
        }
    }

    /// Returns the fencing number if this host may send orders now.
    pub fn may_order(&self, now: ClockInstant) -> Option<FenceNumber> {
        let held = self.held?;
        let within =
            now + LEASE_MARGIN < held.renewed_at + LEASE_DURATION && now >= held.orders_from;
        within.then_some(held.fence)
    }

    /// Returns the fencing number and the row's version if this host holds the lease now.
    pub fn held(&self, now: ClockInstant) -> Option<(FenceNumber, RowVersion)> {
        let held = self.held.filter(|held| now < held.renewed_at + LEASE_DURATION)?;
        Some((held.fence, self.known_version()))
    }

    /// Returns the next operation on the row, for the holder or a candidate.
    pub fn next_step(&self, now: ClockInstant) -> LeaseStep {
        let own_row = |fence| LeaseRow {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fence,
            released: false,
        };
        if !self.is_read {
            return LeaseStep::Read;
        }
        let expected = self.known_version();
        if let Some(held) = self.held {
            let due = held.renewed_at + RENEWAL_INTERVAL;
            if now < due {
                return LeaseStep::Wait(due.since(now));
            }
            return LeaseStep::Write { expected, row: own_row(held.fence) };
        }
        let free = self.free_from().unwrap_or(now);
        if now < free {
            return LeaseStep::Wait(free.since(now));
        }
        let fence = self.highest_fence.max(last_fence_before(expected.era)).next();
        LeaseStep::Write { expected, row: own_row(fence) }
    }

    fn known_version(&self) -> RowVersion {
        let absent = self.absent.map_or(RowVersion::ABSENT, |(version, _)| version);
        self.known.as_ref().map_or(absent, |known| known.version)
    }

    /// Returns when the lease may be taken over; `None` if nobody is known to have held it.
    fn free_from(&self) -> Option<ClockInstant> {
        let expiry = LEASE_DURATION + LEASE_MARGIN;
        match &self.known {
            // Only the last holder's release counts: an earlier one may come back in a copy.
            Some(known) if known.row.released && known.row.fence >= self.highest_fence => {
                Some(known.unchanged_since)
            }
            Some(known) => Some(known.unchanged_since + expiry),
            None if self.has_never_been_held() => None,
            None => self.absent.map(|(_, since)| since + expiry),
        }
    }

    /// Returns whether the row does not exist and no holder is known; the store may only have lost
    /// it if it came back from a copy.
    fn has_never_been_held(&self) -> bool {
        let is_first_era =
            self.absent.is_some_and(|(absent, _)| Some(absent.era) == self.first_era);
        self.known.is_none() && self.highest_fence == FenceNumber(0) && is_first_era
    }

    /// Gives up the lease and returns the version and content of the write that releases the row;
    /// `None` if this host does not hold the lease.
    pub fn release(&mut self) -> Option<(RowVersion, LeaseRow)> {
        let held = self.held.take()?;
        let known = self.known.as_ref()?;
        let row = LeaseRow {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fence: held.fence,
            released: true,
        };
        Some((known.version, row))
    }

    /// Applies a read of the row that started at `started`; `row` is `None` if the row does not
    /// exist, and `version` has the era of the read then.
    pub fn on_row(&mut self, started: ClockInstant, version: RowVersion, row: Option<LeaseRow>) {
        self.is_read = true;
        self.first_era.get_or_insert(version.era);
        // While this lease is valid, nobody has taken it over, whatever a copy shows.
        let is_valid = |held: &HeldLease| started < held.renewed_at + LEASE_DURATION;
        let Some(row) = row else {
            self.known = None;
            self.held = self.held.filter(is_valid);
            let known = self.absent.filter(|(known, _)| *known == version);
            self.absent = known.or(Some((version, started)));
            return;
        };
        self.absent = None;
        let is_from_copy =
            row.fence < self.highest_fence || row.fence <= last_fence_before(version.era);
        self.highest_fence = self.highest_fence.max(row.fence);
        let own = row.holder == self.own && row.incarnation == self.incarnation && !row.released;
        let known_era = self.known.as_ref().map(|known| known.version.era);
        let is_same_era = known_era == Some(version.era);
        match (&self.held, own) {
            (Some(held), true) if held.fence == row.fence && (is_same_era || is_valid(held)) => {}
            (Some(held), _) if held.fence > row.fence && is_valid(held) => {}
            (None, true) if is_from_copy => {}
            // An unanswered write took the lease at an unknown time.
            (None, true) => {
                self.held = Some(HeldLease {
                    fence: row.fence,
                    renewed_at: ClockInstant::default(),
                    orders_from: started + LEASE_DURATION + self.handover_gap,
                });
            }
            _ => self.held = None,
        }
        if self.known.as_ref().is_none_or(|known| known.version != version) {
            self.known = Some(KnownRow { version, row, unchanged_since: started });
        }
    }

    /// Applies a successful write of `row` that started at `started` and gave the row `version`.
    pub fn on_written(&mut self, started: ClockInstant, version: RowVersion, row: LeaseRow) {
        let orders_from = match (&self.held, &self.known) {
            (Some(held), _) if held.fence == row.fence => held.orders_from,
            _ if self.has_never_been_held() => started,
            _ => started + self.handover_gap + LEASE_MARGIN,
        };
        self.held = Some(HeldLease { fence: row.fence, renewed_at: started, orders_from });
        self.highest_fence = self.highest_fence.max(row.fence);
        self.absent = None;
        self.known = Some(KnownRow { version, row, unchanged_since: started });
    }

    /// Makes the next operation a read, because the known row may be outdated.
    pub fn require_read(&mut self) {
        self.is_read = false;
    }

    /// Applies a message from the holder, received at `now`, with the row's version and fencing
    /// number.
    ///
    /// It postpones a takeover, as it shows that the row has changed.
    pub fn on_holder_report(&mut self, now: ClockInstant, fence: FenceNumber, version: RowVersion) {
        self.highest_fence = self.highest_fence.max(fence);
        if let Some(known) = &mut self.known
            && known.version < version
            && known.row.fence <= fence
            && self.held.is_none()
        {
            // The message carries no other content of the row; that stays as last read.
            known.version = version;
            known.row.fence = fence;
            known.unchanged_since = now;
        }
    }
}

/// Returns the highest fencing number of the eras before `era`.
pub fn last_fence_before(era: StoreEra) -> FenceNumber {
    FenceNumber(era.0.saturating_mul(FENCES_PER_ERA))
}
