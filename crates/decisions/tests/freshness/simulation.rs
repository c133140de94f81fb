//! Daemons, their clocks, the network between them and the table, in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use dotterellane_decisions::gossip::{GossipAction, GossipMachine};
use dotterellane_decisions::membership::{AbsenceRecord, MemberChange, MemberLists};
use dotterellane_decisions::rendezvous::role_holder;
use dotterellane_decisions::rounds::ROUND_PERIOD;
use dotterellane_protocol::{
    GossipMessage, LogBody, LogEntry, LogPosition, MemberId, MemberRecord,
};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, RequestId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MILLI: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLI;
const HOST_LIST_LAG: u64 = 5 * SECOND;
const ROUNDS_PER_TENDING: u64 = 10;

/// A change that a host wants to commit.
#[derive(Clone, Debug)]
enum Intent {
    Configure,
    Join(MemberRecord),
    Remove(BTreeSet<MemberId>),
}

#[derive(Clone, Debug)]
enum Event {
    Round,
    Deliver { from: MemberId, message: GossipMessage },
    HeadArrives { asked_at: ClockInstant },
    HeadAnswered { asked_at: ClockInstant, newest: LogPosition, in_force: LogPosition },
    FetchArrives { last: LogPosition },
    Fetched { entries: Vec<LogEntry> },
    CommitArrives { commit: Commit },
    CommitAnswered { change: RequestId, entries: Vec<LogEntry>, newest: LogPosition },
}

#[derive(Clone, Debug)]
struct Commit {
    change: RequestId,
    intent: Intent,
    expected: LogPosition,
    in_force: LogPosition,
}

/// One daemon, or the place of one that stopped.
struct Daemon {
    seat: MemberId,
    running: bool,
    leaving: bool,
    paused_until: u64,
    clock_offset: u64,
    clock_ppm: i64,
    gossip: GossipMachine,
    lists: MemberLists,
    absence: AbsenceRecord,
    configures: Option<RequestId>,
    lists_wanted: Option<(RequestId, Intent)>,
    rounds: u64,
    reaches_table: bool,
    group: u32,
    reclaimed_at: Option<u64>,
}

impl Daemon {
    fn clock(&self, now: u64) -> ClockInstant {
        let drift = i128::from(now) * i128::from(self.clock_ppm) / 1_000_000;
        let reading = i128::from(now) + i128::from(self.clock_offset) + drift;
        ClockInstant(u64::try_from(reading).unwrap())
    }

    fn followed(&self) -> LogPosition {
        self.gossip.freshness.heads().followed
    }

    fn is_fresh(&self, now: u64) -> bool {
        self.gossip.freshness.evidence(self.clock(now)).is_fresh()
    }
}

/// Daemons, network and table in simulated time; deterministic for one seed.
pub struct Simulation {
    now: u64,
    random: Pcg64Mcg,
    queue: BTreeMap<(u64, u64), (HostId, HostIncarnation, Event)>,
    sequence: u64,
    daemons: BTreeMap<HostId, Daemon>,
    entries: Vec<LogEntry>,
    committed_at: Vec<u64>,
    in_force_at: BTreeMap<LogPosition, u64>,
    row_in_force: LogPosition,
    /// Whether the table answers.
    pub table_up: bool,
    /// Whether answers to commits are lost.
    pub answers_lost: bool,
    /// Messages lost, in percent; above 0 a tenth of the rest comes twice, up to 4 s late.
    pub loss_percent: u32,
    violation: Option<String>,
    promised: LogPosition,
    traffic: (u64, u64),
    table_calls: u64,
}

