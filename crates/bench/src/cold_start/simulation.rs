//! One policy over one trace, event by event.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::time::Duration;

use dotterellane_decisions::cold_start::{
    EvictionCandidate, LoadSpeeds, WakeCandidate, choose_evictions, choose_slot,
};
use dotterellane_decisions::keep_alive::{COLD_START_WEIGHT, GapHistogram};
use dotterellane_decisions::leases::HeldItem;
use dotterellane_decisions::load_queue::{LoadKey, LoadQueue, LoadRequest};
use dotterellane_protocol::placement::CacheTier;
use dotterellane_standins::weight_store::{FULL_SPEED_MODELS, SharedBandwidth};
use dotterellane_units::{ByteSize, ClockInstant, HostId, ModelId, TeamId, UpstreamId};

use super::trace::{FleetSize, SessionTrace};

/// Accelerator memory of a runner.
const CAPACITY: ByteSize = ByteSize::gibibytes(80);
/// Memory of a runner's machine that caches checkpoints.
const MACHINE_CACHE: ByteSize = ByteSize::gibibytes(160);
/// Time that an eviction takes, in seconds.
const EVICTION_SECONDS: f64 = 0.2;
/// Time that a request may wait, in seconds.
const DEADLINE_SECONDS: f64 = 60.0;
/// Decided slots of each model.
const SLOTS: usize = 2;

/// Which policy decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyChoice {
    /// Keep-alive by gap histogram, choice by tier, eviction by regret, one load queue.
    Histogram,
    /// A fixed keep-alive, the least recently used is evicted.
    FixedLru {
        /// Time to stay loaded.
        hold_seconds: f64,
    },
    /// Unloads only to make room, the least recently used first.
    NeverUnload,
    /// Unloads as soon as a model is idle.
    UnloadAtOnce,
}

impl fmt::Display for PolicyChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Histogram => f.write_str("histogram"),
            Self::FixedLru { hold_seconds } => write!(f, "fixed-{hold_seconds}s-lru"),
            Self::NeverUnload => f.write_str("never-unload-lru"),
            Self::UnloadAtOnce => f.write_str("unload-at-once"),
        }
    }
}

/// One load of a model.
#[derive(Clone, Debug)]
pub struct ModelLoad {
    /// When the first request wanted it, in seconds.
    pub wanted_at: f64,
    /// Size of the model.
    pub bytes: u64,
    /// Time that the load took from a cache, `None` if it came from the weight store.
    pub cached_seconds: Option<f64>,
}

/// One request that waited for a load.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartSample {
    /// Index of the load.
    pub load: usize,
    /// Team that waited.
    pub team: usize,
    /// When it came, in seconds.
    pub asked_at: f64,
    /// How long it waited, in seconds.
    pub wait: f64,
}

/// A time between two uses of a model.
#[derive(Clone, Copy, Debug)]
pub struct UseGap {
    /// Its length in seconds.
    pub seconds: f64,
    /// Accelerator hours that staying loaded costs.
    pub hours: f64,
    /// Size of the model.
    pub bytes: u64,
}

