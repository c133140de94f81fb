//! Simulates hosts that begin and resume streams while software versions come and go, over the
//! machines of `stream_versions` and the leader lease; the rest of the gateway is modelled.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterellane_decisions::stream_versions::StreamDigest;
use dotterellane_units::{ServiceId, SoftwareVersion};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::host::{Message, Removed, SimulatedHost, StoreAnswer, StoreRequest};
use crate::store::SimulatedStore;

/// Number of hosts.
pub const HOSTS: usize = 4;

/// Time between two steps.
const STEP_MS: u64 = 20;

/// Time after which a call to the store counts as failed, and a write of the history.
const CALL_TIMEOUT_MS: u64 = 1_000;
const WRITE_TIMEOUT_MS: u64 = 500;

/// Longest time after which a late write takes effect.
const MAX_LATE_MS: u64 = 8_000;

/// Longest time in which a host restarts.
const MAX_RESTART_MS: u64 = 3_000;

/// Longest time for which an upstream serves on after its row was removed.
const MAX_DRAIN_MS: u64 = 6_000;

/// Longest time for which a resumption waits for a fresh history.
const HISTORY_WAIT_MS: u64 = 250;

/// What happens in a schedule; probabilities are per second.
#[derive(Clone, Copy, Debug)]
pub struct Troubles {
    pub releases: f64,
    pub unknown_versions: bool,
    pub kills: f64,
    pub kills_of_all: f64,
    pub freezes: f64,
    /// Share of lost datagrams.
    pub lost: f64,
    /// Cuts of one host off from the others or from the store.
    pub cuts: f64,
    /// Share of writes that take effect late and are not answered.
    pub late_writes: f64,
    /// Share of late writes of the history whose writer is killed or frozen meanwhile.
    pub lost_writers: f64,
    pub outages: f64,
    pub restores: f64,
    /// Longest jump of the store's clock in a restore, either way.
    pub clock_jump_ms: i64,
    /// Whether hosts are killed only one at a time, a while after releases.
    pub keeps_kills_apart: bool,
}

/// No trouble.
pub const CALM: Troubles = Troubles {
    releases: 0.0,
    unknown_versions: false,
    kills: 0.0,
    kills_of_all: 0.0,
    freezes: 0.0,
    lost: 0.0,
    cuts: 0.0,
    late_writes: 0.0,
    lost_writers: 0.0,
    outages: 0.0,
    restores: 0.0,
    clock_jump_ms: 0,
    keeps_kills_apart: false,
};

/// An upstream; `software` is what it really runs.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub software: u32,
    pub version: Option<SoftwareVersion>,
    listed_from: u64,
    row_removed_at: Option<u64>,
    alive_until: Option<u64>,
    /// Time until which its row is missing after a restore.
    missing_until: u64,
}

impl Upstream {
    fn is_alive(&self, now: u64) -> bool {
        self.alive_until.is_none_or(|until| now < until)
    }

    fn is_listed(&self, now: u64) -> bool {
        now >= self.listed_from
            && now >= self.missing_until
            && self.row_removed_at.is_none_or(|at| now < at)
    }
}

#[derive(Clone, Debug)]
struct BegunStream {
    digest: StreamDigest,
    software: u32,
    version: Option<SoftwareVersion>,
    begun_at: u64,
}

struct WaitingResumption {
    stream: usize,
    host: usize,
    until: u64,
}

/// Counts of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub begun: u64,
    pub resumed: u64,
    /// Resumptions that went on at other software than began the stream.
    pub crossed: u64,
    /// Resumptions of streams whose version still serves, at hosts that have run for a while.
    pub due: u64,
    /// Those of them that were refused.
    pub refused: u64,
}

impl Outcome {
    /// Adds the counts of another schedule.
    pub fn add(&mut self, other: Self) {
        self.begun += other.begun;
        self.resumed += other.resumed;
        self.crossed += other.crossed;
        self.due += other.due;
        self.refused += other.refused;
    }
}

/// A message or an answer on its way.
struct Delivery<T> {
    at: u64,
    host: usize,
    incarnation: u64,
    content: T,
}

