//! Discrete-event simulation of one policy on one trace.

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

/// Accelerator memory of each runner.
const CAPACITY: ByteSize = ByteSize::gibibytes(80);
/// Size of the checkpoint cache in the memory of each runner's machine.
const MACHINE_CACHE: ByteSize = ByteSize::gibibytes(160);
/// Duration of an eviction, in seconds.
const EVICTION_SECONDS: f64 = 0.2;
/// Time from a request's arrival to its deadline, in seconds.
const DEADLINE_SECONDS: f64 = 60.0;
/// Number of runners on which each model has a slot.
const SLOTS: usize = 2;

/// Policy for loading and unloading models.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PolicyChoice {
    /// The policy of the daemons: keep-alive by gap histogram, choice of the runner by load time,
    /// eviction by least regret, and a queue for loads from the weight store.
    Histogram,
    /// Fixed keep-alive; evicts the least recently used model.
    FixedLru {
        /// Time for which an idle model stays loaded, in seconds.
        hold_seconds: f64,
    },
    /// Unloads only to free memory, the least recently used model first.
    NeverUnload,
    /// Unloads a model as soon as it is idle.
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

/// One load of a model in the simulation.
#[derive(Clone, Debug)]
pub struct ModelLoad {
    /// Time at which the model was first wanted, in seconds.
    pub wanted_at: f64,
    /// Size of the model, in bytes.
    pub bytes: u64,
    /// Duration of a load from a cache, in seconds; `None` if it came from the weight store.
    pub cached_seconds: Option<f64>,
}

/// One request that waited for a load.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartSample {
    /// Index of the load in [`SimulationResult::loads`].
    pub load: usize,
    /// Index of the team that sent the request.
    pub team: usize,
    /// Time of arrival, in seconds.
    pub asked_at: f64,
    /// Time from arrival to the end of the load, in seconds.
    pub wait: f64,
}

/// Time from the end of one use of a model to the start of the next.
#[derive(Clone, Copy, Debug)]
pub struct UseGap {
    /// Length of the gap, in seconds.
    pub seconds: f64,
    /// Accelerator hours if the model stays loaded over the gap.
    pub hours: f64,
    /// Size of the model, in bytes.
    pub bytes: u64,
}

/// Result of the simulation of one policy on one trace.
#[derive(Clone, Debug)]
pub struct SimulationResult {
    /// Simulated policy.
    pub policy: PolicyChoice,
    /// Number of requests in the trace.
    pub requests: usize,
    /// All loads, in the order in which they started.
    pub loads: Vec<ModelLoad>,
    /// Requests that waited for a load.
    pub samples: Vec<ColdStartSample>,
    /// Gaps between the uses of all models, whether the model stayed loaded or not.
    pub gaps: Vec<UseGap>,
    /// Total size of the models that were used at least once, in bytes.
    pub first_bytes: u64,
    /// Accelerator hours of idle and loading models.
    pub idle_hours: f64,
    /// Accelerator hours of loading models.
    pub load_hours: f64,
    /// Hours that requests waited, weighted by the fraction of an accelerator's memory that their
    /// model takes.
    pub cold_hours: f64,
}

/// A scheduled event; the first number is the index of the model.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    RequestEnds(usize),
    CachedLoadEnds(usize),
    /// A load from the weight store may have ended.
    StoreUpdate,
    EvictionEnds(usize),
    /// The keep-alive ends, unless the model has had more requests than this number.
    KeepAliveEnds(usize, u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplicaPhase {
    Unloaded,
    /// Waits for memory on the runner, or for a grant of the load queue.
    Queued,
    Loading,
    Loaded,
    Unloading,
}

/// State of one model; times are in seconds from the start of the trace.
struct SimModel {
    bytes: u64,
    /// Runners on which the model has a slot.
    slots: Vec<usize>,
    phase: ReplicaPhase,
    runner: usize,
    /// Number of running requests.
    active: u32,
    /// Arrival time, team and duration of the requests that wait for the load.
    waiting: Vec<(f64, usize, f64)>,
    wanted_at: f64,
    /// Whether the load may start once there is memory for it.
    may_load: bool,
    phase_since: f64,
    idle_since: Option<f64>,
    /// Time for which the model stays loaded while idle, in seconds.
    hold: f64,
    /// Number of requests so far.
    uses: u64,
    gaps: GapHistogram,
    /// Index of the last load in [`SimulationResult::loads`].
    load: usize,
}

struct SimRunner {
    /// Memory in use, in bytes.
    used: u64,
    /// Models that wait for memory or for a grant, in order.
    queued: Vec<usize>,
    /// Models with a checkpoint in the machine's memory, the least recently loaded first.
    cache: Vec<usize>,
}

struct Simulation<'a> {
    size: &'a FleetSize,
    policy: PolicyChoice,
    now: f64,
    /// Scheduled events with their times, in nanoseconds.
    events: BinaryHeap<Reverse<(u64, SimEvent)>>,
    models: Vec<SimModel>,
    runners: Vec<SimRunner>,
    bandwidth: SharedBandwidth,
    /// Models that are loading from the weight store, by load id.
    store_loads: BTreeMap<u64, usize>,
    queue: LoadQueue,
    speeds: LoadSpeeds,
    result: SimulationResult,
}

