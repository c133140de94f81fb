//! When a daemon asks which peer, and when it reads the table.

use std::time::Duration;

use dotterellane_protocol::{LogPosition, MemberId};
use dotterellane_units::{ClockInstant, HostId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::freshness::{ALIVE_BOUND, EVIDENCE_BOUND, FreshnessMachine};
use crate::membership::MemberList;
use crate::rendezvous::role_order;

/// Time between rounds.
pub const ROUND_PERIOD: Duration = Duration::from_millis(200);

/// Number of members that read the table regularly.
pub const TABLE_READERS: usize = 40;

/// Shortest time between reads of a reader; up to half as much again is added at random.
pub const READ_PERIOD: Duration = Duration::from_millis(400);

/// Shortest time between reads of any other member; up to twice as much again is added.
pub const FALLBACK_PERIOD: Duration = Duration::from_secs(1);

/// Age of the table's evidence from which a member asks a reader.
pub const LATE_AGE: Duration = Duration::from_millis(1_250);

/// Age of the table's evidence from which a member reads the table itself.
pub const FALLBACK_AGE: Duration = Duration::from_millis(2_000);

/// One round in so many goes to any listed peer, whether it was heard lately or not.
const PROBE_EVERY: u64 = 8;

/// Largest list of which every answer carries the hearings; of a longer one every second does,
/// or every one while the table's evidence is late.
const SMALL_LIST: usize = 64;

/// What a daemon does in one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoundPlan {
    /// Peer to ask.
    pub ask: Option<HostId>,
    /// Whether the answer shall say whom the peer heard.
    pub wants_heard: bool,
    /// Whether to read the table.
    pub reads_table: bool,
}

/// Plans the rounds of one daemon.
#[derive(Clone, Debug)]
pub struct RoundPlanner {
    random: Pcg64Mcg,
    round: u64,
    next_read: ClockInstant,
    readers: Vec<HostId>,
    readers_of: Option<LogPosition>,
}

impl RoundPlanner {
    /// Starts with random choices from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            round: 0,
            next_read: ClockInstant(0),
            readers: Vec::new(),
            readers_of: None,
        }
    }

    /// Plans the round at `now`.
    pub fn plan(&mut self, machine: &FreshnessMachine, now: ClockInstant) -> RoundPlan {
        self.round += 1;
        self.choose_readers(machine.lists().current());
        // Without the table freshness rests on what peers heard.
        let cold = machine.table_age(now).is_none_or(|age| age > LATE_AGE);
        let members = machine.lists().current().records.len();
        RoundPlan {
            ask: self.choose_peer(machine, now),
            wants_heard: cold || members <= SMALL_LIST || self.round.is_multiple_of(2),
            reads_table: self.is_read_due(machine, now),
        }
    }

    /// Returns up to `count` different peers to carry an entry on to.
    pub fn spread(
        &mut self,
        machine: &FreshnessMachine,
        now: ClockInstant,
        count: usize,
    ) -> Vec<HostId> {
        let mut peers = peers_heard(machine, now, ALIVE_BOUND);
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !peers.is_empty() {
            let index = self.random.random_range(0..peers.len());
            chosen.push(peers.swap_remove(index).host.clone());
        }
        chosen
    }

    /// Returns a random number for a new call.
    pub fn call_number(&mut self) -> u64 {
        self.random.random()
    }

    /// Returns a random share between 0 and 1.
    pub fn random_share(&mut self) -> f64 {
        self.random.random()
    }

    fn choose_readers(&mut self, list: &MemberList) {
        if self.readers_of == Some(list.made_at) {
            return;
        }
        let hosts = list.records.iter().map(|record| &record.id.host);
        let order = role_order("table-reader", "", hosts);
        self.readers = order.into_iter().take(TABLE_READERS).cloned().collect();
        self.readers_of = Some(list.made_at);
    }

    fn choose_peer(&mut self, machine: &FreshnessMachine, now: ClockInstant) -> Option<HostId> {
        let own = &machine.own().host;
        // Much older evidence means that the table is down, where readers know no more than others.
        let late =
            machine.table_age(now).is_some_and(|age| age > LATE_AGE && age <= EVIDENCE_BOUND);
        if late && self.round.is_multiple_of(2) {
            let readers: Vec<&HostId> = self.readers.iter().filter(|host| *host != own).collect();
            return pick(&mut self.random, &readers).cloned();
        }
        // Without the table a round spent on a member that has just failed counts.
        let bound = match machine.table_age(now).is_none_or(|age| age > EVIDENCE_BOUND) {
            true => EVIDENCE_BOUND,
            false => ALIVE_BOUND,
        };
        let alive = peers_heard(machine, now, bound);
        if alive.is_empty() || self.round.is_multiple_of(PROBE_EVERY) {
            let records = machine.lists().current().records.iter();
            let hosts: Vec<&HostId> =
                records.map(|record| &record.id.host).filter(|host| *host != own).collect();
            return pick(&mut self.random, &hosts).cloned();
        }
        pick(&mut self.random, &alive).map(|seat| seat.host.clone())
    }

    fn is_read_due(&mut self, machine: &FreshnessMachine, now: ClockInstant) -> bool {
        let reader = self.readers.contains(&machine.own().host);
        let old = machine.table_age(now).is_none_or(|age| age > FALLBACK_AGE);
        if now < self.next_read || !(reader || old) {
            return false;
        }
        let (period, spread) = match reader {
            true => (READ_PERIOD, READ_PERIOD / 2),
            false => (FALLBACK_PERIOD, FALLBACK_PERIOD * 2),
        };
        self.next_read = now + period + spread.mul_f64(self.random.random());
        true
    }
}

fn peers_heard(machine: &FreshnessMachine, now: ClockInstant, bound: Duration) -> Vec<&MemberId> {
    let lately = |seat: &&MemberId| {
        *seat != machine.own() && machine.heard_at(seat).is_some_and(|at| now.since(at) <= bound)
    };
    let seats = machine.lists().current().records.iter().map(|record| &record.id);
    seats.filter(lately).collect()
}

fn pick<'a, T>(random: &mut Pcg64Mcg, choices: &[&'a T]) -> Option<&'a T> {
    if choices.is_empty() {
        return None;
    }
    Some(choices[random.random_range(0..choices.len())])
}
