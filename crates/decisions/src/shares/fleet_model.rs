//! Simulation of a fleet, for scenarios and experiments with team shares.
//!
//! Hosts run the share machine with drifting clocks. The network loses, duplicates and delays
//! messages. The table of the platform may be down or unreachable. Callers send requests at random.
//!
//! Freshness and "in force" follow the rules that [`super`] relies on: a host is fresh if it has
//! read the table, or heard a strict majority of the listed hosts, within [`FRESHNESS_SPAN`]. A
//! slot map is in force that long after a strict majority has confirmed it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use dotterellane_protocol::{MemberId, ShareMessage};
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, RequestId, TeamId, TokenCount};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::admissions::{AdmissionMeter, TeamTally};
use super::baselines::{CentralBucket, HostBucket};
use super::timings::drift_padded;
use super::{ShareAction, ShareMachine, ShareStatus, ShareTimings, SlotMap};

/// Time for which a read of the table or a majority heard keeps a host fresh.
pub const FRESHNESS_SPAN: Duration = Duration::from_secs(3);

const TICK_PERIOD: Duration = Duration::from_millis(25);
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Time without gossip after which a host is not assigned roles.
const SILENCE_SPAN: Duration = Duration::from_secs(2);
/// Time between two changes of the list, and before slots are moved.
const SETTLING_SPAN: Duration = Duration::from_secs(5);
/// Time after which a dead host is removed from the list.
const UNLISTING_SPAN: Duration = Duration::from_secs(15);
const DEFAULT_LATENCY: Duration = Duration::from_micros(500);

/// True time at which a simulation starts, in nanoseconds.
const START: u64 = 1_000_000_000_000;

/// Policy by which the rates of teams are enforced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharePolicy {
    /// Share slots that members lend to ledgers.
    Ledgers,
    /// A bucket at every host with an even part of the rate and burst.
    StaticSplit,
    /// A bucket in the platform's table that is read and written for each charge.
    CentralBucket,
}

/// Faults of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// Probability that a message is lost.
    pub lost: f64,
    /// Probability that a message is delivered twice.
    pub doubled: f64,
    /// Probability that a message is late.
    pub late: f64,
    /// Longest additional delay of a late message.
    pub delay: Duration,
    /// Mean latency of messages that are not late.
    pub latency: Duration,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        let (lost, doubled, late) = (0.0, 0.0, 0.0);
        Self { lost, doubled, late, delay: Duration::from_secs(10), latency: DEFAULT_LATENCY }
    }
}