struct PendingCall {
    effect_at: u64,
    /// `None` if the answer is lost.
    answer_at: Option<u64>,
    host: usize,
    incarnation: u64,
    request: StoreRequest,
}

pub struct Simulation {
    pub random: Pcg64Mcg,
    pub troubles: Troubles,
    pub service: ServiceId,
    pub now: u64,
    pub store: SimulatedStore,
    pub upstreams: Vec<Upstream>,
    pub hosts: Vec<SimulatedHost>,
    pub outcome: Outcome,
    calls: Vec<PendingCall>,
    answers: Vec<Delivery<StoreAnswer>>,
    messages: Vec<Delivery<Message>>,
    streams: Vec<BegunStream>,
    waiting: Vec<WaitingResumption>,
    next_software: u32,
    /// Time until which nothing is killed, as a release has just changed the versions.
    quiet_until: u64,
}

impl Simulation {
    pub fn new(seed: u64, troubles: Troubles, removed: Removed) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let store = SimulatedStore::new(&mut random);
        let hosts = (0..HOSTS).map(|index| SimulatedHost::new(index, &mut random, removed));
        let hosts = hosts.collect();
        let mut simulation = Self {
            random,
            troubles,
            service: "models".parse().expect("valid id"),
            now: 0,
            store,
            upstreams: Vec::new(),
            hosts,
            outcome: Outcome::default(),
            calls: Vec::new(),
            answers: Vec::new(),
            messages: Vec::new(),
            streams: Vec::new(),
            waiting: Vec::new(),
            next_software: 0,
            quiet_until: 0,
        };
        simulation.add_software(0);
        if troubles.releases > 0.0 && simulation.random.random_bool(0.2) {
            simulation.add_software(0);
        }
        simulation
    }

    fn chance(&mut self, per_second: f64) -> bool {
        per_second > 0.0
            && self.random.random_bool((per_second * STEP_MS as f64 / 1_000.0).min(1.0))
    }

    fn add_software(&mut self, delay: u64) {
        let software = self.next_software;
        self.next_software += 1;
        let is_unknown = self.troubles.unknown_versions && self.random.random_bool(0.25);
        let version = (!is_unknown).then(|| format!("v{software}").parse().expect("valid version"));
        self.add_upstreams(software, version.as_ref(), delay);
    }

    fn add_upstreams(&mut self, software: u32, version: Option<&SoftwareVersion>, delay: u64) {
        for _ in 0..2 {
            let listed_from = self.now + delay + self.random.random_range(0..1_500);
            self.upstreams.push(Upstream {
                software,
                version: version.cloned(),
                listed_from,
                row_removed_at: None,
                alive_until: None,
                missing_until: 0,
            });
        }
    }

    /// Lets the upstreams of a software leave after a random time.
    fn remove_software(&mut self, software: u32, delay: u64) {
        for index in 0..self.upstreams.len() {
            let drain = self.random.random_range(500..MAX_DRAIN_MS);
            let upstream = &mut self.upstreams[index];
            if upstream.software == software && upstream.row_removed_at.is_none() {
                let at = (self.now + delay).max(upstream.listed_from);
                upstream.row_removed_at = Some(at);
                upstream.alive_until = Some(at + drain);
            }
        }
    }

    fn release(&mut self) {
        let serving: BTreeSet<u32> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.row_removed_at.is_none())
            .map(|upstream| upstream.software)
            .collect();
        let old: Vec<u32> = serving.into_iter().collect();
        self.quiet_until = self.now + 20_000;
        match self.random.random_range(0..4) {
            // One after the other; the old one may leave before the new one comes.
            0 | 1 => {
                let delay = self.random.random_range(0..4_000);
                self.add_software(delay);
                for software in old {
                    let delay = self.random.random_range(0..10_000);
                    self.remove_software(software, delay);
                }
            }
            // Back again to an earlier one.
            2 if self.next_software > 1 => {
                let software = self.random.random_range(0..self.next_software);
                let version = self.upstreams.iter().find(|of| of.software == software);
                let version = version.and_then(|upstream| upstream.version.clone());
                for software in old {
                    let delay = self.random.random_range(0..10_000);
                    self.remove_software(software, delay);
                }
                // An unknown one runs other software each time.
                match version {
                    Some(version) => self.add_upstreams(software, Some(&version), 0),
                    None => self.add_software(0),
                }
            }
            // Side by side.
            _ => self.add_software(0),
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
            self.now += STEP_MS;
        }
    }

    fn step(&mut self) {
        self.store.keep_copy(self.now);
        self.cause_troubles();
        self.list_upstreams();
        self.serve_calls();
        for host in 0..HOSTS {
            self.step_host(host);
        }
        self.finish_resumptions();
    }

    fn cause_troubles(&mut self) {
        let troubles = self.troubles;
        if self.chance(troubles.releases) {
            self.release();
        }
        let is_quiet = self.troubles.keeps_kills_apart && self.now < self.quiet_until;
        if self.chance(troubles.kills) && !is_quiet {
            let host = self.random.random_range(0..HOSTS);
            self.kill(host);
            self.quiet_until = self.now + 8_000;
        }
        if self.chance(troubles.kills_of_all) {
            (0..HOSTS).for_each(|host| self.kill(host));
        }
        for host in 0..HOSTS {
            if self.chance(troubles.freezes) {
                self.hosts[host].frozen_until = self.now + self.random.random_range(200..6_000);
            }
            if self.chance(troubles.cuts) {
                self.hosts[host].peers_cut_until = self.now + self.random.random_range(500..6_000);
            }
            if self.chance(troubles.cuts) {
                self.hosts[host].store_cut_until = self.now + self.random.random_range(500..6_000);
            }
        }
        if self.chance(troubles.outages) {
            self.store.away_until = self.now + self.random.random_range(100..6_000);
        }
        if self.chance(troubles.restores) {
            self.restore();
        }
    }

    fn restore(&mut self) {
        let most = self.troubles.clock_jump_ms;
        let jump = if most > 0 { self.random.random_range(-most..=most) } else { 0 };
        self.store.restore(&mut self.random, jump);
        self.store.away_until = self.now + self.random.random_range(0..1_500);
        // Rows that the copy has and that are gone go again; missing ones come back.
        for index in 0..self.upstreams.len() {
            if !self.store.rows.listed.contains(&index) {
                let missing = self.store.away_until + self.random.random_range(0..2_000);
                self.upstreams[index].missing_until = missing;
            }
        }
    }

    fn kill(&mut self, host: usize) {
        let restart = self.now + self.random.random_range(100..MAX_RESTART_MS);
        self.hosts[host].kill(restart);
    }

    fn list_upstreams(&mut self) {
        if self.now < self.store.away_until {
            return;
        }
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if upstream.is_listed(self.now) {
                self.store.rows.listed.insert(index);
            } else if self.now >= upstream.missing_until {
                self.store.rows.listed.remove(&index);
            }
        }
    }

    /// Takes a call of a host; effect and answer come later.
    pub fn call_store(&mut self, host: usize, request: StoreRequest) {
        let incarnation = self.hosts[host].incarnation;
        let is_away =
            self.now < self.store.away_until || self.now < self.hosts[host].store_cut_until;
        let (effect, answer) = (self.random.random_range(0..60), self.random.random_range(0..60));
        let mut call = PendingCall {
            effect_at: self.now + effect,
            answer_at: Some(self.now + effect + answer),
            host,
            incarnation,
            request,
        };
        if is_away {
            // Not performed, or late.
            call.answer_at = None;
            let is_late =
                call.request.is_write() && self.random.random_bool(self.troubles.late_writes);
            call.effect_at = if is_late {
                self.now + self.random.random_range(0..MAX_LATE_MS)
            } else {
                u64::MAX
            };
        } else if call.request.is_write() && self.random.random_bool(self.troubles.late_writes) {
            let most = if self.random.random_bool(0.5) { 3_000 } else { MAX_LATE_MS };
            let late = self.random.random_range(100..most);
            call.effect_at = self.now + late;
            let is_answered = self.random.random_bool(0.3);
            call.answer_at = is_answered.then_some(self.now + late + answer);
        } else if self.random.random_bool(self.troubles.late_writes / 2.0) {
            // A slow call.
            call.effect_at = self.now + self.random.random_range(0..900);
            call.answer_at = Some(call.effect_at + self.random.random_range(0..900));
        }
        let is_history = matches!(call.request, StoreRequest::WriteHistory { .. });
        if is_history && call.effect_at > self.now + 100 && call.effect_at < u64::MAX {
            self.lose_writer(&mut call);
        }
        let timeout = if is_history { WRITE_TIMEOUT_MS } else { CALL_TIMEOUT_MS };
        let deadline = Delivery {
            at: self.now + timeout,
            host,
            incarnation,
            content: StoreAnswer::failure(self.hosts[host].last_call()),
        };
        self.answers.push(deadline);
        if call.effect_at < u64::MAX {
            self.calls.push(call);
        }
    }

    /// Kills the host that wrote the history, or freezes it until the answer is there.
    fn lose_writer(&mut self, call: &mut PendingCall) {
        if !self.random.random_bool(self.troubles.lost_writers) {
            return;
        }
        if self.random.random_bool(0.5) {
            self.kill(call.host);
        } else {
            let answer_at = call.effect_at + 20;
            call.answer_at = Some(answer_at);
            self.hosts[call.host].frozen_until = answer_at + 20;
        }
    }

    fn serve_calls(&mut self) {
        let mut index = 0;
        while index < self.calls.len() {
            if self.calls[index].effect_at > self.now || self.now < self.store.away_until {
                index += 1;
                continue;
            }
            let call = self.calls.swap_remove(index);
            let content = call.request.perform(self.now, &mut self.store);
            let (host, incarnation) = (call.host, call.incarnation);
            if let Some(at) = call.answer_at {
                self.answers.push(Delivery { at, host, incarnation, content });
            }
        }
    }

    /// Sends a message from one host to another, which may be lost.
    pub fn send(&mut self, from: usize, to: usize, content: Message) {
        let is_cut = [from, to].iter().any(|host| self.now < self.hosts[*host].peers_cut_until);
        if from == to || is_cut || self.random.random_bool(self.troubles.lost) {
            return;
        }
        let at = self.now + self.random.random_range(0..30);
        let incarnation = self.hosts[to].incarnation;
        self.messages.push(Delivery { at, host: to, incarnation, content });
    }

    fn step_host(&mut self, host: usize) {
        let of = &mut self.hosts[host];
        of.restart_if_due(self.now, &mut self.random);
        let is_running = of.is_up() && self.now >= of.frozen_until;
        if !is_running {
            return;
        }
        for answer in take_due(&mut self.answers, self.now, host, StoreAnswer::is_failure) {
            if answer.incarnation == self.hosts[host].incarnation {
                SimulatedHost::on_answer(self, host, answer.content);
            }
        }
        for message in take_due(&mut self.messages, self.now, host, |_| false) {
            if message.incarnation == self.hosts[host].incarnation {
                SimulatedHost::on_message(self, host, message.content);
            }
        }
        SimulatedHost::on_time(self, host);
        if self.random.random_bool(0.06) {
            self.begin_stream(host);
        }
        if self.random.random_bool(0.25) {
            self.resume_stream(host);
        }
    }

    fn begin_stream(&mut self, host: usize) {
        let (now, service) = (self.now, &self.service);
        let of = &self.hosts[host];
        let usable = of.directory.iter().copied().filter(|index| {
            let upstream = &self.upstreams[*index];
            upstream.is_alive(now) && of.is_usable(now, service, upstream.version.as_ref())
        });
        let usable: Vec<usize> = usable.collect();
        if usable.is_empty() {
            return;
        }
        let upstream = self.upstreams[usable[self.random.random_range(0..usable.len())]].clone();
        let digest = StreamDigest::of(None, format!("request-{}", self.streams.len()).as_bytes());
        self.streams.push(BegunStream {
            digest,
            software: upstream.software,
            version: upstream.version.clone(),
            begun_at: now,
        });
        self.outcome.begun += 1;
        SimulatedHost::note_begun(self, host, digest, upstream.version);
    }

    fn resume_stream(&mut self, host: usize) {
        if self.streams.is_empty() {
            return;
        }
        // Mostly one of the newest.
        let all = self.streams.len();
        let newest = if self.random.random_bool(0.7) { all.min(30) } else { all };
        let stream = self.random.random_range(all - newest..all);
        let age = self.now - self.streams[stream].begun_at;
        if !(200..100_000).contains(&age) {
            return;
        }
        // A fresh history is awaited unless the origin is known here.
        let needs_history = self.hosts[host].origin(&self.streams[stream].digest).is_none()
            && !self.hosts[host].is_fresh(self.now);
        let wait = if needs_history { HISTORY_WAIT_MS } else { 0 };
        if needs_history {
            self.hosts[host].want_history();
        }
        self.waiting.push(WaitingResumption { stream, host, until: self.now + wait });
    }

    fn finish_resumptions(&mut self) {
        for resumption in std::mem::take(&mut self.waiting) {
            let host = &self.hosts[resumption.host];
            if !host.is_up() {
                continue;
            }
            let is_due = host.is_fresh(self.now) || self.now >= resumption.until;
            if self.now < host.frozen_until || !is_due {
                self.waiting.push(resumption);
                continue;
            }
            self.finish_resumption(resumption.host, resumption.stream);
        }
    }

    fn finish_resumption(&mut self, host: usize, stream: usize) {
        let begun = self.streams[stream].clone();
        let found = SimulatedHost::find_origin(self, host, &begun.digest);
        let (now, of) = (self.now, &self.hosts[host]);
        let same = |index: &&usize| {
            let upstream = &self.upstreams[**index];
            upstream.is_alive(now)
                && upstream.version.is_some()
                && upstream.version == begun.version
        };
        // A host knows an upstream only after a poll or two.
        let is_due = of.directory.iter().any(|index| same(&index))
            && of.up_for(now) > Duration::from_secs(4)
            && self.upstreams.iter().enumerate().any(|(index, upstream)| {
                same(&&index) && upstream.is_listed(now) && now > upstream.listed_from + 6_000
            });
        self.outcome.due += u64::from(is_due);
        let gone =
            found.as_ref().is_some_and(|found| of.is_gone(now, &found.service, &found.version));
        let allowed = found.as_ref().filter(|_| !gone);
        let candidates = of.directory.iter().copied().filter(|index| {
            let upstream = &self.upstreams[*index];
            upstream.is_alive(now)
                && upstream.version.is_some()
                && upstream.version.as_ref() == allowed.map(|origin| &origin.version)
        });
        let candidates: Vec<usize> = candidates.collect();
        if candidates.is_empty() {
            if is_due {
                self.outcome.refused += 1;
            }
            return;
        }
        let index = candidates[self.random.random_range(0..candidates.len())];
        let (software, version) =
            (self.upstreams[index].software, self.upstreams[index].version.clone());
        self.outcome.resumed += 1;
        if software != begun.software {
            self.outcome.crossed += 1;
            return;
        }
        SimulatedHost::note_begun(self, host, begun.digest, version);
    }

    /// Returns whether a message between two hosts would arrive.
    pub fn reaches(&mut self, from: usize, to: usize) -> bool {
        let is_cut = [from, to].iter().any(|host| {
            let of = &self.hosts[*host];
            !of.is_up() || self.now < of.peers_cut_until || self.now < of.frozen_until
        });
        !is_cut && !self.random.random_bool(self.troubles.lost * self.troubles.lost)
    }
}

fn take_due<T>(
    queue: &mut Vec<Delivery<T>>,
    now: u64,
    host: usize,
    is_last: fn(&T) -> bool,
) -> Vec<Delivery<T>> {
    let mut due: Vec<Delivery<T>> =
        queue.extract_if(.., |delivery| delivery.host == host && delivery.at <= now).collect();
    due.sort_by_key(|delivery| is_last(&delivery.content));
    due
}