/// What a policy brought about.
#[derive(Clone, Debug)]
pub struct SimulationResult {
    /// The policy.
    pub policy: PolicyChoice,
    /// Requests in the trace.
    pub requests: usize,
    /// All loads.
    pub loads: Vec<ModelLoad>,
    /// Requests that waited.
    pub samples: Vec<ColdStartSample>,
    /// Gaps between the uses of each model, whether loaded or not.
    pub gaps: Vec<UseGap>,
    /// Bytes of all models that were used at all.
    pub first_bytes: u64,
    /// Accelerator hours that were loaded and idle, or loading.
    pub idle_hours: f64,
    /// The part of it that was loading.
    pub load_hours: f64,
    /// Hours that requests waited, weighted by the accelerator share of their model.
    pub cold_hours: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    RequestEnds(usize),
    CachedLoadEnds(usize),
    StoreLooks,
    EvictionEnds(usize),
    HoldEnds(usize, u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplicaPhase {
    Unloaded,
    /// Wanted on the runner: it waits for memory or for a turn.
    Wanted,
    Loading,
    Loaded,
    Unloading,
}

struct SimModel {
    bytes: u64,
    slots: Vec<usize>,
    phase: ReplicaPhase,
    runner: usize,
    active: u32,
    waiting: Vec<(f64, usize, f64)>,
    wanted_at: f64,
    turn: bool,
    phase_since: f64,
    idle_since: Option<f64>,
    hold: f64,
    uses: u64,
    gaps: GapHistogram,
    load: usize,
}

struct SimRunner {
    used: u64,
    /// Models that wait for memory, in order.
    wanted: Vec<usize>,
    /// Checkpoints in the machine's memory, the oldest first.
    cache: Vec<usize>,
}

struct Simulation<'a> {
    size: &'a FleetSize,
    policy: PolicyChoice,
    now: f64,
    events: BinaryHeap<Reverse<(u64, SimEvent)>>,
    models: Vec<SimModel>,
    runners: Vec<SimRunner>,
    lane: SharedBandwidth,
    store_loads: BTreeMap<u64, usize>,
    queue: LoadQueue,
    speeds: LoadSpeeds,
    result: SimulationResult,
}

/// Plays `trace` under `policy`.
pub fn simulate(size: &FleetSize, trace: &SessionTrace, policy: PolicyChoice) -> SimulationResult {
    let mut simulation = Simulation::new(size, trace, policy);
    for request in &trace.requests {
        simulation.run_until(request.at);
        simulation.arrive(request.model, request.team, request.seconds);
    }
    simulation.run_until(trace.length);
    simulation.finish(trace)
}

/// Returns an instant as seconds.
pub fn seconds(at: ClockInstant) -> f64 {
    at.0 as f64 / 1e9
}

fn instant(at: f64) -> ClockInstant {
    ClockInstant((at * 1e9) as u64)
}

impl<'a> Simulation<'a> {
    fn new(size: &'a FleetSize, trace: &SessionTrace, policy: PolicyChoice) -> Self {
        let models = trace.sizes.iter().enumerate().map(|(index, bytes)| SimModel {
            bytes: *bytes,
            // Two different runners, spread over the fleet.
            slots: (0..SLOTS)
                .map(|slot| (index + slot * (1 + index / size.runners)) % size.runners)
                .collect(),
            phase: ReplicaPhase::Unloaded,
            runner: 0,
            active: 0,
            waiting: Vec::new(),
            wanted_at: 0.0,
            turn: false,
            phase_since: 0.0,
            idle_since: None,
            hold: 0.0,
            uses: 0,
            gaps: GapHistogram::default(),
            load: 0,
        });
        let runner = || SimRunner { used: 0, wanted: Vec::new(), cache: Vec::new() };
        let speeds = LoadSpeeds { remote: size.load_speed(), ..LoadSpeeds::default() };
        Self {
            size,
            policy,
            now: 0.0,
            events: BinaryHeap::new(),
            models: models.collect(),
            runners: (0..size.runners).map(|_| runner()).collect(),
            lane: SharedBandwidth::new(FULL_SPEED_MODELS),
            store_loads: BTreeMap::new(),
            queue: LoadQueue::default(),
            speeds,
            result: SimulationResult {
                policy,
                requests: trace.requests.len(),
                loads: Vec::new(),
                samples: Vec::new(),
                gaps: Vec::new(),
                first_bytes: 0,
                idle_hours: 0.0,
                load_hours: 0.0,
                cold_hours: 0.0,
            },
        }
    }

    fn schedule(&mut self, at: f64, event: SimEvent) {
        // Rounded up, so that what was awaited has happened.
        self.events.push(Reverse(((at * 1e9).ceil() as u64 + 1, event)));
    }

    fn run_until(&mut self, end: f64) {
        while let Some(Reverse((at, _))) = self.events.peek() {
            if *at as f64 / 1e9 > end {
                break;
            }
            if let Some(Reverse((at, event))) = self.events.pop() {
                self.now = at as f64 / 1e9;
                self.handle(event);
            }
        }
        self.now = self.now.max(end);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::RequestEnds(model) => self.end_request(model),
            SimEvent::CachedLoadEnds(model) => self.end_load(model),
            SimEvent::StoreLooks => self.look_at_store(),
            SimEvent::EvictionEnds(model) => self.end_eviction(model),
            SimEvent::HoldEnds(model, uses) => {
                let idle = self.models[model].active == 0 && self.models[model].uses == uses;
                if idle && self.models[model].phase == ReplicaPhase::Loaded {
                    self.unload(model);
                }
            }
        }
    }

