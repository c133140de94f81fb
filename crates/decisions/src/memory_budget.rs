//! Budget of the memory that a host holds for its callers, and who gives way when it is used up.
//!
//! Every connection of a caller is a holder: it counts its buffers, the body of its request and
//! what is kept of an answer until the caller takes it. A holder whose caller makes no progress
//! gives way first. A request that may have run is never refused for memory.

use std::time::Duration;

use dotterellane_units::{ByteSize, ClockInstant};
use slotmap::{SlotMap, new_key_type};

/// Time without progress after which a caller counts as stalled: far beyond a round trip.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time within which the head of a first request follows its connection: the caller sends both
/// together.
const HEAD_TIME: Duration = Duration::from_millis(100);

/// Bound of answers that are being read, on a host without a limit in its settings.
const DEFAULT_COLLECTED: ByteSize = ByteSize::mebibytes(24);

/// Bytes that a connection takes beside bodies and answers: its tasks, its buffers for heads, and
/// the connection to an upstream for its request.
const CONNECTION_BYTES: u64 = 48 << 10;

/// Descriptors that are kept for files, of which a platform may take this many.
const FILE_DESCRIPTORS: u32 = 200;

/// Descriptors that are kept for the store, other hosts, readiness checks and metrics.
const SERVICE_DESCRIPTORS: u32 = 40;

new_key_type! {
    /// Identifies a holder.
    pub struct HolderKey;
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryUse {
    /// Connections with the heads on them.
    Connection,
    /// Bodies of requests, until nobody needs them any more.
    Body,
    /// Answers, and queues of streams, that callers have not taken yet.
    Answer,
}

impl MemoryUse {
    /// All uses.
    pub const ALL: [Self; 3] = [Self::Connection, Self::Body, Self::Answer];

    /// Returns its label in metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Body => "body",
            Self::Answer => "answer",
        }
    }
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HolderStage {
    /// No complete head of a request has arrived.
    Idle {
        /// Whether a request was served before.
        served: bool,
    },
    /// The body of a request is being received.
    Receiving {
        /// Priority of the request, 0 first.
        priority: u8,
    },
    /// A complete request waits for an upstream.
    Waiting {
        /// Priority of the request, 0 first.
        priority: u8,
    },
    /// An upstream may have the request.
    Sent,
    /// The answer is on its way to the caller.
    Answering,
}

/// What giving way means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GivingWay {
    /// The request is refused; it has not run.
    Refuse,
    /// The connection is closed.
    Close,
}

/// A holder that has to give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct YieldOrder {
    /// The holder.
    pub holder: HolderKey,
    /// What it has to do.
    pub how: GivingWay,
    /// The use whose bound was exceeded.
    pub memory: MemoryUse,
    /// What it held.
    pub size: ByteSize,
}

/// Bounds of a host's budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetBounds {
    /// Connections of callers.
    pub connections: u32,
    /// Bodies of requests.
    pub bodies: ByteSize,
    /// Answers that are being read from upstreams.
    pub collected: ByteSize,
    /// Answers and queues of streams that callers have not taken.
    pub answers: ByteSize,
}

impl BudgetBounds {
    /// Returns the bounds for a host with these resources; where the settings state none, only
    /// answers that are being read are bounded. Two fifths of the memory remain for the daemon's
    /// own state and for what the allocator and the sockets take beside.
    pub fn of(memory: Option<ByteSize>, descriptors: Option<u32>) -> Self {
        let part = |divisor: u64| memory.map(|total| ByteSize(total.0 / divisor));
        let unbounded = ByteSize(u64::MAX);
        let by_memory = part(4 * CONNECTION_BYTES).and_then(|count| u32::try_from(count.0).ok());
        // A request takes a descriptor for its caller, one for its upstream, and one for another
        // upstream that is asked beside.
        let kept = FILE_DESCRIPTORS + SERVICE_DESCRIPTORS;
        let by_descriptors = descriptors.map(|count| count.saturating_sub(kept) / 3);
        let connections = by_memory.into_iter().chain(by_descriptors).min();
        Self {
            connections: connections.unwrap_or(u32::MAX).max(1),
            bodies: part(16).unwrap_or(unbounded),
            collected: part(10).unwrap_or(DEFAULT_COLLECTED),
            answers: part(16).unwrap_or(unbounded),
        }
    }
}

#[derive(Clone, Debug)]
struct MemoryHolder {
    stage: HolderStage,
    body: u64,
    answer: u64,
    /// When the caller last sent or took something, or began to be idle.
    progressed_at: ClockInstant,
    /// Whether it was told to give way.
    yields: bool,
}

impl MemoryHolder {
    fn size(&self, memory: MemoryUse) -> u64 {
        match memory {
            MemoryUse::Connection => CONNECTION_BYTES,
            MemoryUse::Body => self.body,
            MemoryUse::Answer => self.answer,
        }
    }

