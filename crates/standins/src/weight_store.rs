//! A stand-in of the rate-limited weight store.
//!
//! Loads share the store's speed: up to a number of loads run at full speed, more of them
//! take longer in proportion (processor sharing).

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_units::ClockInstant;
use tokio::time::Instant;

/// Model loads that run at full speed side by side.
pub const FULL_SPEED_MODELS: usize = 4;
/// Adapter loads that run at full speed side by side.
pub const FULL_SPEED_ADAPTERS: usize = 30;

/// Number of one load at the store.
pub type StoreLoad = u64;

/// Loads that share one limit.
#[derive(Clone, Debug)]
pub struct SharedLane {
    full_speed: usize,
    slowdown: f64,
    at: ClockInstant,
    next: StoreLoad,
    loads: Vec<(StoreLoad, f64)>,
}

impl SharedLane {
    /// Makes a lane that runs `full_speed` loads side by side at full speed.
    pub fn new(full_speed: usize) -> Self {
        Self { full_speed, slowdown: 1.0, at: ClockInstant(0), next: 0, loads: Vec::new() }
    }

    /// Starts a load that takes `work` at full speed.
    pub fn begin(&mut self, now: ClockInstant, work: Duration) -> StoreLoad {
        debug_assert!(now >= self.at);
        self.next += 1;
        self.loads.push((self.next, work.as_secs_f64()));
        self.next
    }

    /// Forgets a load whose runner died.
    pub fn cancel(&mut self, load: StoreLoad) {
        self.loads.retain(|(number, _)| *number != load);
    }

    /// Makes every load take `slowdown` times as long from now on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Returns when the next load ends if none is started before.
    pub fn next_end(&self) -> Option<ClockInstant> {
        let least = self.loads.iter().map(|(_, left)| *left).reduce(f64::min)?;
        // Rounded up, so that the load has ended at that instant.
        let span = Duration::from_secs_f64(least / self.speed()) + Duration::from_nanos(1);
        Some(self.at + span)
    }

    /// Moves on to `now`; returns the loads that ended on the way, in order.
    pub fn advance(&mut self, now: ClockInstant) -> Vec<StoreLoad> {
        let mut ended = Vec::new();
        while let Some(end) = self.next_end().filter(|end| *end <= now) {
            self.progress(end);
            ended.extend(self.loads.extract_if(.., |(_, left)| *left <= 0.0).map(|load| load.0));
        }
        self.progress(now);
        ended
    }

    fn speed(&self) -> f64 {
        let share = self.full_speed as f64 / self.loads.len().max(1) as f64;
        share.min(1.0) / self.slowdown
    }

    fn progress(&mut self, now: ClockInstant) {
        let done = now.since(self.at).as_secs_f64() * self.speed();
        self.loads.iter_mut().for_each(|(_, left)| *left -= done);
        self.at = self.at.max(now);
    }
}

/// The store that stand-in runners share; clones are the same store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    origin: Instant,
    lanes: Arc<Mutex<StoreLanes>>,
}

#[derive(Debug)]
struct StoreLanes {
    models: SharedLane,
    adapters: SharedLane,
}

/// What is loaded: models and adapters have limits of their own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadKind {
    /// A whole model.
    Model,
    /// An adapter.
    Adapter,
}

impl WeightStore {
    /// Makes a store with the usual limits.
    pub fn new() -> Self {
        let lanes = StoreLanes {
            models: SharedLane::new(FULL_SPEED_MODELS),
            adapters: SharedLane::new(FULL_SPEED_ADAPTERS),
        };
        Self { origin: Instant::now(), lanes: Arc::new(Mutex::new(lanes)) }
    }

    /// Loads something that takes `work` at full speed; dropping the future cancels it.
    pub async fn load(&self, kind: LoadKind, work: Duration) {
        let load = StoreTicket::begin(self.clone(), kind, work);
        while let Some(end) = load.pending_end() {
            tokio::time::sleep_until(self.origin + end.since(ClockInstant(0))).await;
        }
    }

    /// Makes every load take `slowdown` times as long from now on.
    pub fn set_slowdown(&self, slowdown: f64) {
        let now = self.now();
        let mut lanes = self.lanes();
        for lane in [LoadKind::Model, LoadKind::Adapter] {
            let lane = lanes.lane(lane);
            lane.advance(now);
            lane.set_slowdown(slowdown);
        }
    }

    fn now(&self) -> ClockInstant {
        ClockInstant(0) + self.origin.elapsed()
    }

    fn lanes(&self) -> MutexGuard<'_, StoreLanes> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for WeightStore {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreLanes {
    fn lane(&mut self, kind: LoadKind) -> &mut SharedLane {
        match kind {
            LoadKind::Model => &mut self.models,
            LoadKind::Adapter => &mut self.adapters,
        }
    }
}

/// One load under way; cancelled when dropped.
struct StoreTicket {
    store: WeightStore,
    kind: LoadKind,
    load: StoreLoad,
}

impl StoreTicket {
    fn begin(store: WeightStore, kind: LoadKind, work: Duration) -> Self {
        let now = store.now();
        let load = {
            let mut lanes = store.lanes();
            let lane = lanes.lane(kind);
            lane.advance(now);
            lane.begin(now, work)
        };
        Self { store, kind, load }
    }

    /// Returns when to look again, `None` once the load has ended.
    fn pending_end(&self) -> Option<ClockInstant> {
        let now = self.store.now();
        let mut lanes = self.store.lanes();
        let lane = lanes.lane(self.kind);
        lane.advance(now);
        let running = lane.loads.iter().any(|(number, _)| *number == self.load);
        running.then(|| lane.next_end()).flatten()
    }
}

impl Drop for StoreTicket {
    fn drop(&mut self) {
        self.store.lanes().lane(self.kind).cancel(self.load);
    }
}
