//! Freshness of a daemon: whether it follows every change of the replicated log that is in force.
//!
//! A daemon follows an entry of the log once it has applied that entry and all before it.
//!
//! Freshness requires evidence that is at most [`EVIDENCE_BOUND`] old: a read of the table, or
//! messages from a quorum of the members. Once a blocking set of the members has confirmed that it
//! follows a log entry, the author waits until the evidence of every daemon that lacks the entry
//! has expired; then the entry is in force. A daemon admits requests only while it is fresh, so a
//! daemon that lacks an entry in force admits none.
//!
//! `docs/design/freshness.md` proves this.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_protocol::{
    GossipAnswer, GossipQuestion, HeardReport, LogHeads, LogPosition, MemberId, QuantizedAge,
};
use dotterellane_units::{ClockInstant, HostId};

use crate::membership::MemberLists;

/// Greatest age of the evidence for freshness, by the daemon's own clock.
pub const EVIDENCE_BOUND: Duration = Duration::from_secs(3);

/// Greatest deviation of the rate of a host's clock from true time, in parts per million.
pub const CLOCK_DRIFT_PPM: u32 = 5_000;

/// Time since the last message from a daemon for which it counts as alive.
pub const ALIVE_BOUND: Duration = Duration::from_secs(8);

/// Returns how long an author waits after the confirmations, by its own clock, until an entry is in
/// force.
///
/// This is `F (1 + d) / (1 - d)`, with `F` for [`EVIDENCE_BOUND`] and `d` for [`CLOCK_DRIFT_PPM`]:
/// on a slow clock the evidence lasts longer, and on a fast one the wait is shorter.
pub fn in_force_wait() -> Duration {
    let slow = 1_000_000 - CLOCK_DRIFT_PPM;
    EVIDENCE_BOUND * (1_000_000 + CLOCK_DRIFT_PPM) / slow + Duration::from_nanos(1)
}

/// Reason why a daemon is fresh or not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessEvidence {
    /// Fresh: the table was read recently, by this daemon or by a peer.
    Table,
    /// Fresh: a quorum of the members was heard from recently.
    Members,
    /// Not fresh: there is no recent evidence.
    Nothing,
    /// Not fresh: an entry is known that the daemon does not follow yet.
    Behind,
    /// Not fresh: a later incarnation of this host is a member.
    Superseded,
}

impl FreshnessEvidence {
    /// Returns whether the daemon is fresh.
    pub fn is_fresh(self) -> bool {
        matches!(self, Self::Table | Self::Members)
    }
}

/// What is known about one member of the current list.
#[derive(Clone, Copy, Debug, Default)]
struct MemberState {
    /// Lower bound of the time at which the member sent its last known answer.
    heard_at: Option<ClockInstant>,
    leaving: bool,
}

/// State machine that determines the freshness of one daemon.
#[derive(Clone, Debug)]
pub struct FreshnessMachine {
    own: MemberId,
    lists: MemberLists,
    heads: LogHeads,
    /// When the newest known read of the table was sent, by this daemon or by a peer.
    table_read_at: Option<ClockInstant>,
    /// States of the members, in the order of the current list.
    members: Vec<MemberState>,
    /// Newest entry that each member is known to follow.
    confirmed: BTreeMap<MemberId, LogPosition>,
    /// Members that are proven to run no more.
    departed: BTreeSet<MemberId>,
    /// Members whose host has a later incarnation on the same address.
    replaced: BTreeSet<MemberId>,
    /// When each entry was first confirmed by a blocking set of every list in use.
    confirmed_since: BTreeMap<LogPosition, ClockInstant>,
    /// Outstanding questions by call number, with the peer and the send time.
    calls: BTreeMap<u64, (HostId, ClockInstant)>,
    leaving: bool,
}

impl FreshnessMachine {
    /// Returns the state of a new incarnation, which follows no entry and has no evidence.
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            lists: MemberLists::default(),
            heads: LogHeads::default(),
            table_read_at: None,
            members: Vec::new(),
            confirmed: BTreeMap::new(),
            departed: BTreeSet::new(),
            replaced: BTreeSet::new(),
            confirmed_since: BTreeMap::new(),
            calls: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Returns the member id of this daemon.
    pub fn own(&self) -> &MemberId {
        &self.own
    }

