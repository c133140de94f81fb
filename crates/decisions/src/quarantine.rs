//! Finds requests that crash every upstream that runs them.
//!
//! What was running at each crash is intersected over all hosts. A request that was running at two
//! crashes, and that no other such request shares a crash with, is quarantined. Suspects of a first
//! crash are kept apart from each other, so that a second crash names one of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};
use serde::{Deserialize, Serialize};

pub use dotterellane_protocol::quarantine::{
    CrashReport, MAX_REPORT_FINGERPRINTS, RequestFingerprint,
};

/// Reports of one upstream within this time are of one crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Time after which a crash is forgotten.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Largest number of crashes remembered; the oldest goes first, those that requests share last.
pub const MAX_CRASHES: usize = 256;

/// Number of crashes after which a request is quarantined if one of them names nobody else.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Number of crashes after which a request is quarantined whoever shares them.
const MOST_CRASHES: usize = 3;

/// Number of upstreams that crash within `NUMBERS_SPAN` of another cause than a request.
const CRASHES_IN_NUMBERS: usize = 4;

/// Time around a crash within which others belong to it.
const NUMBERS_SPAN: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct CrashRecord {
    runner: UpstreamId,
    at: ClockInstant,
    /// When a suspect was last added.
    extended: ClockInstant,
    suspects: BTreeSet<RequestFingerprint>,
}

/// A crash that took part in quarantining a request, as hosts repeat it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RememberedCrash {
    /// Upstream that crashed.
    pub runner: UpstreamId,
    /// How long ago.
    pub age: Duration,
    /// Requests that were running there and at another crash too.
    pub suspects: Vec<RequestFingerprint>,
}

/// What is known of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashSummary {
    /// Crashes at which it was running.
    pub crashes: usize,
    /// Other requests that share a crash with it and were running at another one too.
    pub companions: usize,
}

/// Crashes that this host knows of, and what it runs where.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<CrashRecord>,
    /// When suspects last succeeded; older crashes don't count against them.
    cleared: BTreeMap<RequestFingerprint, ClockInstant>,
    flights: HashMap<UpstreamId, HashMap<RequestFingerprint, u32>>,
}

impl CrashTracker {
    /// Notes that a request starts at `runner`; refuses a suspect beside another one, or twice.
    pub fn try_start(
        &mut self,
        now: ClockInstant,
        fingerprint: RequestFingerprint,
        runner: &UpstreamId,
    ) -> bool {
        self.forget(now);
        if self.is_suspect(fingerprint) && self.must_wait(fingerprint, runner) {
            return false;
        }
        let flights = self.flights.entry(runner.clone()).or_default();
        *flights.entry(fingerprint).or_default() += 1;
        true
    }

