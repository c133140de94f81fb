//! Plans the gossip rounds of a daemon: which peer it asks, and when it reads the table.

use std::time::Duration;

use dotterellane_protocol::{LogPosition, MemberId};
use dotterellane_units::{ClockInstant, HostId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::freshness::{ALIVE_BOUND, EVIDENCE_BOUND, FreshnessMachine};
use crate::membership::MemberList;
use crate::rendezvous::role_order;

/// Time between two rounds.
pub const ROUND_PERIOD: Duration = Duration::from_millis(200);

/// Number of members that read the table regularly.
pub const TABLE_READERS: usize = 40;

/// Least time between reads of the table by a regular reader; up to half of it is added at random.
pub const READ_PERIOD: Duration = Duration::from_millis(400);

/// Least time between reads of the table by any other member; up to twice it is added at random.
pub const FALLBACK_PERIOD: Duration = Duration::from_secs(1);

/// Age of the newest known read of the table above which a member asks regular readers.
pub const LATE_AGE: Duration = Duration::from_millis(1_250);

/// Age of the newest known read of the table above which a member reads the table itself.
pub const FALLBACK_AGE: Duration = Duration::from_millis(2_000);

/// One round out of this many asks any listed peer, even one that was not heard from recently.
const PROBE_ROUNDS: u64 = 8;

/// Greatest number of members for which every answer reports whom the peer heard from. With more
/// members, every second answer does, or every answer while the known reads of the table are old.
const FULL_REPORT_MEMBERS: usize = 64;

/// Actions of a daemon in one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoundPlan {
    /// Peer to ask; `None` if there is none.
    pub ask: Option<HostId>,
    /// Whether the answer should report whom the peer heard from.
    pub wants_heard: bool,
    /// Whether to read the table.
    pub reads_table: bool,
}

/// Plans the rounds of one daemon.
#[derive(Clone, Debug)]
pub struct RoundPlanner {
    random: Pcg64Mcg,
    round: u64,
    /// Earliest time of the next read of the table.
    next_read: ClockInstant,
    /// Members that read the table regularly.
    readers: Vec<HostId>,
    /// [`MemberList::made_at`] of the list that `readers` was chosen from.
    readers_of: Option<LogPosition>,
}

impl RoundPlanner {
    /// Returns a planner that makes its random choices from `seed`.
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
        self.update_readers(machine.lists().current());
        // Without the table, freshness depends on whom the peers heard from.
        let table_stale = machine.table_age(now).is_none_or(|age| age > LATE_AGE);
        let members = machine.lists().current().records.len();
        RoundPlan {
            ask: self.choose_peer(machine, now),
            wants_heard: table_stale
                || members <= FULL_REPORT_MEMBERS
                || self.round.is_multiple_of(2),
            reads_table: self.is_read_due(machine, now),
        }
    }

    /// Returns up to `count` different random peers that were heard from recently.
    pub fn random_peers(
        &mut self,
        machine: &FreshnessMachine,
        now: ClockInstant,
        count: usize,
    ) -> Vec<HostId> {
        let mut peers = recent_peers(machine, now, ALIVE_BOUND);
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

    /// Returns a random number from 0 up to, but not including, 1.
    pub fn random_share(&mut self) -> f64 {
        self.random.random()
    }

    fn update_readers(&mut self, list: &MemberList) {
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
        // A much older read means that the table is down; then readers know no more than other
        // members.
        let late =
            machine.table_age(now).is_some_and(|age| age > LATE_AGE && age <= EVIDENCE_BOUND);
        if late && self.round.is_multiple_of(2) {
            let readers: Vec<&HostId> = self.readers.iter().filter(|host| *host != own).collect();
            return pick(&mut self.random, &readers).cloned();
        }
        // Without the table, no round should be spent on a member that has just failed.
        let bound = match machine.table_age(now).is_none_or(|age| age > EVIDENCE_BOUND) {
            true => EVIDENCE_BOUND,
            false => ALIVE_BOUND,
        };
        let alive = recent_peers(machine, now, bound);
        if alive.is_empty() || self.round.is_multiple_of(PROBE_ROUNDS) {
            let records = machine.lists().current().records.iter();
            let hosts: Vec<&HostId> =
                records.map(|record| &record.id.host).filter(|host| *host != own).collect();
            return pick(&mut self.random, &hosts).cloned();
        }
        pick(&mut self.random, &alive).map(|member| member.host.clone())
    }

    fn is_read_due(&mut self, machine: &FreshnessMachine, now: ClockInstant) -> bool {
        let reader = self.readers.contains(&machine.own().host);
        let old = machine.table_age(now).is_none_or(|age| age > FALLBACK_AGE);
        if now < self.next_read || !(reader || old) {
            return false;
        }
        let (period, jitter) = match reader {
            true => (READ_PERIOD, READ_PERIOD / 2),
            false => (FALLBACK_PERIOD, FALLBACK_PERIOD * 2),
        };
        self.next_read = now + period + jitter.mul_f64(self.random.random());
        true
    }
}

fn recent_peers(machine: &FreshnessMachine, now: ClockInstant, bound: Duration) -> Vec<&MemberId> {
    let lately = |member: &&MemberId| {
        *member != machine.own()
            && machine.heard_at(member).is_some_and(|at| now.since(at) <= bound)
    };
    let members = machine.lists().current().records.iter().map(|record| &record.id);
    members.filter(lately).collect()
}

fn pick<'a, T>(random: &mut Pcg64Mcg, choices: &[&'a T]) -> Option<&'a T> {
    if choices.is_empty() {
        return None;
    }
    Some(choices[random.random_range(0..choices.len())])
}
