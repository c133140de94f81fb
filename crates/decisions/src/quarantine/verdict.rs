//! Finds out what crashes have in common.
//!
//! A suspect that is quarantined explains the crashes that it is a suspect of. The suspect of most
//! crashes is quarantined first, so that others, which only shared its crashes, are not.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use dotterellane_protocol::quarantine::CrashSuspect;
use dotterellane_units::ClockInstant;

use super::CrashRecord;
use super::group::{CRASHES_TO_JUDGE, GroupJudgement, QuarantineGroup};

/// Crashes after which a request is quarantined if it is the sole repeated request of one of them.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Crashes after which a suspect is quarantined even if others share all of them.
const CRASHES_DESPITE_COMPANIONS: usize = CRASHES_TO_JUDGE;

/// Number of crashes within [`MASS_SPAN`] of a crash, itself included, from which on two crashes do
/// not suffice.
const MASS_CRASH_COUNT: usize = 4;

/// Time before and after a crash within which other crashes count as simultaneous.
const MASS_SPAN: Duration = Duration::from_secs(1);

/// Fraction of simultaneous crashes, as numerator and denominator, from which on a part that they
/// share is not there by chance.
const MASS_PART: (usize, usize) = (1, 3);

/// What the known crashes show.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashVerdict {
    /// Suspects whose requests are refused, with the exceptions of their groups.
    pub(super) quarantined: BTreeSet<CrashSuspect>,
    /// The same, by the crashes that they have.
    groups: Vec<QuarantineGroup>,
    /// Number of crashes of each suspect.
    pub(super) counts: HashMap<CrashSuspect, usize>,
    /// Suspects of crashes that no quarantined one explains.
    open: HashSet<CrashSuspect>,
    /// When time alone may change this verdict, as crashes that came at once are old enough then.
    review_at: Option<ClockInstant>,
}

/// Crashes of one suspect that are not explained yet.
#[derive(Clone, Copy, Debug)]
struct SuspectTally {
    count: usize,
    first: ClockInstant,
    last: ClockInstant,
}

impl CrashVerdict {
    /// Judges at `now` from all known crashes, which are in the order of their times.
    pub(super) fn new(now: ClockInstant, crashes: &[CrashRecord]) -> Self {
        let mut open: Vec<&CrashRecord> = crashes.iter().collect();
        let mut tallies = tally(&open);
        let counts = tallies.iter().map(|(suspect, tally)| (*suspect, tally.count)).collect();
        let (mut quarantined, mut groups) = (BTreeSet::new(), Vec::new());
        loop {
            let next = next_quarantined(now, crashes, &open, &tallies);
            if next.is_empty() {
                break;
            }
            groups.extend(group_by_crashes(&next, &open));
            open.retain(|crash| crash.suspects.is_disjoint(&next));
            quarantined.extend(next);
            tallies = tally(&open);
        }
        let review_at = next_review(now, &tallies);
        Self { quarantined, groups, counts, open: tallies.into_keys().collect(), review_at }
    }

    /// Returns whether the verdict holds at `now` if no crash changed.
    pub(super) fn holds(&self, now: ClockInstant) -> bool {
        self.review_at.is_none_or(|at| now < at)
    }

    /// Returns the number of crashes of a suspect.
    pub(super) fn count(&self, suspect: CrashSuspect) -> usize {
        self.counts.get(&suspect).copied().unwrap_or(0)
    }

    /// Returns the groups whose trial a request with these suspects would be, with the time from
    /// their last crash until a trial; `None` if the request must not run.
    pub(super) fn trials(
        &self,
        suspects: &BTreeSet<CrashSuspect>,
    ) -> Option<Vec<(&QuarantineGroup, Duration)>> {
        let is_clean = |group: &QuarantineGroup| {
            let parts = suspects.iter().filter(|one| is_part(one));
            parts.filter(|one| !group.suspects.contains(one)).all(|one| self.count(*one) == 0)
        };
        let mut trials = Vec::new();
        for group in &self.groups {
            match group.judge(suspects, is_clean(group)) {
                GroupJudgement::Passes => {}
                GroupJudgement::OnTrial(delay) => trials.push((group, delay)),
                GroupJudgement::Refused => return None,
            }
        }
        Some(trials)
    }

    /// Returns whether a crash that nothing else explains has this suspect.
    pub(super) fn is_open(&self, suspect: CrashSuspect) -> bool {
        self.open.contains(&suspect)
    }

    /// Returns the suspects of a crash that another host needs to reach the same verdict.
    pub(super) fn evidence(&self, crash: &CrashRecord) -> Vec<CrashSuspect> {
        let quarantined: Vec<_> = crash.suspects.intersection(&self.quarantined).copied().collect();
        if !quarantined.is_empty() {
            return quarantined;
        }
        let repeated = crash.suspects.iter().filter(|suspect| self.count(**suspect) > 1);
        repeated.copied().collect()
    }
}

fn is_part(suspect: &CrashSuspect) -> bool {
    matches!(suspect, CrashSuspect::Part(_))
}