    /// Notes that a request left `runner` without having run to its end, or failed there.
    pub fn note_end(&mut self, fingerprint: RequestFingerprint, runner: &UpstreamId) {
        let Some(flights) = self.flights.get_mut(runner) else { return };
        if let Some(count) = flights.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                flights.remove(&fingerprint);
            }
        }
        if flights.is_empty() {
            self.flights.remove(runner);
        }
    }

    /// Notes that a request ran to its end and succeeded; returns what to tell the other hosts if it was
    /// suspect.
    pub fn note_success(
        &mut self,
        now: ClockInstant,
        fingerprint: RequestFingerprint,
        runner: &UpstreamId,
    ) -> Option<CrashReport> {
        self.note_end(fingerprint, runner);
        if !self.is_suspect(fingerprint) {
            return None;
        }
        self.clear(now, fingerprint);
        Some(CrashReport::Cleared { fingerprint, age: Duration::ZERO })
    }

    /// Notes that `runner` crashed under a request; returns what to tell the other hosts.
    pub fn note_crash(
        &mut self,
        now: ClockInstant,
        fingerprint: RequestFingerprint,
        runner: &UpstreamId,
    ) -> Vec<CrashReport> {
        let mut running = BTreeSet::from([fingerprint]);
        if let Some(flights) = self.flights.get(runner) {
            running.extend(flights.keys());
        }
        let fresh = self.add_suspects(now, now, runner, running);
        let parts = fresh.chunks(MAX_REPORT_FINGERPRINTS);
        parts
            .map(|part| CrashReport::Crashed { runner: runner.clone(), suspects: part.to_vec() })
            .collect()
    }

    /// Takes a report of another host.
    pub fn absorb(&mut self, now: ClockInstant, report: &CrashReport) {
        match report {
            CrashReport::Crashed { runner, suspects } => {
                self.add_suspects(now, now, runner, suspects.iter().copied().collect());
            }
            CrashReport::Cleared { fingerprint, age } => self.clear(now - *age, *fingerprint),
        }
    }

    /// Returns the crashes from which another host finds the same requests quarantined: all of them, or
    /// those that a suspect was added to within `span`.
    pub fn remembered(
        &mut self,
        now: ClockInstant,
        span: Option<Duration>,
    ) -> Vec<RememberedCrash> {
        self.forget(now);
        let repeated = self.repeated();
        let recent =
            |crash: &&CrashRecord| span.is_none_or(|span| now.since(crash.extended) < span);
        let crashes = self.crashes.iter().filter(recent).map(|crash| RememberedCrash {
            runner: crash.runner.clone(),
            age: now.since(crash.at),
            suspects: crash.suspects.intersection(&repeated).copied().collect(),
        });
        crashes.filter(|crash| !crash.suspects.is_empty()).collect()
    }

    /// Takes in a crash that another host remembers; returns what to tell that host of suspects that have
    /// succeeded since.
    pub fn absorb_remembered(
        &mut self,
        now: ClockInstant,
        crash: &RememberedCrash,
    ) -> Vec<CrashReport> {
        if crash.age >= CRASH_RETENTION {
            return Vec::new();
        }
        let at = now - crash.age;
        self.add_suspects(now, at, &crash.runner, crash.suspects.iter().copied().collect());
        let cleared = crash.suspects.iter().filter_map(|fingerprint| {
            let cleared = *self.cleared.get(fingerprint).filter(|cleared| **cleared > at)?;
            Some(CrashReport::Cleared { fingerprint: *fingerprint, age: now.since(cleared) })
        });
        cleared.collect()
    }

    /// Tells whether a request is to be refused.
    pub fn is_quarantined(&mut self, now: ClockInstant, fingerprint: RequestFingerprint) -> bool {
        self.forget(now);
        let shared: Vec<&CrashRecord> =
            self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint)).collect();
        if shared.len() < CRASHES_TO_QUARANTINE {
            return false;
        }
        if shared.len() >= MOST_CRASHES {
            return true;
        }
        shared.iter().all(|crash| !self.is_in_numbers(crash))
            && shared.iter().any(|crash| self.is_only(fingerprint, crash))
    }

    /// Returns what is known of a request.
    pub fn summary(&self, fingerprint: RequestFingerprint) -> CrashSummary {
        let shared = self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint));
        let companions: BTreeSet<_> = shared
            .flat_map(|crash| &crash.suspects)
            .filter(|other| **other != fingerprint)
            .collect();
        let repeated = companions.iter().filter(|other| self.crash_count(***other) > 1);
        CrashSummary { crashes: self.crash_count(fingerprint), companions: repeated.count() }
    }

    /// Returns the number of requests that are quarantined.
    pub fn quarantined_count(&mut self, now: ClockInstant) -> usize {
        let all: BTreeSet<_> =
            self.crashes.iter().flat_map(|crash| crash.suspects.iter().copied()).collect();
        all.into_iter().filter(|fingerprint| self.is_quarantined(now, *fingerprint)).count()
    }

    fn is_only(&self, fingerprint: RequestFingerprint, crash: &CrashRecord) -> bool {
        let mut others = crash.suspects.iter().filter(|other| **other != fingerprint);
        others.all(|other| self.crash_count(*other) < CRASHES_TO_QUARANTINE)
    }

    /// Tells whether so many upstreams crashed around then that no request did it.
    fn is_in_numbers(&self, crash: &CrashRecord) -> bool {
        let around = self
            .crashes
            .iter()
            .filter(|other| other.at.since(crash.at).max(crash.at.since(other.at)) < NUMBERS_SPAN);
        around.count() >= CRASHES_IN_NUMBERS
    }

    fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_count(fingerprint) > 0
    }

    fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint)).count()
    }

    /// Returns the requests that were running at two crashes or more.
    fn repeated(&self) -> BTreeSet<RequestFingerprint> {
        let mut once = BTreeSet::new();
        let all = self.crashes.iter().flat_map(|crash| &crash.suspects);
        all.filter(|fingerprint| !once.insert(**fingerprint)).copied().collect()
    }

    fn must_wait(&self, fingerprint: RequestFingerprint, runner: &UpstreamId) -> bool {
        let runs = self.flights.values().any(|flights| flights.contains_key(&fingerprint));
        let beside = self.flights.get(runner);
        runs || beside.is_some_and(|flights| flights.keys().any(|other| self.is_suspect(*other)))
    }

    /// Adds suspects to the crash of `runner` around `at`; returns those that were not known.
    fn add_suspects(
        &mut self,
        now: ClockInstant,
        at: ClockInstant,
        runner: &UpstreamId,
        mut suspects: BTreeSet<RequestFingerprint>,
    ) -> Vec<RequestFingerprint> {
        self.forget(now);
        let same = |crash: &CrashRecord| {
            let apart = at.since(crash.at).max(crash.at.since(at));
            crash.runner == *runner && apart < CRASH_WINDOW
        };
        let known = self.crashes.iter().rposition(same);
        let at = known.map_or(at, |place| self.crashes[place].at);
        suspects.retain(|suspect| self.cleared.get(suspect).is_none_or(|cleared| *cleared <= at));
        match known {
            Some(place) => {
                let crash = &mut self.crashes[place];
                suspects.retain(|suspect| crash.suspects.insert(*suspect));
                if !suspects.is_empty() {
                    crash.extended = now;
                }
            }
            None if suspects.is_empty() => {}
            None => self.insert(CrashRecord {
                runner: runner.clone(),
                at,
                extended: now,
                suspects: suspects.clone(),
            }),
        }
        suspects.into_iter().collect()
    }

    fn insert(&mut self, crash: CrashRecord) {
        if self.crashes.len() >= MAX_CRASHES {
            let repeated = self.repeated();
            let names_nobody = |crash: &CrashRecord| crash.suspects.is_disjoint(&repeated);
            self.crashes.remove(self.crashes.iter().position(names_nobody).unwrap_or(0));
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
    }

    /// Holds no crash of before `at` against a request.
    fn clear(&mut self, at: ClockInstant, fingerprint: RequestFingerprint) {
        let cleared = self.cleared.entry(fingerprint).or_insert(at);
        *cleared = at.max(*cleared);
        for crash in self.crashes.iter_mut().filter(|crash| crash.at < at) {
            crash.suspects.remove(&fingerprint);
        }
    }

    fn forget(&mut self, now: ClockInstant) {
        self.crashes.retain(|crash| now.since(crash.at) < CRASH_RETENTION);
        self.cleared.retain(|_, at| now.since(*at) < CRASH_RETENTION);
    }
}
