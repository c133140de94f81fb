//! Where replicas of a model may be loaded.
//!
//! The table holds one row per model with its slots; a replica is loaded in a slot or not at all,
//! so that loaded replicas never outnumber decided ones.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use dotterellane_protocol::placement::CacheTier;
use dotterellane_units::{ByteSize, DomainId, SlotNumber, UpstreamId};
use serde::{Deserialize, Serialize};

/// What may be done with a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum SlotState {
    /// A replica may be loaded.
    Decided,
    /// Nothing new is loaded; the slot is removed once its runner confirms that it is empty.
    Retiring,
}

/// One slot of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementSlot {
    /// Number of the slot, never used twice for its model.
    pub number: SlotNumber,
    /// Runner that the slot is on; a runner has one slot of a model at most.
    pub runner: UpstreamId,
    /// What may be done with it.
    pub state: SlotState,
}

/// All slots of a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementRow {
    /// Number of the next slot.
    pub next: SlotNumber,
    /// The slots, retiring ones included.
    pub slots: Vec<PlacementSlot>,
}

impl PlacementRow {
    /// Returns the number of replicas that may be loaded at one moment.
    pub fn decided(&self) -> usize {
        self.slots.len()
    }

    /// Returns the slot on `runner`.
    pub fn slot_on(&self, runner: &UpstreamId) -> Option<&PlacementSlot> {
        self.slots.iter().find(|slot| slot.runner == *runner)
    }

    /// Removes the slot on `runner`; tells whether there was a retiring one.
    pub fn remove_retiring(&mut self, runner: &UpstreamId) -> bool {
        let found = self
            .slots
            .iter()
            .position(|slot| slot.runner == *runner && slot.state == SlotState::Retiring);
        found.map(|index| self.slots.remove(index)).is_some()
    }
}

/// A runner as a place for slots of one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerOffer {
    /// Name of the runner.
    pub runner: UpstreamId,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Accelerator memory.
    pub capacity: ByteSize,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Where the model's checkpoint is cached.
    pub tier: CacheTier,
    /// Memory of all models that have slots on it.
    pub decided_memory: ByteSize,
}

/// Returns the row with `wanted` decided slots for a model that takes `memory`, as far as the
/// runners allow.
///
/// Slots spread over failure domains first, then go where the checkpoint is cached best, then
/// where the least memory is spoken for.
pub fn decide_slots(
    row: &PlacementRow,
    wanted: usize,
    memory: ByteSize,
    offers: &[RunnerOffer],
) -> PlacementRow {
    let mut row = row.clone();
    retire_leaving(&mut row, offers);
    retire_surplus(&mut row, wanted, offers);
    while active_slots(&row).count() < wanted {
        let Some(runner) = best_offer(&row, memory, offers) else { break };
        open_slot(&mut row, runner);
    }
    row
}

fn active_slots(row: &PlacementRow) -> impl Iterator<Item = &PlacementSlot> {
    row.slots.iter().filter(|slot| slot.state == SlotState::Decided)
}

fn find_offer<'a>(offers: &'a [RunnerOffer], runner: &UpstreamId) -> Option<&'a RunnerOffer> {
    offers.iter().find(|offer| offer.runner == *runner)
}

fn retire_leaving(row: &mut PlacementRow, offers: &[RunnerOffer]) {
    for slot in &mut row.slots {
        if find_offer(offers, &slot.runner).is_none_or(|offer| offer.leaving) {
            slot.state = SlotState::Retiring;
        }
    }
}

fn retire_surplus(row: &mut PlacementRow, wanted: usize, offers: &[RunnerOffer]) {
    let surplus = active_slots(row).count().saturating_sub(wanted);
    for _ in 0..surplus {
        let worst = (0..row.slots.len())
            .filter(|index| row.slots[*index].state == SlotState::Decided)
            .max_by_key(|index| surplus_rank(row, *index, offers));
        if let Some(index) = worst {
            row.slots[index].state = SlotState::Retiring;
        }
    }
}

/// Ranks a slot for retirement: one that shares its failure domain first, then a worse tier.
fn surplus_rank(
    row: &PlacementRow,
    index: usize,
    offers: &[RunnerOffer],
) -> (bool, CacheTier, SlotNumber) {
    let slot = &row.slots[index];
    let domain = |runner| find_offer(offers, runner).map(|offer| &offer.domain);
    let shared = active_slots(row)
        .any(|other| other.number != slot.number && domain(&other.runner) == domain(&slot.runner));
    let tier = find_offer(offers, &slot.runner).map(|offer| offer.tier).unwrap_or_default();
    (shared, tier, slot.number)
}

fn best_offer(row: &PlacementRow, memory: ByteSize, offers: &[RunnerOffer]) -> Option<UpstreamId> {
    let domains: BTreeSet<&DomainId> = active_slots(row)
        .filter_map(|slot| find_offer(offers, &slot.runner))
        .map(|offer| &offer.domain)
        .collect();
    let usable = |offer: &&RunnerOffer| {
        let taken = row.slot_on(&offer.runner).is_some_and(|s| s.state == SlotState::Decided);
        !offer.leaving && !taken && offer.capacity >= memory
    };
    let best = offers.iter().filter(usable).min_by_key(|offer| {
        let kept = row.slot_on(&offer.runner).is_some();
        let spoken_for = spoken_share(offer);
        (domains.contains(&offer.domain), Reverse(kept), offer.tier, spoken_for, &offer.runner)
    });
    best.map(|offer| offer.runner.clone())
}

/// Returns the memory spoken for, in thousandths of the capacity.
fn spoken_share(offer: &RunnerOffer) -> u64 {
    let share = u128::from(offer.decided_memory.0) * 1_000 / u128::from(offer.capacity.0.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}

fn open_slot(row: &mut PlacementRow, runner: UpstreamId) {
    if let Some(slot) = row.slots.iter_mut().find(|slot| slot.runner == runner) {
        slot.state = SlotState::Decided;
        return;
    }
    let number = row.next;
    row.next = number.next();
    row.slots.push(PlacementSlot { number, runner, state: SlotState::Decided });
}
