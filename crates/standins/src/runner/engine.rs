//! State of a stand-in engine: replicas, adapters, memory and the fencing number.
//!
//! It counts replicas and memory in use, but rejects no load for lack of memory, so that tests
//! detect every order that the runner's keeper (the daemon that holds the runner's lease) should
//! not have given.

use std::collections::BTreeMap;

use dotterellane_protocol::placement::{
    CacheTier, CachedCheckpoint, ListedAdapter, ListedReplica, ReplicaState, RunnerListing,
};
use dotterellane_units::{AdapterId, ByteSize, FenceNumber, ModelId, VersionLabel};
use dotterellane_upstream::orders::{FenceOrder, LoadOrder, UnloadOrder};

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Accelerator memory of the runner.
    pub capacity: ByteSize,
    /// Whether orders with an outdated fencing number are rejected.
    pub honours_fencing: bool,
    /// Memory that the engine itself occupies.
    pub overhead: ByteSize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            capacity: ByteSize::gibibytes(80),
            honours_fencing: true,
            overhead: ByteSize::default(),
        }
    }
}

/// Reason for which the engine rejected an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineRefusal {
    /// The order's fencing number is lower than this one, which the engine has seen.
    Stale(FenceNumber),
    /// The order cannot be executed, for this reason.
    Refused(String),
}

/// Effect of a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadStart {
    /// The item is loaded already.
    Loaded,
    /// An earlier order for the item is still under way.
    Joined,
    /// The load starts, from this cache tier.
    Started(CacheTier),
}

#[derive(Clone, Debug)]
struct HeldReplica {
    version: VersionLabel,
    state: ReplicaState,
    memory: ByteSize,
    adapters: BTreeMap<AdapterId, ListedAdapter>,
}

/// Engine state without durations: callers decide when a load or unload ends.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    options: EngineOptions,
    incarnation: u64,
    fence: FenceNumber,
    replicas: BTreeMap<ModelId, HeldReplica>,
    cached: BTreeMap<ModelId, CacheTier>,
    peak: ByteSize,
}

impl SimulatedEngine {
    /// Creates an engine with nothing loaded or cached.
    pub fn new(options: EngineOptions) -> Self {
        let peak = options.overhead;
        Self {
            options,
            incarnation: 1,
            fence: FenceNumber(0),
            replicas: BTreeMap::new(),
            cached: BTreeMap::new(),
            peak,
        }
    }

    /// Puts the checkpoint of `model` into a cache tier.
    pub fn cache(&mut self, model: ModelId, tier: CacheTier) {
        self.cached.insert(model, tier);
    }

    /// Raises the fencing number; an engine that ignores fencing does nothing.
    ///
    /// # Errors
    /// Fails if the engine has seen this number or a higher one.
    pub fn raise_fence(&mut self, order: &FenceOrder) -> Result<RunnerListing, EngineRefusal> {
        if self.options.honours_fencing {
            if order.fence <= self.fence {
                return Err(EngineRefusal::Stale(self.fence));
            }
            self.fence = order.fence;
        }
        Ok(self.listing())
    }

    /// Starts to load a model or an adapter.
    ///
    /// # Errors
    /// Fails if the fencing number is outdated, or the base model of an adapter is not loaded.
    pub fn begin_load(&mut self, order: &LoadOrder) -> Result<LoadStart, EngineRefusal> {
        self.check_fence(order.fence)?;
        let start = match &order.adapter {
            None => self.begin_model_load(order),
            Some(adapter) => self.begin_adapter_load(order, adapter)?,
        };
        self.peak = self.peak.max(self.used());
        Ok(start)
    }

    fn begin_model_load(&mut self, order: &LoadOrder) -> LoadStart {
        match self.replicas.get(&order.model).map(|held| held.state) {
            Some(ReplicaState::Loaded) => LoadStart::Loaded,
            Some(ReplicaState::Loading | ReplicaState::Unloading) => LoadStart::Joined,
            None => {
                let held = HeldReplica {
                    version: order.version.clone(),
                    state: ReplicaState::Loading,
                    memory: order.memory,
                    adapters: BTreeMap::new(),
                };
                self.replicas.insert(order.model.clone(), held);
                LoadStart::Started(self.tier(&order.model))
            }
        }
    }