impl Simulation {
    /// Starts with `count` daemons named `a`, `b` and so on.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut simulation = Self {
            now: 1_000 * SECOND,
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            daemons: BTreeMap::new(),
            entries: Vec::new(),
            committed_at: Vec::new(),
            in_force_at: BTreeMap::new(),
            row_in_force: LogPosition(0),
            table_up: true,
            answers_lost: false,
            loss_percent: 0,
            violation: None,
            promised: LogPosition(0),
            traffic: (0, 0),
            table_calls: 0,
        };
        for name in ('a'..='z').take(count) {
            simulation.start(&name.to_string());
        }
        simulation
    }

    /// Starts with `count` daemons that one entry has listed.
    pub fn listed(count: usize, seed: u64) -> Self {
        let mut simulation = Self::new(0, seed);
        for index in 0..count {
            simulation.start(&format!("host-{index:03}"));
        }
        let joined = simulation.daemons.values().map(|daemon| record_of(&daemon.seat));
        let joined = joined.collect();
        let in_force = LogPosition(0);
        let body = LogBody::Members { joined, removed: vec![], in_force };
        simulation.append("host-000".parse().unwrap(), RequestId(1), body);
        simulation
    }

    /// Returns the messages sent so far and their bytes, without envelopes.
    pub fn traffic(&self) -> (u64, u64) {
        self.traffic
    }

    /// Returns the calls of the table so far, answered or not.
    pub fn table_calls(&self) -> u64 {
        self.table_calls
    }

    /// Returns the hosts.
    pub fn hosts(&self) -> Vec<String> {
        self.daemons.keys().map(ToString::to_string).collect()
    }

    /// Starts a new incarnation of `host`, with another clock.
    pub fn start(&mut self, host: &str) {
        let host: HostId = host.parse().unwrap();
        let earlier = self.daemons.get(&host);
        let incarnation = earlier.map_or(1, |daemon| daemon.seat.incarnation.0 + 1);
        let (reaches_table, group) =
            earlier.map_or((true, 0), |daemon| (daemon.reaches_table, daemon.group));
        let seat = MemberId { host: host.clone(), incarnation: HostIncarnation(incarnation) };
        let daemon = Daemon {
            gossip: GossipMachine::new(seat.clone(), self.random.random()),
            seat,
            running: true,
            leaving: false,
            paused_until: 0,
            clock_offset: self.random.random_range(0..1_000 * SECOND),
            // The bound that the argument assumes.
            clock_ppm: self.random.random_range(-5_000..=5_000),
            lists: MemberLists::default(),
            absence: AbsenceRecord::default(),
            configures: None,
            lists_wanted: None,
            rounds: 0,
            reaches_table,
            group,
            reclaimed_at: None,
        };
        self.daemons.insert(host.clone(), daemon);
        let first = self.random.random_range(0..u64::try_from(ROUND_PERIOD.as_nanos()).unwrap());
        self.push(&host, HostIncarnation(incarnation), first, Event::Round);
    }

    /// Kills the daemon of `host`.
    pub fn stop(&mut self, host: &str) {
        self.daemon(host).running = false;
    }

    /// Kills the daemon of `host`; the platform's list leaves it out some seconds later.
    pub fn reclaim(&mut self, host: &str) {
        let now = self.now;
        let daemon = self.daemon(host);
        daemon.running = false;
        daemon.reclaimed_at = Some(now);
    }

    /// Lets the daemon of `host` leave: it says so and has its seat removed.
    pub fn leave(&mut self, host: &str) {
        let change = RequestId(self.random.random());
        let daemon = self.daemon(host);
        daemon.leaving = true;
        daemon.gossip.freshness.set_leaving();
        let own = BTreeSet::from([daemon.seat.clone()]);
        daemon.lists_wanted = Some((change, Intent::Remove(own)));
    }

    /// Pauses the process of `host`; its clock goes on.
    pub fn pause(&mut self, host: &str, span: Duration) {
        let until = self.now + u64::try_from(span.as_nanos()).unwrap();
        self.daemon(host).paused_until = until;
    }

    /// Sets whether `host` reaches the table.
    pub fn set_reach(&mut self, host: &str, reaches_table: bool) {
        self.daemon(host).reaches_table = reaches_table;
    }

    /// Puts `host` into a part of the network that only its own members reach.
    pub fn set_group(&mut self, host: &str, group: u32) {
        self.daemon(host).group = group;
    }

    /// Has `host` propose a change of the configuration.
    pub fn change(&mut self, host: &str) {
        let change = RequestId(self.random.random());
        let daemon = self.daemon(host);
        daemon.configures.get_or_insert(change);
    }

    /// Ends every fault but stopped daemons.
    pub fn heal(&mut self) {
        self.table_up = true;
        self.answers_lost = false;
        self.loss_percent = 0;
        for daemon in self.daemons.values_mut() {
            daemon.group = 0;
            daemon.reaches_table = true;
        }
    }

    /// Runs for `span`, checking the promises after every event.
    ///
    /// # Errors
    /// Fails with what was broken.
    pub fn run(&mut self, span: Duration) -> Result<(), String> {
        let until = self.now + u64::try_from(span.as_nanos()).unwrap();
        while let Some((key, (host, incarnation, event))) = self.queue.pop_first() {
            if key.0 > until {
                self.queue.insert(key, (host, incarnation, event));
                break;
            }
            self.now = key.0;
            self.dispatch(&host, incarnation, event);
            self.check(&host);
            if let Some(violation) = &self.violation {
                return Err(violation.clone());
            }
        }
        self.now = until;
        Ok(())
    }

    /// Returns the newest entry and how long each from `first` on took to be in force.
    pub fn delays(&self, first: u64) -> BTreeMap<LogPosition, Option<Duration>> {
        let positions = (first.max(1)..=self.newest().0).map(LogPosition);
        let delay = |position: LogPosition| {
            let committed_at = self.committed_at[usize::try_from(position.0).unwrap() - 1];
            let (_, at) = self.in_force_at.range(position..).next()?;
            Some(Duration::from_nanos(at.saturating_sub(committed_at)))
        };
        positions.map(|position| (position, delay(position))).collect()
    }

    /// Returns the position of the newest entry.
    pub fn newest(&self) -> LogPosition {
        LogPosition(u64::try_from(self.entries.len()).unwrap())
    }

    /// Tells whether every running daemon is fresh and follows the newest entry.
    pub fn all_fresh(&self) -> bool {
        let mut running = self.daemons.values().filter(|daemon| daemon.running);
        running.all(|daemon| daemon.is_fresh(self.now) && daemon.followed() == self.newest())
    }

    /// Describes the daemons, one a line.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        let members = self.members();
        for daemon in self.daemons.values() {
            let freshness = &daemon.gossip.freshness;
            let state = match daemon.running {
                false => "stopped".to_owned(),
                true => format!("{:?}", freshness.evidence(daemon.clock(self.now))),
            };
            let listed = match members.current().index_of(&daemon.seat) {
                Some(_) => "listed",
                None => "not listed",
            };
            let lacks = daemon.running && daemon.followed() < self.newest();
            let behind = if lacks { ", lacks the newest entry" } else { "" };
            writeln!(text, "{}: {state}, {listed}{behind}", daemon.seat).unwrap();
        }
        text
    }

    /// Returns the member lists as the table has them.
    fn members(&self) -> MemberLists {
        let mut lists = MemberLists::default();
        for entry in &self.entries {
            lists = changed_lists(&lists, entry);
        }
        lists
    }

    fn daemon(&mut self, host: &str) -> &mut Daemon {
        self.daemons.get_mut(&host.parse::<HostId>().unwrap()).expect("the host exists")
    }

    fn push(&mut self, host: &HostId, incarnation: HostIncarnation, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (host.clone(), incarnation, event));
    }

    /// Queues what the table gets or answers, a few milliseconds later.
    fn push_table(&mut self, seat: &MemberId, event: Event) {
        let delay = self.random.random_range(MILLI..5 * MILLI);
        self.push(&seat.host, seat.incarnation, delay, event);
    }

    /// Checks the promises after an event at `host`: only there can freshness or what is said to
    /// be in force have grown.
    fn check(&mut self, host: &HostId) {
        let Some(daemon) = self.daemons.get(host) else { return };
        let in_force = daemon.gossip.freshness.heads().in_force;
        if in_force > self.promised {
            self.promised = in_force;
            self.in_force_at.insert(in_force, self.now);
            self.check_admission(None);
        } else {
            self.check_admission(Some(host.clone()));
        }
        if self.promised > self.newest() {
            self.violation = Some(format!("{} is in force but not committed", self.promised));
        }
    }

    fn check_admission(&mut self, only: Option<HostId>) {
        let admits = |daemon: &&Daemon| {
            daemon.running
                && daemon.paused_until <= self.now
                && daemon.followed() < self.promised
                && daemon.is_fresh(self.now)
        };
        let asked = |daemon: &&Daemon| only.as_ref().is_none_or(|only| daemon.seat.host == *only);
        if let Some(daemon) = self.daemons.values().filter(asked).find(admits) {
            let (seat, followed, promised) = (&daemon.seat, daemon.followed(), self.promised);
            self.violation =
                Some(format!("{seat} admits at {followed} while {promised} is in force"));
        }
    }

    fn dispatch(&mut self, host: &HostId, incarnation: HostIncarnation, event: Event) {
        let Some(daemon) = self.daemons.get(host) else { return };
        // What reached the table is done there, whatever becomes of the daemon.
        match event {
            Event::HeadArrives { .. }
            | Event::FetchArrives { .. }
            | Event::CommitArrives { .. } => {
                let seat = MemberId { host: host.clone(), incarnation };
                return self.arrive_at_table(&seat, event);
            }
            _ => {}
        }
        if !daemon.running || daemon.seat.incarnation != incarnation {
            return;
        }
        if daemon.paused_until > self.now {
            let delay = daemon.paused_until - self.now;
            return self.push(host, incarnation, delay, event);
        }
        let now = daemon.clock(self.now);
        let daemon = self.daemons.get_mut(host).expect("it was found");
        let actions = match event {
            Event::Round => {
                let period = u64::try_from(ROUND_PERIOD.as_nanos()).unwrap();
                daemon.rounds += 1;
                let actions = daemon.gossip.round(now);
                self.push(host, incarnation, period, Event::Round);
                self.want_changes(host);
                actions
            }
            Event::Deliver { from, message } => daemon.gossip.handle(&from, &message, now),
            Event::HeadAnswered { asked_at, newest, in_force } => {
                daemon.gossip.freshness.learn_table(asked_at, newest, in_force);
                Vec::new()
            }
            Event::Fetched { entries } => self.follow(host, &entries),
            Event::CommitAnswered { change, entries, newest } => {
                let accepted = entries.iter().any(|entry| entry.change == change);
                if accepted {
                    daemon.configures.take_if(|wanted| *wanted == change);
                    daemon.lists_wanted.take_if(|wanted| wanted.0 == change);
                }
                daemon.gossip.freshness.learn_position(newest);
                self.follow(host, &entries)
            }
            _ => Vec::new(),
        };
        self.carry_out(host, actions);
    }

    fn carry_out(&mut self, host: &HostId, actions: Vec<GossipAction>) {
        let daemon = &self.daemons[host];
        let (seat, asked_at) = (daemon.seat.clone(), daemon.clock(self.now));
        for action in actions {
            match action {
                GossipAction::Send { to, message } => self.send(&seat, &to, message),
                GossipAction::ReadTable => {
                    self.push_table(&seat, Event::HeadArrives { asked_at });
                }
                GossipAction::FetchEntries(last) => {
                    self.push_table(&seat, Event::FetchArrives { last });
                }
                GossipAction::Follow { from, entry } => {
                    let followed = self.follow(host, std::slice::from_ref(&entry));
                    self.carry_out(host, followed);
                    let next = self.daemons[host].gossip.after_entry(&from, &entry);
                    self.carry_out(host, next.into_iter().collect());
                }
                GossipAction::Supply { to, position } => {
                    let followed = self.daemons[host].followed();
                    if position <= followed && position > LogPosition(0) {
                        let index = usize::try_from(position.0).unwrap() - 1;
                        let entry = GossipMessage::Entry(self.entries[index].clone());
                        self.send(&seat, &to, entry);
                    }
                }
            }
        }
    }

    fn send(&mut self, from: &MemberId, to: &HostId, message: GossipMessage) {
        self.traffic.0 += 1;
        self.traffic.1 += u64::try_from(postcard::to_stdvec(&message).unwrap().len()).unwrap();
        let lost = self.random.random_range(0..100) < self.loss_percent;
        let delay = self.random.random_range(MILLI / 2..3 * MILLI);
        let Some(receiver) = self.daemons.get(to) else { return };
        if lost || receiver.group != self.daemons[&from.host].group {
            return;
        }
        let incarnation = receiver.seat.incarnation;
        let event = Event::Deliver { from: from.clone(), message };
        // A network that loses messages also doubles and delays some.
        if self.loss_percent > 0 && self.random.random_range(0..10) == 0 {
            let late = self.random.random_range(0..4 * SECOND);
            self.push(to, incarnation, late, event.clone());
        }
        self.push(to, incarnation, delay, event);
    }

    fn follow(&mut self, host: &HostId, entries: &[LogEntry]) -> Vec<GossipAction> {
        let now = self.daemons[host].clock(self.now);
        let daemon = self.daemons.get_mut(host).expect("the host exists");
        let mut actions = Vec::new();
        for entry in entries {
            if entry.position != daemon.followed().next() {
                continue;
            }
            daemon.lists = changed_lists(&daemon.lists, entry);
            actions.extend(daemon.gossip.followed(entry, &daemon.lists, now));
        }
        actions
    }

    /// Proposes what the daemon wants changed: to be listed, others to be removed.
    fn want_changes(&mut self, host: &HostId) {
        let (change, now) = (RequestId(self.random.random()), self.now);
        let present: BTreeSet<HostId> = self.listed_hosts();
        let daemon = self.daemons.get_mut(host).expect("the host exists");
        let heads = daemon.gossip.freshness.heads();
        let may_change = daemon.lists.may_change(heads.in_force);
        if daemon.rounds.is_multiple_of(ROUNDS_PER_TENDING) && self.table_up && daemon.reaches_table
        {
            let gone = tend(daemon, &present, now);
            if !gone.is_empty() {
                daemon.lists_wanted.get_or_insert((change, Intent::Remove(gone)));
            }
        }
        if daemon.gossip.freshness.is_listed() {
            daemon.lists_wanted.take_if(|(_, intent)| matches!(intent, Intent::Join(_)));
        } else if !daemon.leaving {
            let join = Intent::Join(record_of(&daemon.seat));
            daemon.lists_wanted.get_or_insert((change, join));
        }
        if heads.followed < heads.known {
            return;
        }
        let settled = |(_, intent): &(RequestId, Intent)| match intent {
            Intent::Join(record) => daemon.lists.may_join(record, heads.in_force),
            Intent::Configure | Intent::Remove(_) => may_change,
        };
        let lists_wanted = daemon.lists_wanted.clone().filter(settled);
        let configured = daemon.configures.map(|change| (change, Intent::Configure));
        let seat = daemon.seat.clone();
        for (change, intent) in configured.into_iter().chain(lists_wanted) {
            let (expected, in_force) = (heads.followed, heads.in_force);
            let commit = Commit { change, intent, expected, in_force };
            self.push_table(&seat, Event::CommitArrives { commit });
        }
    }

    fn listed_hosts(&self) -> BTreeSet<HostId> {
        let gone = |daemon: &Daemon| {
            daemon.reclaimed_at.is_some_and(|at| self.now.saturating_sub(at) > HOST_LIST_LAG)
        };
        let listed = self.daemons.iter().filter(|(_, daemon)| !gone(daemon));
        listed.map(|(host, _)| host.clone()).collect()
    }

    fn arrive_at_table(&mut self, seat: &MemberId, event: Event) {
        self.table_calls += 1;
        if !self.table_up || !self.daemons[&seat.host].reaches_table {
            return;
        }
        match event {
            Event::HeadArrives { asked_at } => {
                let (newest, in_force) = (self.newest(), self.row_in_force);
                self.push_table(seat, Event::HeadAnswered { asked_at, newest, in_force });
            }
            Event::FetchArrives { last } => {
                let last = usize::try_from(last.0).unwrap().min(self.entries.len());
                let entries = self.entries[..last].to_vec();
                self.push_table(seat, Event::Fetched { entries });
            }
            Event::CommitArrives { commit } => {
                self.commit(seat, &commit);
                if !self.answers_lost {
                    let (entries, newest) = (self.entries.clone(), self.newest());
                    let change = commit.change;
                    self.push_table(seat, Event::CommitAnswered { change, entries, newest });
                }
            }
            _ => {}
        }
    }

    fn commit(&mut self, seat: &MemberId, commit: &Commit) {
        let known = self.entries.iter().any(|entry| entry.change == commit.change);
        if known || commit.expected != self.newest() {
            return;
        }
        let body = match &commit.intent {
            Intent::Configure => LogBody::Other { kind: "configuration".into(), content: vec![] },
            Intent::Join(record) => LogBody::Members {
                joined: vec![record.clone()],
                removed: vec![],
                in_force: commit.in_force,
            },
            Intent::Remove(seats) => LogBody::Members {
                joined: vec![],
                removed: seats.iter().cloned().collect(),
                in_force: commit.in_force,
            },
        };
        self.append(seat.host.clone(), commit.change, body);
        self.row_in_force = commit.in_force;
    }

    fn append(&mut self, author: HostId, change: RequestId, body: LogBody) {
        let position = self.newest().next();
        self.entries.push(LogEntry { position, change, author, accepted_at: 0, body });
        self.committed_at.push(self.now);
    }
}

