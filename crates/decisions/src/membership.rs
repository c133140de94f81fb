//! The member list: whose hearings and confirmations count, and how the list changes.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_protocol::{LogPosition, MemberRecord, MemberSeat};
use dotterellane_units::{ClockInstant, HostId};
use serde::{Deserialize, Serialize};

/// Most seats removed by one entry, so that the entry fits one datagram.
pub const REMOVAL_BATCH: usize = 12;

/// How long a host must be absent from the platform's list before it counts as gone.
///
/// Longer than the lag of the list.
pub const ABSENCE_BOUND: Duration = Duration::from_secs(15);

/// The members after one log entry, ordered by host; one seat a host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberList {
    /// Entry that made the list.
    pub made_at: LogPosition,
    /// The members.
    pub records: Vec<MemberRecord>,
}

impl MemberList {
    /// Returns the list after the change that the entry at `position` makes.
    ///
    /// A member that joins takes the place of an earlier incarnation of its host.
    #[must_use]
    pub fn changed(
        &self,
        position: LogPosition,
        joined: &[MemberRecord],
        removed: &[MemberSeat],
    ) -> Self {
        let replaced = |record: &MemberRecord| {
            removed.contains(&record.seat)
                || joined.iter().any(|joining| joining.seat.host == record.seat.host)
        };
        let mut records: Vec<MemberRecord> =
            self.records.iter().filter(|record| !replaced(record)).cloned().collect();
        records.extend(joined.iter().cloned());
        records.sort_by(|one, other| one.seat.cmp(&other.seat));
        Self { made_at: position, records }
    }

    /// Returns the place of `seat` in the list.
    pub fn index_of(&self, seat: &MemberSeat) -> Option<usize> {
        self.records.binary_search_by(|record| record.seat.cmp(seat)).ok()
    }

    /// Returns the record of `host`.
    pub fn find(&self, host: &HostId) -> Option<&MemberRecord> {
        let index = self.records.binary_search_by(|record| record.seat.host.cmp(host)).ok()?;
        self.records.get(index)
    }

    /// Tells whether the seats that `counts` accepts are a quorum: a strict majority, or half of
    /// the list with the lowest host among them. Any two quorums of one list intersect.
    pub fn is_quorum<C>(&self, counts: C) -> bool
    where
        C: Fn(&MemberSeat) -> bool,
    {
        let counted = self.records.iter().filter(|record| counts(&record.seat)).count();
        let lowest = self.records.first().is_some_and(|record| counts(&record.seat));
        match (2 * counted).cmp(&self.records.len()) {
            Ordering::Greater => true,
            Ordering::Equal => lowest,
            Ordering::Less => false,
        }
    }

    /// Tells whether every quorum holds a seat that `counts` accepts.
    pub fn is_blocked<C>(&self, counts: C) -> bool
    where
        C: Fn(&MemberSeat) -> bool,
    {
        !self.is_quorum(|seat| !counts(seat))
    }
}

/// The newest member list and the one before it.
///
/// A list changes only once the change before is in force, so no daemon that is fresh uses an
/// older one than these two.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberLists {
    /// The newest list.
    pub current: MemberList,
    /// The list before it.
    pub previous: MemberList,
}

impl MemberLists {
    /// Returns the lists after the change that the entry at `position` makes.
    #[must_use]
    pub fn changed(
        &self,
        position: LogPosition,
        joined: &[MemberRecord],
        removed: &[MemberSeat],
    ) -> Self {
        let current = self.current.changed(position, joined, removed);
        Self { current, previous: self.current.clone() }
    }

    /// Tells whether the list may change again, given the newest entry known to be in force.
    pub fn may_change(&self, in_force: LogPosition) -> bool {
        self.current.made_at <= in_force
    }

    /// Tells whether `seat` is in either list.
    pub fn lists(&self, seat: &MemberSeat) -> bool {
        self.current.index_of(seat).is_some() || self.previous.index_of(seat).is_some()
    }
}

/// Which hosts the platform's lagging list has left out, and since when.
#[derive(Clone, Debug, Default)]
pub struct AbsenceRecord {
    since: BTreeMap<HostId, ClockInstant>,
}

impl AbsenceRecord {
    /// Takes in one answer of the platform's host list, asked for at `asked_at`.
    pub fn observe(
        &mut self,
        members: &MemberList,
        listed: &BTreeSet<HostId>,
        asked_at: ClockInstant,
    ) {
        let absent: BTreeSet<&HostId> = members
            .records
            .iter()
            .map(|record| &record.seat.host)
            .filter(|host| !listed.contains(host))
            .collect();
        self.since.retain(|host, _| absent.contains(host));
        for host in absent {
            self.since.entry(host.clone()).or_insert(asked_at);
        }
    }

    /// Returns the seats whose hosts were absent for longer than [`ABSENCE_BOUND`] by the answer
    /// to a question asked at `asked_at`, and that were not `heard` for as long either.
    pub fn gone<H>(
        &self,
        members: &MemberList,
        asked_at: ClockInstant,
        heard: H,
    ) -> BTreeSet<MemberSeat>
    where
        H: Fn(&MemberSeat) -> Option<ClockInstant>,
    {
        let long = |since: ClockInstant| asked_at.since(since) > ABSENCE_BOUND;
        let absent = |seat: &MemberSeat| self.since.get(&seat.host).copied().is_some_and(long);
        let silent = |seat: &MemberSeat| heard(seat).is_none_or(long);
        let seats = members.records.iter().map(|record| &record.seat);
        seats.filter(|seat| absent(seat) && silent(seat)).cloned().collect()
    }
}