/// Load that the callers of one team generate.
#[derive(Clone, Debug)]
pub struct LoadSource {
    /// Team that the callers belong to.
    pub team: TeamId,
    /// Mean number of requests per second.
    pub requests: f64,
    /// Smallest and largest number of tokens of a request.
    pub tokens: (u64, u64),
    /// Weights by which hosts get requests; all hosts get the same number if empty.
    pub weights: Vec<(HostId, f64)>,
    /// Time from sending a request to its deadline.
    pub max_wait: Duration,
    /// Fraction of each charge that is refunded later.
    pub unused: f64,
    /// Whether callers stay within the team's rate; requests over it are not sent.
    pub shaped: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HostState {
    Running,
    Paused,
    Dead,
}

#[derive(Debug)]
struct ModelHost {
    member: MemberId,
    machine: ShareMachine,
    bucket: HostBucket,
    state: HostState,
    /// Network partition; hosts reach only hosts of the same group.
    group: u32,
    reaches_table: bool,
    drift_ppm: i64,
    /// Reading of the host's clock at true time 0, without drift.
    origin: u64,
    /// When the daemon was killed, in true time.
    died: Option<u64>,
    /// When gossip of each host last arrived, in true time.
    heard: BTreeMap<MemberId, u64>,
    /// When the host last read the table, in true time.
    table_read: Option<u64>,
    /// Newest slot map that the host knows.
    map: Rc<SlotMap>,
    /// Messages that arrived while the host was paused.
    held: Vec<(MemberId, ShareMessage)>,
}

#[derive(Debug)]
enum ModelEvent {
    Deliver { from: MemberId, from_group: u32, to: HostId, message: ShareMessage },
    Tick(HostId),
    Gossip,
    Arrival(usize),
    Refund { host: MemberId, team: TeamId, tokens: TokenCount },
}

/// A request that was neither admitted nor refused yet.
#[derive(Clone, Debug)]
struct SentRequest {
    host: HostId,
    team: TeamId,
    tokens: TokenCount,
    sent: u64,
    in_rate: bool,
    unused: f64,
}

/// A simulated fleet under load and faults.
#[derive(Debug)]
pub struct FleetModel {
    policy: SharePolicy,
    timings: ShareTimings,
    /// True time in nanoseconds, as are all times of type `u64` here.
    now: u64,
    random: Pcg64Mcg,
    /// Separate from `random`, so that every policy gets the same load.
    arrivals: Pcg64Mcg,
    events: BTreeMap<(u64, u64), ModelEvent>,
    next_event: u64,
    hosts: BTreeMap<HostId, ModelHost>,
    /// The member list.
    listed: BTreeSet<MemberId>,
    /// When the member list last changed.
    listed_changed: u64,
    teams: BTreeMap<TeamId, TeamEntry>,
    table_up: bool,
    /// The slot map in the table.
    row: Rc<SlotMap>,
    /// When a majority first confirmed each change of the slot map.
    confirmed_by_majority: BTreeMap<u64, u64>,
    /// Since when the slots need to be moved.
    moves_wanted: Option<u64>,
    central: CentralBucket,
    loads: Vec<Option<LoadSource>>,
    requests: BTreeMap<RequestId, SentRequest>,
    next_request: u128,
    meters: BTreeMap<TeamId, AdmissionMeter>,
    tallies: BTreeMap<TeamId, TeamTally>,
    /// Faults of the network for messages sent from now on.
    pub network: NetworkFaults,
    /// Messages and bytes sent by each host.
    messages: BTreeMap<HostId, (u64, u64)>,
    violation: Option<String>,
    message_size: fn(&ShareMessage) -> usize,
}

impl FleetModel {
    /// Creates a fleet without hosts; runs with the same seed are identical.
    pub fn new(policy: SharePolicy, timings: ShareTimings, seed: u64) -> Self {
        let mut model = Self {
            policy,
            timings,
            now: START,
            random: Pcg64Mcg::seed_from_u64(seed),
            arrivals: Pcg64Mcg::seed_from_u64(!seed),
            events: BTreeMap::new(),
            next_event: 0,
            hosts: BTreeMap::new(),
            listed: BTreeSet::new(),
            listed_changed: 0,
            teams: BTreeMap::new(),
            table_up: true,
            row: Rc::default(),
            confirmed_by_majority: BTreeMap::new(),
            moves_wanted: None,
            central: CentralBucket::default(),
            loads: Vec::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            meters: BTreeMap::new(),
            tallies: BTreeMap::new(),
            network: NetworkFaults::default(),
            messages: BTreeMap::new(),
            violation: None,
            message_size: |_| 0,
        };
        model.schedule(Duration::ZERO, ModelEvent::Gossip);
        model
    }

    /// Sets the function that returns the encoded size of a message, in bytes.
    pub fn set_message_size(&mut self, size: fn(&ShareMessage) -> usize) {
        self.message_size = size;
    }

    /// Sets a team's rate and burst on every host.
    pub fn set_team(&mut self, team: &TeamId, rates: TeamEntry) {
        self.teams.insert(team.clone(), rates.clone());
        self.central.set_team(team, &rates, self.now);
        let settled = self.now + nanos(drift_padded(self.timings.loan_term));
        match self.meters.get_mut(team) {
            Some(meter) => meter.set_rates(&rates, self.now, settled),
            None => {
                self.meters.insert(team.clone(), AdmissionMeter::new(&rates, self.now));
            }
        }
        self.tallies
            .entry(team.clone())
            .or_insert_with(|| TeamTally::new(&rates, self.now))
            .set_rates(&rates, self.now);
        let teams = self.teams.clone();
        for host in self.hosts.values_mut() {
            let now = host.clock(self.now);
            host.machine.set_teams(&teams, now);
        }
    }

