//! How long runs took lately, and whether a request can end before the process does.
//!
//! A host that stops passes a request on only if it is expected to end in time; another host takes
//! the others at once. What is expected follows from the last runs of the same kind, or of the same
//! group of kinds if too few are known of that one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterellane_units::ClockInstant;
use slab::Slab;

/// Number of completed runs that are remembered of each kind, and of each group.
const REMEMBERED_RUNS: usize = 32;

/// Number of completed runs from which on they show what to expect.
const MIN_RUNS: usize = 8;

/// Time after which a completed run no longer counts.
const RETENTION: Duration = Duration::from_secs(600);

/// Interval between two sweeps of all kinds.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Fraction of the runs of a kind that end within what is expected, for requests that may be cut.
const REPEATABLE_QUANTILE: f64 = 0.9;

/// Factor by which the next run may take longer than those before.
const MARGIN_FACTOR: f64 = 1.25;

/// Time by which the next run may take longer in addition.
const MARGIN: Duration = Duration::from_millis(100);

/// What a run is, as far as its time depends on it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunKind<G, M> {
    /// Group of kinds with roughly similar times.
    pub group: G,
    /// Member of the group.
    pub member: M,
}

/// Span of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSpan {
    /// When the stop was requested.
    pub requested: ClockInstant,
    /// When requests that are still in flight are cut.
    pub end: ClockInstant,
}

/// A request that may begin during a planned stop.
#[derive(Clone, Debug)]
pub struct LateRequest<'a, G, M> {
    /// Kind of its run.
    pub kind: &'a RunKind<G, M>,
    /// Time until its own deadline.
    pub left: Duration,
    /// Whether it may run again elsewhere if it is cut.
    pub repeatable: bool,
}

/// A run under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunTicket(usize);

/// A completed run.
#[derive(Clone, Copy, Debug)]
struct CompletedRun {
    ended: ClockInstant,
    took: Duration,
}

/// The last completed runs, the latest first.
type LastRuns = VecDeque<CompletedRun>;

/// The last completed runs of a group and of each of its members.
#[derive(Clone, Debug)]
struct GroupRuns<M> {
    all: LastRuns,
    by_member: BTreeMap<M, LastRuns>,
}

/// Times of the last runs, by kind.
#[derive(Clone, Debug)]
pub struct RunTimes<G, M> {
    groups: BTreeMap<G, GroupRuns<M>>,
    under_way: Slab<(RunKind<G, M>, ClockInstant)>,
    swept: ClockInstant,
}

impl<G, M> Default for RunTimes<G, M> {
    fn default() -> Self {
        let swept = ClockInstant::default();
        Self { groups: BTreeMap::new(), under_way: Slab::new(), swept }
    }
}

impl<G, M> RunTimes<G, M>
where
    G: Ord,
    M: Ord,
{
    /// Notes that a run of `kind` begins.
    pub fn begin(&mut self, now: ClockInstant, kind: RunKind<G, M>) -> RunTicket {
        RunTicket(self.under_way.insert((kind, now)))
    }

    /// Notes that a run ended before it was complete.
    pub fn abandon(&mut self, ticket: RunTicket) {
        self.under_way.try_remove(ticket.0);
    }

    /// Notes that a run is complete.
    pub fn complete(&mut self, now: ClockInstant, ticket: RunTicket) {
        let Some((kind, begun)) = self.under_way.try_remove(ticket.0) else { return };
        let run = CompletedRun { ended: now, took: now.since(begun) };
        let group = self
            .groups
            .entry(kind.group)
            .or_insert_with(|| GroupRuns { all: LastRuns::new(), by_member: BTreeMap::new() });
        for runs in [&mut group.all, group.by_member.entry(kind.member).or_default()] {
            runs.truncate(REMEMBERED_RUNS - 1);
            runs.push_front(run);
        }
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: ClockInstant) {
        self.swept = now;
        let is_used = |runs: &LastRuns| runs.front().is_some_and(|run| is_recent(now, run));
        self.groups.retain(|_, group| is_used(&group.all));
        for group in self.groups.values_mut() {
            group.by_member.retain(|_, runs| is_used(runs));
        }
    }

    /// Returns how long the next run of `kind` is expected to take; `None` if too few are known.
    pub fn expected(
        &self,
        now: ClockInstant,
        kind: &RunKind<G, M>,
        repeatable: bool,
    ) -> Option<Duration> {
        let group = self.groups.get(&kind.group)?;
        let open = self.under_way.iter().map(|(_, run)| run);
        let same_group = open.filter(|(open, _)| open.group == kind.group);
        let own = group.by_member.get(&kind.member);
        let own = own.map(|runs| recent_times(now, runs)).filter(|times| times.len() >= MIN_RUNS);
        let (mut times, open): (_, Vec<_>) = match own {
            Some(times) => (times, same_group.filter(|(o, _)| o.member == kind.member).collect()),
            None => (recent_times(now, &group.all), same_group.collect()),
        };
        if times.len() < MIN_RUNS {
            return None;
        }
        // A run under way only tells more if it has taken longer than those before.
        let longest = times.iter().max().copied()?;
        let ages = open.iter().map(|(_, begun)| now.since(*begun));
        times.extend(ages.filter(|age| *age > longest));
        times.sort_unstable();
        let quantile = if repeatable { REPEATABLE_QUANTILE } else { 1.0 };
        let bound = times[rank(times.len(), quantile)];
        Some(bound.mul_f64(MARGIN_FACTOR) + MARGIN)
    }

    /// Returns whether a request ends before the process does, as far as known. One of which nothing
    /// is known may take all of its own time.
    pub fn may_begin(
        &self,
        now: ClockInstant,
        stop: &StopSpan,
        request: &LateRequest<'_, G, M>,
    ) -> bool {
        let available = stop.end.since(now);
        request.left <= available
            || self
                .expected(now, request.kind, request.repeatable)
                .is_some_and(|expected| expected <= available)
    }
}

fn is_recent(now: ClockInstant, run: &CompletedRun) -> bool {
    now.since(run.ended) < RETENTION
}

fn recent_times(now: ClockInstant, runs: &LastRuns) -> Vec<Duration> {
    runs.iter().filter(|run| is_recent(now, run)).map(|run| run.took).collect()
}

/// Returns the index of a quantile in a sorted list of `count` values, which is not empty.
fn rank(count: usize, quantile: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a few hundred values"
    )]
    let rank = (count as f64 * quantile).ceil() as usize;
    rank.clamp(1, count) - 1
}
