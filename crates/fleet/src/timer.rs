//! Periodic callbacks for the parts of a daemon.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Runs callbacks at fixed intervals until it is stopped. Clones share the same service.
#[derive(Clone, Debug, Default)]
pub struct TimerService {
    stopped: CancellationToken,
}

/// A subscription; dropping it ends the calls.
#[derive(Debug)]
pub struct TimerSubscription {
    _stopped: tokio_util::sync::DropGuard,
}

impl TimerService {
    /// Calls `action` every `period` until the subscription is dropped or the service stops.
    ///
    /// The first call comes at once. Calls that were missed are skipped, not made up for.
    ///
    /// # Panics
    /// Panics if called outside a `tokio` runtime; with a period of zero, the spawned task panics.
    #[must_use]
    pub fn subscribe<A>(&self, period: Duration, mut action: A) -> TimerSubscription
    where
        A: FnMut() + Send + 'static,
    {
        let stopped = self.stopped.child_token();
        let guard = stopped.clone().drop_guard();
        tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
            while let Some(_tick) = stopped.run_until_cancelled(ticks.tick()).await {
                action();
            }
        });
        TimerSubscription { _stopped: guard }
    }

    /// Ends every subscription.
    pub fn stop(&self) {
        self.stopped.cancel();
    }
}
