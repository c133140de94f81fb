//! Quarantines requests that crash every upstream they run on.
//!
//! All requests in flight at an upstream when it crashes are suspects of that crash. Hosts exchange
//! the suspects of each crash. A suspect of two crashes is quarantined if one of them has no other
//! suspect with two crashes, and neither happened while many upstreams crashed at once. A suspect
//! of three crashes is always quarantined, since several bad requests may share all their crashes.
//! Suspects of a first crash are not run side by side, so that a second crash has only one of them
//! as a suspect.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dotterellane_units::ClockInstant;
use serde::{Deserialize, Serialize};

pub use dotterellane_protocol::quarantine::{
    CrashReport, MAX_REPORT_FINGERPRINTS, RequestFingerprint, UpstreamStart,
};

/// Reports about one upstream within this time are about the same crash, if its start is not known.
pub const CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Time after which a crash, or a success of a suspect, is forgotten.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Largest number of crashes remembered. Beyond it the oldest crash is dropped, but first those
/// whose suspects have no other crash.
pub const MAX_CRASHES: usize = 256;

/// Crashes after which a request is quarantined if it is the sole repeated suspect of one of them.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Crashes after which a request is quarantined even if other repeated suspects share all of them.
const CRASHES_DESPITE_COMPANIONS: usize = 3;

/// Number of crashes within [`MASS_SPAN`] of a crash, itself included, from which on no request is
/// taken for its cause.
const MASS_CRASH_COUNT: usize = 4;

/// Time before and after a crash within which other crashes count as simultaneous.
const MASS_SPAN: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct CrashRecord {
    upstream: UpstreamStart,
    at: ClockInstant,
    /// When the last suspect was added; hosts repeat a crash to each other for a while after that.
    suspect_added: ClockInstant,
    suspects: BTreeSet<RequestFingerprint>,
}

/// A crash with repeated suspects, as hosts repeat it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RememberedCrash {
    /// Upstream that crashed.
    pub runner: UpstreamStart,
    /// Time since the crash.
    pub age: Duration,
    /// Suspects of this crash that are suspects of another one too.
    pub suspects: Vec<RequestFingerprint>,
}

/// Number of crashes of one request, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashSummary {
    /// Crashes of which the request is a suspect.
    pub crashes: usize,
    /// Other suspects of these crashes that have two crashes or more.
    pub companions: usize,
}

/// Crashes that this host knows of, and its own requests in flight at each upstream.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<CrashRecord>,
    /// When suspects last succeeded; earlier crashes don't count against them.
    cleared: BTreeMap<RequestFingerprint, ClockInstant>,
    /// Number of in-flight requests by upstream and fingerprint.
    in_flight: HashMap<UpstreamStart, HashMap<RequestFingerprint, u32>>,
}

impl CrashTracker {
    /// Notes that a request starts at `upstream`; returns `false` if it must not start there now.
    ///
    /// A suspect must not run beside another suspect, nor at two upstreams at once, so that the
    /// next crash shows which suspect caused it.
    pub fn try_start(
        &mut self,
        now: ClockInstant,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamStart,
    ) -> bool {
        self.expire(now);
        if self.is_suspect(fingerprint) && self.has_conflict(fingerprint, upstream) {
            return false;
        }
        let requests = self.in_flight.entry(upstream.clone()).or_default();
        *requests.entry(fingerprint).or_default() += 1;
        true
    }

