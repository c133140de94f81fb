//! Tells the crash machine what runs where, and what broke.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::quarantine::{CrashReport, CrashTracker, RequestFingerprint};
use dotterellane_units::{ClockInstant, UpstreamId};
use dotterellane_upstream::CallFault;
use dotterellane_upstream::connect::connect_tcp;
use tokio::time::{sleep, timeout};

use crate::admission::deadline_exceeded;
use crate::completion::CompletionCall;
use crate::context::EntryContext;
use crate::refusal::{EntryRefusal, RefusalKind};

/// Time in which a runner that is alive accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before a suspect looks again for a runner without another suspect.
const ISOLATION_PAUSE: Duration = Duration::from_millis(20);

type ReportCall = dyn Fn(CrashReport) + Send + Sync;

/// The crash machine of this daemon. Clones share the same machine.
#[derive(Clone)]
pub struct CrashWatch {
    machine: Arc<Mutex<CrashTracker>>,
    publish: Arc<ReportCall>,
}

impl Default for CrashWatch {
    fn default() -> Self {
        Self { machine: Arc::default(), publish: Arc::new(|_| ()) }
    }
}

impl CrashWatch {
    /// Sets how crashes seen here are told to the other hosts.
    #[must_use]
    pub fn with_publisher<P>(mut self, publish: P) -> Self
    where
        P: Fn(CrashReport) + Send + Sync + 'static,
    {
        self.publish = Arc::new(publish);
        self
    }

    /// Takes a crash that another host saw.
    pub fn absorb(&self, now: ClockInstant, report: &CrashReport) {
        self.machine().absorb(now, report);
    }

    fn machine(&self) -> MutexGuard<'_, CrashTracker> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for CrashWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CrashWatch")
    }
}

/// One request at one runner; ends when dropped.
#[derive(Debug)]
pub struct FlightHold {
    watch: CrashWatch,
    fingerprint: RequestFingerprint,
    runner: UpstreamId,
    address: SocketAddr,
    open: bool,
}

impl FlightHold {
    /// Returns the runner.
    pub fn runner(&self) -> &UpstreamId {
        &self.runner
    }

    /// Clears the request of suspicion: it ran to its end and succeeded.
    pub fn completed(mut self, now: ClockInstant) {
        self.open = false;
        let cleared = self.watch.machine().note_success(now, self.fingerprint, &self.runner);
        if let Some(report) = cleared {
            (self.watch.publish)(report);
        }
    }
}

impl Drop for FlightHold {
    fn drop(&mut self) {
        if self.open {
            self.watch.machine().note_end(self.fingerprint, &self.runner);
        }
    }
}

/// Returns the fingerprint of a request.
pub fn fingerprint(path: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(path.as_bytes());
    hasher.update(body);
    let mut start = [0; 16];
    start.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    RequestFingerprint(u128::from_le_bytes(start))
}

/// Refuses a request that crashed two upstreams.
///
/// # Errors
/// Refuses if the request is quarantined.
pub fn check_quarantine(
    context: &EntryContext,
    call: &CompletionCall,
    reached: bool,
) -> Result<(), EntryRefusal> {
    let now = context.ports.clock.now();
    if !context.crashes.machine().is_quarantined(now, call.fingerprint) {
        return Ok(());
    }
    let message =
        "this request was running each time that two upstreams crashed; it is not run again";
    Err(EntryRefusal::before_sending(RefusalKind::Quarantined, message).with_reached(reached))
}

/// Notes that a request goes to a runner; `None` while it must not share that runner.
pub fn enter_flight(
    context: &EntryContext,
    call: &CompletionCall,
    runner: &UpstreamId,
    address: SocketAddr,
) -> Option<FlightHold> {
    let now = context.ports.clock.now();
    let entered = context.crashes.machine().try_start(now, call.fingerprint, runner);
    entered.then(|| FlightHold {
        watch: context.crashes.clone(),
        fingerprint: call.fingerprint,
        runner: runner.clone(),
        address,
        open: true,
    })
}

/// Pauses a suspect whose runners are all taken by other ones.
///
/// # Errors
/// Refuses when the deadline has passed.
pub async fn wait_for_isolation(
    context: &EntryContext,
    call: &CompletionCall,
    reached: bool,
) -> Result<(), EntryRefusal> {
    if context.time_left(call.deadline).is_zero() {
        return Err(deadline_exceeded().with_reached(reached));
    }
    sleep(ISOLATION_PAUSE).await;
    Ok(())
}

/// Finds out whether a connection broke because its runner crashed, and says so to the fleet.
pub async fn report_break(context: &EntryContext, flight: FlightHold, fault: CallFault) {
    if !matches!(fault, CallFault::Broken | CallFault::Incomplete) {
        return;
    }
    // A runner that still accepts connections has not crashed.
    let probe = timeout(PROBE_TIMEOUT, connect_tcp(flight.address)).await;
    let refused =
        matches!(probe, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused);
    if !refused {
        return;
    }
    let now = context.ports.clock.now();
    let reports = context.crashes.machine().note_crash(now, flight.fingerprint, &flight.runner);
    if reports.is_empty() {
        return;
    }
    spdlog::warn!("{} crashed; what was running there is suspect", flight.runner);
    reports.into_iter().for_each(|report| (context.crashes.publish)(report));
}
