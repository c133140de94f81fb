//! Quarantines requests that crash every upstream they run on.
//!
//! Each request in flight at an upstream when it crashes is a suspect of that crash, and so is each
//! part of its prompt that other requests share. Hosts exchange the suspects of each crash. What the
//! crashes have in common, and what has not succeeded since, is quarantined (`CrashVerdict`): such a
//! request, or one with such a part, is refused, unless it could show that the part is sound
//! (`QuarantineGroup`). Requests that are suspects of a first crash are not
//! run side by side, so that a second crash has only one of them as a suspect.

mod group;
mod sound_parts;
mod verdict;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dotterellane_units::ClockInstant;
use serde::{Deserialize, Serialize};

pub use self::group::FleetPosition;
pub use self::sound_parts::SOUND_SPAN;
use self::sound_parts::SoundParts;
use self::verdict::CrashVerdict;
pub use dotterellane_protocol::quarantine::{
    CrashReport, CrashSuspect, MAX_REPORT_SUSPECTS, PartFingerprint, RequestFingerprint,
    UpstreamStart,
};

/// Reports about one upstream within this time are about the same crash, if its start is not known.
pub const CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Time after which a crash, or a success of a suspect, is forgotten.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Largest number of crashes remembered. Beyond it the oldest crash is dropped, but first those
/// whose suspects have no other crash.
pub const MAX_CRASHES: usize = 256;

/// Largest number of suspects of one crash; beyond it only suspects of other crashes are added.
pub const MAX_CRASH_SUSPECTS: usize = 1_024;

/// Crashes of a quarantined suspect that are kept when the oldest ones must be dropped.
const KEPT_QUARANTINED_CRASHES: usize = 16;

/// What may crash an upstream that runs a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    /// The request as a whole.
    pub request: RequestFingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PartFingerprint>,
}

impl RequestIdentity {
    /// Returns the request and its parts as suspects.
    pub fn suspects(&self) -> impl Iterator<Item = CrashSuspect> {
        let parts = self.parts.iter().map(|part| CrashSuspect::Part(*part));
        parts.chain([CrashSuspect::Request(self.request)])
    }
}

impl From<RequestFingerprint> for RequestIdentity {
    fn from(request: RequestFingerprint) -> Self {
        Self { request, parts: Vec::new() }
    }
}

#[derive(Clone, Debug)]
struct CrashRecord {
    upstream: UpstreamStart,
    at: ClockInstant,
    /// When the last suspect was added; hosts repeat a crash to each other for a while after that.
    suspect_added: ClockInstant,
    suspects: BTreeSet<CrashSuspect>,
}

/// A crash with the suspects that matter for its verdict, as hosts repeat it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RememberedCrash {
    /// Upstream that crashed.
    pub runner: UpstreamStart,
    /// Time since the crash.
    pub age: Duration,
    /// Its quarantined suspects; if there are none, those that are suspects of another crash too.
    pub suspects: Vec<CrashSuspect>,
}

/// What the known crashes say about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestSuspicion {
    /// Nothing is held against it.
    Nothing,
    /// It has some, but not all, of the parts that the same crashes have; it may run.
    Shared,
    /// It may run, to show whether its part crashes upstreams.
    OnTrial,
    /// It must not run.
    Quarantined,
}

impl RequestSuspicion {
    /// Returns the name, as metrics and logs have it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Shared => "shared",
            Self::OnTrial => "on_trial",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Crashes of one request, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashSummary {
    /// Crashes of which the request, or the part of its prompt with most of them, is a suspect.
    pub crashes: usize,
    /// That suspect.
    pub suspect: CrashSuspect,
    /// Other suspects of these crashes that have two crashes or more.
    pub companions: usize,
}

/// Requests of this host in flight at one upstream that share a fingerprint.
#[derive(Clone, Debug)]
struct InFlightRequest {
    count: u32,
    parts: Vec<PartFingerprint>,
}

/// Crashes that this host knows of, and its own requests in flight at each upstream.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<CrashRecord>,
    /// When suspects last succeeded; earlier crashes don't count against them.
    cleared: HashMap<CrashSuspect, ClockInstant>,
    /// In-flight requests by upstream and fingerprint.
    in_flight: HashMap<UpstreamStart, HashMap<RequestFingerprint, InFlightRequest>>,
    sound_parts: SoundParts,
    /// What `crashes` show; `None` after they have changed.
    verdict: Option<CrashVerdict>,
    position: FleetPosition,
}

