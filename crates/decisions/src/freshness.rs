//! The freshness lease: whether this daemon knows every change of hard state that is in force.
//!
//! `docs/design/freshness.md` gives the argument.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_protocol::{
    GossipAnswer, GossipQuestion, HeardReport, LogHeads, LogPosition, MemberId, QuantizedAge,
};
use dotterellane_units::{ClockInstant, HostId};

use crate::membership::MemberLists;

/// Greatest age of the evidence that freshness rests on, on the daemon's own clock.
pub const EVIDENCE_BOUND: Duration = Duration::from_secs(3);

/// Greatest deviation of a host's clock rate from true time, in parts per million.
pub const CLOCK_DRIFT_PPM: u32 = 5_000;

/// Time within which a daemon must have been heard to count as alive.
pub const ALIVE_BOUND: Duration = Duration::from_secs(8);

/// Returns how long an author waits after the confirmations, on its own clock.
///
/// `F (1 + d) / (1 - d)`: evidence may live longer on a slow clock, the wait end early on a fast one.
pub fn in_force_wait() -> Duration {
    let slow = 1_000_000 - CLOCK_DRIFT_PPM;
    EVIDENCE_BOUND * (1_000_000 + CLOCK_DRIFT_PPM) / slow + Duration::from_nanos(1)
}

/// What makes a daemon fresh or not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessEvidence {
    /// The table was read lately, here or by a peer.
    Table,
    /// A quorum of the members was heard lately.
    Members,
    /// Neither.
    Nothing,
    /// A newer entry is known than is followed.
    Behind,
    /// A later incarnation of this host is listed.
    Superseded,
}

impl FreshnessEvidence {
    /// Tells whether the daemon is fresh.
    pub fn is_fresh(self) -> bool {
        matches!(self, Self::Table | Self::Members)
    }
}

/// What is known of one seat of the current list.
#[derive(Clone, Copy, Debug, Default)]
struct SeatState {
    heard: Option<ClockInstant>,
    leaving: bool,
}

/// Freshness of one daemon.
#[derive(Clone, Debug)]
pub struct FreshnessMachine {
    own: MemberId,
    lists: MemberLists,
    heads: LogHeads,
    table_read: Option<ClockInstant>,
    seats: Vec<SeatState>,
    confirmed: BTreeMap<MemberId, LogPosition>,
    gone: BTreeSet<MemberId>,
    replaced: BTreeSet<MemberId>,
    reached: BTreeMap<LogPosition, ClockInstant>,
    calls: BTreeMap<u64, (HostId, ClockInstant)>,
    leaving: bool,
}

