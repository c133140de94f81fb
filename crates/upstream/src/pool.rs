//! Pool of idle connections to upstreams.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use crate::head_limit::HeadLimit;

/// Time after which an idle connection is closed instead of reused.
pub const MAX_IDLE: Duration = Duration::from_secs(5);

/// Maximum number of idle connections kept per address.
pub const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Sender half of an HTTP/1.1 connection.
pub(crate) type ConnectionSender = SendRequest<Full<Bytes>>;

/// A connection for one call, taken from the pool or newly opened.
pub(crate) struct PooledConnection {
    pub(crate) sender: ConnectionSender,
    pub(crate) head_limit: HeadLimit,
    pub(crate) address: SocketAddr,
    pub(crate) generation: u64,
    pub(crate) reused: bool,
}

struct IdleConnection {
    sender: ConnectionSender,
    head_limit: HeadLimit,
    since: Instant,
}

#[derive(Default)]
struct AddressPool {
    generation: u64,
    idle: Vec<IdleConnection>,
}

/// Idle connections by address. Clones share the same pool.
///
/// Each address has a generation. [`Self::invalidate`] starts a new one, and connections of an
/// older generation are not accepted back.
#[derive(Clone, Default)]
pub struct UpstreamPool(Arc<Mutex<HashMap<SocketAddr, AddressPool>>>);

impl UpstreamPool {
    /// Closes all idle connections to `address` and keeps those in use from returning to the pool.
    ///
    /// Called when a connection times out: the others run through the same middleboxes, which may
    /// have dropped their state too.
    pub fn invalidate(&self, address: SocketAddr) {
        let mut pools = self.pools();
        let pool = pools.entry(address).or_default();
        pool.generation += 1;
        pool.idle.clear();
    }

    /// Closes connections that are closed by their peer or have been idle for [`MAX_IDLE`].
    pub fn sweep(&self) {
        let now = Instant::now();
        for pool in self.pools().values_mut() {
            pool.idle.retain(|idle| is_reusable(idle, now));
        }
    }

    /// Returns the number of idle connections to `address`.
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        self.pools().get(&address).map_or(0, |pool| pool.idle.len())
    }

    pub(crate) fn take(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut pools = self.pools();
        let pool = pools.get_mut(&address)?;
        pool.idle.retain(|idle| is_reusable(idle, now));
        let index = pool.idle.iter().rposition(|idle| idle.sender.is_ready())?;
        let IdleConnection { sender, head_limit, .. } = pool.idle.swap_remove(index);
        let generation = pool.generation;
        Some(PooledConnection { sender, head_limit, address, generation, reused: true })
    }

    pub(crate) fn generation(&self, address: SocketAddr) -> u64 {
        self.pools().get(&address).map_or(0, |pool| pool.generation)
    }

    pub(crate) fn put(&self, connection: PooledConnection) {
        let mut pools = self.pools();
        let pool = pools.entry(connection.address).or_default();
        if pool.generation != connection.generation || pool.idle.len() >= MAX_IDLE_PER_ADDRESS {
            return;
        }
        let PooledConnection { sender, head_limit, .. } = connection;
        pool.idle.push(IdleConnection { sender, head_limit, since: Instant::now() });
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, AddressPool>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_reusable(idle: &IdleConnection, now: Instant) -> bool {
    !idle.sender.is_closed() && now.duration_since(idle.since) < MAX_IDLE
}

impl fmt::Debug for UpstreamPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("UpstreamPool")
    }
}
