//! A simulated day on which requests that are no two alike share a part of their prompts, which
//! crashes the upstreams that run them.

use std::collections::BTreeMap;

use dotterellane_decisions::quarantine::{
    CrashReport, CrashTracker, FleetPosition, PartFingerprint, RequestFingerprint, RequestIdentity,
    UpstreamStart,
};
use dotterellane_units::ClockInstant;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time step of the simulation, in milliseconds.
const STEP_MILLIS: u64 = 20;

/// Length of the day, in milliseconds.
pub const DAY_MILLIS: u64 = 40_000;

/// Time before the first guilty request, in milliseconds.
const CALM_MILLIS: u64 = 10_000;

/// Delay of reports between hosts, in milliseconds.
const REPORT_LAG_MILLIS: u64 = 60;

/// Interval at which hosts repeat what they remember, in milliseconds.
const REPEAT_MILLIS: u64 = 1_000;

/// Time until a crashed upstream is back under another name, in milliseconds.
const DOWN_MILLIS: u64 = 4_000;

/// Time from the start of a guilty request to its crash, in milliseconds.
const GUILTY_RUN_MILLIS: u64 = 100;

/// Time for which a request waits for an upstream, in milliseconds.
const WAIT_MILLIS: u64 = 1_500;

/// Number of runs of a sound request whose upstreams crash.
const ATTEMPTS: u32 = 2;

/// Crashes after which the users count.
const COUNTED_CRASHES: usize = 5;

/// Time after these from which a guilty request is late (`contact_ms` in the users' rules).
const CONTACT_MILLIS: u64 = 3_000;

/// Late guilty requests that the users accept.
const MAX_LATE: usize = 3;

/// Sound requests of a caller from which on the users compare.
const COMPARED: usize = 20;

/// Part that all sound requests share.
const COMMON_PART: u64 = 1;

/// Guilty parts.
const GUILTY_PARTS: [u64; 2] = [666, 667];

/// How the parts of a guilty request are arranged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GuiltyPrompt {
    /// The guilty part stands first; sound requests share the second one.
    First,
    /// Sound requests share the part before the guilty one.
    Second,
    /// No other part is shared.
    Alone,
    /// One of two guilty parts, by turns.
    TwoByTurns,
    /// Both guilty parts at once.
    TwoTogether,
    /// The caller's parts, then the guilty one.
    AfterCaller,
    /// The guilty part, then the caller's.
    BeforeCaller,
    /// The caller's parts, then one of two guilty ones by turns.
    TwoAfterCaller,
}

/// A day to simulate.
#[derive(Clone, Copy, Debug)]
pub struct DayPlan {
    pub hosts: usize,
    pub upstreams: usize,
    /// Interval between two guilty requests in milliseconds; 0 for none.
    pub guilty_interval: u64,
    pub prompt: GuiltyPrompt,
    /// Fraction of the reports that are lost.
    pub lost_reports: f64,
    /// Times at which a fifth of all upstreams crash for another reason, in milliseconds.
    pub mass_crashes: &'static [u64],
    /// Number of parts that a caller's sound requests share with the guilty ones.
    pub caller_parts: u64,
    /// When that caller sends sound requests: it is quiet before, and since `caller_pauses`.
    pub caller_returns: u64,
    pub caller_pauses: u64,
    /// Time until which requests with the guilty part succeed, as upstreams run other software.
    pub sound_until: u64,
    /// When each host starts anew and knows nothing; 0 for never.
    pub restart_at: u64,
    /// Time of the first guilty request.
    pub guilty_from: u64,
}

pub const PLAN: DayPlan = DayPlan {
    hosts: 9,
    upstreams: 9,
    guilty_interval: 400,
    prompt: GuiltyPrompt::Second,
    lost_reports: 0.0,
    mass_crashes: &[],
    caller_parts: 0,
    caller_returns: 0,
    caller_pauses: 0,
    sound_until: 0,
    restart_at: 0,
    guilty_from: CALM_MILLIS,
};

/// First of the parts that the caller's requests share.
const CALLER_PART: u64 = 50;

/// Interval between two sound requests of the caller, in milliseconds.
const CALLER_INTERVAL: u64 = 400;

#[derive(Clone, Debug)]
struct Request {
    is_of_caller: bool,
    identity: RequestIdentity,
    host: usize,
    /// Index of its guilty part, if it has one.
    guilty: Option<usize>,
    arrived: u64,
    since: u64,
    runs: u32,
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    place: usize,
    ends: u64,
}

