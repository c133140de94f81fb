//! Share slots: equal parts of every team's rate and burst, and the members that own them.
//!
//! The slot map assigns each slot to an owner, for all teams alike. A new owner uses a slot only
//! once the map is in force and a loan by the former owner must have ended, so that a slot is never
//! used twice at a time.

use std::collections::BTreeMap;

use dotterellane_protocol::MemberId;
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

use super::timings::{ShareTimings, drift_padded};

/// Number of slots that the rate and burst of every team are divided into.
pub const SLOT_COUNT: u16 = 1_024;

/// Adjacent slots that one owner got with the same change of the map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotRun {
    /// Index of the owner in [`SlotMap::owners`].
    pub owner: u16,
    /// [`SlotMap::change`] of the map with which the owner got them.
    pub since: u64,
    /// Number of slots in the run.
    pub count: u16,
}

/// Owner of every slot; stored as one row of the platform's table, for all teams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotMap {
    /// Version of the map: the number of the change that made it. The first change is 1.
    pub change: u64,
    /// Owners of at least one slot, sorted.
    pub owners: Vec<MemberId>,
    /// Runs that together cover all slots; empty before the first change.
    pub runs: Vec<SlotRun>,
}

impl SlotMap {
    /// Returns the owner of every slot and the change by which it got the slot; empty before the
    /// first change.
    fn slots(&self) -> Vec<(&MemberId, u64)> {
        let owned = |run: &SlotRun| Some((self.owners.get(usize::from(run.owner))?, *run));
        self.runs
            .iter()
            .filter_map(owned)
            .flat_map(|(owner, run)| (0..run.count).map(move |_| (owner, run.since)))
            .take(usize::from(SLOT_COUNT))
            .collect()
    }

    fn from_slots(change: u64, slots: &[(&MemberId, u64)]) -> Self {
        let mut owners: Vec<MemberId> = slots.iter().map(|(owner, _)| (*owner).clone()).collect();
        owners.sort();
        owners.dedup();
        let index =
            |owner: &MemberId| u16::try_from(owners.binary_search(owner).unwrap_or(0)).unwrap_or(0);
        let runs = slots
            .chunk_by(|left, right| left == right)
            .map(|run| SlotRun {
                owner: index(run[0].0),
                since: run[0].1,
                count: u16::try_from(run.len()).unwrap_or(SLOT_COUNT),
            })
            .collect();
        Self { change, owners, runs }
    }

    /// Returns the number of slots that `owner` has in this map.
    pub fn owned_by(&self, owner: &MemberId) -> usize {
        self.slots().iter().filter(|(found, _)| *found == owner).count()
    }

    /// Returns a map that divides the slots evenly over `members`, with as few moves as possible.
    ///
    /// Returns `None` if no change is needed: every owner is a member and no member has less than
    /// half of its even part.
    pub fn rebalanced(&self, members: &[MemberId]) -> Option<Self> {
        if members.is_empty() {
            return None;
        }
        let slots = self.slots();
        let part = usize::from(SLOT_COUNT) / members.len();
        let mut held: BTreeMap<&MemberId, usize> = members.iter().map(|m| (m, 0)).collect();
        let mut has_orphans = slots.len() != usize::from(SLOT_COUNT);
        for (owner, _) in &slots {
            match held.get_mut(owner) {
                Some(count) => *count += 1,
                None => has_orphans = true,
            }
        }
        if !has_orphans && held.values().all(|count| *count * 2 >= part) {
            return None;
        }
        Some(self.reassigned(members, slots))
    }

    fn reassigned(&self, members: &[MemberId], slots: Vec<(&MemberId, u64)>) -> Self {
        let total = usize::from(SLOT_COUNT);
        let change = self.change + 1;
        let (part, rest) = (total / members.len(), total % members.len());
        let quota = |index: usize| part + usize::from(index < rest);
        let mut open: BTreeMap<&MemberId, usize> =
            members.iter().enumerate().map(|(index, member)| (member, quota(index))).collect();
        let mut kept: Vec<Option<(&MemberId, u64)>> = Vec::with_capacity(total);
        for index in 0..total {
            let held = slots.get(index).copied();
            let left = held.and_then(|(owner, _)| open.get_mut(owner)).filter(|left| **left > 0);
            kept.push(left.and_then(|left| {
                *left -= 1;
                held
            }));
        }
        let mut takers =
            open.into_iter().flat_map(|(member, left)| std::iter::repeat_n(member, left));
        let filled: Vec<(&MemberId, u64)> = kept
            .into_iter()
            .filter_map(|slot| slot.or_else(|| takers.next().map(|member| (member, change))))
            .collect();
        Self::from_slots(change, &filled)
    }
}

/// State of a slot at one daemon; `since` is the change by which the daemon got it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotState {
    /// Owned by another host, or by none.
    Foreign,
    /// Owned, but the former owner may not know yet that it lost the slot.
    Gained { since: u64 },
    /// Owned, but a loan by the former owner may last until `until`.
    Waiting { since: u64, until: ClockInstant },
    /// Owned and usable.
    Usable { since: u64 },
}

