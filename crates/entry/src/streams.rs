//! Registry of the event streams that are open on this daemon.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use slab::Slab;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::context::SharedContext;
use crate::relay::RelayStream;

/// Interval at which all open streams are checked.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);

type StreamSlab = Mutex<Slab<Arc<RelayStream>>>;

/// Registry of open event streams. Clones share their content.
#[derive(Clone, Default)]
pub struct OpenStreams(Arc<StreamSlab>);

/// Registration of a stream, which ends when it is dropped.
pub struct StreamRegistration {
    streams: Weak<StreamSlab>,
    key: usize,
}

impl OpenStreams {
    /// Adds a stream.
    pub fn register(&self, stream: Arc<RelayStream>) -> StreamRegistration {
        let key = lock(&self.0).insert(stream);
        StreamRegistration { streams: Arc::downgrade(&self.0), key }
    }

    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        lock(&self.0).len()
    }

    /// Checks all open streams for timeouts, deadlines and withdrawn keys.
    pub fn check_all(&self) {
        // Checks may take long; releasing the lock lets streams open and close meanwhile.
        let streams: Vec<_> = lock(&self.0).iter().map(|(_, stream)| stream.clone()).collect();
        streams.iter().for_each(|stream| stream.check());
    }
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        if let Some(streams) = self.streams.upgrade() {
            lock(&streams).try_remove(self.key);
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

/// Checks streams periodically and at once when the configuration changes, until `ended`.
///
/// Also closes idle connections to upstreams.
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