    /// Starts a daemon on `host`; a running one is replaced by a new incarnation.
    pub fn start(&mut self, host: &HostId) {
        self.requests.retain(|_, sent| sent.host != *host);
        let before = self.hosts.get(host).map_or(0, |old| old.member.incarnation.0);
        let member = MemberId { host: host.clone(), incarnation: HostIncarnation(before + 1) };
        let mut machine = ShareMachine::new(member.clone(), self.timings);
        let mut started = ModelHost {
            member,
            machine: ShareMachine::new(
                MemberId { host: host.clone(), incarnation: HostIncarnation(0) },
                self.timings,
            ),
            bucket: HostBucket::default(),
            state: HostState::Running,
            group: 0,
            reaches_table: true,
            drift_ppm: self.hosts.get(host).map_or(0, |old| old.drift_ppm),
            origin: self.random.random_range(100_000_000_000..200_000_000_000),
            died: None,
            heard: BTreeMap::new(),
            table_read: None,
            map: Rc::default(),
            held: Vec::new(),
        };
        machine.set_teams(&self.teams, started.clock(self.now));
        started.machine = machine;
        self.hosts.insert(host.clone(), started);
        if before == 0 {
            let offset = Duration::from_micros(self.random.random_range(0..25_000));
            self.schedule(offset, ModelEvent::Tick(host.clone()));
        }
    }

    /// Kills the daemon on `host`.
    pub fn kill(&mut self, host: &HostId) {
        let now = self.now;
        // The connections of its callers break, so their requests end without an outcome.
        self.requests.retain(|_, sent| sent.host != *host);
        if let Some(host) = self.hosts.get_mut(host) {
            host.state = HostState::Dead;
            host.died = Some(now);
        }
    }

    /// Pauses the daemon on `host`; its clock keeps running.
    pub fn pause(&mut self, host: &HostId) {
        if let Some(host) = self.hosts.get_mut(host)
            && host.state == HostState::Running
        {
            host.state = HostState::Paused;
        }
    }

    /// Resumes a paused daemon, which first handles the messages that arrived meanwhile.
    pub fn resume(&mut self, host: &HostId) {
        let Some(paused) = self.hosts.get_mut(host) else { return };
        if paused.state != HostState::Paused {
            return;
        }
        paused.state = HostState::Running;
        for (from, message) in std::mem::take(&mut paused.held) {
            self.deliver(&from, host, &message);
        }
    }

    /// Returns whether the daemon on `host` is running.
    pub fn is_running(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|host| host.state == HostState::Running)
    }

    /// Moves `host` to a part of the network whose hosts reach only each other.
    pub fn set_group(&mut self, host: &HostId, group: u32, reaches_table: bool) {
        if let Some(host) = self.hosts.get_mut(host) {
            (host.group, host.reaches_table) = (group, reaches_table);
        }
    }