impl SlotState {
    fn since(self) -> Option<u64> {
        match self {
            Self::Foreign => None,
            Self::Gained { since } | Self::Waiting { since, .. } | Self::Usable { since } => {
                Some(since)
            }
        }
    }
}

/// Result of [`OwnedSlots::advance`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotProgress {
    /// No slot changed its state.
    None,
    /// Gained slots have come closer to use or are usable now.
    Some,
    /// Slots are usable now that no member ever owned before.
    First,
}

/// The slots that one daemon owns and may use.
#[derive(Clone, Debug)]
pub struct OwnedSlots {
    owner: MemberId,
    timings: ShareTimings,
    change: u64,
    slots: Vec<SlotState>,
    /// Whether any slot is gained or waiting.
    has_pending: bool,
    /// Ranges of usable slots, each as its first slot and the one after its last.
    usable: Vec<(u16, u16)>,
}

impl OwnedSlots {
    /// Creates the state of a daemon that owns no slot yet.
    pub fn new(owner: MemberId, timings: ShareTimings) -> Self {
        let slots = vec![SlotState::Foreign; usize::from(SLOT_COUNT)];
        Self { owner, timings, change: 0, slots, has_pending: false, usable: Vec::new() }
    }

    /// Applies a newer map; ignores an older one.
    ///
    /// Lost slots are given up at once. Gained ones become usable by [`Self::advance`].
    pub fn follow(&mut self, map: &SlotMap) {
        if map.change <= self.change {
            return;
        }
        self.change = map.change;
        let assigned = map.slots();
        for (index, slot) in self.slots.iter_mut().enumerate() {
            *slot = match assigned.get(index) {
                Some((owner, since)) if **owner == self.owner => {
                    let kept = slot.since() == Some(*since);
                    if kept { *slot } else { SlotState::Gained { since: *since } }
                }
                _ => SlotState::Foreign,
            };
        }
        self.update_usable();
    }

    /// Makes gained slots usable whose change is in force and whose former loans have ended.
    ///
    /// `in_force` is the newest change that is in force: no fresh daemon uses an older map.
    pub fn advance(&mut self, in_force: u64, now: ClockInstant) -> SlotProgress {
        if !self.has_pending {
            return SlotProgress::None;
        }
        let (mut changed, mut first) = (false, false);
        let loans_ended = now + drift_padded(self.timings.loan_term);
        for slot in &mut self.slots {
            let next = match *slot {
                // The first change takes slots from no other member, so there is nothing to wait
                // for.
                SlotState::Gained { since: 1 } if in_force >= 1 => {
                    first = true;
                    SlotState::Usable { since: 1 }
                }
                SlotState::Gained { since } if since <= in_force => {
                    SlotState::Waiting { since, until: loans_ended }
                }
                SlotState::Waiting { since, until } if until <= now => SlotState::Usable { since },
                other => other,
            };
            changed |= next != *slot;
            *slot = next;
        }
        match (changed, first) {
            (false, _) => SlotProgress::None,
            (true, first) => {
                self.update_usable();
                if first { SlotProgress::First } else { SlotProgress::Some }
            }
        }
    }

    /// Returns the version of the map that was applied last.
    pub fn change(&self) -> u64 {
        self.change
    }

    fn update_usable(&mut self) {
        let pending =
            |slot: &SlotState| matches!(slot, SlotState::Gained { .. } | SlotState::Waiting { .. });
        self.has_pending = self.slots.iter().any(pending);
        self.usable.clear();
        for (index, slot) in (0u16..).zip(&self.slots) {
            if !matches!(slot, SlotState::Usable { .. }) {
                continue;
            }
            match self.usable.last_mut() {
                Some((_, end)) if *end == index => *end += 1,
                _ => self.usable.push((index, index + 1)),
            }
        }
    }

    /// Returns the number of usable slots.
    pub fn usable_count(&self) -> usize {
        self.usable.iter().map(|(start, end)| usize::from(end - start)).sum()
    }

    /// Returns the rate and burst of this daemon's usable slots for one team.
    ///
    /// The parts of all slots add up to the team's rate and burst exactly.
    pub fn part_of(&self, team: &TeamEntry) -> SharePart {
        let rate = self.split(team.rate.milli_tokens());
        SharePart {
            rate: TokenRate::from_milli_tokens(rate),
            burst: TokenCount(self.split(team.burst.0)),
        }
    }

    fn split(&self, whole: u64) -> u64 {
        let below = |index: u16| u128::from(whole) * u128::from(index) / u128::from(SLOT_COUNT);
        let parts = self.usable.iter().map(|(start, end)| below(*end) - below(*start));
        u64::try_from(parts.sum::<u128>()).unwrap_or(u64::MAX)
    }
}

/// Part of a team's rate and burst that belongs to a set of slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SharePart {
    /// Sum of the slots' rates.
    pub rate: TokenRate,
    /// Sum of the slots' bursts.
    pub burst: TokenCount,
}