    /// Returns the log positions that this daemon follows, knows to exist and knows to be in force.
    pub fn heads(&self) -> LogHeads {
        self.heads
    }

    /// Returns the member lists at the followed position.
    pub fn lists(&self) -> &MemberLists {
        &self.lists
    }

    /// Returns whether this incarnation of the daemon is a member.
    pub fn is_listed(&self) -> bool {
        self.lists.current().index_of(&self.own).is_some()
    }

    /// Records that the daemon follows the log up to `position`, where the member lists are
    /// `lists`.
    pub fn follow(&mut self, position: LogPosition, lists: &MemberLists, now: ClockInstant) {
        if position <= self.heads.followed {
            return;
        }
        self.heads.followed = position;
        self.heads.known = self.heads.known.max(position);
        if self.lists != *lists {
            self.set_lists(lists);
        }
        self.record_confirmation(self.own.clone(), position);
        self.update_confirmed(now);
    }

    /// Applies a read of the table that was sent at `asked_at`: the newest position, and the newest
    /// position that an author knew to be in force.
    pub fn learn_table(
        &mut self,
        asked_at: ClockInstant,
        newest: LogPosition,
        in_force: LogPosition,
    ) {
        self.advance_heads(LogHeads { followed: LogPosition(0), known: newest, in_force });
        self.table_read_at = self.table_read_at.max(Some(asked_at));
    }

    /// Returns the question to send to `to` at `now`; `call` must not have been used before.
    pub fn ask(
        &mut self,
        to: &HostId,
        call: u64,
        now: ClockInstant,
        wants_heard: bool,
    ) -> GossipQuestion {
        self.calls.retain(|_, (_, asked_at)| now.since(*asked_at) <= EVIDENCE_BOUND);
        self.calls.insert(call, (to.clone(), now));
        GossipQuestion { call, heads: self.heads, wants_heard, leaving: self.leaving }
    }

    /// Records that an entry exists at `position`.
    pub fn learn_position(&mut self, position: LogPosition) {
        self.advance_heads(LogHeads { known: position, ..LogHeads::default() });
    }

    /// Applies the log positions of a peer. They are no evidence for freshness, as their age is
    /// unknown.
    pub fn learn_heads(&mut self, from: &MemberId, heads: LogHeads, now: ClockInstant) {
        self.advance_heads(heads);
        self.record_confirmation(from.clone(), heads.followed);
        self.update_confirmed(now);
    }

    /// Returns the answer to a question that was received at `now` or before.
    pub fn answer(&self, question: &GossipQuestion, now: ClockInstant) -> GossipAnswer {
        let age = self.table_age(now).filter(|age| *age <= EVIDENCE_BOUND);
        let millis = age.map(|age| age.as_nanos().div_ceil(1_000_000));
        GossipAnswer {
            call: question.call,
            heads: self.heads,
            table_age_millis: millis.and_then(|millis| u32::try_from(millis).ok()),
            heard: question.wants_heard.then(|| self.heard_report(now)),
            leaving: self.leaving,
        }
    }

    /// Applies an answer from `from`, received at `now` or before; returns whether it belongs to an
    /// outstanding question.
    pub fn on_answer(&mut self, from: &MemberId, answer: &GossipAnswer, now: ClockInstant) -> bool {
        let Some((asked, asked_at)) = self.calls.get(&answer.call).cloned() else {
            return false;
        };
        if asked != from.host {
            return false;
        }
        self.calls.remove(&answer.call);
        self.advance_heads(answer.heads);
        self.record_confirmation(from.clone(), answer.heads.followed);
        if let Some(millis) = answer.table_age_millis {
            let read_at = instant_before(asked_at, Duration::from_millis(millis.into()));
            self.table_read_at = self.table_read_at.max(read_at);
        }
        if let Some(index) = self.lists.current().index_of(from) {
            let state = &mut self.members[index];
            state.heard_at = state.heard_at.max(Some(asked_at));
            state.leaving |= answer.leaving;
        }
        if let Some(report) = &answer.heard {
            self.merge_report(report, asked_at);
        }
        self.update_confirmed(now);
        true
    }