/// What happened to sound requests that arrived in one part of the day.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoundCount {
    pub arrived: usize,
    pub begun: usize,
}

impl SoundCount {
    #[expect(clippy::cast_precision_loss, reason = "counts of a day are small")]
    pub fn fraction(self) -> f64 {
        self.begun as f64 / self.arrived.max(1) as f64
    }
}

fn new_tracker(rank: usize, hosts: usize) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    tracker.set_position(FleetPosition { rank, hosts });
    tracker
}

pub struct PartsDay {
    plan: DayPlan,
    millis: u64,
    random: Pcg64Mcg,
    trackers: Vec<CrashTracker>,
    /// Starts of the upstream at each place, and when the last one is up.
    places: Vec<(u64, u64)>,
    waiting: Vec<Request>,
    running: Vec<Run>,
    reports: Vec<(u64, usize, CrashReport)>,
    next_number: u64,
    /// Times at which requests with each guilty part were sent, and crashed an upstream.
    guilty_sends: [Vec<u64>; 2],
    guilty_crashes: [Vec<u64>; 2],
    guilty_arrivals: usize,
    pub refused: usize,
    /// Sound requests by the second of their arrival.
    sound: BTreeMap<u64, SoundCount>,
    /// Sound requests of the caller, likewise.
    caller: BTreeMap<u64, SoundCount>,
}

impl PartsDay {
    pub fn new(plan: DayPlan, seed: u64) -> Self {
        Self {
            plan,
            millis: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            trackers: (0..plan.hosts).map(|host| new_tracker(host, plan.hosts)).collect(),
            places: vec![(0, 0); plan.upstreams],
            waiting: Vec::new(),
            running: Vec::new(),
            reports: Vec::new(),
            next_number: 1_000,
            guilty_sends: Default::default(),
            guilty_crashes: Default::default(),
            guilty_arrivals: 0,
            refused: 0,
            sound: BTreeMap::new(),
            caller: BTreeMap::new(),
        }
    }

    fn now(&self) -> ClockInstant {
        ClockInstant::from_millis(1_000_000 + self.millis)
    }

    fn start_of(&self, place: usize) -> UpstreamStart {
        let upstream = format!("u{place}").parse().expect("an id");
        UpstreamStart { upstream, started_at: Some(self.places[place].0) }
    }

    fn arrive(&mut self, parts: &[u64], guilty: Option<usize>) {
        self.next_number += 1;
        let parts = parts.iter().map(|part| PartFingerprint(*part)).collect();
        let request = RequestFingerprint(u128::from(self.next_number));
        let host = self.random.random_range(0..self.plan.hosts);
        let (arrived, since) = (self.millis, self.millis);
        let identity = RequestIdentity { request, parts };
        let is_of_caller = false;
        let request = Request { is_of_caller, identity, host, guilty, arrived, since, runs: 0 };
        self.waiting.push(request);
    }

    fn caller_parts(&self) -> Vec<u64> {
        (CALLER_PART..CALLER_PART + self.plan.caller_parts).collect()
    }

    /// Lets a sound request of the caller arrive.
    fn arrive_caller(&mut self) {
        let mut parts = self.caller_parts();
        parts.push(20_000 + self.random.random_range(0..5));
        self.arrive(&parts, None);
        if let Some(request) = self.waiting.last_mut() {
            request.is_of_caller = true;
        }
        self.caller.entry(self.millis / 1_000).or_default().arrived += 1;
    }

    /// Lets three sound requests for every upstream arrive in four seconds, each with the common
    /// part, that of one of 20 sessions, and sometimes a rare one.
    fn arrive_sound(&mut self) {
        for _ in 0..self.plan.upstreams {
            if !self.random.random_bool(0.015) {
                continue;
            }
            let session = 100 + self.random.random_range(0..20);
            let rare = 10_000 + self.random.random_range(0..200);
            let parts = [COMMON_PART, session, rare];
            let count = if self.random.random_bool(0.3) { 3 } else { 2 };
            self.arrive(&parts[..count], None);
            self.sound.entry(self.millis / 1_000).or_default().arrived += 1;
        }
    }

