//! Options of the server, and the state that all endpoints share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use dotterellane_fleet::{AdministrationPorts, ConfigurationSnapshot};
use dotterellane_settings::daemon::FirstOperator;
use prometheus::Registry;

use crate::metrics::AdminMetrics;
use crate::overview::FleetOverview;

type OverviewCall = dyn Fn() -> FleetOverview + Send + Sync;
type WallClockCall = dyn Fn() -> u64 + Send + Sync;

/// Certificate and private key of the server for operators.
#[derive(Clone, Debug)]
pub struct AdminTls {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Options of the server for operators.
#[derive(Clone, Debug)]
pub struct AdminOptions {
    /// Address to listen on; port 0 lets the operating system choose a port.
    pub listen: SocketAddr,
    /// Certificate; `None` to serve plain HTTP.
    pub tls: Option<AdminTls>,
    /// Operator who has all permissions as long as the document lists no operators.
    pub first_operator: Option<FirstOperator>,
}

/// State that all endpoints share.
pub(crate) struct AdminContext {
    pub ports: AdministrationPorts,
    pub metrics: AdminMetrics,
    pub registry: Registry,
    pub first_operator: Option<FirstOperator>,
    /// Whether the server uses TLS, so that cookies can be restricted to it.
    pub secure: bool,
    overview: Arc<OverviewCall>,
    wall_clock: Arc<WallClockCall>,
}

impl AdminContext {
    pub fn new<O>(
        options: &AdminOptions,
        ports: AdministrationPorts,
        overview: O,
        registry: Registry,
    ) -> prometheus::Result<Self>
    where
        O: Fn() -> FleetOverview + Send + Sync + 'static,
    {
        let metrics = AdminMetrics::register(&registry, ports.configuration.clone())?;
        Ok(Self {
            ports,
            metrics,
            registry,
            first_operator: options.first_operator.clone(),
            secure: options.tls.is_some(),
            overview: Arc::new(overview),
            wall_clock: Arc::new(epoch_seconds),
        })
    }

    /// Returns the newest configuration that this daemon has applied.
    pub fn current(&self) -> Arc<ConfigurationSnapshot> {
        self.ports.configuration.current()
    }

    /// Returns the state of the fleet as this daemon knows it.
    pub fn overview(&self) -> FleetOverview {
        (self.overview)()
    }

    /// Returns the wall-clock time in seconds since the Unix epoch.
    pub fn wall_seconds(&self) -> u64 {
        (self.wall_clock)()
    }
}

fn epoch_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
