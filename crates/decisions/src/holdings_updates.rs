//! What the keeper tells all hosts of what runners hold, and when again.
//!
//! What changed is told at once and, as datagrams may be lost, again for a while. The rest is repeated in
//! turn, a bounded number of runners at a time, since rows of the runners tell it too.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};

/// Time between two repetitions.
const REPEAT_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a change is among all repetitions.
const FRESH_SPAN: Duration = Duration::from_secs(3);

/// Most runners that are repeated at a time, besides changes.
pub const REPEATED_AT_ONCE: usize = 64;

#[derive(Clone, Debug)]
struct ToldHoldings<H> {
    held: H,
    /// `None` if it was so when telling began, which rows tell as well.
    changed: Option<ClockInstant>,
}

/// What was told, by runner.
#[derive(Clone, Debug)]
pub struct HoldingsUpdates<H> {
    told: BTreeMap<UpstreamId, ToldHoldings<H>>,
    repeated: ClockInstant,
    /// Runner after which the next repetition goes on.
    last: Option<UpstreamId>,
}

impl<H> Default for HoldingsUpdates<H> {
    fn default() -> Self {
        Self { told: BTreeMap::new(), repeated: ClockInstant::default(), last: None }
    }
}

impl<H> HoldingsUpdates<H>
where
    H: Clone + PartialEq,
{
    /// Forgets all that was told.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes in what all runners hold now; returns what is to be told now.
    pub fn due_updates<A>(&mut self, now: ClockInstant, all: A) -> Vec<(UpstreamId, H)>
    where
        A: IntoIterator<Item = (UpstreamId, H)>,
    {
        let mut known = std::mem::take(&mut self.told);
        let changed = (!known.is_empty()).then_some(now);
        let mut named = BTreeSet::new();
        for (runner, held) in all {
            let told = match known.remove(&runner) {
                Some(told) if told.held == held => told,
                _ => {
                    named.insert(runner.clone());
                    ToldHoldings { held, changed }
                }
            };
            self.told.insert(runner, told);
        }
        if now.since(self.repeated) >= REPEAT_PAUSE {
            self.repeated = now;
            named.extend(self.repetition(now));
        }
        let told = |runner: UpstreamId| {
            let held = self.told.get(&runner)?.held.clone();
            Some((runner, held))
        };
        named.into_iter().filter_map(told).collect()
    }

    /// Returns the runners that are due for repetition.
    fn repetition(&mut self, now: ClockInstant) -> BTreeSet<UpstreamId> {
        let is_fresh = |told: &ToldHoldings<H>| {
            told.changed.is_some_and(|changed| now.since(changed) < FRESH_SPAN)
        };
        let fresh = self.told.iter().filter(|(_, told)| is_fresh(told));
        let fresh = fresh.map(|(runner, _)| runner.clone());
        let after = self.told.keys().filter(|runner| Some(*runner) > self.last.as_ref());
        let rest = self.told.keys().filter(|runner| Some(*runner) <= self.last.as_ref());
        let turn: Vec<UpstreamId> = after.chain(rest).take(REPEATED_AT_ONCE).cloned().collect();
        let repeated = fresh.chain(turn.iter().cloned()).collect();
        self.last = turn.last().cloned();
        repeated
    }
}
