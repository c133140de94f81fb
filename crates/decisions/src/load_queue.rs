//! The fleet's one queue before the weight store.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, TeamId, UpstreamId};

use crate::leases::HeldItem;

/// Model loads that the store runs at full speed side by side.
pub const MODEL_TURNS: usize = 4;
/// Adapter loads that the store runs at full speed side by side.
pub const ADAPTER_TURNS: usize = 30;
/// Deadlines this close to each other are served by team, not by deadline.
const DEADLINE_STEP: Duration = Duration::from_secs(1);
/// Time after which a turn is given to another if its holder is not heard again.
pub const TURN_LIFETIME: Duration = Duration::from_secs(120);

/// One load of one runner.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadKey {
    /// Runner that loads.
    pub runner: UpstreamId,
    /// What it loads.
    pub item: HeldItem,
}

/// A load that asks for a turn.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// What is loaded where.
    pub key: LoadKey,
    /// Host that asks.
    pub keeper: HostId,
    /// Team that waits.
    pub team: TeamId,
    /// When the earliest request that waits must have been answered.
    pub deadline: ClockInstant,
}

#[derive(Clone, Debug)]
struct WaitingLoad {
    ask: LoadRequest,
    number: u64,
}

/// A turn that was given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadGrant {
    /// What may be loaded where.
    pub key: LoadKey,
    /// Host that asked.
    pub keeper: HostId,
}

/// Gives turns at the weight store: earliest deadline first, within one step of deadlines the
/// team that had the fewest turns lately. Adapters and models have limits of their own.
#[derive(Clone, Debug, Default)]
pub struct LoadQueue {
    waiting: BTreeMap<LoadKey, WaitingLoad>,
    running: BTreeMap<LoadKey, (HostId, ClockInstant)>,
    turns: BTreeMap<TeamId, u64>,
    next_number: u64,
}

impl LoadQueue {
    /// Takes a load; one that waits or runs already is not queued twice. Returns the turns that
    /// are given now, also again for a load that has its turn.
    pub fn ask(&mut self, now: ClockInstant, ask: LoadRequest) -> Vec<LoadGrant> {
        if let Some(turn) = self.running.get_mut(&ask.key) {
            *turn = (ask.keeper.clone(), now);
            return vec![LoadGrant { key: ask.key, keeper: ask.keeper }];
        }
        match self.waiting.get_mut(&ask.key) {
            Some(waiting) => {
                waiting.ask.deadline = waiting.ask.deadline.min(ask.deadline);
                waiting.ask.keeper = ask.keeper;
            }
            None => {
                self.next_number += 1;
                let number = self.next_number;
                self.waiting.insert(ask.key.clone(), WaitingLoad { ask, number });
            }
        }
        self.give_turns(now)
    }

    /// Takes a turn back, or a load that is no longer wanted.
    pub fn done(&mut self, now: ClockInstant, key: &LoadKey) -> Vec<LoadGrant> {
        self.waiting.remove(key);
        self.running.remove(key);
        self.give_turns(now)
    }

    /// Takes back turns whose holders were not heard for long.
    pub fn on_tick(&mut self, now: ClockInstant) -> Vec<LoadGrant> {
        self.running.retain(|_, (_, given_at)| now.since(*given_at) < TURN_LIFETIME);
        self.give_turns(now)
    }

    /// Returns the number of model loads that wait or run before a new one.
    pub fn models_ahead(&self) -> usize {
        let models = self.waiting.keys().chain(self.running.keys());
        models.filter(|key| key.item.adapter.is_none()).count()
    }

    fn give_turns(&mut self, now: ClockInstant) -> Vec<LoadGrant> {
        let mut given = Vec::new();
        while let Some(key) = self.next_load() {
            let Some(waiting) = self.waiting.remove(&key) else { break };
            *self.turns.entry(waiting.ask.team).or_default() += 1;
            let keeper = waiting.ask.keeper;
            self.running.insert(key.clone(), (keeper.clone(), now));
            given.push(LoadGrant { key, keeper });
        }
        if self.waiting.is_empty() {
            self.turns.clear();
        }
        given
    }

    fn next_load(&self) -> Option<LoadKey> {
        let running = |adapters: bool| {
            self.running.keys().filter(|key| key.item.adapter.is_some() == adapters).count()
        };
        let (models, adapters) = (running(false) < MODEL_TURNS, running(true) < ADAPTER_TURNS);
        let free = |key: &LoadKey| if key.item.adapter.is_some() { adapters } else { models };
        let waiting = self.waiting.iter().filter(|(key, _)| free(key));
        let next = waiting.min_by_key(|(_, load)| {
            let step = load.ask.deadline.0 / DEADLINE_STEP.as_nanos() as u64;
            let turns = self.turns.get(&load.ask.team).copied().unwrap_or(0);
            (step, turns, load.number)
        });
        next.map(|(key, _)| key.clone())
    }
}