    fn share_hours(&self, model: usize, span: f64) -> f64 {
        span * self.models[model].bytes as f64 / CAPACITY.0 as f64 / 3_600.0
    }

    fn arrive(&mut self, index: usize, team: usize, work: f64) {
        let now = self.now;
        let model = &mut self.models[index];
        if model.uses == 0 {
            self.result.first_bytes += model.bytes;
        }
        model.uses += 1;
        if let Some(since) = model.idle_since.take() {
            let gap = now - since;
            model.gaps.note_gap(Duration::from_secs_f64(gap));
            let hours = self.share_hours(index, gap);
            let bytes = self.models[index].bytes;
            self.result.gaps.push(UseGap { seconds: gap, hours, bytes });
            if self.models[index].phase == ReplicaPhase::Loaded {
                self.result.idle_hours += hours;
            }
        }
        match self.models[index].phase {
            ReplicaPhase::Loaded => {
                self.models[index].active += 1;
                self.schedule(now + work, SimEvent::RequestEnds(index));
            }
            ReplicaPhase::Unloaded => {
                self.models[index].waiting.push((now, team, work));
                self.want(index, team);
            }
            _ => self.models[index].waiting.push((now, team, work)),
        }
    }

    fn want(&mut self, index: usize, team: usize) {
        let runner = self.pick_runner(index);
        let now = self.now;
        let model = &mut self.models[index];
        model.phase = ReplicaPhase::Wanted;
        model.wanted_at = now;
        model.runner = runner;
        model.turn = true;
        let remote = self.cached_seconds(index, runner).is_none();
        if self.policy == PolicyChoice::Histogram && remote {
            self.models[index].turn = false;
            self.ask_turn(index, team);
        }
        self.runners[runner].wanted.push(index);
        self.serve_runner(runner);
    }

    fn pick_runner(&self, index: usize) -> usize {
        let model = &self.models[index];
        let memory = ByteSize(model.bytes);
        if self.policy != PolicyChoice::Histogram {
            let free = |runner: &&usize| Reverse(self.free(**runner));
            return model.slots.iter().min_by_key(free).copied().unwrap_or(0);
        }
        let offers: Vec<WakeCandidate> = model
            .slots
            .iter()
            .map(|runner| WakeCandidate {
                runner: upstream(*runner),
                load_time: Duration::from_secs_f64(
                    self.cached_seconds(index, *runner)
                        .unwrap_or(model.bytes as f64 / self.size.load_speed()),
                ),
                free: ByteSize(self.free(*runner)),
                evictable: ByteSize(self.evictable(*runner)),
                eviction_time: Duration::from_secs_f64(EVICTION_SECONDS),
            })
            .collect();
        let chosen = choose_slot(&offers, memory).map(|offer| offer.runner.clone());
        let chosen = chosen
            .and_then(|name| model.slots.iter().find(|runner| upstream(**runner) == name).copied());
        chosen.unwrap_or(model.slots[0])
    }

    fn free(&self, runner: usize) -> u64 {
        CAPACITY.0.saturating_sub(self.runners[runner].used)
    }

    fn idle_on(&self, runner: usize) -> impl Iterator<Item = usize> {
        self.models.iter().enumerate().filter_map(move |(index, model)| {
            let idle = model.phase == ReplicaPhase::Loaded && model.active == 0;
            (idle && model.runner == runner).then_some(index)
        })
    }

    fn evictable(&self, runner: usize) -> u64 {
        self.idle_on(runner).map(|index| self.models[index].bytes).sum()
    }

    fn cached_seconds(&self, index: usize, runner: usize) -> Option<f64> {
        let cached = self.runners[runner].cache.contains(&index);
        let bytes = ByteSize(self.models[index].bytes);
        cached.then(|| self.speeds.load_time(bytes, CacheTier::Memory).as_secs_f64())
    }

    /// Starts what fits on a runner, evicts for what does not.
    fn serve_runner(&mut self, runner: usize) {
        let wanted = self.runners[runner].wanted.clone();
        let mut promised = 0;
        for index in wanted {
            let bytes = self.models[index].bytes;
            if self.free(runner) >= promised + bytes {
                if self.models[index].turn {
                    self.runners[runner].wanted.retain(|other| *other != index);
                    self.start_load(index);
                } else {
                    promised += bytes;
                }
                continue;
            }
            promised += bytes;
            self.evict_for(runner, promised);
        }
    }

