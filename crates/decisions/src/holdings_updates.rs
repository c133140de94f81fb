//! Decides which runner holdings the leader sends to all hosts, and when it sends them again.
//!
//! Holdings are the models that a runner has loaded. A change is sent at once and, since datagrams
//! may be lost, repeated for a while. All other holdings are repeated in turn, a limited number of
//! runners at a time, since hosts also read them from the runners' rows in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};

/// Interval between two repetitions.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which every repetition includes a change.
const CHANGE_REPEAT_SPAN: Duration = Duration::from_secs(3);

/// Largest number of runners that a repetition includes beside the recent changes.
pub const REPEATED_AT_ONCE: usize = 64;

#[derive(Clone, Debug)]
struct SentHoldings<H> {
    held: H,
    /// When the holdings changed; `None` if they are those of the first call, which the runners'
    /// rows contain as well.
    changed: Option<ClockInstant>,
}

/// The holdings that were sent last, by runner.
#[derive(Clone, Debug)]
pub struct HoldingsUpdates<H> {
    sent: BTreeMap<UpstreamId, SentHoldings<H>>,
    /// Time of the last repetition.
    repeated: ClockInstant,
    /// Last runner of the last repetition; the next one continues after it.
    last: Option<UpstreamId>,
}

impl<H> Default for HoldingsUpdates<H> {
    fn default() -> Self {
        Self { sent: BTreeMap::new(), repeated: ClockInstant::default(), last: None }
    }
}

impl<H> HoldingsUpdates<H>
where
    H: Clone + PartialEq,
{
    /// Forgets all holdings, as when this host is no longer the leader.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes the current holdings of all runners and returns those that must be sent now.
    pub fn due_updates<A>(&mut self, now: ClockInstant, all: A) -> Vec<(UpstreamId, H)>
    where
        A: IntoIterator<Item = (UpstreamId, H)>,
    {
        let mut known = std::mem::take(&mut self.sent);
        let changed = (!known.is_empty()).then_some(now);
        let mut due = BTreeSet::new();
        for (runner, held) in all {
            let sent = match known.remove(&runner) {
                Some(sent) if sent.held == held => sent,
                _ => {
                    due.insert(runner.clone());
                    SentHoldings { held, changed }
                }
            };
            self.sent.insert(runner, sent);
        }
        if now.since(self.repeated) >= REPEAT_INTERVAL {
            self.repeated = now;
            due.extend(self.repetition(now));
        }
        let with_holdings = |runner: UpstreamId| {
            let held = self.sent.get(&runner)?.held.clone();
            Some((runner, held))
        };
        due.into_iter().filter_map(with_holdings).collect()
    }

    /// Returns the runners of a repetition: those that changed recently and the next ones in turn.
    fn repetition(&mut self, now: ClockInstant) -> BTreeSet<UpstreamId> {
        let is_recent = |sent: &SentHoldings<H>| {
            sent.changed.is_some_and(|changed| now.since(changed) < CHANGE_REPEAT_SPAN)
        };
        let recent = self.sent.iter().filter(|(_, sent)| is_recent(sent));
        let recent = recent.map(|(runner, _)| runner.clone());
        let after = self.sent.keys().filter(|runner| Some(*runner) > self.last.as_ref());
        let rest = self.sent.keys().filter(|runner| Some(*runner) <= self.last.as_ref());
        let turn: Vec<UpstreamId> = after.chain(rest).take(REPEATED_AT_ONCE).cloned().collect();
        let repeated = recent.chain(turn.iter().cloned()).collect();
        self.last = turn.last().cloned();
        repeated
    }
}