impl FreshnessMachine {
    /// Starts an incarnation that knows nothing.
    pub fn new(own: MemberId) -> Self {
        Self {
            own,
            lists: MemberLists::default(),
            heads: LogHeads::default(),
            table_read: None,
            seats: Vec::new(),
            confirmed: BTreeMap::new(),
            gone: BTreeSet::new(),
            replaced: BTreeSet::new(),
            reached: BTreeMap::new(),
            calls: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Returns the seat of this daemon.
    pub fn own(&self) -> &MemberId {
        &self.own
    }

    /// Returns how far this daemon is in the log.
    pub fn heads(&self) -> LogHeads {
        self.heads
    }

    /// Returns the member lists at the position that is followed.
    pub fn lists(&self) -> &MemberLists {
        &self.lists
    }

    /// Tells whether this daemon's own seat is listed.
    pub fn is_listed(&self) -> bool {
        self.lists.current().index_of(&self.own).is_some()
    }

    /// Follows the log up to `position`, where the member lists are `lists`.
    pub fn follow(&mut self, position: LogPosition, lists: &MemberLists, now: ClockInstant) {
        if position <= self.heads.followed {
            return;
        }
        self.heads.followed = position;
        self.heads.known = self.heads.known.max(position);
        if self.lists != *lists {
            self.take_lists(lists);
        }
        self.confirm(self.own.clone(), position);
        self.count_confirmations(now);
    }

    /// Takes in an answer of the table to a question sent at `asked_at`: the newest position, and
    /// the newest one that an author knew to be in force.
    pub fn learn_table(
        &mut self,
        asked_at: ClockInstant,
        newest: LogPosition,
        in_force: LogPosition,
    ) {
        self.learn(LogHeads { followed: LogPosition(0), known: newest, in_force });
        self.table_read = self.table_read.max(Some(asked_at));
    }

    /// Prepares a question to `to`, sent at `now`; `call` must not have been used before.
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

    /// Takes in that an entry exists.
    pub fn learn_position(&mut self, position: LogPosition) {
        self.learn(LogHeads { known: position, ..LogHeads::default() });
    }

    /// Takes in how far a peer is; no evidence, for it may have been sent at any time before.
    pub fn learn_heads(&mut self, from: &MemberId, heads: LogHeads, now: ClockInstant) {
        self.learn(heads);
        self.confirm(from.clone(), heads.followed);
        self.count_confirmations(now);
    }

    /// Answers a question that has been received by `now`.
    pub fn answer(&self, question: &GossipQuestion, now: ClockInstant) -> GossipAnswer {
        let age = self.table_age(now).filter(|age| *age <= EVIDENCE_BOUND);
        let millis = age.map(|age| age.as_nanos().div_ceil(1_000_000));
        GossipAnswer {
            call: question.call,
            heads: self.heads,
            table_age_millis: millis.and_then(|millis| u32::try_from(millis).ok()),
            heard: question.wants_heard.then(|| self.report(now)),
            leaving: self.leaving,
        }
    }

    /// Takes in an answer of `from`, received by `now`; tells whether it fits a question.
    pub fn hear(&mut self, from: &MemberId, answer: &GossipAnswer, now: ClockInstant) -> bool {
        let Some((asked, asked_at)) = self.calls.get(&answer.call).cloned() else {
            return false;
        };
        if asked != from.host {
            return false;
        }
        self.calls.remove(&answer.call);
        self.learn(answer.heads);
        self.confirm(from.clone(), answer.heads.followed);
        if let Some(millis) = answer.table_age_millis {
            let read_at = earlier(asked_at, Duration::from_millis(millis.into()));
            self.table_read = self.table_read.max(read_at);
        }
        if let Some(index) = self.lists.current().index_of(from) {
            let state = &mut self.seats[index];
            state.heard = state.heard.max(Some(asked_at));
            state.leaving |= answer.leaving;
        }
        if let Some(report) = &answer.heard {
            self.merge(report, asked_at);
        }
        self.count_confirmations(now);
        true
    }

    /// Says from now on that this daemon leaves.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Marks a seat as leaving.
    pub fn note_leaving(&mut self, seat: &MemberId) {
        if let Some(index) = self.lists.current().index_of(seat) {
            self.seats[index].leaving = true;
        }
    }

    /// Sets which seats are proven to run no more.
    pub fn note_gone(&mut self, gone: BTreeSet<MemberId>, now: ClockInstant) {
        self.gone = gone;
        self.count_confirmations(now);
    }

    /// Moves entries whose wait is over into force.
    pub fn step(&mut self, now: ClockInstant) {
        let wait = in_force_wait();
        let done = self.reached.iter().filter(|(_, since)| now.since(**since) > wait);
        if let Some(position) = done.map(|(position, _)| *position).max() {
            self.learn(LogHeads { in_force: position, ..LogHeads::default() });
        }
    }

    /// Tells what this daemon's freshness rests on at `now`.
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
        let heard = |seat: &MemberId| {
            *seat == self.own
                || self.heard_at(seat).is_some_and(|at| now.since(at) <= EVIDENCE_BOUND)
        };
        match self.lists.current().is_quorum(heard) {
            true => FreshnessEvidence::Members,
            false => FreshnessEvidence::Nothing,
        }
    }

    /// Returns the age of the newest evidence of the table.
    pub fn table_age(&self, now: ClockInstant) -> Option<Duration> {
        self.table_read.map(|at| now.since(at))
    }

    /// Returns when a seat of the current list was heard last, at the latest.
    pub fn heard_at(&self, seat: &MemberId) -> Option<ClockInstant> {
        self.lists.current().index_of(seat).and_then(|index| self.seats[index].heard)
    }

    /// Tells whether a seat of the current list was heard within [`ALIVE_BOUND`].
    pub fn is_alive(&self, seat: &MemberId, now: ClockInstant) -> bool {
        *seat == self.own || self.heard_at(seat).is_some_and(|at| now.since(at) <= ALIVE_BOUND)
    }

    /// Tells whether a seat of the current list said that it leaves.
    pub fn is_leaving(&self, seat: &MemberId) -> bool {
        self.lists.current().index_of(seat).is_some_and(|index| self.seats[index].leaving)
    }

    /// Returns the listed seats that have not confirmed `position`.
    pub fn outstanding(&self, position: LogPosition) -> Vec<MemberId> {
        let seats = self.lists.current().records.iter().map(|record| &record.id);
        seats.filter(|seat| !self.has_confirmed(seat, position)).cloned().collect()
    }

    fn take_lists(&mut self, lists: &MemberLists) {
        let state = |seat: &MemberId| {
            let index = self.lists.current().index_of(seat);
            index.map_or_else(SeatState::default, |index| self.seats[index])
        };
        self.seats = lists.current().records.iter().map(|record| state(&record.id)).collect();
        self.lists = lists.clone();
        self.replaced = lists.replaced();
        let seats = lists.seats();
        self.confirmed.retain(|seat, _| seats.contains(seat));
        self.gone.retain(|seat| seats.contains(seat));
    }

    fn learn(&mut self, heads: LogHeads) {
        let known = heads.known.max(heads.followed).max(heads.in_force);
        self.heads.known = self.heads.known.max(known);
        self.heads.in_force = self.heads.in_force.max(heads.in_force);
        let in_force = self.heads.in_force;
        self.reached.retain(|position, _| *position > in_force);
    }

    fn confirm(&mut self, seat: MemberId, position: LogPosition) {
        let confirmed = self.confirmed.entry(seat).or_default();
        *confirmed = position.max(*confirmed);
    }

    fn has_confirmed(&self, seat: &MemberId, position: LogPosition) -> bool {
        self.confirmed.get(seat).is_some_and(|confirmed| *confirmed >= position)
    }

    /// Notes the newest entry that every quorum has a confirmation of.
    fn count_confirmations(&mut self, now: ClockInstant) {
        let latest = self.reached.keys().next_back().copied();
        let floor = latest.unwrap_or_default().max(self.heads.in_force);
        // The member lists of entries that are not followed yet are unknown.
        let countable =
            |position: &LogPosition| *position > floor && *position <= self.heads.followed;
        let positions: BTreeSet<LogPosition> =
            self.confirmed.values().copied().filter(countable).collect();
        let blocked = positions.into_iter().rev().find(|position| self.is_blocked(*position));
        if let Some(position) = blocked {
            self.reached.insert(position, now);
        }
    }

    fn is_blocked(&self, position: LogPosition) -> bool {
        let counts = |seat: &MemberId| {
            self.gone.contains(seat)
                || self.replaced.contains(seat)
                || self.has_confirmed(seat, position)
        };
        self.lists.in_use(self.heads.in_force).iter().all(|list| list.is_blocked(counts))
    }

    fn report(&self, now: ClockInstant) -> HeardReport {
        let records = &self.lists.current().records;
        let confirmed = self.heads.followed;
        let age = |state: &SeatState| {
            state.heard.map_or(QuantizedAge::UNKNOWN, |at| QuantizedAge::rounded_up(now.since(at)))
        };
        // What is in force needs no confirmations any more.
        let counted = if confirmed > self.heads.in_force { records.len() } else { 0 };
        let seats = records.iter().take(counted).map(|record| &record.id);
        let confirms = seats.map(|seat| self.has_confirmed(seat, confirmed));
        HeardReport {
            list: self.lists.current().made_at,
            ages: self.seats.iter().map(age).collect(),
            confirmed,
            confirmed_bits: pack(confirms),
            leaving_bits: pack(self.seats.iter().map(|state| state.leaving)),
        }
    }

    fn merge(&mut self, report: &HeardReport, asked_at: ClockInstant) {
        let fits = report.ages.len() == self.seats.len();
        if report.list != self.lists.current().made_at || !fits {
            return;
        }
        for (index, state) in self.seats.iter_mut().enumerate() {
            let heard = report.ages[index].age().and_then(|age| earlier(asked_at, age));
            state.heard = state.heard.max(heard);
            state.leaving |= bit(&report.leaving_bits, index);
        }
        if report.confirmed <= self.heads.in_force {
            return;
        }
        for index in 0..self.seats.len() {
            if bit(&report.confirmed_bits, index) {
                let seat = self.lists.current().records[index].id.clone();
                self.confirm(seat, report.confirmed);
            }
        }
    }
}

/// Returns the instant `age` before `at`, `None` if that is before the clock's origin.
fn earlier(at: ClockInstant, age: Duration) -> Option<ClockInstant> {
    (at.since(ClockInstant(0)) >= age).then(|| at - age)
}

fn pack<B>(bits: B) -> Vec<u8>
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

fn bit(packed: &[u8], index: usize) -> bool {
    packed.get(index / 8).is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}
