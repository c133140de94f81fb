//! Parts that the same crashes cannot tell apart, and which of their requests may run all the same.
//!
//! A verdict must not keep out what could clear it. Of parts that were at the same crashes, one alone
//! is guilty, so a request with only some of them either succeeds, which clears these, or crashes an
//! upstream, which names them. A part whose crashes something else explains as well is tried now and
//! then, by one request at a time at each host whose turn it is.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterellane_protocol::quarantine::CrashSuspect;
use dotterellane_units::ClockInstant;

use super::CrashRecord;

/// Crashes that are needed for the verdict about a part.
pub(super) const CRASHES_TO_JUDGE: usize = 3;

/// Time from a verdict until all hosts know it; later crashes are of requests that were let through.
const REACTION_TIME: Duration = Duration::from_secs(1);

/// Crashes since a verdict from which on requests with only some of its parts run on trial alone.
const MAX_FREE_FAILURES: usize = 2;

/// Crashes since a verdict from which on none of them runs.
const MAX_TIE_FAILURES: usize = 8;

/// Crashes since a verdict from which on no request with all of its parts is tried again. Two are lost
/// in the hour for which crashes are remembered.
const MAX_FAILURES: usize = 2;

/// Time from the last crash until the first trial, and for which the same hosts may begin one.
const TRIAL_SLOT: Duration = Duration::from_secs(2);

/// Time from the last crash until a trial of what is likely to crash the next upstream.
const RETRIAL_DELAY: Duration = Duration::from_secs(1_200);

/// Position of this host among all hosts, in an order that all of them know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetPosition {
    /// Number of hosts before this one.
    pub rank: usize,
    /// Number of hosts, this one included.
    pub hosts: usize,
}

impl Default for FleetPosition {
    /// Returns the position of a host that knows no other one.
    fn default() -> Self {
        Self { rank: 0, hosts: 1 }
    }
}

impl FleetPosition {
    /// Returns whether it is this host's turn in the slot with this number. Several hosts share a
    /// slot where there are many, as each sees few requests.
    fn is_in_turn(self, slot: usize) -> bool {
        let hosts = self.hosts.max(1);
        let first = slot.wrapping_mul(hosts.isqrt()) % hosts;
        (self.rank + hosts - first) % hosts < hosts.isqrt()
    }
}

/// What a group says about one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GroupJudgement {
    /// The request may run.
    Passes,
    /// The request may run on trial this long after the last crash, when it is the host's turn.
    OnTrial(Duration),
    /// The request must not run.
    Refused,
}

/// Quarantined suspects that the same crashes have.
#[derive(Clone, Debug)]
pub(super) struct QuarantineGroup {
    pub(super) suspects: BTreeSet<CrashSuspect>,
    /// Whether two other parts could explain all of the crashes.
    is_doubtful: bool,
    /// Crashes since all hosts know the verdict.
    failures: usize,
    /// Time of the last crash.
    last: ClockInstant,
}

impl QuarantineGroup {
    /// Creates the group of suspects that all of `crashes` have, which are in the order of their
    /// times.
    pub(super) fn new(suspects: BTreeSet<CrashSuspect>, crashes: &[&CrashRecord]) -> Self {
        let judged = crashes.get(CRASHES_TO_JUDGE - 1).or(crashes.last());
        let known = judged.map(|crash| crash.at + REACTION_TIME).unwrap_or_default();
        Self {
            is_doubtful: two_others_explain(&suspects, crashes),
            failures: crashes.iter().filter(|crash| crash.at > known).count(),
            last: crashes.last().map(|crash| crash.at).unwrap_or_default(),
            suspects,
        }
    }

    /// Judges a request with these suspects; `is_clean` tells whether no other part of it was at a
    /// crash.
    pub(super) fn judge(
        &self,
        suspects: &BTreeSet<CrashSuspect>,
        is_clean: bool,
    ) -> GroupJudgement {
        let held = self.suspects.intersection(suspects).count();
        if held == 0 {
            return GroupJudgement::Passes;
        }
        if self.suspects.iter().any(|one| matches!(one, CrashSuspect::Request(_))) {
            return GroupJudgement::Refused;
        }
        if held < self.suspects.len() {
            return match self.failures {
                failures if failures < MAX_FREE_FAILURES => GroupJudgement::Passes,
                failures if failures < MAX_TIE_FAILURES => GroupJudgement::OnTrial(TRIAL_SLOT),
                _ => GroupJudgement::Refused,
            };
        }
        let may_be_sound = held == 1 && self.is_doubtful && is_clean;
        match self.failures {
            0 if may_be_sound => GroupJudgement::OnTrial(TRIAL_SLOT),
            failures if failures < MAX_FAILURES => GroupJudgement::OnTrial(RETRIAL_DELAY),
            _ => GroupJudgement::Refused,
        }
    }

    /// Returns whether the host at `position` may begin a trial at `now`, which is allowed `delay`
    /// after the last crash.
    pub(super) fn is_trial_due(
        &self,
        now: ClockInstant,
        delay: Duration,
        position: FleetPosition,
    ) -> bool {
        let since = now.since(self.last);
        let slot = since.saturating_sub(delay).as_millis() / TRIAL_SLOT.as_millis();
        since >= delay && position.is_in_turn(usize::try_from(slot).unwrap_or(usize::MAX))
    }
}

/// Returns whether one or two parts beside `suspects` could explain all of the crashes.
fn two_others_explain(suspects: &BTreeSet<CrashSuspect>, crashes: &[&CrashRecord]) -> bool {
    let others = |crash: &CrashRecord| -> BTreeSet<CrashSuspect> {
        let others = crash.suspects.difference(suspects);
        others.filter(|one| matches!(one, CrashSuspect::Part(_))).copied().collect()
    };
    let Some(first) = crashes.first() else { return false };
    others(first).into_iter().any(|one| {
        let mut rest = crashes.iter().filter(|crash| !crash.suspects.contains(&one));
        let Some(next) = rest.next() else { return true };
        let mut common = others(next);
        rest.for_each(|crash| common.retain(|other| crash.suspects.contains(other)));
        !common.is_empty()
    })
}
