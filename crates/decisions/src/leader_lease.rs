//! Who may give orders to runners: one lease for the fleet, kept in one row of the platform's table.
//!
//! The holder renews the row and orders only for a while after the start of its last renewal. Another
//! host takes over when it has watched the row stand still for longer than that, with a higher
//! fencing number, and gives its first order only after a further gap, so that runners never see
//! two holders close together. All times are readings of the own clock.

use std::time::Duration;

use dotterellane_units::{ClockInstant, FenceNumber, HostId, HostIncarnation, RowVersion};
use serde::{Deserialize, Serialize};

/// Time after the start of a renewal during which its holder orders.
pub const LEASE_SPAN: Duration = Duration::from_millis(1_300);

/// Time between two renewals.
pub const RENEWAL_PAUSE: Duration = Duration::from_millis(450);

/// Time that the end of a lease is kept clear of, for clocks that drift and calls under way.
pub const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// Content of the lease's row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRow {
    /// Host that holds the lease.
    pub holder: HostId,
    /// Incarnation of its daemon.
    pub incarnation: HostIncarnation,
    /// Fencing number; grows with each change of holder.
    pub fence: FenceNumber,
    /// Whether the holder gave the lease back and orders no more.
    pub released: bool,
}

#[derive(Clone, Debug)]
struct SeenRow {
    version: RowVersion,
    row: LeaseRow,
    since: ClockInstant,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: FenceNumber,
    renewed: ClockInstant,
    orders_from: ClockInstant,
}

/// What the holder or a candidate does next about the row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing before this span has passed.
    Wait(Duration),
    /// Read the row.
    Read,
    /// Write the row if it still has this version.
    Write {
        /// Version that the row must have.
        expected: RowVersion,
        /// Content to write.
        row: LeaseRow,
    },
}

/// The lease as one host sees it.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    own: HostId,
    incarnation: HostIncarnation,
    gap: Duration,
    read: bool,
    seen: Option<SeenRow>,
    held: Option<HeldLease>,
}

impl LeaderLease {
    /// Returns a lease that nothing is known of; `gap` lies between the orders of two holders.
    pub fn new(own: HostId, incarnation: HostIncarnation, gap: Duration) -> Self {
        Self { own, incarnation, gap, read: false, seen: None, held: None }
    }

    /// Returns the fencing number if this host may order now.
    pub fn may_order(&self, now: ClockInstant) -> Option<FenceNumber> {
        let held = self.held?;
        let within = now + LEASE_MARGIN < held.renewed + LEASE_SPAN && now >= held.orders_from;
        within.then_some(held.fence)
    }

    /// Returns the fencing number and the row's version while this host holds the lease.
    pub fn held(&self, now: ClockInstant) -> Option<(FenceNumber, RowVersion)> {
        let held = self.held.filter(|held| now < held.renewed + LEASE_SPAN)?;
        Some((held.fence, self.seen.as_ref()?.version))
    }

    /// Returns what to do next, if this host is a candidate or the holder.
    pub fn next_step(&self, now: ClockInstant) -> LeaseStep {
        let own_row = |fence| LeaseRow {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fence,
            released: false,
        };
        if !self.read {
            return LeaseStep::Read;
        }
        let Some(seen) = &self.seen else {
            return LeaseStep::Write { expected: RowVersion(0), row: own_row(FenceNumber(1)) };
        };
        if let Some(held) = self.held {
            let due = held.renewed + RENEWAL_PAUSE;
            if now < due {
                return LeaseStep::Wait(due.since(now));
            }
            return LeaseStep::Write { expected: seen.version, row: own_row(held.fence) };
        }
        let free =
            if seen.row.released { seen.since } else { seen.since + LEASE_SPAN + LEASE_MARGIN };
        if now < free {
            return LeaseStep::Wait(free.since(now));
        }
        LeaseStep::Write { expected: seen.version, row: own_row(seen.row.fence.next()) }
    }

    /// Returns the write that gives the lease back, if this host holds it.
    pub fn release(&mut self) -> Option<(RowVersion, LeaseRow)> {
        let held = self.held.take()?;
        let seen = self.seen.as_ref()?;
        let row = LeaseRow {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fence: held.fence,
            released: true,
        };
        Some((seen.version, row))
    }

    /// Takes in the row as a call that started at `started` showed it.
    pub fn on_row(&mut self, started: ClockInstant, version: RowVersion, row: Option<LeaseRow>) {
        self.read = true;
        let Some(row) = row else {
            self.seen = None;
            self.held = None;
            return;
        };
        let own = row.holder == self.own && row.incarnation == self.incarnation && !row.released;
        match (&self.held, own) {
            (Some(held), true) if held.fence == row.fence => {}
            // A write whose answer was lost took the lease; when it did is not known.
            (None, true) => {
                self.held = Some(HeldLease {
                    fence: row.fence,
                    renewed: ClockInstant::default(),
                    orders_from: started + LEASE_SPAN + self.gap,
                });
            }
            _ => self.held = None,
        }
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.seen = Some(SeenRow { version, row, since: started });
        }
    }

    /// Takes in that the write that started at `started` gave the row this version.
    pub fn on_written(&mut self, started: ClockInstant, version: RowVersion, row: LeaseRow) {
        let orders_from = match (&self.held, &self.seen) {
            (Some(held), _) if held.fence == row.fence => held.orders_from,
            (_, None) => started,
            _ => started + self.gap + LEASE_MARGIN,
        };
        self.held = Some(HeldLease { fence: row.fence, renewed: started, orders_from });
        self.seen = Some(SeenRow { version, row, since: started });
    }

    /// Takes in that what is known of the row may not hold: it must be read again.
    pub fn require_read(&mut self) {
        self.read = false;
    }

    /// Takes in that the holder said at `now` which version the row had.
    pub fn on_holder_report(&mut self, now: ClockInstant, fence: FenceNumber, version: RowVersion) {
        if let Some(seen) = &mut self.seen
            && seen.version < version
            && seen.row.fence <= fence
            && self.held.is_none()
        {
            // The row itself is read before it is written; only its age is taken from here.
            seen.version = version;
            seen.row.fence = fence;
            seen.since = now;
        }
    }
}