/// Simulates `policy` on `trace`.
pub fn simulate(size: &FleetSize, trace: &SessionTrace, policy: PolicyChoice) -> SimulationResult {
    let mut simulation = Simulation::new(size, trace, policy);
    for request in &trace.requests {
        simulation.run_until(request.at);
        simulation.arrive(request.model, request.team, request.seconds);
    }
    simulation.run_until(trace.length);
    simulation.finish(trace)
}

/// Returns an instant in seconds.
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
            // The slots of a model are on different runners, spread over the fleet.
            slots: (0..SLOTS)
                .map(|slot| (index + slot * (1 + index / size.runners)) % size.runners)
                .collect(),
            phase: ReplicaPhase::Unloaded,
            runner: 0,
            active: 0,
            waiting: Vec::new(),
            wanted_at: 0.0,
            may_load: false,
            phase_since: 0.0,
            idle_since: None,
            hold: 0.0,
            uses: 0,
            gaps: GapHistogram::default(),
            load: 0,
        });
        let runner = || SimRunner { used: 0, queued: Vec::new(), cache: Vec::new() };
        let speeds = LoadSpeeds { remote: size.load_speed(), ..LoadSpeeds::default() };
        Self {
            size,
            policy,
            now: 0.0,
            events: BinaryHeap::new(),
            models: models.collect(),
            runners: (0..size.runners).map(|_| runner()).collect(),
            bandwidth: SharedBandwidth::new(FULL_SPEED_MODELS),
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
        // Rounded up, so that the awaited end is reached by the time of the event.
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
            SimEvent::StoreUpdate => self.update_store(),
            SimEvent::EvictionEnds(model) => self.end_eviction(model),
            SimEvent::KeepAliveEnds(model, uses) => {
                let idle = self.models[model].active == 0 && self.models[model].uses == uses;
                if idle && self.models[model].phase == ReplicaPhase::Loaded {
                    self.unload(model);
                }
            }
        }
    }

    /// Returns accelerator hours for `duration`, in proportion to the memory that the model takes.
    fn accelerator_hours(&self, model: usize, duration: f64) -> f64 {
        duration * self.models[model].bytes as f64 / CAPACITY.0 as f64 / 3_600.0
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
            let hours = self.accelerator_hours(index, gap);
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
                self.queue_load(index, team);
            }
            _ => self.models[index].waiting.push((now, team, work)),
        }
    }

    fn queue_load(&mut self, index: usize, team: usize) {
        let runner = self.pick_runner(index);
        let now = self.now;
        let model = &mut self.models[index];
        model.phase = ReplicaPhase::Queued;
        model.wanted_at = now;
        model.runner = runner;
        model.may_load = true;
        let remote = self.cached_seconds(index, runner).is_none();
        if self.policy == PolicyChoice::Histogram && remote {
            self.models[index].may_load = false;
            self.request_grant(index, team);
        }
        self.runners[runner].queued.push(index);
        self.serve_runner(runner);
    }

    /// Returns the runner, among those with a slot of the model, on which to load it.
    fn pick_runner(&self, index: usize) -> usize {
        let model = &self.models[index];
        let memory = ByteSize(model.bytes);
        if self.policy != PolicyChoice::Histogram {
            let free = |runner: &&usize| Reverse(self.free(**runner));
            return model.slots.iter().min_by_key(free).copied().unwrap_or(0);
        }
        let candidates: Vec<WakeCandidate> = model
            .slots
            .iter()
            .map(|runner| WakeCandidate {
                runner: runner_id(*runner),
                load_time: Duration::from_secs_f64(
                    self.cached_seconds(index, *runner)
                        .unwrap_or(model.bytes as f64 / self.size.load_speed()),
                ),
                free: ByteSize(self.free(*runner)),
                evictable: ByteSize(self.evictable(*runner)),
                eviction_time: Duration::from_secs_f64(EVICTION_SECONDS),
            })
            .collect();
        let chosen = choose_slot(&candidates, memory).map(|candidate| candidate.runner.clone());
        let chosen = chosen
            .and_then(|id| model.slots.iter().find(|runner| runner_id(**runner) == id).copied());
        chosen.unwrap_or(model.slots[0])
    }

    fn free(&self, runner: usize) -> u64 {
        CAPACITY.0.saturating_sub(self.runners[runner].used)
    }

    fn idle_models(&self, runner: usize) -> impl Iterator<Item = usize> {
        self.models.iter().enumerate().filter_map(move |(index, model)| {
            let idle = model.phase == ReplicaPhase::Loaded && model.active == 0;
            (idle && model.runner == runner).then_some(index)
        })
    }

    fn evictable(&self, runner: usize) -> u64 {
        self.idle_models(runner).map(|index| self.models[index].bytes).sum()
    }

    /// Returns the duration of a load from the machine's memory; `None` if it isn't cached there.
    fn cached_seconds(&self, index: usize, runner: usize) -> Option<f64> {
        let cached = self.runners[runner].cache.contains(&index);
        let bytes = ByteSize(self.models[index].bytes);
        cached.then(|| self.speeds.load_time(bytes, CacheTier::Memory).as_secs_f64())
    }

    /// Starts the queued loads that fit on a runner, and evicts models for the others.
    fn serve_runner(&mut self, runner: usize) {
        let queued = self.runners[runner].queued.clone();
        // Memory for the loads that come first in the queue but haven't started.
        let mut required = 0;
        for index in queued {
            let bytes = self.models[index].bytes;
            if self.free(runner) >= required + bytes {
                if self.models[index].may_load {
                    self.runners[runner].queued.retain(|other| *other != index);
                    self.start_load(index);
                } else {
                    required += bytes;
                }
                continue;
            }
            required += bytes;
            self.evict_for(runner, required);
        }
    }

    /// Evicts models unless enough memory is free, or will be after the unloads under way.
    fn evict_for(&mut self, runner: usize, required: u64) {
        let unloading: u64 = self
            .models
            .iter()
            .filter(|model| model.runner == runner && model.phase == ReplicaPhase::Unloading)
            .map(|model| model.bytes)
            .sum();
        let missing = required.saturating_sub(self.free(runner) + unloading);
        if missing == 0 {
            return;
        }
        for victim in self.choose_victims(runner, missing) {
            self.unload(victim);
        }
    }

    fn choose_victims(&self, runner: usize, missing: u64) -> Vec<usize> {
        let mut idle: Vec<usize> = self.idle_models(runner).collect();
        if self.policy == PolicyChoice::Histogram {
            let candidates: Vec<EvictionCandidate> =
                idle.iter().map(|index| self.eviction_candidate(*index)).collect();
            let victims = choose_evictions(instant(self.now), ByteSize(missing), &candidates);
            let chosen = victims.unwrap_or_default();
            idle.retain(|index| chosen.contains(&held_item(*index)));
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

    fn eviction_candidate(&self, index: usize) -> EvictionCandidate {
        let model = &self.models[index];
        let memory = ByteSize(model.bytes);
        EvictionCandidate {
            item: held_item(index),
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
            Some(duration) => self.schedule(now + duration, SimEvent::CachedLoadEnds(index)),
            None => {
                self.update_store();
                let work = self.models[index].bytes as f64 / self.size.load_speed();
                let number = self.bandwidth.begin(instant(now), Duration::from_secs_f64(work));
                self.store_loads.insert(number, index);
                self.schedule_store_update();
            }
        }
    }

    fn schedule_store_update(&mut self) {
        if let Some(end) = self.bandwidth.next_end() {
            self.schedule(seconds(end), SimEvent::StoreUpdate);
        }
    }

    /// Ends the loads from the weight store that are complete by now.
    fn update_store(&mut self) {
        for number in self.bandwidth.advance(instant(self.now)) {
            if let Some(index) = self.store_loads.remove(&number) {
                self.end_load(index);
            }
        }
        self.schedule_store_update();
    }

    fn end_load(&mut self, index: usize) {
        let now = self.now;
        let duration = now - self.models[index].phase_since;
        let hours = self.accelerator_hours(index, duration);
        self.result.idle_hours += hours;
        self.result.load_hours += hours;
        self.return_grant(index);
        self.models[index].phase = ReplicaPhase::Loaded;
        self.models[index].phase_since = now;
        let runner = self.models[index].runner;
        self.cache_checkpoint(index, runner);
        for (asked_at, team, work) in std::mem::take(&mut self.models[index].waiting) {
            let wait = now - asked_at;
            let load = self.models[index].load;
            self.result.samples.push(ColdStartSample { load, team, asked_at, wait });
            self.result.cold_hours += self.accelerator_hours(index, wait);
            self.models[index].active += 1;
            self.schedule(now + work, SimEvent::RequestEnds(index));
        }
    }

    fn cache_checkpoint(&mut self, index: usize, runner: usize) {
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
        let hold = self.keep_alive_seconds(index);
        self.models[index].hold = hold;
        if hold.is_finite() {
            self.schedule(now + hold, SimEvent::KeepAliveEnds(index, uses));
        }
        self.serve_runner(runner);
    }

    fn keep_alive_seconds(&self, index: usize) -> f64 {
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
            self.result.idle_hours += self.accelerator_hours(index, now - since);
        }
        self.models[index].phase = ReplicaPhase::Unloading;
        self.schedule(now + EVICTION_SECONDS, SimEvent::EvictionEnds(index));
    }

    fn end_eviction(&mut self, index: usize) {
        let runner = self.models[index].runner;
        self.runners[runner].used -= self.models[index].bytes;
        self.models[index].phase = ReplicaPhase::Unloaded;
        if let Some((asked_at, team, _)) = self.models[index].waiting.first().copied() {
            self.queue_load(index, team);
            self.models[index].wanted_at = asked_at;
        }
        self.serve_runner(runner);
    }

    fn request_grant(&mut self, index: usize, team: usize) {
        let request = LoadRequest {
            key: load_key(index, self.models[index].runner),
            keeper: make_id::<HostId>("host", 0),
            team: make_id::<TeamId>("team", team),
            deadline: instant(self.models[index].wanted_at + DEADLINE_SECONDS),
        };
        let grants = self.queue.ask(instant(self.now), request);
        self.apply_grants(grants);
    }

    fn return_grant(&mut self, index: usize) {
        let key = load_key(index, self.models[index].runner);
        let grants = self.queue.done(instant(self.now), &key);
        self.apply_grants(grants);
    }

    fn apply_grants(&mut self, grants: Vec<dotterellane_decisions::load_queue::LoadGrant>) {
        for grant in grants {
            let name = grant.key.item.model;
            let found = (0..self.models.len()).find(|index| held_item(*index).model == name);
            let Some(index) = found else { continue };
            self.models[index].may_load = true;
            if self.models[index].phase == ReplicaPhase::Queued {
                self.serve_runner(self.models[index].runner);
            }
        }
    }

    fn finish(mut self, trace: &SessionTrace) -> SimulationResult {
        for index in 0..self.models.len() {
            let loaded = self.models[index].phase == ReplicaPhase::Loaded;
            if let Some(since) = self.models[index].idle_since.filter(|_| loaded) {
                self.result.idle_hours += self.accelerator_hours(index, trace.length - since);
            }
        }
        self.result
    }
}

fn make_id<T>(kind: &str, index: usize) -> T
where
    T: std::str::FromStr,
    T::Err: fmt::Debug,
{
    format!("{kind}-{index}").parse().expect("a kind and a number form a valid id")
}

fn runner_id(index: usize) -> UpstreamId {
    make_id("runner", index)
}

fn held_item(index: usize) -> HeldItem {
    HeldItem::model(make_id::<ModelId>("model", index))
}

fn load_key(index: usize, runner: usize) -> LoadKey {
    LoadKey { runner: runner_id(runner), item: held_item(index) }
}