    fn begin_adapter_load(
        &mut self,
        order: &LoadOrder,
        adapter: &AdapterId,
    ) -> Result<LoadStart, EngineRefusal> {
        let base = self
            .replicas
            .get_mut(&order.model)
            .filter(|held| held.state == ReplicaState::Loaded)
            .ok_or_else(|| EngineRefusal::Refused(format!("{} is not loaded", order.model)))?;
        match base.adapters.get(adapter).map(|held| held.state) {
            Some(ReplicaState::Loaded) => Ok(LoadStart::Loaded),
            Some(_) => Ok(LoadStart::Joined),
            None => {
                let held = ListedAdapter {
                    adapter: adapter.clone(),
                    version: order.version.clone(),
                    state: ReplicaState::Loading,
                    memory: order.memory,
                };
                base.adapters.insert(adapter.clone(), held);
                Ok(LoadStart::Started(CacheTier::Remote))
            }
        }
    }

    /// Completes a load; a model is cached in the machine's memory from then on.
    pub fn finish_load(&mut self, model: &ModelId, adapter: Option<&AdapterId>) {
        let Some(held) = self.replicas.get_mut(model) else { return };
        let state = match adapter {
            None => {
                self.cached.insert(model.clone(), CacheTier::Memory);
                &mut held.state
            }
            Some(adapter) => match held.adapters.get_mut(adapter) {
                Some(held) => &mut held.state,
                None => return,
            },
        };
        if *state == ReplicaState::Loading {
            *state = ReplicaState::Loaded;
        }
    }

    /// Starts an unload; returns whether there is something to unload.
    ///
    /// # Errors
    /// Fails if the fencing number is outdated.
    pub fn begin_unload(&mut self, order: &UnloadOrder) -> Result<bool, EngineRefusal> {
        self.check_fence(order.fence)?;
        let Some(held) = self.replicas.get_mut(&order.model) else { return Ok(false) };
        let state = match &order.adapter {
            None => &mut held.state,
            Some(adapter) => match held.adapters.get_mut(adapter) {
                Some(held) => &mut held.state,
                None => return Ok(false),
            },
        };
        *state = ReplicaState::Unloading;
        Ok(true)
    }

    /// Completes an unload, which frees the memory.
    pub fn finish_unload(&mut self, model: &ModelId, adapter: Option<&AdapterId>) {
        let Some(held) = self.replicas.get_mut(model) else { return };
        match adapter {
            // After a restart in between, a new load may be under way.
            None if held.state == ReplicaState::Unloading => {
                self.replicas.remove(model);
            }
            None => (),
            Some(adapter) => {
                held.adapters.remove(adapter);
            }
        }
    }

    /// Restarts the engine: all replicas are lost, the caches stay.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.replicas.clear();
    }

    /// Returns the engine's report on its state.
    pub fn listing(&self) -> RunnerListing {
        RunnerListing {
            incarnation: self.incarnation,
            fence: self.fence,
            capacity: self.options.capacity,
            used: self.used(),
            replicas: self.replicas.iter().map(|(model, held)| held.to_listed(model)).collect(),
            cached: self
                .cached
                .iter()
                .map(|(model, tier)| CachedCheckpoint { model: model.clone(), tier: *tier })
                .collect(),
            running: 0,
            queued: 0,
        }
    }

    /// Returns the memory in use, including that of unfinished loads and unloads.
    pub fn used(&self) -> ByteSize {
        let held: ByteSize = self.replicas.values().map(HeldReplica::total_memory).sum();
        self.options.overhead + held
    }

    /// Returns the highest memory use so far.
    pub fn peak(&self) -> ByteSize {
        self.peak
    }

    /// Returns the accelerator memory of the runner.
    pub fn capacity(&self) -> ByteSize {
        self.options.capacity
    }

    /// Returns the models that occupy memory, in any state.
    pub fn held_models(&self) -> impl Iterator<Item = &ModelId> {
        self.replicas.keys()
    }

    /// Returns the state of the model's replica; `None` if there is none.
    pub fn replica_state(&self, model: &ModelId) -> Option<ReplicaState> {
        self.replicas.get(model).map(|held| held.state)
    }

    /// Returns the highest fencing number seen, 0 at first.
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns the incarnation, which is 1 at first and grows with each restart.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn tier(&self, model: &ModelId) -> CacheTier {
        self.cached.get(model).copied().unwrap_or_default()
    }

    fn check_fence(&mut self, fence: FenceNumber) -> Result<(), EngineRefusal> {
        if !self.options.honours_fencing {
            return Ok(());
        }
        if fence < self.fence {
            return Err(EngineRefusal::Stale(self.fence));
        }
        self.fence = fence;
        Ok(())
    }
}

impl HeldReplica {
    fn total_memory(&self) -> ByteSize {
        self.memory + self.adapters.values().map(|held| held.memory).sum()
    }

    fn to_listed(&self, model: &ModelId) -> ListedReplica {
        ListedReplica {
            model: model.clone(),
            version: self.version.clone(),
            state: self.state,
            memory: self.memory,
            adapters: self.adapters.values().cloned().collect(),
        }
    }
}