    fn size_mut(&mut self, memory: MemoryUse) -> Option<&mut u64> {
        match memory {
            MemoryUse::Connection => None,
            MemoryUse::Body => Some(&mut self.body),
            MemoryUse::Answer => Some(&mut self.answer),
        }
    }

    /// Returns how it would give way; `None` if it must not.
    fn way(&self, memory: MemoryUse, now: ClockInstant) -> Option<GivingWay> {
        let is_stalled = now.since(self.progressed_at) >= STALL_TIME;
        match (memory, self.stage) {
            _ if self.yields || self.size(memory) == 0 => None,
            (MemoryUse::Connection, HolderStage::Idle { served: false })
                if now.since(self.progressed_at) < HEAD_TIME =>
            {
                None
            }
            (MemoryUse::Connection, HolderStage::Waiting { .. }) => Some(GivingWay::Refuse),
            (MemoryUse::Connection, HolderStage::Idle { .. }) if self.answer == 0 => {
                Some(GivingWay::Close)
            }
            (MemoryUse::Connection, HolderStage::Idle { .. } | HolderStage::Answering) => {
                (is_stalled && self.answer > 0).then_some(GivingWay::Close)
            }
            (MemoryUse::Connection, HolderStage::Receiving { .. }) => {
                is_stalled.then_some(GivingWay::Refuse)
            }
            (MemoryUse::Body, HolderStage::Receiving { .. } | HolderStage::Waiting { .. }) => {
                Some(GivingWay::Refuse)
            }
            (MemoryUse::Answer, HolderStage::Idle { .. } | HolderStage::Answering) => {
                Some(GivingWay::Close)
            }
            _ => None,
        }
    }

    /// Returns the rank in which it gives way, the highest first: its class, what counts within the
    /// class, and for how long its caller made no progress. Connections: those stalled in a body or
    /// an answer, those without a first head, those that are idle, and then requests that wait, by
    /// priority. Bodies: stalled ones, then by priority. Answers: one class.
    fn rank(&self, memory: MemoryUse, now: ClockInstant) -> (u8, u64, Duration) {
        let idle = now.since(self.progressed_at);
        let is_stalled = idle >= STALL_TIME;
        match (memory, self.stage) {
            (MemoryUse::Connection, HolderStage::Idle { served: false }) => {
                (if is_stalled { 3 } else { 2 }, 0, idle)
            }
            (MemoryUse::Connection, HolderStage::Waiting { priority }) => {
                (0, u64::from(priority), idle)
            }
            (MemoryUse::Connection, HolderStage::Idle { served: true }) if self.answer == 0 => {
                (1, 0, idle)
            }
            (MemoryUse::Connection, _) => (4, 0, idle),
            (MemoryUse::Body, HolderStage::Receiving { .. }) if is_stalled => {
                (u8::MAX, self.body, idle)
            }
            (
                MemoryUse::Body,
                HolderStage::Receiving { priority } | HolderStage::Waiting { priority },
            ) => (priority, self.body, idle),
            _ => (0, 0, idle),
        }
    }
}

