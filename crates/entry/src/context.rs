//! Shared state and limits of the entry.
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

/// Limits on the resources and time that callers and upstreams may use.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Largest request body.
    pub body: ByteSize,
    /// Largest response body that is buffered before it is forwarded.
    pub buffered_response: ByteSize,
    /// Largest total size of a request's headers.
    pub headers: ByteSize,
    /// Largest number of open connections from callers.
    pub connections: usize,
    /// Time within which the head of a request, or a TLS handshake, must be complete.
    pub head_timeout: Duration,
    /// Time within which the body of a request must be complete.
    pub body_timeout: Duration,
    /// Time after which a caller that accepts no data is disconnected.
    pub write_timeout: Duration,
    /// Time within which a connection to an upstream must be established.
    pub connect_timeout: Duration,
    /// Longest time until the head of a streamed response, and between two of its chunks.
    pub idle_timeout: Duration,
    /// Largest number of attempts per request, including the first.
    pub attempts: u32,
    /// Time for which a daemon that shuts down still accepts connections, while load balancers
    /// notice that it is not ready any more.
    pub shutdown_delay: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body: ByteSize::mebibytes(8),
            buffered_response: ByteSize::mebibytes(64),
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

/// State that all requests of an entry share.
#[derive(Clone, Debug)]
pub struct EntryContext {
    /// Configuration, freshness, rate limits and dispatch of the fleet.
    pub ports: FleetPorts,
    /// Table that stores the records of once-only calls.
    pub table: PlatformTable,
    /// Id of this host.
    pub host: HostId,
    /// Limits that apply to callers and upstreams.
    pub limits: EntryLimits,
    /// Pool of connections to upstreams.
    pub pool: UpstreamPool,
    /// Open event streams to callers.
    pub streams: OpenStreams,
    /// Detection of requests that crash runners.
    pub crashes: CrashWatch,
    /// Certificate for callers' connections, `None` to serve plain HTTP.
    pub tls: Option<TlsIdentity>,
    /// Cancelled when the host is shutting down and load balancers must stop sending requests.
    pub leaving: CancellationToken,
    /// Connections and background tasks that a shutdown waits for.
    pub tasks: TaskTracker,
    /// Returns the time in seconds since the Unix epoch, by which keys expire.
    pub epoch_seconds: fn() -> u64,
}

impl EntryContext {
    /// Creates a context with default limits and without TLS.
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

    /// Sets the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: EntryLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Serves callers over TLS with the given certificate.
    #[must_use]
    pub fn with_tls(mut self, tls: TlsIdentity) -> Self {
        self.tls = Some(tls);
        self
    }

    /// Sets the crash detection, including how crashes are reported to other hosts.
    #[must_use]
    pub fn with_crashes(mut self, crashes: CrashWatch) -> Self {
        self.crashes = crashes;
        self
    }

    /// Returns the time left until `deadline`, zero if it has passed.
    pub fn time_left(&self, deadline: ClockInstant) -> Duration {
        deadline.since(self.ports.clock.now())
    }
}

/// Context shared by the tasks of one server.
pub type SharedContext = Arc<EntryContext>;

fn system_epoch_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
