//! Queue of all loads from the weight store, over all runners.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, TeamId, UpstreamId};

use crate::leases::HeldItem;

/// Concurrent model loads that the weight store serves at full speed.
pub const MAX_MODEL_LOADS: usize = 4;
/// Concurrent adapter loads that the weight store serves at full speed.
pub const MAX_ADAPTER_LOADS: usize = 30;
/// Step to which deadlines are rounded down; loads with equal rounded deadlines are ordered by the
/// grants of their teams, fewest first.
const DEADLINE_RESOLUTION: Duration = Duration::from_secs(1);
/// Time after which a grant expires unless its holder asks again.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(120);

/// Identifies a load: one item on one runner.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadKey {
    /// Runner that loads.
    pub runner: UpstreamId,
    /// Model or adapter that is loaded.
    pub item: HeldItem,
}

/// A request for permission to load from the weight store.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Load that is requested.
    pub key: LoadKey,
    /// Host that keeps the runner and asks.
    pub keeper: HostId,
    /// Team whose request waits for the load.
    pub team: TeamId,
    /// Earliest deadline of the requests that wait for the load.
    pub deadline: ClockInstant,
}

#[derive(Clone, Debug)]
struct WaitingLoad {
    request: LoadRequest,
    number: u64,
}

/// Permission to load from the weight store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadGrant {
    /// Load that is permitted.
    pub key: LoadKey,
    /// Host that asked for it.
    pub keeper: HostId,
}

/// Grants loads from the weight store by earliest deadline; among deadlines within one step, the
/// team with the fewest grants goes first. Models and adapters have separate limits.
#[derive(Clone, Debug, Default)]
pub struct LoadQueue {
    waiting: BTreeMap<LoadKey, WaitingLoad>,
    /// Granted loads, each with the keeper that holds the grant and the time of its last renewal.
    running: BTreeMap<LoadKey, (HostId, ClockInstant)>,
    /// Grants per team since the queue was last empty.
    grants: BTreeMap<TeamId, u64>,
    next_number: u64,
}

impl LoadQueue {
    /// Queues a load unless it waits or runs already. Returns the loads that are granted now; the
    /// grant of a running load is repeated and renewed.
    pub fn ask(&mut self, now: ClockInstant, request: LoadRequest) -> Vec<LoadGrant> {
        if let Some(grant) = self.running.get_mut(&request.key) {
            *grant = (request.keeper.clone(), now);
            return vec![LoadGrant { key: request.key, keeper: request.keeper }];
        }
        match self.waiting.get_mut(&request.key) {
            Some(waiting) => {
                waiting.request.deadline = waiting.request.deadline.min(request.deadline);
                waiting.request.keeper = request.keeper;
            }
            None => {
                self.next_number += 1;
                let number = self.next_number;
                self.waiting.insert(request.key.clone(), WaitingLoad { request, number });
            }
        }
        self.grant_loads(now)
    }

    /// Removes a load that has ended or is no longer wanted. Returns the loads that are granted
    /// now.
    pub fn done(&mut self, now: ClockInstant, key: &LoadKey) -> Vec<LoadGrant> {
        self.waiting.remove(key);
        self.running.remove(key);
        self.grant_loads(now)
    }

    /// Removes expired grants. Returns the loads that are granted now.
    pub fn on_tick(&mut self, now: ClockInstant) -> Vec<LoadGrant> {
        self.running.retain(|_, (_, granted_at)| now.since(*granted_at) < GRANT_LIFETIME);
        self.grant_loads(now)
    }

    /// Returns the number of model loads that wait or run.
    pub fn models_ahead(&self) -> usize {
        let models = self.waiting.keys().chain(self.running.keys());
        models.filter(|key| key.item.adapter.is_none()).count()
    }

    fn grant_loads(&mut self, now: ClockInstant) -> Vec<LoadGrant> {
        let mut granted = Vec::new();
        while let Some(key) = self.next_load() {
            let Some(waiting) = self.waiting.remove(&key) else { break };
            *self.grants.entry(waiting.request.team).or_default() += 1;
            let keeper = waiting.request.keeper;
            self.running.insert(key.clone(), (keeper.clone(), now));
            granted.push(LoadGrant { key, keeper });
        }
        if self.waiting.is_empty() {
            self.grants.clear();
        }
        granted
    }

    fn next_load(&self) -> Option<LoadKey> {
        let running = |adapters: bool| {
            self.running.keys().filter(|key| key.item.adapter.is_some() == adapters).count()
        };
        let (models, adapters) =
            (running(false) < MAX_MODEL_LOADS, running(true) < MAX_ADAPTER_LOADS);
        let free = |key: &LoadKey| if key.item.adapter.is_some() { adapters } else { models };
        let waiting = self.waiting.iter().filter(|(key, _)| free(key));
        let next = waiting.min_by_key(|(_, load)| {
            let step = load.request.deadline.0 / DEADLINE_RESOLUTION.as_nanos() as u64;
            let grants = self.grants.get(&load.request.team).copied().unwrap_or(0);
            (step, grants, load.number)
        });
        next.map(|(key, _)| key.clone())
    }
}
