//! A stand-in for the rate-limited weight store.
//!
//! Concurrent loads share its bandwidth by processor sharing: up to a limit they run at full
//! speed, beyond it all of them slow down in proportion.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_units::ClockInstant;
use tokio::time::Instant;

/// Concurrent model loads that run at full speed.
pub const FULL_SPEED_MODELS: usize = 4;
/// Concurrent adapter loads that run at full speed.
pub const FULL_SPEED_ADAPTERS: usize = 30;

/// Identifies one load in its [`SharedBandwidth`].
pub type LoadId = u64;

/// Loads that share one bandwidth limit, on a clock that the caller moves.
#[derive(Clone, Debug)]
pub struct SharedBandwidth {
    full_speed_loads: usize,
    slowdown: f64,
    now: ClockInstant,
    next: LoadId,
    /// Running loads with the time each still takes at full speed, in seconds.
    loads: Vec<(LoadId, f64)>,
}

impl SharedBandwidth {
    /// Creates a limit up to which `full_speed_loads` concurrent loads run at full speed.
    pub fn new(full_speed_loads: usize) -> Self {
        Self { full_speed_loads, slowdown: 1.0, now: ClockInstant(0), next: 0, loads: Vec::new() }
    }

    /// Starts a load that takes `work` at full speed; call [`Self::advance`] to `now` first.
    pub fn begin(&mut self, now: ClockInstant, work: Duration) -> LoadId {
        debug_assert!(now >= self.now);
        self.next += 1;
        self.loads.push((self.next, work.as_secs_f64()));
        self.next
    }

    /// Cancels a load; one that has ended is ignored.
    pub fn cancel(&mut self, load: LoadId) {
        self.loads.retain(|(number, _)| *number != load);
    }

    /// Makes all loads `slowdown` times slower than normal from now on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Returns when the next load ends unless others start before; `None` without loads.
    pub fn next_end(&self) -> Option<ClockInstant> {
        let least = self.loads.iter().map(|(_, remaining)| *remaining).reduce(f64::min)?;
        // Rounded up, so that the load has ended by that instant.
        let span = Duration::from_secs_f64(least / self.speed()) + Duration::from_nanos(1);
        Some(self.now + span)
    }

    /// Moves the clock to `now`; returns the loads that ended by then, in order.
    pub fn advance(&mut self, now: ClockInstant) -> Vec<LoadId> {
        let mut ended = Vec::new();
        while let Some(end) = self.next_end().filter(|end| *end <= now) {
            self.progress(end);
            ended.extend(
                self.loads.extract_if(.., |(_, remaining)| *remaining <= 0.0).map(|load| load.0),
            );
        }
        self.progress(now);
        ended
    }

    fn speed(&self) -> f64 {
        let share = self.full_speed_loads as f64 / self.loads.len().max(1) as f64;
        share.min(1.0) / self.slowdown
    }

    fn progress(&mut self, now: ClockInstant) {
        let done = now.since(self.now).as_secs_f64() * self.speed();
        self.loads.iter_mut().for_each(|(_, remaining)| *remaining -= done);
        self.now = self.now.max(now);
    }
}

/// A weight store on the Tokio clock; clones share its bandwidth.
#[derive(Clone, Debug)]
pub struct WeightStore {
    origin: Instant,
    bandwidth: Arc<Mutex<StoreBandwidth>>,
}

#[derive(Debug)]
struct StoreBandwidth {
    models: SharedBandwidth,
    adapters: SharedBandwidth,
}

/// Kind of a load; models and adapters have separate bandwidth limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadKind {
    /// The weights of a model.
    Model,
    /// The weights of an adapter.
    Adapter,
}

impl WeightStore {
    /// Creates a store with [`FULL_SPEED_MODELS`] and [`FULL_SPEED_ADAPTERS`] as its limits.
    pub fn new() -> Self {
        let bandwidth = StoreBandwidth {
            models: SharedBandwidth::new(FULL_SPEED_MODELS),
            adapters: SharedBandwidth::new(FULL_SPEED_ADAPTERS),
        };
        Self { origin: Instant::now(), bandwidth: Arc::new(Mutex::new(bandwidth)) }
    }

    /// Waits for a load that takes `work` at full speed; dropping the future cancels it.
    pub async fn load(&self, kind: LoadKind, work: Duration) {
        let load = ActiveLoad::begin(self.clone(), kind, work);
        while let Some(end) = load.pending_end() {
            tokio::time::sleep_until(self.origin + end.since(ClockInstant(0))).await;
        }
    }

    /// Makes all loads `slowdown` times slower than normal from now on.
    pub fn set_slowdown(&self, slowdown: f64) {
        let now = self.now();
        let mut bandwidth = self.bandwidth();
        for kind in [LoadKind::Model, LoadKind::Adapter] {
            let bandwidth = bandwidth.of_kind(kind);
            bandwidth.advance(now);
            bandwidth.set_slowdown(slowdown);
        }
    }

    fn now(&self) -> ClockInstant {
        ClockInstant(0) + self.origin.elapsed()
    }

    fn bandwidth(&self) -> MutexGuard<'_, StoreBandwidth> {
        self.bandwidth.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for WeightStore {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreBandwidth {
    fn of_kind(&mut self, kind: LoadKind) -> &mut SharedBandwidth {
        match kind {
            LoadKind::Model => &mut self.models,
            LoadKind::Adapter => &mut self.adapters,
        }
    }
}

/// A load in progress; cancelled when dropped.
struct ActiveLoad {
    store: WeightStore,
    kind: LoadKind,
    load: LoadId,
}

impl ActiveLoad {
    fn begin(store: WeightStore, kind: LoadKind, work: Duration) -> Self {
        let now = store.now();
        let load = {
            let mut bandwidth = store.bandwidth();
            let bandwidth = bandwidth.of_kind(kind);
            bandwidth.advance(now);
            bandwidth.begin(now, work)
        };
        Self { store, kind, load }
    }

    /// Returns when to check again; `None` once the load has ended.
    fn pending_end(&self) -> Option<ClockInstant> {
        let now = self.store.now();
        let mut bandwidth = self.store.bandwidth();
        let bandwidth = bandwidth.of_kind(self.kind);
        bandwidth.advance(now);
        let running = bandwidth.loads.iter().any(|(number, _)| *number == self.load);
        running.then(|| bandwidth.next_end()).flatten()
    }
}

impl Drop for ActiveLoad {
    fn drop(&mut self) {
        self.store.bandwidth().of_kind(self.kind).cancel(self.load);
    }
}