/// Groups parts by the open crashes that they have. Each request is a group of its own: those that
/// always meet may all be guilty.
fn group_by_crashes(
    suspects: &BTreeSet<CrashSuspect>,
    open: &[&CrashRecord],
) -> Vec<QuarantineGroup> {
    let mut groups: BTreeMap<(Vec<usize>, Option<CrashSuspect>), BTreeSet<CrashSuspect>> =
        BTreeMap::new();
    for suspect in suspects {
        let crashes = open.iter().enumerate();
        let crashes = crashes.filter(|(_, crash)| crash.suspects.contains(suspect));
        let indices = crashes.map(|(index, _)| index).collect();
        let request = (!is_part(suspect)).then_some(*suspect);
        groups.entry((indices, request)).or_default().insert(*suspect);
    }
    let groups = groups.into_iter().map(|((indices, _), suspects)| {
        let crashes: Vec<&CrashRecord> = indices.into_iter().map(|index| open[index]).collect();
        QuarantineGroup::new(suspects, &crashes)
    });
    groups.collect()
}

fn tally(crashes: &[&CrashRecord]) -> HashMap<CrashSuspect, SuspectTally> {
    let mut tallies: HashMap<CrashSuspect, SuspectTally> = HashMap::new();
    for crash in crashes {
        for suspect in &crash.suspects {
            let first = SuspectTally { count: 0, first: crash.at, last: crash.at };
            let tally = tallies.entry(*suspect).or_insert(first);
            tally.count += 1;
            tally.last = crash.at;
        }
    }
    tallies
}

/// Returns the suspects that are quarantined next: the parts with most crashes, or all requests that
/// can be if none of the parts has more. Requests go first, as others may share the parts; they do
/// not explain each other's crashes, as several may be guilty and always meet.
fn next_quarantined(
    now: ClockInstant,
    crashes: &[CrashRecord],
    open: &[&CrashRecord],
    tallies: &HashMap<CrashSuspect, SuspectTally>,
) -> BTreeSet<CrashSuspect> {
    let candidates = tallies.keys().copied();
    let candidates =
        candidates.filter(|suspect| is_quarantined(now, crashes, open, tallies, *suspect));
    let (parts, requests): (BTreeSet<_>, BTreeSet<_>) = candidates.partition(is_part);
    let most = |suspects: &BTreeSet<CrashSuspect>| {
        suspects.iter().map(|suspect| tallies[suspect].count).max().unwrap_or(0)
    };
    let most_of_parts = most(&parts);
    if most(&requests) >= most_of_parts {
        return requests;
    }
    parts.into_iter().filter(|part| tallies[part].count == most_of_parts).collect()
}

fn is_quarantined(
    now: ClockInstant,
    crashes: &[CrashRecord],
    open: &[&CrashRecord],
    tallies: &HashMap<CrashSuspect, SuspectTally>,
    suspect: CrashSuspect,
) -> bool {
    let tally = tallies[&suspect];
    let CrashSuspect::Request(_) = suspect else {
        return tally.count >= CRASHES_DESPITE_COMPANIONS && !is_by_chance(now, crashes, tally);
    };
    if tally.count >= CRASHES_DESPITE_COMPANIONS {
        return true;
    }
    let mut shared = open.iter().filter(|crash| crash.suspects.contains(&suspect));
    tally.count >= CRASHES_TO_QUARANTINE
        && shared.clone().all(|crash| !is_mass_crash(crashes, crash))
        && shared.any(|crash| is_sole_repeated(tallies, suspect, crash))
}

/// Returns whether a part may have been in flight at its crashes by chance, as many upstreams crashed
/// at once for another reason. That is no longer so if it was at most of these crashes and nothing
/// has cleared it since.
fn is_by_chance(now: ClockInstant, crashes: &[CrashRecord], tally: SuspectTally) -> bool {
    if tally.last.since(tally.first) >= MASS_SPAN {
        return false;
    }
    let around = crashes.iter().filter(|crash| {
        tally.first.since(crash.at) < MASS_SPAN && crash.at.since(tally.last) < MASS_SPAN
    });
    now.since(tally.first) < MASS_SPAN || tally.count * MASS_PART.1 < around.count() * MASS_PART.0
}

/// Returns when the first of the parts whose crashes came at once can be judged.
fn next_review(
    now: ClockInstant,
    tallies: &HashMap<CrashSuspect, SuspectTally>,
) -> Option<ClockInstant> {
    let parts = tallies.iter().filter(|(suspect, tally)| {
        matches!(suspect, CrashSuspect::Part(_)) && tally.count >= CRASHES_DESPITE_COMPANIONS
    });
    parts.map(|(_, tally)| tally.first + MASS_SPAN).filter(|at| *at > now).min()
}

/// Returns whether no other request that is a suspect of `crash` has enough crashes to be
/// quarantined.
fn is_sole_repeated(
    tallies: &HashMap<CrashSuspect, SuspectTally>,
    suspect: CrashSuspect,
    crash: &CrashRecord,
) -> bool {
    let mut others = crash
        .suspects
        .iter()
        .filter(|other| **other != suspect && matches!(other, CrashSuspect::Request(_)));
    others.all(|other| tallies[other].count < CRASHES_TO_QUARANTINE)
}

/// Returns whether so many upstreams crashed at the same time that a request is not the cause.
fn is_mass_crash(crashes: &[CrashRecord], crash: &CrashRecord) -> bool {
    let around = crashes
        .iter()
        .filter(|other| other.at.since(crash.at).max(crash.at.since(other.at)) < MASS_SPAN);
    around.count() >= MASS_CRASH_COUNT
}