    fn evict_for(&mut self, runner: usize, wanted: u64) {
        let leaving: u64 = self
            .models
            .iter()
            .filter(|m| m.runner == runner && m.phase == ReplicaPhase::Unloading)
            .map(|m| m.bytes)
            .sum();
        let missing = wanted.saturating_sub(self.free(runner) + leaving);
        if missing == 0 {
            return;
        }
        for victim in self.victims(runner, missing) {
            self.unload(victim);
        }
    }

    fn victims(&self, runner: usize, missing: u64) -> Vec<usize> {
        let mut idle: Vec<usize> = self.idle_on(runner).collect();
        if self.policy == PolicyChoice::Histogram {
            let candidates: Vec<EvictionCandidate> =
                idle.iter().map(|index| self.candidate(*index)).collect();
            let victims = choose_evictions(instant(self.now), ByteSize(missing), &candidates);
            let chosen = victims.unwrap_or_default();
            idle.retain(|index| chosen.contains(&held(*index)));
            return idle;
        }
        idle.sort_by(|a, b| {
            let since = |index: &usize| self.models[*index].idle_since.unwrap_or(self.now);
            since(a).total_cmp(&since(b))
        });
        let mut freed = 0;
        idle.retain(|index| {
            let needed = freed < missing;
            freed += if needed { self.models[*index].bytes } else { 0 };
            needed
        });
        idle
    }

    fn candidate(&self, index: usize) -> EvictionCandidate {
        let model = &self.models[index];
        let memory = ByteSize(model.bytes);
        EvictionCandidate {
            item: held(index),
            memory,
            last_used: instant(model.idle_since.unwrap_or(self.now)),
            hold: Duration::from_secs_f64(model.hold),
            load_time: self.speeds.load_time(memory, CacheTier::Memory),
        }
    }

    fn start_load(&mut self, index: usize) {
        let runner = self.models[index].runner;
        let cached = self.cached_seconds(index, runner);
        let now = self.now;
        self.runners[runner].used += self.models[index].bytes;
        let model = &mut self.models[index];
        model.phase = ReplicaPhase::Loading;
        model.phase_since = now;
        model.load = self.result.loads.len();
        let load =
            ModelLoad { wanted_at: model.wanted_at, bytes: model.bytes, cached_seconds: cached };
        self.result.loads.push(load);
        match cached {
            Some(span) => self.schedule(now + span, SimEvent::CachedLoadEnds(index)),
            None => {
                self.look_at_store();
                let work = self.models[index].bytes as f64 / self.size.load_speed();
                let number = self.lane.begin(instant(now), Duration::from_secs_f64(work));
                self.store_loads.insert(number, index);
                self.schedule_store();
            }
        }
    }

    fn schedule_store(&mut self) {
        if let Some(end) = self.lane.next_end() {
            self.schedule(seconds(end), SimEvent::StoreLooks);
        }
    }

    fn look_at_store(&mut self) {
        for number in self.lane.advance(instant(self.now)) {
            if let Some(index) = self.store_loads.remove(&number) {
                self.end_load(index);
            }
        }
        self.schedule_store();
    }

    fn end_load(&mut self, index: usize) {
        let now = self.now;
        let span = now - self.models[index].phase_since;
        let hours = self.share_hours(index, span);
        self.result.idle_hours += hours;
        self.result.load_hours += hours;
        self.give_turn_back(index);
        self.models[index].phase = ReplicaPhase::Loaded;
        self.models[index].phase_since = now;
        let runner = self.models[index].runner;
        self.note_cached(index, runner);
        for (asked_at, team, work) in std::mem::take(&mut self.models[index].waiting) {
            let wait = now - asked_at;
            let load = self.models[index].load;
            self.result.samples.push(ColdStartSample { load, team, asked_at, wait });
            self.result.cold_hours += self.share_hours(index, wait);
            self.models[index].active += 1;
            self.schedule(now + work, SimEvent::RequestEnds(index));
        }
    }

