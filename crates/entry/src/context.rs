//! What every request needs of the daemon.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterellane_fleet::FleetPorts;
use dotterellane_platform::PlatformTable;
use dotterellane_units::{ByteSize, ClockInstant, HostId};
use dotterellane_upstream::UpstreamPool;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::crashes::CrashWatch;
use crate::streams::OpenStreams;
use crate::tls::TlsIdentity;

/// Bounds on what one caller or upstream can take.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Largest request body.
    pub body: ByteSize,
    /// Largest answer that is held whole before it is passed on.
    pub answer: ByteSize,
    /// Largest sum of request headers.
    pub headers: ByteSize,
    /// Open connections of callers.
    pub connections: usize,
    /// Time for the head of a request.
    pub head_timeout: Duration,
    /// Time for the body of a request.
    pub body_timeout: Duration,
    /// Time for which a caller may accept no data.
    pub write_timeout: Duration,
    /// Time until a connection to an upstream is open.
    pub connect_timeout: Duration,
    /// Time until a stream's head, and between two of its chunks.
    pub idle_timeout: Duration,
    /// Attempts of one request, the first included.
    pub attempts: u32,
    /// Time for which a daemon that shuts down still accepts connections.
    pub shutdown_delay: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body: ByteSize::mebibytes(8),
            answer: ByteSize::mebibytes(64),
            headers: ByteSize(32 << 10),
            connections: 20_000,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(20),
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
            attempts: 3,
            shutdown_delay: Duration::from_secs(5),
        }
    }
}

/// What every request needs of the daemon.
#[derive(Clone, Debug)]
pub struct EntryContext {
    /// The fleet.
    pub ports: FleetPorts,
    /// Table that keeps the records of once-only calls.
    pub table: PlatformTable,
    /// Name of this host.
    pub host: HostId,
    /// Bounds.
    pub limits: EntryLimits,
    /// Connections to upstreams.
    pub pool: UpstreamPool,
    /// Streams that are open.
    pub streams: OpenStreams,
    /// Requests that may crash upstreams.
    pub crashes: CrashWatch,
    /// Certificate; plain HTTP without it.
    pub tls: Option<TlsIdentity>,
    /// Cancelled once the host is leaving and the balancer must send nothing new.
    pub leaving: CancellationToken,
    /// Work that goes on when its caller has left, and that a shutdown waits for.
    pub tasks: TaskTracker,
    /// Returns the seconds since the Unix epoch; keys expire by it.
    pub epoch_seconds: fn() -> u64,
}

impl EntryContext {
    /// Builds a context with the usual limits.
    pub fn new(ports: FleetPorts, table: PlatformTable, host: HostId) -> Self {
        Self {
            ports,
            table,
            host,
            limits: EntryLimits::default(),
            pool: UpstreamPool::default(),
            streams: OpenStreams::default(),
            crashes: CrashWatch::default(),
            tls: None,
            leaving: CancellationToken::new(),
            tasks: TaskTracker::new(),
            epoch_seconds: system_epoch_seconds,
        }
    }

    /// Sets the bounds.
    #[must_use]
    pub fn with_limits(mut self, limits: EntryLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the certificate.
    #[must_use]
    pub fn with_tls(mut self, tls: TlsIdentity) -> Self {
        self.tls = Some(tls);
        self
    }

    /// Sets how crashes seen here reach the other hosts.
    #[must_use]
    pub fn with_crashes(mut self, crashes: CrashWatch) -> Self {
        self.crashes = crashes;
        self
    }

    /// Returns the time left until `deadline`.
    pub fn time_left(&self, deadline: ClockInstant) -> Duration {
        deadline.since(self.ports.clock.now())
    }
}

/// A context that the tasks of one server share.
pub type SharedContext = Arc<EntryContext>;

fn system_epoch_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