fn record_of(seat: &MemberId) -> MemberRecord {
    MemberRecord {
        id: seat.clone(),
        domain: "dub-north".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

fn changed_lists(lists: &MemberLists, entry: &LogEntry) -> MemberLists {
    let LogBody::Members { joined, removed, in_force } = &entry.body else {
        return lists.clone();
    };
    let (position, in_force) = (entry.position, *in_force);
    lists.changed(&MemberChange { position, joined, removed, in_force })
}

/// Looks at the platform's host list; returns the listed seats to remove, if that is the daemon's role.
fn tend(daemon: &mut Daemon, present: &BTreeSet<HostId>, now: u64) -> BTreeSet<MemberId> {
    let asked_at = daemon.clock(now);
    let freshness = &mut daemon.gossip.freshness;
    daemon.absence.observe(&daemon.lists, present, asked_at);
    let gone = daemon.absence.gone(&daemon.lists, asked_at, |seat| freshness.heard_at(seat));
    freshness.note_gone(gone.clone(), asked_at);
    let records = daemon.lists.current().records.iter();
    let alive = records.filter(|record| freshness.is_alive(&record.id, asked_at));
    let holder = role_holder("member-list", "", alive.map(|record| &record.id.host));
    if holder != Some(&daemon.seat.host) {
        return BTreeSet::new();
    }
    gone.into_iter().filter(|seat| daemon.lists.current().index_of(seat).is_some()).collect()
}
