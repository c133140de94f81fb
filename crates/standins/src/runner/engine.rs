//! What a stand-in engine holds: replicas, adapters, memory and the fencing number.
//!
//! It counts loaded replicas and memory itself and refuses nothing for lack of memory, so that
//! a check sees every order that a keeper should not have given.

use std::collections::BTreeMap;

use dotterellane_protocol::placement::{
    CacheTier, CachedCheckpoint, ListedAdapter, ListedReplica, ReplicaState, RunnerListing,
};
use dotterellane_units::{AdapterId, ByteSize, FenceNumber, ModelId, VersionLabel};
use dotterellane_upstream::orders::{FenceOrder, LoadOrder, UnloadOrder};

/// What distinguishes one stand-in engine from another.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Accelerator memory.
    pub capacity: ByteSize,
    /// Whether orders with an old fencing number are refused.
    pub honours_fencing: bool,
    /// Memory that the engine itself takes.
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

/// Why the engine did not carry an order out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineRefusal {
    /// It has seen a higher fencing number.
    Stale(FenceNumber),
    /// It cannot.
    Refused(String),
}

/// How a load order was taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadStart {
    /// It serves already.
    Loaded,
    /// An earlier order is loading it.
    Joined,
    /// It starts to load from this tier.
    Started(CacheTier),
}

#[derive(Clone, Debug)]
struct HeldReplica {
    version: VersionLabel,
    state: ReplicaState,
    memory: ByteSize,
    adapters: BTreeMap<AdapterId, ListedAdapter>,
}

/// A stand-in engine, without time.
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
    /// Makes an engine that holds nothing.
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

    /// Puts a checkpoint into a cache tier.
    pub fn cache(&mut self, model: ModelId, tier: CacheTier) {
        self.cached.insert(model, tier);
    }

    /// Raises the fencing number.
    ///
    /// # Errors
    /// Fails if this number or a higher one was seen.
    pub fn raise_fence(&mut self, order: &FenceOrder) -> Result<RunnerListing, EngineRefusal> {
        if self.options.honours_fencing {
            if order.fence <= self.fence {
                return Err(EngineRefusal::Stale(self.fence));
            }
            self.fence = order.fence;
        }
        Ok(self.listing())
    }

    /// Starts a load.
    ///
    /// # Errors
    /// Fails if the fencing number is old or the base of an adapter is not loaded.
    pub fn begin_load(&mut self, order: &LoadOrder) -> Result<LoadStart, EngineRefusal> {
        self.check_fence(order.fence)?;
        let start = match &order.adapter {
            None => self.begin_model(order),
            Some(adapter) => self.begin_adapter(order, adapter)?,
        };
        self.peak = self.peak.max(self.used());
        Ok(start)
    }

    fn begin_model(&mut self, order: &LoadOrder) -> LoadStart {
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

    fn begin_adapter(
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

    /// Ends a load; the model is cached in the machine's memory from then on.
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

    /// Starts an unload; tells whether there is something to unload.
    ///
    /// # Errors
    /// Fails if the fencing number is old.
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

    /// Ends an unload: the memory is free.
    pub fn finish_unload(&mut self, model: &ModelId, adapter: Option<&AdapterId>) {
        let Some(held) = self.replicas.get_mut(model) else { return };
        match adapter {
            // A restart in between may have begun a new load.
            None if held.state == ReplicaState::Unloading => {
                self.replicas.remove(model);
            }
            None => (),
            Some(adapter) => {
                held.adapters.remove(adapter);
            }
        }
    }

    /// Loses everything but the caches, as a restarted engine does.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.replicas.clear();
    }

    /// Returns what the engine says of itself.
    pub fn listing(&self) -> RunnerListing {
        RunnerListing {
            incarnation: self.incarnation,
            fence: self.fence,
            capacity: self.options.capacity,
            used: self.used(),
            replicas: self.replicas.iter().map(|(model, held)| held.listed(model)).collect(),
            cached: self
                .cached
                .iter()
                .map(|(model, tier)| CachedCheckpoint { model: model.clone(), tier: *tier })
                .collect(),
            running: 0,
            queued: 0,
        }
    }

    /// Returns the memory in use or promised to loads.
    pub fn used(&self) -> ByteSize {
        let held: ByteSize = self.replicas.values().map(HeldReplica::taken).sum();
        self.options.overhead + held
    }

    /// Returns the most memory that was ever in use.
    pub fn peak(&self) -> ByteSize {
        self.peak
    }

    /// Returns the accelerator memory.
    pub fn capacity(&self) -> ByteSize {
        self.options.capacity
    }

    /// Returns the models that take memory, whatever their state.
    pub fn held_models(&self) -> impl Iterator<Item = &ModelId> {
        self.replicas.keys()
    }

    /// Returns the state of a replica.
    pub fn replica_state(&self, model: &ModelId) -> Option<ReplicaState> {
        self.replicas.get(model).map(|held| held.state)
    }

    /// Returns the highest fencing number seen.
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns the number of restarts, plus one.
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
    fn taken(&self) -> ByteSize {
        self.memory + self.adapters.values().map(|held| held.memory).sum()
    }

    fn listed(&self, model: &ModelId) -> ListedReplica {
        ListedReplica {
            model: model.clone(),
            version: self.version.clone(),
            state: self.state,
            memory: self.memory,
            adapters: self.adapters.values().cloned().collect(),
        }
    }
}
