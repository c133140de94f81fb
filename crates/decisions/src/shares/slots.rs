//! Share slots: who owns which part of every team's rate and burst.

use std::collections::BTreeMap;

use dotterellane_protocol::MemberId;
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

use super::timings::{ShareTimings, widened};

/// Number of slots that the rate and burst of every team are split into.
pub const SLOT_COUNT: u16 = 1_024;

/// Neighbouring slots that came to one owner with one change of the map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotRun {
    /// Place of the owner in [`SlotMap::owners`].
    pub owner: u16,
    /// Number of the change by which the owner got them.
    pub since: u64,
    /// Number of slots.
    pub count: u16,
}

/// Owner of every slot; one row of the platform's table, for all teams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotMap {
    /// Number of the change that made this map; the first is 1.
    pub change: u64,
    /// Owners, in order.
    pub owners: Vec<MemberId>,
    /// Runs of slots that together are all slots, or none before the first change.
    pub runs: Vec<SlotRun>,
}

impl SlotMap {
    /// Returns owner and change of every slot; empty before the first change.
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
        let place =
            |owner: &MemberId| u16::try_from(owners.binary_search(owner).unwrap_or(0)).unwrap_or(0);
        let runs = slots
            .chunk_by(|left, right| left == right)
            .map(|run| SlotRun {
                owner: place(run[0].0),
                since: run[0].1,
                count: u16::try_from(run.len()).unwrap_or(SLOT_COUNT),
            })
            .collect();
        Self { change, owners, runs }
    }

    /// Returns the number of slots of `owner`.
    pub fn owned_by(&self, owner: &MemberId) -> usize {
        self.slots().iter().filter(|(found, _)| *found == owner).count()
    }

    /// Returns the map after moving as few slots as an even split over `members` needs; `None`
    /// while every owner is a member and no member has less than half of its part.
    pub fn rebalanced(&self, members: &[MemberId]) -> Option<Self> {
        if members.is_empty() {
            return None;
        }
        let slots = self.slots();
        let part = usize::from(SLOT_COUNT) / members.len();
        let mut held: BTreeMap<&MemberId, usize> = members.iter().map(|m| (m, 0)).collect();
        let mut gone = slots.len() != usize::from(SLOT_COUNT);
        for (owner, _) in &slots {
            match held.get_mut(owner) {
                Some(count) => *count += 1,
                None => gone = true,
            }
        }
        if !gone && held.values().all(|count| *count * 2 >= part) {
            return None;
        }
        Some(self.moved(members, slots))
    }

    fn moved(&self, members: &[MemberId], slots: Vec<(&MemberId, u64)>) -> Self {
        let total = usize::from(SLOT_COUNT);
        let change = self.change + 1;
        let (part, rest) = (total / members.len(), total % members.len());
        let quota = |place: usize| part + usize::from(place < rest);
        let mut open: BTreeMap<&MemberId, usize> =
            members.iter().enumerate().map(|(place, member)| (member, quota(place))).collect();
        let mut kept: Vec<Option<(&MemberId, u64)>> = Vec::with_capacity(total);
        for place in 0..total {
            let held = slots.get(place).copied();
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

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotUse {
    /// Owned by another host.
    Foreign,
    /// Owned, but its former owner may not know yet that it has lost it.
    Gained { since: u64 },
    /// Owned, but may still be pledged by its former owner.
    Waiting { since: u64, until: ClockInstant },
    /// Owned and usable.
    Usable { since: u64 },
}

impl SlotUse {
    fn since(self) -> Option<u64> {
        match self {
            Self::Foreign => None,
            Self::Gained { since } | Self::Waiting { since, .. } | Self::Usable { since } => {
                Some(since)
            }
        }
    }
}

/// What became of gained slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotProgress {
    /// Nothing.
    None,
    /// Some came into use.
    Some,
    /// Some came into use that nobody ever owned.
    First,
}

/// The slots that one daemon may use.
#[derive(Clone, Debug)]
pub struct OwnedSlots {
    owner: MemberId,
    timings: ShareTimings,
    change: u64,
    slots: Vec<SlotUse>,
    awaited: bool,
    usable: Vec<(u16, u16)>,
}

impl OwnedSlots {
    /// Starts without a slot.
    pub fn new(owner: MemberId, timings: ShareTimings) -> Self {
        let slots = vec![SlotUse::Foreign; usize::from(SLOT_COUNT)];
        Self { owner, timings, change: 0, slots, awaited: false, usable: Vec::new() }
    }

    /// Follows a newer map; lost slots are given up at once, gained ones are used when the change
    /// by which they came is in force.
    pub fn follow(&mut self, map: &SlotMap) {
        if map.change <= self.change {
            return;
        }
        self.change = map.change;
        let read = map.slots();
        for (place, slot) in self.slots.iter_mut().enumerate() {
            *slot = match read.get(place) {
                Some((owner, since)) if **owner == self.owner => {
                    let kept = slot.since() == Some(*since);
                    if kept { *slot } else { SlotUse::Gained { since: *since } }
                }
                _ => SlotUse::Foreign,
            };
        }
        self.list_usable();
    }

    /// Takes gained slots into use whose change is in force and whose old pledges have ended.
    pub fn advance(&mut self, in_force: u64, now: ClockInstant) -> SlotProgress {
        if !self.awaited {
            return SlotProgress::None;
        }
        let (mut changed, mut first) = (false, false);
        let ended = now + widened(self.timings.pledge_term);
        for slot in &mut self.slots {
            let next = match *slot {
                // The first change of all takes slots from nobody.
                SlotUse::Gained { since: 1 } if in_force >= 1 => {
                    first = true;
                    SlotUse::Usable { since: 1 }
                }
                SlotUse::Gained { since } if since <= in_force => {
                    SlotUse::Waiting { since, until: ended }
                }
                SlotUse::Waiting { since, until } if until <= now => SlotUse::Usable { since },
                other => other,
            };
            changed |= next != *slot;
            *slot = next;
        }
        match (changed, first) {
            (false, _) => SlotProgress::None,
            (true, first) => {
                self.list_usable();
                if first { SlotProgress::First } else { SlotProgress::Some }
            }
        }
    }

    /// Returns the number of the change that made the map that is followed.
    pub fn change(&self) -> u64 {
        self.change
    }

    fn list_usable(&mut self) {
        let awaited =
            |slot: &SlotUse| matches!(slot, SlotUse::Gained { .. } | SlotUse::Waiting { .. });
        self.awaited = self.slots.iter().any(awaited);
        self.usable.clear();
        for (place, slot) in (0u16..).zip(&self.slots) {
            if !matches!(slot, SlotUse::Usable { .. }) {
                continue;
            }
            match self.usable.last_mut() {
                Some((_, end)) if *end == place => *end += 1,
                _ => self.usable.push((place, place + 1)),
            }
        }
    }

    /// Returns the number of slots in use.
    pub fn usable_count(&self) -> usize {
        self.usable.iter().map(|(start, end)| usize::from(end - start)).sum()
    }

    /// Returns this daemon's part of a team's rate and burst.
    ///
    /// The parts of all slots sum up to the whole exactly.
    pub fn part_of(&self, team: &TeamEntry) -> SharePart {
        let rate = self.split(team.rate.milli_tokens());
        SharePart {
            rate: TokenRate::from_milli_tokens(rate),
            burst: TokenCount(self.split(team.burst.0)),
        }
    }

    fn split(&self, whole: u64) -> u64 {
        let below = |place: u16| u128::from(whole) * u128::from(place) / u128::from(SLOT_COUNT);
        let parts = self.usable.iter().map(|(start, end)| below(*end) - below(*start));
        u64::try_from(parts.sum::<u128>()).unwrap_or(u64::MAX)
    }
}

/// Rate and burst of some slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SharePart {
    /// Their rate.
    pub rate: TokenRate,
    /// Their burst.
    pub burst: TokenCount,
}
