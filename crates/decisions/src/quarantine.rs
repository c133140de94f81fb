//! Finds requests that crash every upstream that runs them.
//!
//! What was running at each crash is intersected over all hosts. A request that was running at two
//! crashes, and that no other such request shares a crash with, is quarantined. Suspects of a first
//! crash are kept apart from each other, so that a second crash names one of them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};
use serde::{Deserialize, Serialize};

pub use dotterellane_protocol::quarantine::{
    CrashReport, MAX_REPORT_FINGERPRINTS, RequestFingerprint,
};

/// Reports of one upstream within this time are of one crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Time after which a crash is forgotten.
pub const CRASH_MEMORY: Duration = Duration::from_secs(3_600);

/// Largest number of crashes remembered; the oldest goes first.
pub const MAX_CRASHES: usize = 256;

/// Number of crashes after which a request is quarantined if one of them names nobody else.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Number of crashes after which a request is quarantined whoever shares them.
const MOST_CRASHES: usize = 3;

#[derive(Clone, Debug)]
struct CrashRecord {
    runner: UpstreamId,
    at: ClockInstant,
    suspects: BTreeSet<RequestFingerprint>,
}

/// A crash that took part in quarantining a request, as one host tells another that was not there.
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
pub struct CrashStanding {
    /// Crashes at which it was running.
    pub crashes: usize,
    /// Other requests that share a crash with it and were running at another one too.
    pub companions: usize,
}

/// Crashes that this host knows of, and what it runs where.
#[derive(Clone, Debug, Default)]
pub struct CrashMachine {
    crashes: Vec<CrashRecord>,
    flights: HashMap<UpstreamId, HashMap<RequestFingerprint, u32>>,
}

impl CrashMachine {
    /// Notes that a request starts at `runner`; refuses a suspect beside another one, or twice.
    pub fn enter(
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
    pub fn left(&mut self, fingerprint: RequestFingerprint, runner: &UpstreamId) {
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
    pub fn completed(
        &mut self,
        fingerprint: RequestFingerprint,
        runner: &UpstreamId,
    ) -> Option<CrashReport> {
        self.left(fingerprint, runner);
        let suspect = self.is_suspect(fingerprint);
        self.clear(fingerprint);
        suspect.then_some(CrashReport::Cleared { fingerprint })
    }

    /// Notes that `runner` crashed under a request; returns what to tell the other hosts.
    pub fn crashed(
        &mut self,
        now: ClockInstant,
        fingerprint: RequestFingerprint,
        runner: &UpstreamId,
    ) -> Vec<CrashReport> {
        let mut running = BTreeSet::from([fingerprint]);
        if let Some(flights) = self.flights.get(runner) {
            running.extend(flights.keys());
        }
        self.forget(now);
        let fresh = self.add_suspects(now, runner, running);
        let parts = fresh.chunks(MAX_REPORT_FINGERPRINTS);
        parts
            .map(|part| CrashReport::Crashed { runner: runner.clone(), suspects: part.to_vec() })
            .collect()
    }

    /// Takes a report of another host.
    pub fn absorb(&mut self, now: ClockInstant, report: &CrashReport) {
        match report {
            CrashReport::Crashed { runner, suspects } => {
                self.forget(now);
                self.add_suspects(now, runner, suspects.iter().copied().collect());
            }
            CrashReport::Cleared { fingerprint } => self.clear(*fingerprint),
        }
    }

    /// Returns the crashes from which another host finds the same requests quarantined.
    pub fn remembered(&mut self, now: ClockInstant) -> Vec<RememberedCrash> {
        self.forget(now);
        let repeated = |fingerprint: &&RequestFingerprint| {
            self.crash_count(**fingerprint) >= CRASHES_TO_QUARANTINE
        };
        let crashes = self.crashes.iter().map(|crash| RememberedCrash {
            runner: crash.runner.clone(),
            age: now.since(crash.at),
            suspects: crash.suspects.iter().filter(repeated).copied().collect(),
        });
        crashes.filter(|crash| !crash.suspects.is_empty()).collect()
    }

    /// Takes in a crash of before this host was there.
    pub fn remind(&mut self, now: ClockInstant, crash: &RememberedCrash) {
        self.forget(now);
        if crash.age < CRASH_MEMORY {
            let suspects = crash.suspects.iter().copied().collect();
            self.add_suspects(now - crash.age, &crash.runner, suspects);
        }
    }

    /// Tells whether a request is to be refused.
    pub fn is_quarantined(&mut self, now: ClockInstant, fingerprint: RequestFingerprint) -> bool {
        self.forget(now);
        let count = self.crash_count(fingerprint);
        if count < CRASHES_TO_QUARANTINE {
            return false;
        }
        let mut shared = self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint));
        count >= MOST_CRASHES || shared.any(|crash| self.is_only(fingerprint, crash))
    }

    /// Returns what is known of a request.
    pub fn standing(&self, fingerprint: RequestFingerprint) -> CrashStanding {
        let shared = self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint));
        let companions: BTreeSet<_> = shared
            .flat_map(|crash| &crash.suspects)
            .filter(|other| **other != fingerprint)
            .collect();
        let repeated = companions.iter().filter(|other| self.crash_count(***other) > 1);
        CrashStanding { crashes: self.crash_count(fingerprint), companions: repeated.count() }
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

    fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_count(fingerprint) > 0
    }

    fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint)).count()
    }

    fn must_wait(&self, fingerprint: RequestFingerprint, runner: &UpstreamId) -> bool {
        let runs = self.flights.values().any(|flights| flights.contains_key(&fingerprint));
        let beside = self.flights.get(runner);
        runs || beside.is_some_and(|flights| flights.keys().any(|other| self.is_suspect(*other)))
    }

    /// Adds suspects to the crash of `runner` around `at`; returns those that were not known.
    fn add_suspects(
        &mut self,
        at: ClockInstant,
        runner: &UpstreamId,
        suspects: BTreeSet<RequestFingerprint>,
    ) -> Vec<RequestFingerprint> {
        let same = |crash: &&mut CrashRecord| {
            let apart = at.since(crash.at).max(crash.at.since(at));
            crash.runner == *runner && apart < CRASH_WINDOW
        };
        if let Some(crash) = self.crashes.iter_mut().rev().find(same) {
            let fresh: Vec<_> = suspects.difference(&crash.suspects).copied().collect();
            crash.suspects.extend(fresh.iter().copied());
            return fresh;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        let fresh = suspects.iter().copied().collect();
        let place = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes.insert(place, CrashRecord { runner: runner.clone(), at, suspects });
        fresh
    }

    fn clear(&mut self, fingerprint: RequestFingerprint) {
        for crash in &mut self.crashes {
            crash.suspects.remove(&fingerprint);
        }
    }

    fn forget(&mut self, now: ClockInstant) {
        self.crashes.retain(|crash| now.since(crash.at) < CRASH_MEMORY);
    }
}
