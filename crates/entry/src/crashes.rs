//! Detects requests that crash runners and quarantines them.
//!
//! A request that was running on a runner when it crashed is a suspect. Suspects are sent only to
//! runners that serve no other suspect, so that a further crash shows which one caused it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::quarantine::{
    CrashReport, CrashTracker, RequestFingerprint, UpstreamStart,
};
use dotterellane_units::{ClockInstant, UpstreamId};
use dotterellane_upstream::CallFault;
use dotterellane_upstream::connect::connect_tcp;
use tokio::time::{sleep, timeout};

use crate::admission::deadline_exceeded;
use crate::completion::CompletionCall;
use crate::context::EntryContext;
use crate::refusal::{EntryRefusal, RefusalKind};

/// Time within which a probed runner must accept or refuse a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a suspect looks for a runner that serves no other suspect.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

type PublishReport = dyn Fn(CrashReport) + Send + Sync;

/// Crash detection of this daemon. Clones share their state.
#[derive(Clone)]
pub struct CrashWatch {
    tracker: Arc<Mutex<CrashTracker>>,
    publish: Arc<PublishReport>,
}

impl Default for CrashWatch {
    fn default() -> Self {
        Self { tracker: Arc::default(), publish: Arc::new(|_| ()) }
    }
}

impl CrashWatch {
    /// Sets the function that sends crash reports to the other hosts.
    #[must_use]
    pub fn with_publisher<P>(mut self, publish: P) -> Self
    where
        P: Fn(CrashReport) + Send + Sync + 'static,
    {
        self.publish = Arc::new(publish);
        self
    }

    /// Applies a crash report from another host.
    pub fn absorb(&self, now: ClockInstant, report: &CrashReport) {
        self.tracker().absorb(now, report);
    }

    fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for CrashWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CrashWatch")
    }
}

/// Registers a request as running on a runner until it is dropped.
#[derive(Debug)]
pub struct AttemptGuard {
    watch: CrashWatch,
    fingerprint: RequestFingerprint,
    runner: UpstreamStart,
    address: SocketAddr,
    open: bool,
}

impl AttemptGuard {
    /// Returns the runner that the request was sent to.
    pub fn runner(&self) -> &UpstreamId {
        &self.runner.upstream
    }

    /// Ends the attempt as successful, which clears the request of suspicion.
    pub fn completed(mut self, now: ClockInstant) {
        self.open = false;
        let cleared =
            self.watch.tracker().note_success(now, &self.fingerprint.into(), &self.runner);
        if let Some(report) = cleared {
            (self.watch.publish)(report);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.open {
            self.watch.tracker().note_end(self.fingerprint, &self.runner);
        }
    }
}

/// Returns the digest that identifies a request on all hosts.
pub fn fingerprint(path: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(path.as_bytes());
    hasher.update(body);
    let mut start = [0; 16];
    start.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    RequestFingerprint(u128::from_le_bytes(start))
}

/// Checks that a request is not quarantined for crashing upstreams.
///
/// # Errors
/// Refuses if the request is quarantined.
pub fn check_quarantine(
    context: &EntryContext,
    call: &CompletionCall,
    reached: bool,
) -> Result<(), EntryRefusal> {
    let now = context.ports.clock.now();
    if !context.crashes.tracker().is_quarantined(now, &call.fingerprint.into()) {
        return Ok(());
    }
    let message =
        "this request was running each time that two upstreams crashed; it is not run again";
    Err(EntryRefusal::before_sending(RefusalKind::Quarantined, message).with_reached(reached))
}

/// Registers a request as running on a runner.
///
/// Returns `None` if the request is a suspect and must not run beside another suspect there.
pub fn begin_attempt(
    context: &EntryContext,
    call: &CompletionCall,
    runner: &UpstreamId,
    address: SocketAddr,
) -> Option<AttemptGuard> {
    let now = context.ports.clock.now();
    let runner = UpstreamStart { upstream: runner.clone(), started_at: None };
    let started = context.crashes.tracker().try_start(now, &call.fingerprint.into(), &runner);
    started.then(|| AttemptGuard {
        watch: context.crashes.clone(),
        fingerprint: call.fingerprint,
        runner,
        address,
        open: true,
    })
}

/// Waits until a suspect may look for a runner again, while all of them serve other suspects.
///
/// # Errors
/// Refuses if the deadline has passed.
pub async fn wait_for_isolation(
    context: &EntryContext,
    call: &CompletionCall,
    reached: bool,
) -> Result<(), EntryRefusal> {
    if context.time_left(call.deadline).is_zero() {
        return Err(deadline_exceeded().with_reached(reached));
    }
    sleep(ISOLATION_POLL_INTERVAL).await;
    Ok(())
}

/// Probes the runner after its connection broke; if it has crashed, reports that to the fleet.
pub async fn report_if_crashed(context: &EntryContext, attempt: AttemptGuard, fault: CallFault) {
    if !matches!(fault, CallFault::Broken | CallFault::Incomplete) {
        return;
    }
    // Only a refused connection shows that the runner's process is gone.
    let probe = timeout(PROBE_TIMEOUT, connect_tcp(attempt.address)).await;
    let refused =
        matches!(probe, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused);
    if !refused {
        return;
    }
    let now = context.ports.clock.now();
    let reports =
        context.crashes.tracker().note_crash(now, &attempt.fingerprint.into(), &attempt.runner);
    if reports.is_empty() {
        return;
    }
    spdlog::warn!("{} crashed; requests running there are now suspects", attempt.runner.upstream);
    reports.into_iter().for_each(|report| (context.crashes.publish)(report));
}
