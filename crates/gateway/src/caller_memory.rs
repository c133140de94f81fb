//! Counts what a host holds for each connection of a caller, and tells those that have to give way.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dotterellane_decisions::memory_budget::{
    BudgetBounds, GivingWay, HolderKey, MemoryBudget, MemoryUse, YieldOrder,
};
use dotterellane_units::{ByteSize, ClockInstant, ClockSource};
use prometheus::{IntCounterVec, IntGaugeVec};
use slotmap::SecondaryMap;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::body::grown_capacity;

/// Minimum time between two log lines that tell who gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long a full host waits for a connection to end before it looks again.
const PLACE_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct HolderSignals {
    /// Cancelled when the connection has to close.
    closed: CancellationToken,
    /// Cancelled when the request, which has not run, has to be refused.
    refused: CancellationToken,
}

#[derive(Debug)]
struct MemoryState {
    budget: MemoryBudget,
    signals: SecondaryMap<HolderKey, HolderSignals>,
    logged_at: Option<ClockInstant>,
    /// Number of those that gave way since the last log line.
    unlogged: u64,
}

/// The memory that a host holds for its callers.
#[derive(Debug)]
pub struct CallerMemory {
    state: Mutex<MemoryState>,
    clock: ClockSource,
    place_freed: Notify,
    yielded: IntCounterVec,
    used: IntGaugeVec,
}

impl CallerMemory {
    /// Creates an account of which nothing is used. `yielded` counts those that gave way and `used`
    /// shows the memory held, both by use.
    pub fn new(
        bounds: BudgetBounds,
        clock: ClockSource,
        yielded: IntCounterVec,
        used: IntGaugeVec,
    ) -> Self {
        let state = MemoryState {
            budget: MemoryBudget::new(bounds),
            signals: SecondaryMap::new(),
            logged_at: None,
            unlogged: 0,
        };
        Self { state: Mutex::new(state), clock, place_freed: Notify::new(), yielded, used }
    }

    /// Waits until another connection has a place, while those that hold nothing but a place give
    /// way.
    pub async fn place(&self) {
        loop {
            let freed = self.place_freed.notified();
            {
                let mut state = self.lock();
                if state.budget.has_place() {
                    return;
                }
                let order = state.budget.make_place(self.clock.now());
                self.carry_out(&mut state, order.as_slice());
            }
            let _ = timeout(PLACE_INTERVAL, freed).await;
        }
    }

    /// Adds a connection.
    pub fn connect(self: &Arc<Self>) -> Arc<CallerLink> {
        let closed = CancellationToken::new();
        let signals = HolderSignals { closed: closed.clone(), refused: CancellationToken::new() };
        let mut state = self.lock();
        let key = state.budget.add(self.clock.now());
        state.signals.insert(key, signals);
        drop(state);
        Arc::new(CallerLink { memory: self.clone(), key, closed })
    }