    fn arrive_guilty(&mut self) {
        let session = 100 + self.random.random_range(0..20);
        let [one, other] = GUILTY_PARTS;
        self.guilty_arrivals += 1;
        let turn = self.guilty_arrivals % 2;
        match self.plan.prompt {
            GuiltyPrompt::First => self.arrive(&[one, session], Some(0)),
            GuiltyPrompt::Second => self.arrive(&[COMMON_PART, one], Some(0)),
            GuiltyPrompt::Alone => self.arrive(&[one], Some(0)),
            GuiltyPrompt::TwoByTurns => self.arrive(&[COMMON_PART, GUILTY_PARTS[turn]], Some(turn)),
            GuiltyPrompt::TwoTogether => self.arrive(&[COMMON_PART, one, other], Some(0)),
            GuiltyPrompt::AfterCaller => {
                self.arrive(&[self.caller_parts(), vec![one]].concat(), Some(0))
            }
            GuiltyPrompt::BeforeCaller => {
                self.arrive(&[vec![one], self.caller_parts()].concat(), Some(0))
            }
            GuiltyPrompt::TwoAfterCaller => {
                let parts = [self.caller_parts(), vec![GUILTY_PARTS[turn]]].concat();
                self.arrive(&parts, Some(turn));
            }
        }
    }