impl CrashTracker {
    /// Notes that a request starts at `upstream`; returns `false` if it must not start there now.
    ///
    /// A suspect must not run beside another suspect, nor at two upstreams at once, so that the
    /// next crash shows which suspect caused it.
    pub fn try_start(
        &mut self,
        now: ClockInstant,
        identity: &RequestIdentity,
        upstream: &UpstreamStart,
    ) -> bool {
        self.expire(now);
        if self.is_open(now, identity.request) && self.has_conflict(now, identity.request, upstream)
        {
            return false;
        }
        let requests = self.in_flight.entry(upstream.clone()).or_default();
        let first = || InFlightRequest { count: 0, parts: identity.parts.clone() };
        requests.entry(identity.request).or_insert_with(first).count += 1;
        true
    }

    /// Notes that a request is no longer in flight at `upstream`, without having succeeded there.
    pub fn note_end(&mut self, request: RequestFingerprint, upstream: &UpstreamStart) {
        let Some(requests) = self.in_flight.get_mut(upstream) else { return };
        if let Some(running) = requests.get_mut(&request) {
            running.count -= 1;
            if running.count == 0 {
                requests.remove(&request);
            }
        }
        if requests.is_empty() {
            self.in_flight.remove(upstream);
        }
    }

    /// Notes that a request succeeded at `upstream`; if it or a part of it was a suspect, clears
    /// these and returns the report for the other hosts.
    pub fn note_success(
        &mut self,
        now: ClockInstant,
        identity: &RequestIdentity,
        upstream: &UpstreamStart,
    ) -> Option<CrashReport> {
        self.note_end(identity.request, upstream);
        self.sound_parts.note(now, &identity.parts);
        if self.crashes.is_empty() {
            return None;
        }
        let verdict = self.verdict(now);
        let suspects: Vec<_> =
            identity.suspects().filter(|suspect| verdict.count(*suspect) > 0).collect();
        self.clear_all(now, now, suspects)
    }