    /// Sets the drift of the clock of `host` against true time, in parts per million.
    pub fn set_drift(&mut self, host: &HostId, drift_ppm: i64) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(host) {
            let reading = host.clock(now).0;
            host.drift_ppm = drift_ppm;
            let shifted = host.clock(now).0;
            host.origin = (host.origin + reading).saturating_sub(shifted);
        }
    }

    /// Sets whether the table is up.
    pub fn set_table(&mut self, up: bool) {
        self.table_up = up;
    }

    /// Starts a load; returns its number.
    pub fn add_load(&mut self, load: LoadSource) -> usize {
        self.loads.push(Some(load));
        let number = self.loads.len() - 1;
        self.schedule(Duration::ZERO, ModelEvent::Arrival(number));
        number
    }

    /// Stops all loads of `team`.
    pub fn stop_load(&mut self, team: &TeamId) {
        for load in &mut self.loads {
            if load.as_ref().is_some_and(|load| load.team == *team) {
                *load = None;
            }
        }
    }

    /// Runs the simulation for `span` of true time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + nanos(span);
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the counts of a team's requests so far.
    pub fn tally(&self, team: &TeamId) -> TeamTally {
        let mut tally = self.tallies.get(team).cloned().unwrap_or_default();
        if let Some(meter) = self.meters.get(team) {
            tally.overshoot = meter.overshoot();
            tally.peak = meter.peak();
        }
        tally.waiting = self.requests.values().filter(|sent| sent.team == *team).count();
        tally
    }

    /// Returns the largest number of tokens that any team got beyond rate x window + burst.
    pub fn overshoot(&self) -> TokenCount {
        self.meters.values().map(AdmissionMeter::overshoot).max().unwrap_or_default()
    }

    /// Returns the number of messages and bytes that each host has sent.
    pub fn messages(&self) -> &BTreeMap<HostId, (u64, u64)> {
        &self.messages
    }

    /// Returns the number of round trips to the table for charges.
    pub fn table_trips(&self) -> u64 {
        self.central.round_trips()
    }

    /// Returns the host of the ledger of `team`, chosen among all running hosts.
    pub fn ledger(&self, team: &TeamId) -> Option<HostId> {
        let running = self.hosts.values().filter(|host| host.state == HostState::Running);
        let hosts: Vec<HostId> = running.map(|host| host.member.host.clone()).collect();
        crate::rendezvous::role_holder(super::machine::LEDGER_ROLE, team.as_str(), &hosts).cloned()
    }

    /// Returns the number of usable share slots of each host that is not dead.
    pub fn slots(&self) -> Vec<(HostId, usize)> {
        let live = self.hosts.values().filter(|host| host.state != HostState::Dead);
        live.map(|host| (host.member.host.clone(), host.machine.usable_slots())).collect()
    }

    /// Returns a description of the first violation of an invariant: the hosts together held more
    /// than a team's burst, or added tokens faster than its rate.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn check_holdings(&mut self) {
        let now = self.now;
        for (team, meter) in &mut self.meters {
            let limits = meter.limits(now);
            let (mut tokens, mut rate) = (TokenCount(0), 0);
            for host in self.hosts.values().filter(|host| host.state != HostState::Dead) {
                let held =
                    host.machine.holdings(team, host.is_fresh(&self.listed, now), host.clock(now));
                tokens += held.tokens;
                rate += held.rate;
            }
            if self.violation.is_none()
                && (tokens > limits.burst || rate > limits.rate.milli_tokens())
            {
                let at = Duration::from_nanos(now - START);
                self.violation = Some(format!(
                    "{at:?}: {team} holds {tokens} tokens of a burst of {} and adds {rate} of {} \
                     thousandths of a token per second",
                    limits.burst,
                    limits.rate.milli_tokens()
                ));
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: ModelEvent) {
        self.next_event += 1;
        self.events.insert((self.now + nanos(after), self.next_event), event);
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Deliver { from, from_group, to, message } => {
                let reached = self.hosts.get(&to).is_some_and(|host| host.group == from_group);
                if reached {
                    self.deliver(&from, &to, &message);
                }
            }
            ModelEvent::Tick(host) => {
                self.tick(&host);
                self.schedule(TICK_PERIOD, ModelEvent::Tick(host));
            }
            ModelEvent::Gossip => {
                self.gossip();
                self.schedule(GOSSIP_PERIOD, ModelEvent::Gossip);
            }
            ModelEvent::Arrival(number) => self.arrive(number),
            ModelEvent::Refund { host, team, tokens } => self.refund(&host, &team, tokens),
        }
    }

    fn deliver(&mut self, from: &MemberId, to: &HostId, message: &ShareMessage) {
        let Some(host) = self.hosts.get_mut(to) else { return };
        match host.state {
            HostState::Dead => {}
            HostState::Paused => host.held.push((from.clone(), message.clone())),
            HostState::Running => {
                self.step(to, |machine, now| machine.deliver(from, message, now));
            }
        }
    }

    fn tick(&mut self, host: &HostId) {
        if self.hosts.get(host).is_none_or(|host| host.state != HostState::Running) {
            return;
        }
        match self.policy {
            SharePolicy::Ledgers => self.step(host, ShareMachine::tick),
            SharePolicy::StaticSplit => self.tick_bucket(host),
            SharePolicy::CentralBucket => self.tick_central(),
        }
    }

    fn tick_bucket(&mut self, name: &HostId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else { return };
        let (member, actions) = (host.member.clone(), host.bucket.tick(now));
        self.act(&member, actions);
    }

    fn tick_central(&mut self) {
        let (now, up) = (self.now, self.table_up);
        let actions = self.central.tick(up, now);
        let Some(host) = self.hosts.values().find(|host| host.state == HostState::Running) else {
            return;
        };
        let member = host.member.clone();
        self.act(&member, actions);
    }

    /// Calls `step` on the machine of `host` with the time of its own clock.
    fn step<S>(&mut self, host: &HostId, step: S)
    where
        S: FnOnce(&mut ShareMachine, ClockInstant) -> Vec<ShareAction>,
    {
        let (now, in_force) = (self.now, self.in_force());
        let Some(host) = self.hosts.get_mut(host) else { return };
        let clock = host.clock(now);
        let fresh = host.is_fresh(&self.listed, now);
        let status = ShareStatus { fresh, slots_known: host.map.change, slots_in_force: in_force };
        let before: Vec<TokenCount> =
            self.meters.keys().map(|team| host.machine.refunds_taken(team)).collect();
        let mut actions = host.machine.set_status(status, clock);
        actions.extend(step(&mut host.machine, clock));
        // A refund counts from when its tokens can be spent again.
        for ((team, meter), before) in self.meters.iter_mut().zip(before) {
            meter.refund(host.machine.refunds_taken(team) - before, now);
        }
        let member = host.member.clone();
        self.act(&member, actions);
    }

    fn act(&mut self, member: &MemberId, actions: Vec<ShareAction>) {
        for action in actions {
            match action {
                ShareAction::Send { to, message } => self.send(member, to, message),
                ShareAction::Admit { request, team, tokens } => {
                    self.admit(member, request, &team, tokens);
                }
                ShareAction::Refuse { request, .. } => {
                    if let Some(sent) = self.requests.remove(&request)
                        && let Some(tally) = self.tallies.get_mut(&sent.team)
                    {
                        let waited = Duration::from_nanos(self.now - sent.sent);
                        tally.note_refused(sent.in_rate, waited);
                    }
                }
            }
        }
    }

    fn admit(&mut self, member: &MemberId, request: RequestId, team: &TeamId, tokens: TokenCount) {
        let sent = self.requests.remove(&request);
        if let Some(meter) = self.meters.get_mut(team) {
            meter.admit(tokens, self.now);
        }
        let Some(sent) = sent else { return };
        if let Some(tally) = self.tallies.get_mut(team) {
            tally.note_admitted(sent.tokens, Duration::from_nanos(self.now - sent.sent));
        }
        if sent.unused > 0.0 {
            let unused = TokenCount((sent.tokens.0 as f64 * sent.unused) as u64);
            let event =
                ModelEvent::Refund { host: member.clone(), team: team.clone(), tokens: unused };
            let held = Duration::from_millis(self.random.random_range(100..5_000));
            self.schedule(held, event);
        }
    }

    fn refund(&mut self, member: &MemberId, team: &TeamId, tokens: TokenCount) {
        let Some(host) = self.hosts.get_mut(&member.host) else { return };
        if host.member != *member || host.state != HostState::Running {
            return;
        }
        let pooled = self.policy == SharePolicy::Ledgers;
        if let Some(meter) = self.meters.get_mut(team).filter(|_| !pooled) {
            meter.refund(tokens, self.now);
        }
        if let Some(tally) = self.tallies.get_mut(team) {
            tally.note_refund(tokens, self.now);
        }
        match self.policy {
            SharePolicy::Ledgers => {
                self.step(&member.host, |machine, now| machine.refund(team, tokens, now));
            }
            SharePolicy::StaticSplit => {
                let now = self.now;
                if let Some(host) = self.hosts.get_mut(&member.host) {
                    host.bucket.refund(team, tokens, now);
                }
            }
            SharePolicy::CentralBucket => self.central.refund(team, tokens, self.now),
        }
    }

    fn send(&mut self, from: &MemberId, to: HostId, message: ShareMessage) {
        let Some(sender) = self.hosts.get(&from.host) else { return };
        let from_group = sender.group;
        let sent = self.messages.entry(from.host.clone()).or_default();
        *sent = (sent.0 + 1, sent.1 + (self.message_size)(&message) as u64);
        let faults = self.network;
        if self.random.random_bool(faults.lost) {
            return;
        }
        let copies = if self.random.random_bool(faults.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let spread = self.random.random_range(0.75..1.25);
            let mut delay = faults.latency.mul_f64(spread);
            if self.random.random_bool(faults.late) {
                delay += faults.delay.mul_f64(self.random.random_range(0.0..1.0));
            }
            let (from, to, message) = (from.clone(), to.clone(), message.clone());
            self.schedule(delay, ModelEvent::Deliver { from, from_group, to, message });
        }
    }

    fn arrive(&mut self, number: usize) {
        let Some(load) = self.loads.get(number).cloned().flatten() else { return };
        let gap = -(1.0 - self.arrivals.random_range(0.0..1.0_f64)).ln() / load.requests;
        self.schedule(Duration::from_secs_f64(gap), ModelEvent::Arrival(number));
        let tokens = TokenCount(self.arrivals.random_range(load.tokens.0..=load.tokens.1));
        let Some(host) = self.pick_host(&load) else { return };
        let tally = self.tallies.entry(load.team.clone()).or_default();
        let in_rate = tally.note_sent(tokens, self.now, load.shaped);
        if in_rate || !load.shaped {
            // A team that doesn't stay within its rate may be refused any request.
            let in_rate = in_rate && load.shaped;
            self.charge(&host, &load.team, tokens, load.max_wait, load.unused, in_rate);
        }
    }

    /// Picks a host as a load balancer does: a running one whose health check passes.
    fn pick_host(&mut self, load: &LoadSource) -> Option<HostId> {
        let weight = |host: &ModelHost| {
            let found = load.weights.iter().find(|(name, _)| *name == host.member.host);
            found.map_or(if load.weights.is_empty() { 1.0 } else { 0.0 }, |(_, weight)| *weight)
        };
        let healthy = self.hosts.values().filter(|host| {
            host.state == HostState::Running && host.is_fresh(&self.listed, self.now)
        });
        let choices: Vec<(HostId, f64)> =
            healthy.map(|host| (host.member.host.clone(), weight(host))).collect();
        let total: f64 = choices.iter().map(|(_, weight)| weight).sum();
        if total <= 0.0 {
            return choices.first().map(|(host, _)| host.clone());
        }
        let mut point = self.arrivals.random_range(0.0..total);
        let found = choices.iter().find(|(_, weight)| {
            point -= weight;
            point < 0.0
        });
        found.or(choices.last()).map(|(host, _)| host.clone())
    }

    /// Sends one request to `host`, with its deadline in `max_wait`; returns its id.
    pub fn send_request(
        &mut self,
        host: &HostId,
        team: &TeamId,
        tokens: TokenCount,
        max_wait: Duration,
    ) -> RequestId {
        let in_rate =
            self.tallies.entry(team.clone()).or_default().note_sent(tokens, self.now, false);
        self.charge(host, team, tokens, max_wait, 0.0, in_rate)
    }

    fn charge(
        &mut self,
        host: &HostId,
        team: &TeamId,
        tokens: TokenCount,
        max_wait: Duration,
        unused: f64,
        in_rate: bool,
    ) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let sent = SentRequest {
            host: host.clone(),
            team: team.clone(),
            tokens,
            sent: self.now,
            in_rate,
            unused,
        };
        self.requests.insert(request, sent);
        let deadline = ClockInstant(self.now) + max_wait;
        match self.policy {
            SharePolicy::Ledgers => self.step(host, |machine, now| {
                machine.charge(request, team, tokens, now + max_wait, now)
            }),
            SharePolicy::StaticSplit => {
                let (now, parts) = (self.now, self.listed.len().max(1) as u64);
                let rates = self.teams.get(team).cloned();
                let Some((host, rates)) = self.hosts.get_mut(host).zip(rates) else {
                    return request;
                };
                let charge = (request, tokens, deadline.0);
                let actions = host.bucket.charge(team, &rates, parts, charge, now);
                let member = host.member.clone();
                self.act(&member, actions);
            }
            SharePolicy::CentralBucket => {
                let charge = (request, tokens, deadline.0);
                let actions = self.central.charge(team, charge, self.table_up, self.now);
                let member = MemberId { host: host.clone(), incarnation: HostIncarnation(1) };
                self.act(&member, actions);
            }
        }
        request
    }

    /// Returns whether a request was neither admitted nor refused yet.
    pub fn waits(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    fn in_force(&self) -> u64 {
        let old = |at: &u64| self.now - at >= nanos(FRESHNESS_SPAN) + nanos(FRESHNESS_SPAN) / 100;
        let mut in_force = 0;
        for (change, at) in &self.confirmed_by_majority {
            if old(at) || self.confirmed_by_all(*change) {
                in_force = *change;
            }
        }
        in_force
    }

    fn confirmed_by_all(&self, change: u64) -> bool {
        self.listed.iter().all(|member| {
            let host = self.hosts.get(&member.host);
            host.is_some_and(|host| host.member == *member && host.map.change >= change)
        })
    }

    fn gossip(&mut self) {
        if self.policy == SharePolicy::Ledgers {
            self.check_holdings();
        }
        self.read_table();
        let states: Vec<(MemberId, u32, Rc<SlotMap>)> = self
            .hosts
            .values()
            .filter(|host| host.state == HostState::Running)
            .map(|host| (host.member.clone(), host.group, host.map.clone()))
            .collect();
        let now = self.now;
        for host in self.hosts.values_mut().filter(|host| host.state == HostState::Running) {
            for (member, group, map) in &states {
                if *group == host.group {
                    host.heard.insert(member.clone(), now);
                    host.learn(map, now);
                }
            }
            host.see_members(now);
        }
        self.count_confirmations();
        self.change_list();
        self.move_slots();
    }

    fn read_table(&mut self) {
        let (now, up) = (self.now, self.table_up);
        let map = self.row.clone();
        let readers = self
            .hosts
            .values_mut()
            .filter(|host| up && host.reaches_table && host.state == HostState::Running);
        for host in readers {
            host.table_read = Some(now);
            host.learn(&map, now);
        }
    }

    fn count_confirmations(&mut self) {
        let change = self.row.change;
        let confirmed = self.listed.iter().filter(|member| {
            let host = self.hosts.get(&member.host);
            host.is_some_and(|host| host.member == **member && host.map.change >= change)
        });
        if change > 0 && confirmed.count() * 2 > self.listed.len() {
            self.confirmed_by_majority.entry(change).or_insert(self.now);
        }
    }

    /// Adds started hosts to the list and removes hosts that were dead for long, one at a time.
    fn change_list(&mut self) {
        let settled = self.now - self.listed_changed >= nanos(SETTLING_SPAN);
        if !self.table_up || (!self.listed.is_empty() && !settled) {
            return;
        }
        let current =
            |member: &MemberId| self.hosts.get(&member.host).filter(|h| h.member == *member);
        let long = nanos(UNLISTING_SPAN);
        let gone = self.listed.iter().find(|member| {
            current(member).is_none_or(|host| host.died.is_some_and(|at| self.now - at >= long))
        });
        if let Some(gone) = gone.cloned() {
            self.listed.remove(&gone);
            self.listed_changed = self.now;
            return;
        }
        let first = self.listed.is_empty();
        for host in self.hosts.values() {
            let joins = host.state == HostState::Running && host.reaches_table && host.group == 0;
            if joins && self.listed.insert(host.member.clone()) {
                self.listed_changed = self.now;
                if !first {
                    return;
                }
            }
        }
    }

    fn move_slots(&mut self) {
        let members: Vec<MemberId> = self
            .listed
            .iter()
            .filter(|member| {
                self.hosts.get(&member.host).is_some_and(|host| {
                    host.member == **member && host.state == HostState::Running && host.group == 0
                })
            })
            .cloned()
            .collect();
        let wanted = self.row.rebalanced(&members).filter(|_| self.table_up);
        let Some(map) = wanted else {
            self.moves_wanted = None;
            return;
        };
        let since = *self.moves_wanted.get_or_insert(self.now);
        if map.change > 1 && self.now - since < nanos(SETTLING_SPAN) {
            return;
        }
        self.moves_wanted = None;
        self.row = Rc::new(map);
    }
}

impl ModelHost {
    fn clock(&self, now: u64) -> ClockInstant {
        let skew = i128::from(now) * i128::from(self.drift_ppm) / 1_000_000;
        let reading = i128::from(now) + i128::from(self.origin) + skew;
        ClockInstant(u64::try_from(reading).unwrap_or(0))
    }

    fn is_fresh(&self, listed: &BTreeSet<MemberId>, now: u64) -> bool {
        let recent = |at: &u64| now - at < nanos(FRESHNESS_SPAN);
        let heard = listed.iter().filter(|member| self.heard.get(member).is_some_and(recent));
        self.table_read.as_ref().is_some_and(recent) || heard.count() * 2 > listed.len()
    }

    fn learn(&mut self, map: &Rc<SlotMap>, now: u64) {
        if map.change > self.map.change {
            self.map = map.clone();
            let now = self.clock(now);
            self.machine.set_slots(map, now);
        }
    }

    fn see_members(&mut self, now: u64) {
        let silence = nanos(SILENCE_SPAN);
        let heard = self.heard.iter().filter(|(_, at)| now - **at < silence);
        let mut serving: Vec<HostId> = heard.map(|(member, _)| member.host.clone()).collect();
        serving.dedup();
        self.machine.set_members(serving);
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
