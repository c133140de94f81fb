//! The streams that are open on this daemon.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use slab::Slab;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::context::SharedContext;
use crate::relay::RelayStream;

/// Time between two looks at every open stream.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);

type StreamSlab = Mutex<Slab<Arc<RelayStream>>>;

/// The streams that are open on this daemon. Clones share the same streams.
#[derive(Clone, Default)]
pub struct OpenStreams(Arc<StreamSlab>);

/// A stream's place; given up when dropped.
pub struct StreamTicket {
    streams: Weak<StreamSlab>,
    place: usize,
}

impl OpenStreams {
    /// Adds a stream.
    pub fn register(&self, stream: Arc<RelayStream>) -> StreamTicket {
        let place = lock(&self.0).insert(stream);
        StreamTicket { streams: Arc::downgrade(&self.0), place }
    }

    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        lock(&self.0).len()
    }

    /// Checks every stream.
    pub fn check_all(&self) {
        // Checks may take long; streams open and close meanwhile.
        let streams: Vec<_> = lock(&self.0).iter().map(|(_, stream)| stream.clone()).collect();
        streams.iter().for_each(|stream| stream.check());
    }
}

impl Drop for StreamTicket {
    fn drop(&mut self) {
        if let Some(streams) = self.streams.upgrade() {
            lock(&streams).try_remove(self.place);
        }
    }
}

fn lock(streams: &StreamSlab) -> MutexGuard<'_, Slab<Arc<RelayStream>>> {
    streams.lock().unwrap_or_else(PoisonError::into_inner)
}

impl fmt::Debug for OpenStreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OpenStreams({})", self.count())
    }
}

/// Checks streams and idle connections until `ended`, and at once when the configuration changes.
pub async fn sweep_streams(context: SharedContext, ended: CancellationToken) {
    let mut changes = context.ports.configuration.subscribe();
    let mut ticks = interval(SWEEP_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            _ = ticks.tick() => context.pool.sweep(),
            Ok(()) = changes.changed() => (),
            () = ended.cancelled() => return,
        }
        context.streams.check_all();
    }
}