    fn note_cached(&mut self, index: usize, runner: usize) {
        let sizes: Vec<u64> = self.models.iter().map(|model| model.bytes).collect();
        let cache = &mut self.runners[runner].cache;
        cache.retain(|other| *other != index);
        cache.push(index);
        while cache.iter().map(|index| sizes[*index]).sum::<u64>() > MACHINE_CACHE.0 {
            cache.remove(0);
        }
    }

    fn end_request(&mut self, index: usize) {
        let now = self.now;
        let model = &mut self.models[index];
        model.active -= 1;
        if model.active > 0 {
            return;
        }
        model.idle_since = Some(now);
        let (uses, runner) = (model.uses, model.runner);
        let hold = self.hold_seconds(index);
        self.models[index].hold = hold;
        if hold.is_finite() {
            self.schedule(now + hold, SimEvent::HoldEnds(index, uses));
        }
        self.serve_runner(runner);
    }

    fn hold_seconds(&self, index: usize) -> f64 {
        let model = &self.models[index];
        match self.policy {
            PolicyChoice::FixedLru { hold_seconds } => hold_seconds,
            PolicyChoice::NeverUnload => f64::INFINITY,
            PolicyChoice::UnloadAtOnce => 0.0,
            PolicyChoice::Histogram => {
                let cost = self.speeds.load_time(ByteSize(model.bytes), CacheTier::Remote);
                model.gaps.keep_alive(cost.mul_f64(COLD_START_WEIGHT)).hold.as_secs_f64()
            }
        }
    }

    fn unload(&mut self, index: usize) {
        let now = self.now;
        if let Some(since) = self.models[index].idle_since {
            self.result.idle_hours += self.share_hours(index, now - since);
        }
        self.models[index].phase = ReplicaPhase::Unloading;
        self.schedule(now + EVICTION_SECONDS, SimEvent::EvictionEnds(index));
    }

    fn end_eviction(&mut self, index: usize) {
        let runner = self.models[index].runner;
        self.runners[runner].used -= self.models[index].bytes;
        self.models[index].phase = ReplicaPhase::Unloaded;
        if let Some((asked_at, team, _)) = self.models[index].waiting.first().copied() {
            self.want(index, team);
            self.models[index].wanted_at = asked_at;
        }
        self.serve_runner(runner);
    }

    fn ask_turn(&mut self, index: usize, team: usize) {
        let ask = LoadRequest {
            key: load_key(index, self.models[index].runner),
            keeper: named::<HostId>("host", 0),
            team: named::<TeamId>("team", team),
            deadline: instant(self.models[index].wanted_at + DEADLINE_SECONDS),
        };
        let turns = self.queue.ask(instant(self.now), ask);
        self.take_turns(turns);
    }

    fn give_turn_back(&mut self, index: usize) {
        let key = load_key(index, self.models[index].runner);
        let turns = self.queue.done(instant(self.now), &key);
        self.take_turns(turns);
    }

    fn take_turns(&mut self, turns: Vec<dotterellane_decisions::load_queue::LoadGrant>) {
        for turn in turns {
            let name = turn.key.item.model;
            let found = (0..self.models.len()).find(|index| held(*index).model == name);
            let Some(index) = found else { continue };
            self.models[index].turn = true;
            if self.models[index].phase == ReplicaPhase::Wanted {
                self.serve_runner(self.models[index].runner);
            }
        }
    }

    fn finish(mut self, trace: &SessionTrace) -> SimulationResult {
        for index in 0..self.models.len() {
            let loaded = self.models[index].phase == ReplicaPhase::Loaded;
            if let Some(since) = self.models[index].idle_since.filter(|_| loaded) {
                self.result.idle_hours += self.share_hours(index, trace.length - since);
            }
        }
        self.result
    }
}

fn named<T>(kind: &str, index: usize) -> T
where
    T: std::str::FromStr,
    T::Err: fmt::Debug,
{
    format!("{kind}-{index}").parse().expect("a kind and a number are a valid id")
}

fn upstream(index: usize) -> UpstreamId {
    named("runner", index)
}

fn held(index: usize) -> HeldItem {
    HeldItem::model(named::<ModelId>("model", index))
}

fn load_key(index: usize, runner: usize) -> LoadKey {
    LoadKey { runner: upstream(runner), item: held(index) }
}
