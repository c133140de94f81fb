//! The memory shared by all responses of a host that are read completely.
//!
//! When it is used up, the upstream whose responses use most gives way with its longest one. So an
//! upstream that sends without end takes nothing from the responses of others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use dotterellane_units::ByteSize;
use slotmap::{SlotMap, new_key_type};
use tokio_util::sync::CancellationToken;

/// Size up to which a response does not count against the shared memory.
const FREE_SIZE: ByteSize = ByteSize(8 << 10);

/// Memory that all responses together may use beyond their free part, unless stated.
const DEFAULT_SIZE: ByteSize = ByteSize(24 << 20);

new_key_type! {
    /// Identifies a response that is being read.
    struct ResponseKey;
}

#[derive(Debug)]
struct ReservedMemory {
    peer: SocketAddr,
    size: ByteSize,
    revoked: CancellationToken,
}

#[derive(Debug, Default)]
struct MemoryState {
    responses: SlotMap<ResponseKey, ReservedMemory>,
    /// Sum of their sizes.
    total: ByteSize,
}

impl MemoryState {
    fn set_size(&mut self, key: ResponseKey, size: ByteSize) {
        if let Some(one) = self.responses.get_mut(key) {
            self.total = ByteSize(self.total.0 - one.size.0 + size.0);
            one.size = size;
        }
    }

    /// Returns the longest response of the upstream whose responses use most.
    fn find_longest(&self) -> Option<ResponseKey> {
        let mut by_peer: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for one in self.responses.values() {
            *by_peer.entry(one.peer).or_default() += one.size.0;
        }
        let (peer, _) = by_peer.into_iter().max_by_key(|(_, size)| *size)?;
        let of_peer = self.responses.iter().filter(|(_, one)| one.peer == peer);
        of_peer.max_by_key(|(_, one)| one.size).map(|(key, _)| key)
    }
}

/// The memory that buffered responses of all requests share.
#[derive(Debug)]
pub struct ResponseMemory {
    state: Mutex<MemoryState>,
    bound: ByteSize,
}

impl Default for ResponseMemory {
    fn default() -> Self {
        Self::new(DEFAULT_SIZE)
    }
}

impl ResponseMemory {
    /// Returns a memory of `bound`, of which nothing is used.
    pub fn new(bound: ByteSize) -> Self {
        Self { state: Mutex::default(), bound }
    }

    /// Returns a reservation of nothing for a response of `peer`.
    pub fn open(&self, peer: SocketAddr) -> MemoryReservation<'_> {
        let revoked = CancellationToken::new();
        let reserved = ReservedMemory { peer, size: ByteSize(0), revoked: revoked.clone() };
        let key = self.lock().responses.insert(reserved);
        MemoryReservation { memory: self, key, revoked }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of the shared memory that one response uses; released on drop.
#[derive(Debug)]
pub struct MemoryReservation<'a> {
    memory: &'a ResponseMemory,
    key: ResponseKey,
    revoked: CancellationToken,
}

impl MemoryReservation<'_> {
    /// Grows the reservation to what a response of `length` needs, and revokes reservations, which
    /// may include this one, until all fit.
    pub fn grow(&self, length: ByteSize) {
        if length <= FREE_SIZE || self.is_revoked() {
            return;
        }
        let mut state = self.memory.lock();
        state.set_size(self.key, ByteSize(length.0 - FREE_SIZE.0));
        while state.total > self.memory.bound {
            let Some(longest) = state.find_longest() else { return };
            state.set_size(longest, ByteSize(0));
            state.responses[longest].revoked.cancel();
        }
    }

    /// Completes when the response has to give way; what was read of it must be dropped then.
    pub async fn revoked(&self) {
        self.revoked.cancelled().await;
    }

    /// Returns whether the response has to give way.
    pub fn is_revoked(&self) -> bool {
        self.revoked.is_cancelled()
    }
}

impl Drop for MemoryReservation<'_> {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.set_size(self.key, ByteSize(0));
        state.responses.remove(self.key);
    }
}