    fn tell(&mut self, from: usize, report: &CrashReport) {
        for host in (0..self.plan.hosts).filter(|host| *host != from) {
            if !self.random.random_bool(self.plan.lost_reports) {
                self.reports.push((self.millis + REPORT_LAG_MILLIS, host, report.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let (now, millis) = (self.now(), self.millis);
        let due: Vec<_> = self.reports.extract_if(.., |(at, ..)| *at <= millis).collect();
        for (_, host, report) in due {
            self.trackers[host].absorb(now, &report);
            if let Some(cleared) = self.trackers[host].clear_sound(now, &report) {
                self.tell(host, &cleared);
            }
        }
    }

    /// Lets each host repeat what it remembers to another one.
    fn repeat(&mut self) {
        let now = self.now();
        for from in 0..self.plan.hosts {
            let to = self.random.random_range(0..self.plan.hosts);
            for crash in self.trackers[from].remembered(now, None) {
                for report in self.trackers[to].absorb_remembered(now, &crash) {
                    self.trackers[from].absorb(now, &report);
                }
            }
        }
    }

    fn start(&mut self) {
        let now = self.now();
        for mut request in std::mem::take(&mut self.waiting) {
            if self.trackers[request.host].is_quarantined(now, &request.identity) {
                self.refused += usize::from(request.guilty.is_none());
                continue;
            }
            if self.millis > request.since + WAIT_MILLIS {
                continue;
            }
            let place = self.random.random_range(0..self.plan.upstreams);
            let start = self.start_of(place);
            let is_up = self.places[place].1 <= self.millis;
            if !is_up || !self.trackers[request.host].try_start(now, &request.identity, &start) {
                self.waiting.push(request);
                continue;
            }
            let first = request.runs == 0;
            request.runs += 1;
            let mut span = GUILTY_RUN_MILLIS;
            if let Some(guilty) = request.guilty {
                self.guilty_sends[guilty].push(self.millis);
            } else {
                span = self.random.random_range(1_000..6_000);
                let counts = if request.is_of_caller { &mut self.caller } else { &mut self.sound };
                counts.entry(request.arrived / 1_000).or_default().begun += usize::from(first);
            }
            self.running.push(Run { ends: self.millis + span, request, place });
        }
    }

    fn end(&mut self) {
        let (now, millis) = (self.now(), self.millis);
        let ended: Vec<_> = self.running.extract_if(.., |run| run.ends <= millis).collect();
        let mut crashed = Vec::new();
        for run in ended {
            if let Some(guilty) = run.request.guilty {
                crashed.push((run.place, guilty));
                self.running.push(run);
                continue;
            }
            let start = self.start_of(run.place);
            let (host, identity) = (run.request.host, &run.request.identity);
            if let Some(report) = self.trackers[host].note_success(now, identity, &start) {
                self.tell(host, &report);
            }
        }
        crashed.sort_unstable();
        crashed.dedup_by_key(|(place, _)| *place);
        for (place, guilty) in crashed {
            self.guilty_crashes[guilty].push(millis);
            self.crash(place);
        }
    }

    fn crash(&mut self, place: usize) {
        let (now, start) = (self.now(), self.start_of(place));
        let failed: Vec<_> = self.running.extract_if(.., |run| run.place == place).collect();
        let mut told = Vec::new();
        for run in &failed {
            let tracker = &mut self.trackers[run.request.host];
            let reports = tracker.note_crash(now, &run.request.identity, &start);
            told.extend(reports.into_iter().map(|report| (run.request.host, report)));
        }
        for (host, report) in told {
            self.tell(host, &report);
        }
        for Run { mut request, .. } in failed {
            self.trackers[request.host].note_end(request.identity.request, &start);
            if request.runs < ATTEMPTS {
                request.since = self.millis;
                self.waiting.push(request);
            }
        }
        self.places[place] = (self.places[place].0 + 1, self.millis + DOWN_MILLIS);
    }

    fn crash_fifth(&mut self) {
        for place in 0..self.plan.upstreams {
            if self.random.random_bool(0.2) && self.places[place].1 <= self.millis {
                self.crash(place);
            }
        }
    }

    fn is_caller_busy(&self) -> bool {
        self.millis < self.plan.caller_pauses || self.millis >= self.plan.caller_returns
    }

    /// Lets every second host start anew.
    fn restart(&mut self) {
        for host in (0..self.plan.hosts).step_by(2) {
            self.trackers[host] = new_tracker(host, self.plan.hosts);
            self.waiting.retain(|request| request.host != host);
            self.running.retain(|run| run.request.host != host);
        }
    }

    pub fn run(mut self) -> Self {
        while self.millis < DAY_MILLIS {
            self.millis += STEP_MILLIS;
            self.deliver();
            self.end();
            self.arrive_sound();
            let millis = self.millis;
            let due = move |interval: u64| interval > 0 && millis.is_multiple_of(interval);
            if self.millis >= self.plan.guilty_from && due(self.plan.guilty_interval) {
                self.arrive_guilty();
            }
            if self.plan.mass_crashes.contains(&self.millis) {
                self.crash_fifth();
            }
            if self.plan.caller_parts > 0 && self.is_caller_busy() && due(CALLER_INTERVAL) {
                self.arrive_caller();
            }
            if self.plan.sound_until > 0
                && self.millis < self.plan.sound_until
                && due(CALLER_INTERVAL)
            {
                self.arrive(&[COMMON_PART, GUILTY_PARTS[0]], None);
            }
            if self.plan.restart_at == self.millis {
                self.restart();
            }
            if self.millis.is_multiple_of(REPEAT_MILLIS) {
                self.repeat();
            }
            self.start();
        }
        self
    }

    /// Counts the sound requests that arrived from one second until another one.
    pub fn count_sound(&self, from: u64, until: u64) -> SoundCount {
        sum_counts(&self.sound, from, until)
    }

    /// Counts those of the caller.
    pub fn count_caller(&self, from: u64, until: u64) -> SoundCount {
        sum_counts(&self.caller, from, until)
    }
}

fn sum_counts(counts: &BTreeMap<u64, SoundCount>, from: u64, until: u64) -> SoundCount {
    counts.range(from.min(until)..until).fold(SoundCount::default(), |sum, (_, one)| SoundCount {
        arrived: sum.arrived + one.arrived,
        begun: sum.begun + one.begun,
    })
}

/// Simulates a day with some seeds, and checks the late guilty requests and the sound ones.
pub fn check_days(name: &str, plan: DayPlan, seeds: u64) {
    for seed in 0..seeds {
        let day = PartsDay::new(plan, seed).run();
        let counted = [0, 1].map(|part| {
            let crashes = &day.guilty_crashes[part];
            crashes.get(COUNTED_CRASHES - 1).or(crashes.last()).copied().unwrap_or(0)
        });
        let late = [0, 1].map(|part| {
            let sends = day.guilty_sends[part].iter();
            sends.filter(|at| **at > counted[part] + CONTACT_MILLIS).count()
        });
        let before = day.count_sound(2, CALM_MILLIS / 1_000).fraction();
        let settled = (counted[0].max(counted[1]) + 2 * CONTACT_MILLIS) / 1_000 + 1;
        let after = day.count_sound(settled, DAY_MILLIS / 1_000 - 2).fraction();
        let caller =
            day.count_caller(settled.max(plan.caller_returns / 1_000), DAY_MILLIS / 1_000 - 2);
        println!(
            "{name} seed {seed}: {} guilty sends, {} crashes, {late:?} late; sound begun \
             {before:.2}, then {after:.2}, {} refused; the caller's: {} of {}",
            day.guilty_sends.concat().len(),
            day.guilty_crashes.concat().len(),
            day.refused,
            caller.begun,
            caller.arrived
        );
        expect_that!(late, each(le(MAX_LATE)), "{name} seed {seed}");
        expect_that!(after, ge(before / 2.0), "{name} seed {seed}");
        if caller.arrived >= COMPARED {
            expect_that!(caller.fraction(), ge(before / 2.0), "caller, {name} seed {seed}");
        }
    }
}