    /// Notes that a request is no longer in flight at `upstream`, without having succeeded there.
    pub fn note_end(&mut self, fingerprint: RequestFingerprint, upstream: &UpstreamStart) {
        let Some(requests) = self.in_flight.get_mut(upstream) else { return };
        if let Some(count) = requests.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&fingerprint);
            }
        }
        if requests.is_empty() {
            self.in_flight.remove(upstream);
        }
    }

    /// Notes that a request succeeded at `upstream`; if it was a suspect, clears it and returns the
    /// report for the other hosts.
    pub fn note_success(
        &mut self,
        now: ClockInstant,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamStart,
    ) -> Option<CrashReport> {
        self.note_end(fingerprint, upstream);
        if !self.is_suspect(fingerprint) {
            return None;
        }
        self.clear(now, fingerprint);
        Some(CrashReport::Cleared { fingerprint, age: Duration::ZERO })
    }

    /// Notes that `upstream` crashed under a request; returns the reports for the other hosts.
    ///
    /// Each report has at most [`MAX_REPORT_FINGERPRINTS`] suspects that were not known before.
    pub fn note_crash(
        &mut self,
        now: ClockInstant,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamStart,
    ) -> Vec<CrashReport> {
        let mut running = BTreeSet::from([fingerprint]);
        if let Some(requests) = self.in_flight.get(upstream) {
            running.extend(requests.keys());
        }
        let added = self.add_suspects(now, now, upstream, running);
        let parts = added.chunks(MAX_REPORT_FINGERPRINTS);
        parts
            .map(|part| CrashReport::Crashed { runner: upstream.clone(), suspects: part.to_vec() })
            .collect()
    }

    /// Applies a report of another host.
    pub fn absorb(&mut self, now: ClockInstant, report: &CrashReport) {
        match report {
            CrashReport::Crashed { runner, suspects } => {
                self.add_suspects(now, now, runner, suspects.iter().copied().collect());
            }
            CrashReport::Cleared { fingerprint, age } => self.clear(now - *age, *fingerprint),
        }
    }

    /// Returns the crashes with repeated suspects, from which another host quarantines the same
    /// requests; with `span`, only those that got a new suspect within it.
    pub fn remembered(
        &mut self,
        now: ClockInstant,
        span: Option<Duration>,
    ) -> Vec<RememberedCrash> {
        self.expire(now);
        let repeated = self.repeated();
        let recent =
            |crash: &&CrashRecord| span.is_none_or(|span| now.since(crash.suspect_added) < span);
        let crashes = self.crashes.iter().filter(recent).map(|crash| RememberedCrash {
            runner: crash.upstream.clone(),
            age: now.since(crash.at),
            suspects: crash.suspects.intersection(&repeated).copied().collect(),
        });
        crashes.filter(|crash| !crash.suspects.is_empty()).collect()
    }

    /// Adds a crash that another host remembers; returns reports for that host about suspects that
    /// have succeeded since the crash.
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

    /// Returns whether a request must be refused because it crashes upstreams.
    pub fn is_quarantined(&mut self, now: ClockInstant, fingerprint: RequestFingerprint) -> bool {
        self.expire(now);
        let shared: Vec<&CrashRecord> =
            self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint)).collect();
        if shared.len() < CRASHES_TO_QUARANTINE {
            return false;
        }
        if shared.len() >= CRASHES_DESPITE_COMPANIONS {
            return true;
        }
        shared.iter().all(|crash| !self.is_mass_crash(crash))
            && shared.iter().any(|crash| self.is_sole_repeated(fingerprint, crash))
    }

    /// Returns the number of crashes and companions of a request.
    pub fn summary(&self, fingerprint: RequestFingerprint) -> CrashSummary {
        let shared = self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint));
        let companions: BTreeSet<_> = shared
            .flat_map(|crash| &crash.suspects)
            .filter(|other| **other != fingerprint)
            .collect();
        let repeated = companions.iter().filter(|other| self.crash_count(***other) > 1);
        CrashSummary { crashes: self.crash_count(fingerprint), companions: repeated.count() }
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&mut self, now: ClockInstant) -> usize {
        let all: BTreeSet<_> =
            self.crashes.iter().flat_map(|crash| crash.suspects.iter().copied()).collect();
        all.into_iter().filter(|fingerprint| self.is_quarantined(now, *fingerprint)).count()
    }

    /// Returns whether no other suspect of `crash` has enough crashes to be quarantined.
    fn is_sole_repeated(&self, fingerprint: RequestFingerprint, crash: &CrashRecord) -> bool {
        let mut others = crash.suspects.iter().filter(|other| **other != fingerprint);
        others.all(|other| self.crash_count(*other) < CRASHES_TO_QUARANTINE)
    }

    /// Returns whether so many upstreams crashed at the same time that a request is not the cause.
    fn is_mass_crash(&self, crash: &CrashRecord) -> bool {
        let around = self
            .crashes
            .iter()
            .filter(|other| other.at.since(crash.at).max(crash.at.since(other.at)) < MASS_SPAN);
        around.count() >= MASS_CRASH_COUNT
    }

    fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_count(fingerprint) > 0
    }

    fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.suspects.contains(&fingerprint)).count()
    }

    /// Returns the requests that are suspects of two crashes or more.
    fn repeated(&self) -> BTreeSet<RequestFingerprint> {
        let mut once = BTreeSet::new();
        let all = self.crashes.iter().flat_map(|crash| &crash.suspects);
        all.filter(|fingerprint| !once.insert(**fingerprint)).copied().collect()
    }

    /// Returns whether a suspect is in flight already, or another suspect is in flight at
    /// `upstream`.
    fn has_conflict(&self, fingerprint: RequestFingerprint, upstream: &UpstreamStart) -> bool {
        let runs = self.in_flight.values().any(|requests| requests.contains_key(&fingerprint));
        let beside = self.in_flight.get(upstream);
        runs || beside.is_some_and(|requests| requests.keys().any(|other| self.is_suspect(*other)))
    }

    /// Adds suspects to the crash of `upstream` around `at`; returns those that are new.
    fn add_suspects(
        &mut self,
        now: ClockInstant,
        at: ClockInstant,
        upstream: &UpstreamStart,
        mut suspects: BTreeSet<RequestFingerprint>,
    ) -> Vec<RequestFingerprint> {
        self.expire(now);
        // One start of an upstream crashes once.
        let same = |crash: &CrashRecord| {
            let apart = at.since(crash.at).max(crash.at.since(at));
            crash.upstream == *upstream && (upstream.started_at.is_some() || apart < CRASH_WINDOW)
        };
        let known = self.crashes.iter().rposition(same);
        let at = known.map_or(at, |index| self.crashes[index].at);
        suspects.retain(|suspect| self.cleared.get(suspect).is_none_or(|cleared| *cleared <= at));
        match known {
            Some(index) => {
                let crash = &mut self.crashes[index];
                suspects.retain(|suspect| crash.suspects.insert(*suspect));
                if !suspects.is_empty() {
                    crash.suspect_added = now;
                }
            }
            None if suspects.is_empty() => {}
            None => self.insert(CrashRecord {
                upstream: upstream.clone(),
                at,
                suspect_added: now,
                suspects: suspects.clone(),
            }),
        }
        suspects.into_iter().collect()
    }

    fn insert(&mut self, crash: CrashRecord) {
        if self.crashes.len() >= MAX_CRASHES {
            let repeated = self.repeated();
            let has_no_repeated = |crash: &CrashRecord| crash.suspects.is_disjoint(&repeated);
            self.crashes.remove(self.crashes.iter().position(has_no_repeated).unwrap_or(0));
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
    }

    /// Removes a request from the suspects of all crashes before `at`.
    fn clear(&mut self, at: ClockInstant, fingerprint: RequestFingerprint) {
        let cleared = self.cleared.entry(fingerprint).or_insert(at);
        *cleared = at.max(*cleared);
        for crash in self.crashes.iter_mut().filter(|crash| crash.at < at) {
            crash.suspects.remove(&fingerprint);
        }
    }

    fn expire(&mut self, now: ClockInstant) {
        self.crashes.retain(|crash| now.since(crash.at) < CRASH_RETENTION);
        self.cleared.retain(|_, at| now.since(*at) < CRASH_RETENTION);
    }
}
