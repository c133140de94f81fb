//! Simulation of daemons, their clocks, the network between them and the table.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use dotterellane_decisions::gossip::{GossipAction, GossipMachine};
use dotterellane_decisions::membership::{AbsenceTracker, MemberChange, MemberLists};
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
const ROUNDS_PER_HOST_LIST: u64 = 10;

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

/// A daemon, running or stopped.
struct Daemon {
    member: MemberId,
    running: bool,
    leaving: bool,
    paused_until: u64,
    clock_offset: u64,
    clock_ppm: i64,
    gossip: GossipMachine,
    lists: MemberLists,
    absence: AbsenceTracker,
    /// Change of the configuration to propose.
    wanted_configuration: Option<RequestId>,
    /// Change of the member list to propose.
    wanted_lists: Option<(RequestId, Intent)>,
    rounds: u64,
    reaches_table: bool,
    /// Network partition; daemons reach only those of the same one.
    group: u32,
    /// When the host was reclaimed; the platform's host list drops it [`HOST_LIST_LAG`] later.
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
    /// The log in the table.
    entries: Vec<LogEntry>,
    /// When each of `entries` was committed.
    committed_at: Vec<u64>,
    /// When entries were first declared in force.
    in_force_at: BTreeMap<LogPosition, u64>,
    /// Newest position in force that the author of the last entry knew.
    row_in_force: LogPosition,
    /// Whether the table answers.
    pub table_up: bool,
    /// Whether answers to commits are lost.
    pub answers_lost: bool,
    /// Messages lost, in percent; above 0, a tenth of the others also arrives a second time, up to
    /// 4 s late.
    pub loss_percent: u32,
    violation: Option<String>,
    /// Newest entry that any daemon has declared in force.
    highest_in_force: LogPosition,
    /// Messages sent and their total size in bytes.
    traffic: (u64, u64),
    table_calls: u64,
}

