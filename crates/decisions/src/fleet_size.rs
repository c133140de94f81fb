//! Number of hosts that share what the fleet may do together, as one host knows it.
//!
//! A host that has just started hears nobody, and one that is cut off ceases to hear the others,
//! which go on. Neither may take their parts for its own, so the largest number of late counts.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId};

/// Time for which a number of hosts is remembered after it was last seen; longer than usual cuts.
const MEMORY_SPAN: Duration = Duration::from_secs(600);

/// Largest number of hosts that is believed.
const MAX_HOSTS: usize = 10_000;

/// What a host knows of the number of hosts, itself included.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    observed: RecentMaximum,
    stated: RecentMaximum,
    /// Other hosts of the last list that were not heard; `None` before one was read.
    unheard: Option<BTreeSet<HostId>>,
}

impl FleetSize {
    /// Records a complete list of the `others`, which were registered when it was read;
    /// `is_heard` returns whether this host has heard one of them.
    pub fn note_listed<H>(&mut self, now: ClockInstant, others: BTreeSet<HostId>, is_heard: H)
    where
        H: Fn(&HostId) -> bool,
    {
        self.note_observed(now, others.len() + 1);
        self.unheard = Some(others.into_iter().filter(|other| !is_heard(other)).collect());
    }

    /// Records that this host has heard `other`.
    pub fn note_heard(&mut self, other: &HostId) {
        if let Some(unheard) = &mut self.unheard {
            unheard.remove(other);
        }
    }

    /// Returns whether this host has read which hosts there are and has heard all of them. Of hosts
    /// that start together, those for which it is true know of each other, also while others are
    /// cut off.
    pub fn hears_all_listed(&self) -> bool {
        self.unheard.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Records how many hosts this one knows, by hearing them or by a list.
    pub fn note_observed(&mut self, now: ClockInstant, hosts: usize) {
        self.observed.note(now, hosts);
    }

    /// Records how many hosts another one says that it observed; 0 if it does not know.
    pub fn note_stated(&mut self, now: ClockInstant, hosts: usize) {
        self.stated.note(now, hosts);
    }

    /// Returns the number that this host tells others, which rests on its own observations alone;
    /// 0 if there are none.
    pub fn observed(&self, now: ClockInstant) -> usize {
        self.observed.get(now).unwrap_or(0)
    }

    /// Returns the number of hosts; `None` if this host has neither heard nor read of any.
    pub fn hosts(&self, now: ClockInstant) -> Option<usize> {
        self.observed.get(now).max(self.stated.get(now))
    }
}

/// Largest of the numbers within the last [`MEMORY_SPAN`].
#[derive(Clone, Debug, Default)]
struct RecentMaximum {
    /// Numbers that may still be the largest, in falling order, with when they were last seen.
    numbers: VecDeque<(usize, ClockInstant)>,
}

impl RecentMaximum {
    fn note(&mut self, now: ClockInstant, number: usize) {
        if number == 0 || number > MAX_HOSTS {
            return;
        }
        while self.numbers.back().is_some_and(|(known, _)| *known <= number) {
            self.numbers.pop_back();
        }
        self.numbers.push_back((number, now));
        while self.numbers.front().is_some_and(|(_, seen)| now.since(*seen) > MEMORY_SPAN) {
            self.numbers.pop_front();
        }
    }

    fn get(&self, now: ClockInstant) -> Option<usize> {
        let mut recent = self.numbers.iter().filter(|(_, seen)| now.since(*seen) <= MEMORY_SPAN);
        recent.next().map(|(number, _)| *number)
    }
}