    /// Makes this daemon announce in its messages that it is leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Records that a member is leaving.
    pub fn note_leaving(&mut self, member: &MemberId) {
        if let Some(index) = self.lists.current().index_of(member) {
            self.members[index].leaving = true;
        }
    }

    /// Sets the members that are proven to run no more.
    pub fn set_departed(&mut self, departed: BTreeSet<MemberId>, now: ClockInstant) {
        self.departed = departed;
        self.update_confirmed(now);
    }

    /// Declares entries in force whose wait after the confirmations is over.
    pub fn step(&mut self, now: ClockInstant) {
        let wait = in_force_wait();
        let done = self.confirmed_since.iter().filter(|(_, since)| now.since(**since) > wait);
        if let Some(position) = done.map(|(position, _)| *position).max() {
            self.advance_heads(LogHeads { in_force: position, ..LogHeads::default() });
        }
    }

    /// Returns why this daemon is fresh or not at `now`.
    pub fn evidence(&self, now: ClockInstant) -> FreshnessEvidence {
        let listed = self.lists.current().find(&self.own.host);
        if listed.is_some_and(|record| record.id.incarnation > self.own.incarnation) {
            return FreshnessEvidence::Superseded;
        }
        if self.heads.followed < self.heads.known {
            return FreshnessEvidence::Behind;
        }
        if self.table_age(now).is_some_and(|age| age <= EVIDENCE_BOUND) {
            return FreshnessEvidence::Table;
        }
        let heard = |member: &MemberId| {
            *member == self.own
                || self.heard_at(member).is_some_and(|at| now.since(at) <= EVIDENCE_BOUND)
        };
        match self.lists.current().is_quorum(heard) {
            true => FreshnessEvidence::Members,
            false => FreshnessEvidence::Nothing,
        }
    }

    /// Returns the age of the newest known read of the table; `None` if there is none.
    pub fn table_age(&self, now: ClockInstant) -> Option<Duration> {
        self.table_read_at.map(|at| now.since(at))
    }

    /// Returns a lower bound of the time at which a member of the current list sent its last known
    /// answer; `None` if none is known.
    pub fn heard_at(&self, member: &MemberId) -> Option<ClockInstant> {
        self.lists.current().index_of(member).and_then(|index| self.members[index].heard_at)
    }

    /// Returns whether a member of the current list was heard from within [`ALIVE_BOUND`].
    pub fn is_alive(&self, member: &MemberId, now: ClockInstant) -> bool {
        *member == self.own || self.heard_at(member).is_some_and(|at| now.since(at) <= ALIVE_BOUND)
    }

    /// Returns whether a member of the current list announced that it is leaving.
    pub fn is_leaving(&self, member: &MemberId) -> bool {
        self.lists.current().index_of(member).is_some_and(|index| self.members[index].leaving)
    }

    /// Returns the members of the current list that have not confirmed `position`.
    pub fn outstanding(&self, position: LogPosition) -> Vec<MemberId> {
        let members = self.lists.current().records.iter().map(|record| &record.id);
        members.filter(|member| !self.has_confirmed(member, position)).cloned().collect()
    }

    fn set_lists(&mut self, lists: &MemberLists) {
        let state = |member: &MemberId| {
            let index = self.lists.current().index_of(member);
            index.map_or_else(MemberState::default, |index| self.members[index])
        };
        self.members = lists.current().records.iter().map(|record| state(&record.id)).collect();
        self.lists = lists.clone();
        self.replaced = lists.replaced();
        let members = lists.member_ids();
        self.confirmed.retain(|member, _| members.contains(member));
        self.departed.retain(|member| members.contains(member));
    }

    fn advance_heads(&mut self, heads: LogHeads) {
        let known = heads.known.max(heads.followed).max(heads.in_force);
        self.heads.known = self.heads.known.max(known);
        self.heads.in_force = self.heads.in_force.max(heads.in_force);
        let in_force = self.heads.in_force;
        self.confirmed_since.retain(|position, _| *position > in_force);
    }

