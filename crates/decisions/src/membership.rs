//! Member lists: whose messages and confirmations count towards quorums, and how the lists change.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_protocol::{LogPosition, MemberId, MemberRecord};
use dotterellane_units::{ClockInstant, HostId};
use serde::{Deserialize, Serialize};

/// Most members that one entry removes, so that the entry fits into one datagram.
pub const REMOVAL_BATCH: usize = 12;

/// Time for which a host must be absent from the platform's host list before it counts as departed.
///
/// It is longer than the lag of that list.
pub const ABSENCE_BOUND: Duration = Duration::from_secs(15);

/// The members after one log entry, ordered by host, with one member per host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberList {
    /// Position of the entry that made the list.
    pub made_at: LogPosition,
    /// Members of the list, ordered by host.
    pub records: Vec<MemberRecord>,
}

impl MemberList {
    /// Returns the list after `change`.
    ///
    /// A joining member replaces an earlier incarnation of its host.
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

    /// Returns the index of `member` in the list; `None` if it is not a member.
    pub fn index_of(&self, member: &MemberId) -> Option<usize> {
        self.records.binary_search_by(|record| record.id.cmp(member)).ok()
    }

    /// Returns the record of `host`, of any incarnation; `None` if the host is not listed.
    pub fn find(&self, host: &HostId) -> Option<&MemberRecord> {
        let index = self.records.binary_search_by(|record| record.id.host.cmp(host)).ok()?;
        self.records.get(index)
    }

    /// Returns whether the members that `counts` accepts are a quorum: a strict majority, or half
    /// of the list with the lowest host as the tie-break. Any two quorums of one list intersect.
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

    /// Returns whether the members that `counts` accepts are a blocking set: every quorum contains
    /// one.
    pub fn is_blocking_set<C>(&self, counts: C) -> bool
    where
        C: Fn(&MemberId) -> bool,
    {
        !self.is_quorum(|member| !counts(member))
    }
}

/// Number of lists in use from which no member joins or is removed, except by a restart.
pub const MAX_LISTS_IN_USE: usize = 4;

/// Number of lists in use from which not even restarted members join.
pub const MAX_LISTS_FOR_RESTARTS: usize = 64;

/// A change of the member list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange<'a> {
    /// Position of the entry that makes the change.
    pub position: LogPosition,
    /// Members that join, or that replace an earlier incarnation of their host.
    pub joined: &'a [MemberRecord],
    /// Members that are removed.
    pub removed: &'a [MemberId],
    /// Position of the newest entry that the author knew to be in force.
    pub in_force: LogPosition,
}

/// The member lists that a fresh daemon may still be using, oldest first.
///
/// A list is dropped once the list after it is in force.
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

    /// Returns whether members may join or be removed, given the newest entry known to be in force.
    pub fn may_change(&self, in_force: LogPosition) -> bool {
        self.in_use(in_force).len() < MAX_LISTS_IN_USE
    }

    /// Returns whether `joining` may join.
    ///
    /// A restarted member may join with more lists in use than a new one: it proves that its
    /// earlier incarnation runs no more, which helps the lists to come into force.
    pub fn may_join(&self, joining: &MemberRecord, in_force: LogPosition) -> bool {
        let lists = self.in_use(in_force);
        if lists.len() < MAX_LISTS_IN_USE {
            return true;
        }
        let mut earlier = lists.iter().filter_map(|list| list.find(&joining.id.host));
        lists.len() < MAX_LISTS_FOR_RESTARTS && earlier.any(|record| replaces(joining, record))
    }

    /// Returns the lists that a fresh daemon may be using while `in_force` is the newest entry
    /// known to be in force.
    pub fn in_use(&self, in_force: LogPosition) -> &[MemberList] {
        let settled = self.0.iter().rposition(|list| list.made_at <= in_force);
        &self.0[settled.unwrap_or(0)..]
    }

    /// Returns the members whose host has a later incarnation on the same address.
    ///
    /// Only one process can bind the socket, so the earlier incarnation runs no more.
    pub fn replaced(&self) -> BTreeSet<MemberId> {
        let is_replaced = |record: &&MemberRecord| {
            let mut others = self.0.iter().filter_map(|list| list.find(&record.id.host));
            others.any(|other| replaces(other, record))
        };
        let records = self.0.iter().flat_map(|list| &list.records);
        records.filter(is_replaced).map(|record| record.id.clone()).collect()
    }

    /// Returns the ids of the members of all lists.
    pub fn member_ids(&self) -> BTreeSet<&MemberId> {
        self.0.iter().flat_map(|list| &list.records).map(|record| &record.id).collect()
    }
}

/// Tracks since when hosts of members are absent from the platform's host list, which may lag.
#[derive(Clone, Debug, Default)]
pub struct AbsenceTracker {
    since: BTreeMap<HostId, ClockInstant>,
}

impl AbsenceTracker {
    /// Applies the platform's host list, as requested at `asked_at`.
    pub fn observe(
        &mut self,
        lists: &MemberLists,
        present: &BTreeSet<HostId>,
        asked_at: ClockInstant,
    ) {
        let hosts = lists.member_ids().into_iter().map(|member| &member.host);
        let absent: BTreeSet<&HostId> = hosts.filter(|host| !present.contains(host)).collect();
        self.since.retain(|host, _| absent.contains(host));
        for host in absent {
            self.since.entry(host.clone()).or_insert(asked_at);
        }
    }

    /// Returns the members that have departed: their hosts have been absent for longer than
    /// [`ABSENCE_BOUND`] before `asked_at`, the request time of the last applied list, and they
    /// were not heard from for as long, where `heard` returns the time of the last message.
    pub fn departed<H>(
        &self,
        lists: &MemberLists,
        asked_at: ClockInstant,
        heard: H,
    ) -> BTreeSet<MemberId>
    where
        H: Fn(&MemberId) -> Option<ClockInstant>,
    {
        let long = |since: ClockInstant| asked_at.since(since) > ABSENCE_BOUND;
        let absent = |member: &MemberId| self.since.get(&member.host).copied().is_some_and(long);
        let silent = |member: &MemberId| heard(member).is_none_or(long);
        let members = lists.member_ids().into_iter();
        members.filter(|member| absent(member) && silent(member)).cloned().collect()
    }
}

fn replaces(later: &MemberRecord, earlier: &MemberRecord) -> bool {
    later.id.host == earlier.id.host
        && later.id.incarnation > earlier.id.incarnation
        && later.address == earlier.address
}
