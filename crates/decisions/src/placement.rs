//! Decides on which runners replicas of a model may be loaded.
//!
//! The table holds one row per model with its slots. A replica is only loaded in a slot, so that
//! there are never more loaded replicas than slots.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use dotterellane_protocol::placement::CacheTier;
use dotterellane_units::{ByteSize, DomainId, SlotNumber, UpstreamId};
use serde::{Deserialize, Serialize};

/// State of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum SlotState {
    /// A replica may be loaded in the slot.
    Decided,
    /// No new replica may be loaded in the slot; it is removed once its runner confirms that it
    /// holds none.
    Retiring,
}

/// Permission for one replica of a model on one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementSlot {
    /// Number of the slot; never reused for the same model.
    pub number: SlotNumber,
    /// Runner of the slot; a runner has at most one slot of a model.
    pub runner: UpstreamId,
    /// Whether replicas may be loaded in the slot.
    pub state: SlotState,
}

/// All slots of a model, as stored in one row of the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementRow {
    /// Number of the next new slot.
    pub next: SlotNumber,
    /// The slots, including retiring ones.
    pub slots: Vec<PlacementSlot>,
}

impl PlacementRow {
    /// Returns the greatest number of replicas that can be loaded at the same time: the number of
    /// slots, including retiring ones.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the slot on `runner`; `None` if there is none.
    pub fn slot_on(&self, runner: &UpstreamId) -> Option<&PlacementSlot> {
        self.slots.iter().find(|slot| slot.runner == *runner)
    }

    /// Removes the slot on `runner` if it is retiring; returns whether it was.
    pub fn remove_retiring(&mut self, runner: &UpstreamId) -> bool {
        let found = self
            .slots
            .iter()
            .position(|slot| slot.runner == *runner && slot.state == SlotState::Retiring);
        found.map(|index| self.slots.remove(index)).is_some()
    }
}

/// A runner that could have a slot of one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerOffer {
    /// Name of the runner.
    pub runner: UpstreamId,
    /// Failure domain of the runner.
    pub domain: DomainId,
    /// Accelerator memory of the runner.
    pub capacity: ByteSize,
    /// Whether the runner is leaving and gets no new work.
    pub leaving: bool,
    /// Fastest cache that the runner can load the model from.
    pub tier: CacheTier,
    /// Total memory of the models that have slots on the runner.
    pub decided_memory: ByteSize,
}

/// Returns the row with `wanted` decided slots for a model that takes `memory`, or fewer if the
/// runners do not allow more.
///
/// New slots go to failure domains without a slot first, then to runners with a retiring slot of
/// the model, then to those with the fastest cache, then to those with the smallest share of
/// decided memory.
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
        let Some(runner) = choose_runner(&row, memory, offers) else { break };
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
            .max_by_key(|index| retirement_rank(row, *index, offers));
        if let Some(index) = worst {
            row.slots[index].state = SlotState::Retiring;
        }
    }
}

/// Ranks a slot for retirement; the highest rank is retired first.
///
/// Slots that share their failure domain rank highest, then those with a slower cache, then newer
/// ones.
fn retirement_rank(
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

fn choose_runner(
    row: &PlacementRow,
    memory: ByteSize,
    offers: &[RunnerOffer],
) -> Option<UpstreamId> {
    let domains: BTreeSet<&DomainId> = active_slots(row)
        .filter_map(|slot| find_offer(offers, &slot.runner))
        .map(|offer| &offer.domain)
        .collect();
    let usable = |offer: &&RunnerOffer| {
        let taken = row.slot_on(&offer.runner).is_some_and(|s| s.state == SlotState::Decided);
        !offer.leaving && !taken && offer.capacity >= memory
    };
    let best = offers.iter().filter(usable).min_by_key(|offer| {
        let has_retiring = row.slot_on(&offer.runner).is_some();
        let load = decided_permille(offer);
        (domains.contains(&offer.domain), Reverse(has_retiring), offer.tier, load, &offer.runner)
    });
    best.map(|offer| offer.runner.clone())
}

/// Returns the memory of the decided slots, in thousandths of the runner's capacity.
fn decided_permille(offer: &RunnerOffer) -> u64 {
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