    /// Sets the metrics of the memory held.
    pub fn show_use(&self) {
        let state = self.lock();
        for memory in MemoryUse::ALL {
            let used = i64::try_from(state.budget.used(memory).0).unwrap_or(i64::MAX);
            self.used.with_label_values(&[memory.label()]).set(used);
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn carry_out(&self, state: &mut MemoryState, orders: &[YieldOrder]) {
        for order in orders {
            self.yielded.with_label_values(&[order.memory.label()]).inc();
            state.unlogged += 1;
            if let Some(signals) = state.signals.get(order.holder) {
                match order.how {
                    GivingWay::Close => signals.closed.cancel(),
                    GivingWay::Refuse => signals.refused.cancel(),
                }
            }
        }
        let Some(last) = orders.last() else { return };
        let now = self.clock.now();
        if state.logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        state.logged_at = Some(now);
        let others = std::mem::take(&mut state.unlogged) - 1;
        spdlog::warn!("caller gave way, as its part of the memory is used up", kv: {
            memory = last.memory.label(),
            how = if last.how == GivingWay::Close { "closed" } else { "refused" },
            bytes = last.size.0,
            others = others,
            connections = state.budget.used(MemoryUse::Connection).0,
            bodies = state.budget.used(MemoryUse::Body).0,
            answers = state.budget.used(MemoryUse::Answer).0,
        });
    }
}

/// A caller's connection in the account; removed on drop.
#[derive(Debug)]
pub struct CallerLink {
    memory: Arc<CallerMemory>,
    key: HolderKey,
    closed: CancellationToken,
}

impl CallerLink {
    /// Completes when the connection has to close.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Completes when the request has to be refused as not run.
    pub async fn refused(&self) {
        let signals = self.memory.lock().signals.get(self.key).map(|one| one.refused.clone());
        match signals {
            Some(refused) => refused.cancelled().await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether the connection was told to give way.
    pub fn gives_way(&self) -> bool {
        self.memory.lock().budget.yields(self.key)
    }

    /// Notes that the head of a request of this priority has arrived.
    pub fn begin(&self, priority: u8) {
        let now = self.memory.clock.now();
        self.memory.lock().budget.begin(self.key, priority, now);
    }

    /// Notes that the request is complete.
    pub fn note_complete(&self) {
        self.memory.lock().budget.note_complete(self.key);
    }

    /// Notes that an upstream may get the request from now on; returns whether it may.
    pub fn note_sent(&self) -> bool {
        self.memory.lock().budget.note_sent(self.key)
    }

    /// Notes that the answer goes to the caller from now on.
    pub fn note_answer(&self) {
        let now = self.memory.clock.now();
        self.memory.lock().budget.note_answer(self.key, now);
    }

    /// Notes that the answer is complete.
    pub fn note_idle(&self) {
        let now = self.memory.clock.now();
        self.memory.lock().budget.note_idle(self.key, now);
    }

    /// Notes that the caller sent or took something.
    pub fn note_progress(&self) {
        let now = self.memory.clock.now();
        self.memory.lock().budget.note_progress(self.key, now);
    }

    /// Returns a reservation of nothing.
    pub fn reserve(self: &Arc<Self>, memory: MemoryUse) -> LinkReservation {
        LinkReservation { link: self.clone(), memory, size: ByteSize(0) }
    }

    /// Counts an answer until it has been written to the caller or given up.
    pub fn hold_answer(self: &Arc<Self>, answer: Bytes) -> Bytes {
        if answer.is_empty() {
            return answer;
        }
        let mut reservation = self.reserve(MemoryUse::Answer);
        reservation.resize(ByteSize(answer.len() as u64));
        Bytes::from_owner(HeldBytes { bytes: answer, _reservation: reservation })
    }
}

impl Drop for CallerLink {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.remove(self.key);
        state.signals.remove(self.key);
        drop(state);
        self.memory.place_freed.notify_one();
    }
}

/// Memory held for a caller's connection; released on drop.
#[derive(Debug)]
pub struct LinkReservation {
    link: Arc<CallerLink>,
    memory: MemoryUse,
    size: ByteSize,
}

impl LinkReservation {
    /// Changes the size. Others, or this one itself, are told to give way where it does not fit.
    pub fn resize(&mut self, size: ByteSize) {
        let memory = &self.link.memory;
        let mut state = memory.lock();
        let key = self.link.key;
        if size < self.size {
            state.budget.shrink(key, self.memory, self.size - size);
        } else {
            let orders = state.budget.grow(key, self.memory, size - self.size, memory.clock.now());
            memory.carry_out(&mut state, &orders);
        }
        self.size = size;
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        self.resize(ByteSize(0));
    }
}

/// Bytes that are counted until nobody needs them.
struct HeldBytes {
    bytes: Bytes,
    _reservation: LinkReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A buffer into which a body is copied: the pieces as received keep whole read buffers.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: LinkReservation,
    expected: Option<usize>,
    longest: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of `expected` bytes if known, else of at most `longest`.
    pub fn new(link: &Arc<CallerLink>, expected: Option<usize>, longest: usize) -> Self {
        let reservation = link.reserve(MemoryUse::Body);
        Self { bytes: Vec::new(), reservation, expected, longest }
    }

    /// Appends a piece; returns `false` if the request has to give way.
    pub fn extend(&mut self, piece: &[u8]) -> bool {
        let length = self.bytes.len() + piece.len();
        if length > self.bytes.capacity() {
            let capacity = grown_capacity(length, self.expected, self.longest);
            self.reservation.resize(ByteSize(capacity as u64));
            if self.reservation.link.gives_way() {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        true
    }

    /// Returns the body, which is counted until nobody needs it.
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        let bytes = Bytes::from(self.bytes);
        Bytes::from_owner(HeldBytes { bytes, _reservation: self.reservation })
    }
}

/// A caller's stream that notes when the caller took something.
#[derive(Debug)]
pub struct NotedStream<S> {
    stream: S,
    link: Arc<CallerLink>,
}

impl<S> NotedStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, link: Arc<CallerLink>) -> Self {
        Self { stream, link }
    }

    fn note(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.link.note_progress();
        }
    }
}

impl<S> AsyncRead for NotedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buffer)
    }
}

impl<S> AsyncWrite for NotedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buffer);
        this.note(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, buffers);
        this.note(&written);
        written
    }
}