    fn record_confirmation(&mut self, member: MemberId, position: LogPosition) {
        let confirmed = self.confirmed.entry(member).or_default();
        *confirmed = position.max(*confirmed);
    }

    fn has_confirmed(&self, member: &MemberId, position: LogPosition) -> bool {
        self.confirmed.get(member).is_some_and(|confirmed| *confirmed >= position)
    }

    /// Records the newest entry that a blocking set of every list in use has confirmed.
    fn update_confirmed(&mut self, now: ClockInstant) {
        let latest = self.confirmed_since.keys().next_back().copied();
        let floor = latest.unwrap_or_default().max(self.heads.in_force);
        // The member lists of entries that this daemon does not follow yet are unknown.
        let countable =
            |position: &LogPosition| *position > floor && *position <= self.heads.followed;
        let positions: BTreeSet<LogPosition> =
            self.confirmed.values().copied().filter(countable).collect();
        let blocked = positions
            .into_iter()
            .rev()
            .find(|position| self.is_confirmed_by_blocking_set(*position));
        if let Some(position) = blocked {
            self.confirmed_since.insert(position, now);
        }
    }

    fn is_confirmed_by_blocking_set(&self, position: LogPosition) -> bool {
        let counts = |member: &MemberId| {
            self.departed.contains(member)
                || self.replaced.contains(member)
                || self.has_confirmed(member, position)
        };
        self.lists.in_use(self.heads.in_force).iter().all(|list| list.is_blocking_set(counts))
    }

    fn heard_report(&self, now: ClockInstant) -> HeardReport {
        let records = &self.lists.current().records;
        let confirmed = self.heads.followed;
        let age = |state: &MemberState| {
            state
                .heard_at
                .map_or(QuantizedAge::UNKNOWN, |at| QuantizedAge::rounded_up(now.since(at)))
        };
        // An entry that is in force needs no more confirmations.
        let counted = if confirmed > self.heads.in_force { records.len() } else { 0 };
        let members = records.iter().take(counted).map(|record| &record.id);
        let confirms = members.map(|member| self.has_confirmed(member, confirmed));
        HeardReport {
            list: self.lists.current().made_at,
            ages: self.members.iter().map(age).collect(),
            confirmed,
            confirmed_bits: pack_bits(confirms),
            leaving_bits: pack_bits(self.members.iter().map(|state| state.leaving)),
        }
    }

    fn merge_report(&mut self, report: &HeardReport, asked_at: ClockInstant) {
        let fits = report.ages.len() == self.members.len();
        if report.list != self.lists.current().made_at || !fits {
            return;
        }
        for (index, state) in self.members.iter_mut().enumerate() {
            let heard = report.ages[index].age().and_then(|age| instant_before(asked_at, age));
            state.heard_at = state.heard_at.max(heard);
            state.leaving |= bit_at(&report.leaving_bits, index);
        }
        if report.confirmed <= self.heads.in_force {
            return;
        }
        for index in 0..self.members.len() {
            if bit_at(&report.confirmed_bits, index) {
                let member = self.lists.current().records[index].id.clone();
                self.record_confirmation(member, report.confirmed);
            }
        }
    }
}

/// Returns the instant `age` before `at`; `None` if it is before the clock's origin.
fn instant_before(at: ClockInstant, age: Duration) -> Option<ClockInstant> {
    (at.since(ClockInstant(0)) >= age).then(|| at - age)
}

/// Packs bits into bytes, least significant bit first.
fn pack_bits<B>(bits: B) -> Vec<u8>
where
    B: Iterator<Item = bool>,
{
    let mut packed = Vec::new();
    for (index, bit) in bits.enumerate() {
        if index % 8 == 0 {
            packed.push(0);
        }
        if let Some(byte) = packed.last_mut() {
            *byte |= u8::from(bit) << (index % 8);
        }
    }
    packed
}

/// Returns a bit of [`pack_bits`]; `false` beyond the end.
fn bit_at(packed: &[u8], index: usize) -> bool {
    packed.get(index / 8).is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}