    /// Notes that `upstream` crashed under a request; returns the reports for the other hosts.
    ///
    /// Each report has at most [`MAX_REPORT_SUSPECTS`] suspects that were not known before.
    pub fn note_crash(
        &mut self,
        now: ClockInstant,
        identity: &RequestIdentity,
        upstream: &UpstreamStart,
    ) -> Vec<CrashReport> {
        let mut running: BTreeSet<_> = identity.suspects().collect();
        for (request, in_flight) in self.in_flight.get(upstream).into_iter().flatten() {
            running.insert(CrashSuspect::Request(*request));
            running.extend(in_flight.parts.iter().copied().map(CrashSuspect::Part));
        }
        running.retain(|suspect| self.last_success(now, *suspect).is_none());
        let added = self.add_suspects(now, now, upstream, running);
        let parts = added.chunks(MAX_REPORT_SUSPECTS);
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
            CrashReport::Cleared { suspects, age } => {
                suspects.iter().for_each(|suspect| self.clear(now, now - *age, *suspect));
            }
        }
    }

    /// Clears the parts that a report names as suspects, that have another crash too, and that
    /// succeeded at this host recently; returns the report for the other hosts.
    pub fn clear_sound(&mut self, now: ClockInstant, report: &CrashReport) -> Option<CrashReport> {
        let CrashReport::Crashed { suspects, .. } = report else { return None };
        let verdict = self.verdict(now);
        let repeated = suspects.iter().copied().filter(|suspect| verdict.count(*suspect) > 1);
        let repeated: Vec<CrashSuspect> = repeated.collect();
        let successes = repeated.iter().filter_map(|suspect| self.last_success(now, *suspect));
        let at = successes.min()?;
        let sound = repeated.into_iter().filter(|one| self.last_success(now, *one).is_some());
        let sound = sound.collect();
        self.clear_all(now, at, sound)
    }

    /// Returns the crashes from which another host quarantines the same requests; with `span`, only
    /// those that got a new suspect within it.
    pub fn remembered(
        &mut self,
        now: ClockInstant,
        span: Option<Duration>,
    ) -> Vec<RememberedCrash> {
        self.expire(now);
        self.verdict(now);
        let verdict = self.verdict.as_ref();
        let recent =
            |crash: &&CrashRecord| span.is_none_or(|span| now.since(crash.suspect_added) < span);
        let crashes = self.crashes.iter().filter(recent).map(|crash| RememberedCrash {
            runner: crash.upstream.clone(),
            age: now.since(crash.at),
            suspects: verdict.map(|verdict| verdict.evidence(crash)).unwrap_or_default(),
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
        let cleared = crash.suspects.iter().filter_map(|suspect| {
            let cleared = *self.cleared.get(suspect).filter(|cleared| **cleared > at)?;
            Some(CrashReport::Cleared { suspects: vec![*suspect], age: now.since(cleared) })
        });
        cleared.collect()
    }

    /// Sets the position of this host among all hosts, by which they take turns with trials.
    pub fn set_position(&mut self, position: FleetPosition) {
        self.position = position;
    }

    /// Returns whether a request must be refused because it crashes upstreams.
    pub fn is_quarantined(&mut self, now: ClockInstant, identity: &RequestIdentity) -> bool {
        self.suspicion(now, identity) == RequestSuspicion::Quarantined
    }

    /// Returns what the known crashes say about a request. One that may run on trial does so while no
    /// other request with the same part is in flight here.
    pub fn suspicion(&mut self, now: ClockInstant, identity: &RequestIdentity) -> RequestSuspicion {
        self.expire(now);
        if self.crashes.is_empty() {
            return RequestSuspicion::Nothing;
        }
        let suspects: BTreeSet<_> = identity.suspects().collect();
        if self.verdict(now).quarantined.is_disjoint(&suspects) {
            return RequestSuspicion::Nothing;
        }
        let (position, running) = (self.position, self.running_parts());
        let Some(trials) = self.verdict(now).trials(&suspects) else {
            return RequestSuspicion::Quarantined;
        };
        let may_run = trials.iter().all(|(group, delay)| {
            group.is_trial_due(now, *delay, position) && group.suspects.is_disjoint(&running)
        });
        match may_run {
            true if trials.is_empty() => RequestSuspicion::Shared,
            true => RequestSuspicion::OnTrial,
            false => RequestSuspicion::Quarantined,
        }
    }

    /// Returns the parts of all requests in flight.
    fn running_parts(&self) -> BTreeSet<CrashSuspect> {
        let requests = self.in_flight.values().flat_map(HashMap::values);
        requests.flat_map(|request| &request.parts).copied().map(CrashSuspect::Part).collect()
    }

    /// Returns the crashes of a request, or of the part of its prompt with most of them.
    pub fn summary(&mut self, now: ClockInstant, identity: &RequestIdentity) -> CrashSummary {
        let verdict = self.verdict(now).clone();
        let most = identity.suspects().max_by_key(|suspect| verdict.count(*suspect));
        let suspect = most.unwrap_or(CrashSuspect::Request(identity.request));
        let shared = self.crashes.iter().filter(|crash| crash.suspects.contains(&suspect));
        let companions: BTreeSet<_> =
            shared.flat_map(|crash| &crash.suspects).filter(|other| **other != suspect).collect();
        let repeated = companions.iter().filter(|other| verdict.count(***other) > 1);
        CrashSummary { crashes: verdict.count(suspect), suspect, companions: repeated.count() }
    }

    /// Returns the number of quarantined suspects.
    pub fn quarantined_count(&mut self, now: ClockInstant) -> usize {
        self.expire(now);
        self.verdict(now).quarantined.len()
    }

    fn verdict(&mut self, now: ClockInstant) -> &CrashVerdict {
        self.verdict.take_if(|verdict| !verdict.holds(now));
        self.verdict.get_or_insert_with(|| CrashVerdict::new(now, &self.crashes))
    }

    /// Returns whether a request is a suspect of a crash that nothing else explains.
    fn is_open(&mut self, now: ClockInstant, request: RequestFingerprint) -> bool {
        !self.crashes.is_empty() && self.verdict(now).is_open(CrashSuspect::Request(request))
    }

    /// Returns when a part last succeeded at this host, if that was recently.
    fn last_success(&self, now: ClockInstant, suspect: CrashSuspect) -> Option<ClockInstant> {
        match suspect {
            CrashSuspect::Part(part) => self.sound_parts.last_success(now, part),
            CrashSuspect::Request(_) => None,
        }
    }

    /// Returns whether a suspect is in flight already, or another suspect is in flight at
    /// `upstream`.
    fn has_conflict(
        &mut self,
        now: ClockInstant,
        request: RequestFingerprint,
        upstream: &UpstreamStart,
    ) -> bool {
        if self.in_flight.values().any(|requests| requests.contains_key(&request)) {
            return true;
        }
        let beside: Vec<_> =
            self.in_flight.get(upstream).into_iter().flatten().map(|(other, _)| *other).collect();
        beside.into_iter().any(|other| self.is_open(now, other))
    }

    /// Returns whether a success of `suspect` clears it of a crash at `at`. A success shortly before
    /// the crash clears a part too: it does not depend on the rest of the request.
    fn is_cleared(&self, suspect: CrashSuspect, at: ClockInstant) -> bool {
        let Some(cleared) = self.cleared.get(&suspect) else { return false };
        match suspect {
            CrashSuspect::Part(_) => *cleared + SOUND_SPAN > at,
            CrashSuspect::Request(_) => *cleared > at,
        }
    }

    /// Adds suspects to the crash of `upstream` around `at`; returns those that are new.
    fn add_suspects(
        &mut self,
        now: ClockInstant,
        at: ClockInstant,
        upstream: &UpstreamStart,
        mut suspects: BTreeSet<CrashSuspect>,
    ) -> Vec<CrashSuspect> {
        self.expire(now);
        // One start of an upstream crashes once.
        let same = |crash: &CrashRecord| {
            let apart = at.since(crash.at).max(crash.at.since(at));
            crash.upstream == *upstream && (upstream.started_at.is_some() || apart < CRASH_WINDOW)
        };
        let known = self.crashes.iter().rposition(same);
        let at = known.map_or(at, |index| self.crashes[index].at);
        suspects.retain(|suspect| !self.is_cleared(*suspect, at));
        self.limit_suspects(now, known, &mut suspects);
        match known {
            Some(index) => {
                let crash = &mut self.crashes[index];
                suspects.retain(|suspect| crash.suspects.insert(*suspect));
                if !suspects.is_empty() {
                    crash.suspect_added = now;
                }
            }
            None if suspects.is_empty() => {}
            None => self.insert(
                now,
                CrashRecord {
                    upstream: upstream.clone(),
                    at,
                    suspect_added: now,
                    suspects: suspects.clone(),
                },
            ),
        }
        if !suspects.is_empty() {
            self.verdict = None;
        }
        suspects.into_iter().collect()
    }

    /// Drops suspects beyond the limit of a crash, unless they are suspects of another one.
    fn limit_suspects(
        &mut self,
        now: ClockInstant,
        known: Option<usize>,
        suspects: &mut BTreeSet<CrashSuspect>,
    ) {
        let present = known.map_or(0, |index| self.crashes[index].suspects.len());
        let mut left = MAX_CRASH_SUSPECTS.saturating_sub(present);
        if suspects.len() <= left {
            return;
        }
        let verdict = self.verdict(now);
        suspects.retain(|suspect| {
            let fits = left > 0;
            left -= usize::from(fits);
            fits || verdict.count(*suspect) > 0
        });
    }

    fn insert(&mut self, now: ClockInstant, crash: CrashRecord) {
        if self.crashes.len() >= MAX_CRASHES {
            let index = self.least_needed(now);
            self.crashes.remove(index);
            self.verdict = None;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
    }

    /// Returns the index of the crash to drop: the oldest one whose suspects have no other crash,
    /// else the oldest one whose quarantined suspects keep enough others, else the oldest.
    fn least_needed(&mut self, now: ClockInstant) -> usize {
        let verdict = self.verdict(now).clone();
        let is_single =
            |crash: &CrashRecord| crash.suspects.iter().all(|one| verdict.count(*one) < 2);
        let is_spare = |crash: &CrashRecord| {
            let mut quarantined = crash.suspects.intersection(&verdict.quarantined).peekable();
            quarantined.peek().is_some()
                && quarantined.all(|suspect| verdict.count(*suspect) > KEPT_QUARANTINED_CRASHES)
        };
        let single = self.crashes.iter().position(is_single);
        single.or_else(|| self.crashes.iter().position(is_spare)).unwrap_or(0)
    }

    /// Clears suspects that succeeded at `at`; returns the report for the other hosts.
    fn clear_all(
        &mut self,
        now: ClockInstant,
        at: ClockInstant,
        suspects: Vec<CrashSuspect>,
    ) -> Option<CrashReport> {
        if suspects.is_empty() {
            return None;
        }
        suspects.iter().for_each(|suspect| self.clear(now, at, *suspect));
        Some(CrashReport::Cleared { suspects, age: now.since(at) })
    }

    /// Removes a suspect from all crashes that a success at `at` clears it of.
    fn clear(&mut self, now: ClockInstant, at: ClockInstant, suspect: CrashSuspect) {
        self.cleared.retain(|_, at| now.since(*at) < CRASH_RETENTION);
        let cleared = self.cleared.entry(suspect).or_insert(at);
        *cleared = at.max(*cleared);
        let mut crashes = std::mem::take(&mut self.crashes);
        for crash in crashes.iter_mut().filter(|crash| self.is_cleared(suspect, crash.at)) {
            crash.suspects.remove(&suspect);
        }
        self.crashes = crashes;
        self.verdict = None;
    }

    /// Forgets crashes after their retention time.
    fn expire(&mut self, now: ClockInstant) {
        let is_old = |crash: &CrashRecord| now.since(crash.at) >= CRASH_RETENTION;
        if self.crashes.first().is_some_and(is_old) {
            self.crashes.retain(|crash| !is_old(crash));
            self.verdict = None;
        }
    }
}
