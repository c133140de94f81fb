//! The member list: whose hearings and confirmations count, and how the list changes.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_protocol::{LogPosition, MemberId, MemberRecord};
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
    /// Returns the list after `change`.
    ///
    /// A member that joins takes the place of an earlier incarnation of its host.
    #[must_use]
    pub fn changed(&self, change: &MemberChange<'_>) -> Self {
        let replaced = |record: &&MemberRecord| {
            change.removed.contains(&record.id)
                || change.joined.iter().any(|joining| joining.id.host == record.id.host)
        };
        let kept = self.records.iter().filter(|record| !replaced(record));
        let mut records: Vec<MemberRecord> = kept.chain(change.joined).cloned().collect();
        records.sort_by(|one, other| one.id.cmp(&other.id));
        Self { made_at: change.position, records }
    }

    /// Returns the place of `seat` in the list.
    pub fn index_of(&self, seat: &MemberId) -> Option<usize> {
        self.records.binary_search_by(|record| record.id.cmp(seat)).ok()
    }

    /// Returns the record of `host`.
    pub fn find(&self, host: &HostId) -> Option<&MemberRecord> {
        let index = self.records.binary_search_by(|record| record.id.host.cmp(host)).ok()?;
        self.records.get(index)
    }

    /// Tells whether the seats that `counts` accepts are a quorum: a strict majority, or half of
    /// the list with the lowest host among them. Any two quorums of one list intersect.
    pub fn is_quorum<C>(&self, counts: C) -> bool
    where
        C: Fn(&MemberId) -> bool,
    {
        let counted = self.records.iter().filter(|record| counts(&record.id)).count();
        let lowest = self.records.first().is_some_and(|record| counts(&record.id));
        match (2 * counted).cmp(&self.records.len()) {
            Ordering::Greater => true,
            Ordering::Equal => lowest,
            Ordering::Less => false,
        }
    }

    /// Tells whether every quorum holds a seat that `counts` accepts.
    pub fn is_blocked<C>(&self, counts: C) -> bool
    where
        C: Fn(&MemberId) -> bool,
    {
        !self.is_quorum(|seat| !counts(seat))
    }
}

/// Lists in use beyond which members neither join nor are removed.
pub const LISTS_BOUND: usize = 4;

/// Lists in use beyond which not even restarted members join.
pub const REPLACING_LISTS_BOUND: usize = 64;

/// A change of the member list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange<'a> {
    /// Entry that makes the change.
    pub position: LogPosition,
    /// Members that join or replace an earlier incarnation of their host.
    pub joined: &'a [MemberRecord],
    /// Seats that are listed no more.
    pub removed: &'a [MemberId],
    /// Newest entry that the author knew to be in force.
    pub in_force: LogPosition,
}

/// The member lists that a fresh daemon may still use, oldest first.
///
/// A list is dropped only once the list after it is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberLists(Vec<MemberList>);

impl Default for MemberLists {
    fn default() -> Self {
        Self(vec![MemberList::default()])
    }
}

impl MemberLists {
    /// Returns the newest list.
    ///
    /// # Panics
    /// Never panics: there is always a list.
    pub fn current(&self) -> &MemberList {
        self.0.last().expect("there is always a list")
    }

    /// Returns the lists after `change`.
    #[must_use]
    pub fn changed(&self, change: &MemberChange<'_>) -> Self {
        let mut lists = self.in_use(change.in_force).to_vec();
        lists.push(self.current().changed(change));
        Self(lists)
    }

    /// Tells whether members may join or be removed, given the newest entry known to be in force.
    pub fn may_change(&self, in_force: LogPosition) -> bool {
        self.in_use(in_force).len() < LISTS_BOUND
    }

    /// Tells whether `joining` may join: it always helps to settle the lists if it proves that an
    /// earlier incarnation runs no more.
    pub fn may_join(&self, joining: &MemberRecord, in_force: LogPosition) -> bool {
        let lists = self.in_use(in_force);
        if lists.len() < LISTS_BOUND {
            return true;
        }
        let mut earlier = lists.iter().filter_map(|list| list.find(&joining.id.host));
        lists.len() < REPLACING_LISTS_BOUND && earlier.any(|record| replaces(joining, record))
    }

    /// Returns the lists that a fresh daemon may use while `in_force` is the newest entry known
    /// to be in force.
    pub fn in_use(&self, in_force: LogPosition) -> &[MemberList] {
        let settled = self.0.iter().rposition(|list| list.made_at <= in_force);
        &self.0[settled.unwrap_or(0)..]
    }

    /// Returns the seats whose host has a later incarnation on the same address: a socket is
    /// bound by one process, so the earlier one runs no more.
    pub fn replaced(&self) -> BTreeSet<MemberId> {
        let is_replaced = |record: &&MemberRecord| {
            let mut others = self.0.iter().filter_map(|list| list.find(&record.id.host));
            others.any(|other| replaces(other, record))
        };
        let records = self.0.iter().flat_map(|list| &list.records);
        records.filter(is_replaced).map(|record| record.id.clone()).collect()
    }

    /// Returns the seats of all lists.
    pub fn seats(&self) -> BTreeSet<&MemberId> {
        self.0.iter().flat_map(|list| &list.records).map(|record| &record.id).collect()
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
        lists: &MemberLists,
        present: &BTreeSet<HostId>,
        asked_at: ClockInstant,
    ) {
        let hosts = lists.seats().into_iter().map(|seat| &seat.host);
        let absent: BTreeSet<&HostId> = hosts.filter(|host| !present.contains(host)).collect();
        self.since.retain(|host, _| absent.contains(host));
        for host in absent {
            self.since.entry(host.clone()).or_insert(asked_at);
        }
    }

    /// Returns the seats whose hosts were absent for longer than [`ABSENCE_BOUND`] by the answer
    /// to a question asked at `asked_at`, and that were not `heard` for as long either.
    pub fn gone<H>(
        &self,
        lists: &MemberLists,
        asked_at: ClockInstant,
        heard: H,
    ) -> BTreeSet<MemberId>
    where
        H: Fn(&MemberId) -> Option<ClockInstant>,
    {
        let long = |since: ClockInstant| asked_at.since(since) > ABSENCE_BOUND;
        let absent = |seat: &MemberId| self.since.get(&seat.host).copied().is_some_and(long);
        let silent = |seat: &MemberId| heard(seat).is_none_or(long);
        let seats = lists.seats().into_iter();
        seats.filter(|seat| absent(seat) && silent(seat)).cloned().collect()
    }
}

fn replaces(later: &MemberRecord, earlier: &MemberRecord) -> bool {
    later.id.host == earlier.id.host
        && later.id.incarnation > earlier.id.incarnation
        && later.address == earlier.address
}