impl Simulation {
    /// Returns a simulation of `count` daemons named `a`, `b` and so on.
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
            highest_in_force: LogPosition(0),
            traffic: (0, 0),
            table_calls: 0,
        };
        for name in ('a'..='z').take(count) {
            simulation.start(&name.to_string());
        }
        simulation
    }

    /// Returns a simulation of `count` daemons that one entry has made members.
    pub fn listed(count: usize, seed: u64) -> Self {
        let mut simulation = Self::new(0, seed);
        for index in 0..count {
            simulation.start(&format!("host-{index:03}"));
        }
        let joined = simulation.daemons.values().map(|daemon| record_of(&daemon.member));
        let joined = joined.collect();
        let in_force = LogPosition(0);
        let body = LogBody::Members { joined, removed: vec![], in_force };
        simulation.append("host-000".parse().unwrap(), RequestId(1), body);
        simulation
    }

    /// Returns the number of messages sent so far and their total size in bytes, without envelopes.
    pub fn traffic(&self) -> (u64, u64) {
        self.traffic
    }

    /// Returns the number of calls to the table so far, answered or not.
    pub fn table_calls(&self) -> u64 {
        self.table_calls
    }

    /// Returns the names of all hosts.
    pub fn hosts(&self) -> Vec<String> {
        self.daemons.keys().map(ToString::to_string).collect()
    }

    /// Starts a new incarnation of `host`, with a new random clock.
    pub fn start(&mut self, host: &str) {
        let host: HostId = host.parse().unwrap();
        let earlier = self.daemons.get(&host);
        let incarnation = earlier.map_or(1, |daemon| daemon.member.incarnation.0 + 1);
        let (reaches_table, group) =
            earlier.map_or((true, 0), |daemon| (daemon.reaches_table, daemon.group));
        let member = MemberId { host: host.clone(), incarnation: HostIncarnation(incarnation) };
        let daemon = Daemon {
            gossip: GossipMachine::new(member.clone(), self.random.random()),
            member,
            running: true,
            leaving: false,
            paused_until: 0,
            clock_offset: self.random.random_range(0..1_000 * SECOND),
            // The drift bound that the protocol assumes.
            clock_ppm: self.random.random_range(-5_000..=5_000),
            lists: MemberLists::default(),
            absence: AbsenceTracker::default(),
            wanted_configuration: None,
            wanted_lists: None,
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

    /// Kills the daemon of `host`; the platform's host list drops it some seconds later.
    pub fn reclaim(&mut self, host: &str) {
        let now = self.now;
        let daemon = self.daemon(host);
        daemon.running = false;
        daemon.reclaimed_at = Some(now);
    }

    /// Lets the daemon of `host` leave: it announces that and proposes its own removal.
    pub fn leave(&mut self, host: &str) {
        let change = RequestId(self.random.random());
        let daemon = self.daemon(host);
        daemon.leaving = true;
        daemon.gossip.freshness.set_leaving();
        let own = BTreeSet::from([daemon.member.clone()]);
        daemon.wanted_lists = Some((change, Intent::Remove(own)));
    }

    /// Pauses the process of `host`; its clock continues.
    pub fn pause(&mut self, host: &str, span: Duration) {
        let until = self.now + u64::try_from(span.as_nanos()).unwrap();
        self.daemon(host).paused_until = until;
    }

    /// Sets whether `host` reaches the table.
    pub fn set_reach(&mut self, host: &str, reaches_table: bool) {
        self.daemon(host).reaches_table = reaches_table;
    }

    /// Puts `host` into a network partition; only hosts of the same partition reach each other.
    pub fn set_group(&mut self, host: &str, group: u32) {
        self.daemon(host).group = group;
    }

    /// Has `host` propose a change of the configuration.
    pub fn change(&mut self, host: &str) {
        let change = RequestId(self.random.random());
        let daemon = self.daemon(host);
        daemon.wanted_configuration.get_or_insert(change);
    }

    /// Ends every fault except stopped daemons.
    pub fn heal(&mut self) {
        self.table_up = true;
        self.answers_lost = false;
        self.loss_percent = 0;
        for daemon in self.daemons.values_mut() {
            daemon.group = 0;
            daemon.reaches_table = true;
        }
    }

    /// Runs for `span` and checks the invariants after every event.
    ///
    /// # Errors
    /// Fails with the violated invariant.
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

    /// Returns, for each entry from `first` on, the time from its commit until it was in force;
    /// `None` if it is not in force.
    pub fn delays(&self, first: u64) -> BTreeMap<LogPosition, Option<Duration>> {
        let positions = (first.max(1)..=self.newest().0).map(LogPosition);
        let delay = |position: LogPosition| {
            let committed_at = self.committed_at[usize::try_from(position.0).unwrap() - 1];
            let (_, at) = self.in_force_at.range(position..).next()?;
            Some(Duration::from_nanos(at.saturating_sub(committed_at)))
        };
        positions.map(|position| (position, delay(position))).collect()
    }

    /// Returns the position of the newest committed entry.
    pub fn newest(&self) -> LogPosition {
        LogPosition(u64::try_from(self.entries.len()).unwrap())
    }

    /// Returns whether every running daemon is fresh and follows the newest entry.
    pub fn all_fresh(&self) -> bool {
        let mut running = self.daemons.values().filter(|daemon| daemon.running);
        running.all(|daemon| daemon.is_fresh(self.now) && daemon.followed() == self.newest())
    }

    /// Describes the daemons, one per line.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        let members = self.members();
        for daemon in self.daemons.values() {
            let freshness = &daemon.gossip.freshness;
            let state = match daemon.running {
                false => "stopped".to_owned(),
                true => format!("{:?}", freshness.evidence(daemon.clock(self.now))),
            };
            let listed = match members.current().index_of(&daemon.member) {
                Some(_) => "listed",
                None => "not listed",
            };
            let lacks = daemon.running && daemon.followed() < self.newest();
            let behind = if lacks { ", lacks the newest entry" } else { "" };
            writeln!(text, "{}: {state}, {listed}{behind}", daemon.member).unwrap();
        }
        text
    }

    /// Returns the member lists after all committed entries.
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

    /// Queues a call to the table, or its answer, with a delay of a few milliseconds.
    fn push_table(&mut self, member: &MemberId, event: Event) {
        let delay = self.random.random_range(MILLI..5 * MILLI);
        self.push(&member.host, member.incarnation, delay, event);
    }

    /// Checks the invariants after an event at `host`. Only that daemon can have become fresh or
    /// have declared an entry in force.
    fn check(&mut self, host: &HostId) {
        let Some(daemon) = self.daemons.get(host) else { return };
        let in_force = daemon.gossip.freshness.heads().in_force;
        if in_force > self.highest_in_force {
            self.highest_in_force = in_force;
            self.in_force_at.insert(in_force, self.now);
            self.check_admission(None);
        } else {
            self.check_admission(Some(host.clone()));
        }
        if self.highest_in_force > self.newest() {
            self.violation =
                Some(format!("{} is in force but not committed", self.highest_in_force));
        }
    }

    fn check_admission(&mut self, only: Option<HostId>) {
        let admits = |daemon: &&Daemon| {
            daemon.running
                && daemon.paused_until <= self.now
                && daemon.followed() < self.highest_in_force
                && daemon.is_fresh(self.now)
        };
        let selected =
            |daemon: &&Daemon| only.as_ref().is_none_or(|only| daemon.member.host == *only);
        if let Some(daemon) = self.daemons.values().filter(selected).find(admits) {
            let (member, followed, in_force) =
                (&daemon.member, daemon.followed(), self.highest_in_force);
            self.violation =
                Some(format!("{member} admits at {followed} while {in_force} is in force"));
        }
    }

    fn dispatch(&mut self, host: &HostId, incarnation: HostIncarnation, event: Event) {
        let Some(daemon) = self.daemons.get(host) else { return };
        // A call that reached the table is carried out even if the daemon has stopped.
        match event {
            Event::HeadArrives { .. }
            | Event::FetchArrives { .. }
            | Event::CommitArrives { .. } => {
                let member = MemberId { host: host.clone(), incarnation };
                return self.handle_at_table(&member, event);
            }
            _ => {}
        }
        if !daemon.running || daemon.member.incarnation != incarnation {
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
                self.propose_changes(host);
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
                    daemon.wanted_configuration.take_if(|wanted| *wanted == change);
                    daemon.wanted_lists.take_if(|wanted| wanted.0 == change);
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
        let (member, asked_at) = (daemon.member.clone(), daemon.clock(self.now));
        for action in actions {
            match action {
                GossipAction::Send { to, message } => self.send(&member, &to, message),
                GossipAction::ReadTable => {
                    self.push_table(&member, Event::HeadArrives { asked_at });
                }
                GossipAction::FetchEntries(last) => {
                    self.push_table(&member, Event::FetchArrives { last });
                }
                GossipAction::Follow { from, entry } => {
                    let followed = self.follow(host, std::slice::from_ref(&entry));
                    self.carry_out(host, followed);
                    let next = self.daemons[host].gossip.request_missing(&from, &entry);
                    self.carry_out(host, next.into_iter().collect());
                }
                GossipAction::SendEntry { to, position } => {
                    let followed = self.daemons[host].followed();
                    if position <= followed && position > LogPosition(0) {
                        let index = usize::try_from(position.0).unwrap() - 1;
                        let entry = GossipMessage::Entry(self.entries[index].clone());
                        self.send(&member, &to, entry);
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
        let incarnation = receiver.member.incarnation;
        let event = Event::Deliver { from: from.clone(), message };
        // A lossy network also duplicates and delays messages.
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
            actions.extend(daemon.gossip.on_followed(entry, &daemon.lists, now));
        }
        actions
    }

    /// Proposes the changes that the daemon wants: a configuration, its own join, or removals.
    fn propose_changes(&mut self, host: &HostId) {
        let (change, now) = (RequestId(self.random.random()), self.now);
        let present: BTreeSet<HostId> = self.listed_hosts();
        let daemon = self.daemons.get_mut(host).expect("the host exists");
        let heads = daemon.gossip.freshness.heads();
        let may_change = daemon.lists.may_change(heads.in_force);
        if daemon.rounds.is_multiple_of(ROUNDS_PER_HOST_LIST)
            && self.table_up
            && daemon.reaches_table
        {
            let departed = update_departed(daemon, &present, now);
            if !departed.is_empty() {
                daemon.wanted_lists.get_or_insert((change, Intent::Remove(departed)));
            }
        }
        if daemon.gossip.freshness.is_listed() {
            daemon.wanted_lists.take_if(|(_, intent)| matches!(intent, Intent::Join(_)));
        } else if !daemon.leaving {
            let join = Intent::Join(record_of(&daemon.member));
            daemon.wanted_lists.get_or_insert((change, join));
        }
        if heads.followed < heads.known {
            return;
        }
        let settled = |(_, intent): &(RequestId, Intent)| match intent {
            Intent::Join(record) => daemon.lists.may_join(record, heads.in_force),
            Intent::Configure | Intent::Remove(_) => may_change,
        };
        let wanted_lists = daemon.wanted_lists.clone().filter(settled);
        let configured = daemon.wanted_configuration.map(|change| (change, Intent::Configure));
        let member = daemon.member.clone();
        for (change, intent) in configured.into_iter().chain(wanted_lists) {
            let (expected, in_force) = (heads.followed, heads.in_force);
            let commit = Commit { change, intent, expected, in_force };
            self.push_table(&member, Event::CommitArrives { commit });
        }
    }

    fn listed_hosts(&self) -> BTreeSet<HostId> {
        let departed = |daemon: &Daemon| {
            daemon.reclaimed_at.is_some_and(|at| self.now.saturating_sub(at) > HOST_LIST_LAG)
        };
        let listed = self.daemons.iter().filter(|(_, daemon)| !departed(daemon));
        listed.map(|(host, _)| host.clone()).collect()
    }

    fn handle_at_table(&mut self, member: &MemberId, event: Event) {
        self.table_calls += 1;
        if !self.table_up || !self.daemons[&member.host].reaches_table {
            return;
        }
        match event {
            Event::HeadArrives { asked_at } => {
                let (newest, in_force) = (self.newest(), self.row_in_force);
                self.push_table(member, Event::HeadAnswered { asked_at, newest, in_force });
            }
            Event::FetchArrives { last } => {
                let last = usize::try_from(last.0).unwrap().min(self.entries.len());
                let entries = self.entries[..last].to_vec();
                self.push_table(member, Event::Fetched { entries });
            }
            Event::CommitArrives { commit } => {
                self.commit(member, &commit);
                if !self.answers_lost {
                    let (entries, newest) = (self.entries.clone(), self.newest());
                    let change = commit.change;
                    self.push_table(member, Event::CommitAnswered { change, entries, newest });
                }
            }
            _ => {}
        }
    }

    fn commit(&mut self, member: &MemberId, commit: &Commit) {
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
            Intent::Remove(members) => LogBody::Members {
                joined: vec![],
                removed: members.iter().cloned().collect(),
                in_force: commit.in_force,
            },
        };
        self.append(member.host.clone(), commit.change, body);
        self.row_in_force = commit.in_force;
    }

    fn append(&mut self, author: HostId, change: RequestId, body: LogBody) {
        let position = self.newest().next();
        self.entries.push(LogEntry { position, change, author, accepted_at: 0, body });
        self.committed_at.push(self.now);
    }
}

fn record_of(member: &MemberId) -> MemberRecord {
    MemberRecord {
        id: member.clone(),
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

/// Applies the platform's host list; returns the members to remove if the daemon has that role, or
/// none.
fn update_departed(
    daemon: &mut Daemon,
    present: &BTreeSet<HostId>,
    now: u64,
) -> BTreeSet<MemberId> {
    let asked_at = daemon.clock(now);
    let freshness = &mut daemon.gossip.freshness;
    daemon.absence.observe(&daemon.lists, present, asked_at);
    let departed =
        daemon.absence.departed(&daemon.lists, asked_at, |member| freshness.heard_at(member));
    freshness.set_departed(departed.clone(), asked_at);
    let records = daemon.lists.current().records.iter();
    let alive = records.filter(|record| freshness.is_alive(&record.id, asked_at));
    let holder = role_holder("member-list", "", alive.map(|record| &record.id.host));
    if holder != Some(&daemon.member.host) {
        return BTreeSet::new();
    }
    departed
        .into_iter()
        .filter(|member| daemon.lists.current().index_of(member).is_some())
        .collect()
}