/// The memory that a host holds for its callers.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    bounds: BudgetBounds,
    holders: SlotMap<HolderKey, MemoryHolder>,
    bodies: u64,
    answers: u64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self { bounds, holders: SlotMap::with_key(), bodies: 0, answers: 0 }
    }

    /// Returns what is held for a use.
    pub fn used(&self, memory: MemoryUse) -> ByteSize {
        let holders = u64::try_from(self.holders.len()).unwrap_or(u64::MAX);
        ByteSize(match memory {
            MemoryUse::Connection => holders.saturating_mul(CONNECTION_BYTES),
            MemoryUse::Body => self.bodies,
            MemoryUse::Answer => self.answers,
        })
    }

    /// Adds a connection on which nothing has arrived yet.
    pub fn add(&mut self, now: ClockInstant) -> HolderKey {
        self.holders.insert(MemoryHolder {
            stage: HolderStage::Idle { served: false },
            body: 0,
            answer: 0,
            progressed_at: now,
            yields: false,
        })
    }

    /// Removes a connection that was closed, with all that it held.
    pub fn remove(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(key) {
            self.bodies -= holder.body;
            self.answers -= holder.answer;
        }
    }

    /// Returns whether another connection can be accepted.
    pub fn has_place(&self) -> bool {
        self.holders.len() < usize::try_from(self.bounds.connections).unwrap_or(usize::MAX)
    }

    /// Returns who gives way to another connection; `None` if nobody has to or can.
    pub fn make_place(&mut self, now: ClockInstant) -> Option<YieldOrder> {
        if self.has_place() { None } else { self.yield_one(MemoryUse::Connection, now) }
    }

    /// Notes that the head of a request of this priority has arrived.
    pub fn begin(&mut self, key: HolderKey, priority: u8, now: ClockInstant) {
        self.set_stage(key, HolderStage::Receiving { priority }, now);
    }

    /// Notes that the request is complete.
    pub fn note_complete(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key)
            && let HolderStage::Receiving { priority } = holder.stage
        {
            holder.stage = HolderStage::Waiting { priority };
        }
    }

    /// Returns whether a connection was told to give way.
    pub fn yields(&self, key: HolderKey) -> bool {
        self.holders.get(key).is_some_and(|holder| holder.yields)
    }

    /// Notes that an upstream may get the request from now on, unless it was told to give way;
    /// returns whether the upstream may.
    pub fn note_sent(&mut self, key: HolderKey) -> bool {
        let Some(holder) = self.holders.get_mut(key) else { return true };
        // A stream that is resumed elsewhere goes on being answered.
        let is_unsent =
            matches!(holder.stage, HolderStage::Receiving { .. } | HolderStage::Waiting { .. });
        if !holder.yields && is_unsent {
            holder.stage = HolderStage::Sent;
        }
        !holder.yields
    }

    /// Notes that the answer goes to the caller from now on.
    pub fn note_answer(&mut self, key: HolderKey, now: ClockInstant) {
        self.set_stage(key, HolderStage::Answering, now);
    }

    /// Notes that the answer is complete, though the caller may not have taken all of it.
    pub fn note_idle(&mut self, key: HolderKey, now: ClockInstant) {
        self.set_stage(key, HolderStage::Idle { served: true }, now);
    }

    /// Notes that the caller sent or took something.
    pub fn note_progress(&mut self, key: HolderKey, now: ClockInstant) {
        if let Some(holder) = self.holders.get_mut(key)
            && !matches!(holder.stage, HolderStage::Idle { .. } if holder.answer == 0)
        {
            holder.progressed_at = now;
        }
    }

    /// Adds `size` to what a connection holds, and returns who gives way so that all fit: possibly
    /// this connection itself.
    pub fn grow(
        &mut self,
        key: HolderKey,
        memory: MemoryUse,
        size: ByteSize,
        now: ClockInstant,
    ) -> Vec<YieldOrder> {
        let holder = self.holders.get_mut(key).filter(|holder| !holder.yields);
        let Some(held) = holder.and_then(|holder| holder.size_mut(memory)) else {
            return Vec::new();
        };
        *held += size.0;
        *self.total_mut(memory) += size.0;
        let mut orders = Vec::new();
        while self.is_exceeded(memory)
            && let Some(order) = self.yield_one(memory, now)
        {
            orders.push(order);
        }
        orders
    }

    /// Takes `size` from what a connection holds. What gave way is no longer counted.
    pub fn shrink(&mut self, key: HolderKey, memory: MemoryUse, size: ByteSize) {
        let Some(held) = self.holders.get_mut(key).and_then(|holder| holder.size_mut(memory))
        else {
            return;
        };
        let released = size.0.min(*held);
        *held -= released;
        *self.total_mut(memory) -= released;
    }

    fn set_stage(&mut self, key: HolderKey, stage: HolderStage, now: ClockInstant) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.stage = stage;
            // A caller that sends more requests and takes no answer makes no progress.
            if holder.answer == 0 {
                holder.progressed_at = now;
            }
        }
    }

    fn total_mut(&mut self, memory: MemoryUse) -> &mut u64 {
        if memory == MemoryUse::Answer { &mut self.answers } else { &mut self.bodies }
    }

    /// Returns whether a bound is exceeded by more than one holder: a single one is served.
    fn is_exceeded(&self, memory: MemoryUse) -> bool {
        let bound = match memory {
            MemoryUse::Connection => return !self.has_place(),
            MemoryUse::Body => self.bounds.bodies,
            MemoryUse::Answer => self.bounds.answers,
        };
        let used = self.used(memory).0;
        used > bound.0 && self.holders.values().all(|holder| holder.size(memory) < used)
    }

    /// Tells the holder that comes first to give way, and counts what it held as free.
    fn yield_one(&mut self, memory: MemoryUse, now: ClockInstant) -> Option<YieldOrder> {
        let holders = self.holders.iter();
        let candidates =
            holders.filter_map(|(key, holder)| Some((key, holder, holder.way(memory, now)?)));
        let (key, _, how) = candidates.max_by_key(|(_, holder, _)| holder.rank(memory, now))?;
        let holder = &mut self.holders[key];
        holder.yields = true;
        let size = ByteSize(holder.size(memory));
        self.bodies -= std::mem::take(&mut holder.body);
        self.answers -= std::mem::take(&mut holder.answer);
        Some(YieldOrder { holder: key, how, memory, size })
    }
}
