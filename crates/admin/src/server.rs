//! Serves the administration API and the console.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use dotterellane_fleet::AdministrationPorts;
use dropshot::{
    ApiDescription, ConfigDropshot, ConfigTls, HandlerTaskMode, HttpServer, ServerBuilder,
};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use thiserror::Error;

use crate::certificate::server_config;
use crate::context::{AdminContext, AdminOptions, AdminTls};
use crate::overview::FleetOverview;
use crate::{console, endpoints};

/// Largest body of a request that states no bound of its own, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Why the operators' side cannot be served.
#[derive(Debug)]
#[derive(Error)]
pub enum AdminError {
    /// The server cannot listen.
    #[error("listening for operators on {listen}: {cause}")]
    Listen {
        /// Where it was to listen.
        listen: SocketAddr,
        /// What was seen.
        cause: String,
    },
    /// The certificate or its key cannot be used.
    #[error("reading the operators' certificate from {}: {cause}", path.display())]
    Certificate {
        /// Which file.
        path: PathBuf,
        /// What was seen.
        cause: String,
    },
    /// The metrics clash with others of the registry.
    #[error("registering the operators' metrics: {cause}")]
    Metrics {
        /// What was seen.
        cause: String,
    },
    /// The server did not end in good order.
    #[error("closing the operators' server on {listen}: {cause}")]
    Close {
        /// Where it listened.
        listen: SocketAddr,
        /// What was seen.
        cause: String,
    },
}

/// The running server of the operators' side.
pub struct AdminServer(HttpServer<Arc<AdminContext>>);

impl AdminServer {
    /// Returns where the server listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.0.local_addr()
    }

    /// Takes another certificate for new connections.
    ///
    /// # Errors
    /// Fails if the certificate cannot be used, or the server had none; the old one stays.
    pub async fn replace_certificate(&self, tls: &AdminTls) -> Result<(), AdminError> {
        let config = ConfigTls::Dynamic(server_config(tls)?);
        let path = tls.certificate_file.clone();
        let replaced = self.0.refresh_tls(&config).await;
        replaced.map_err(|cause| AdminError::Certificate { path, cause })
    }

    /// Answers the requests that are open and ends.
    ///
    /// # Errors
    /// Fails if the server had failed before.
    pub async fn close(self) -> Result<(), AdminError> {
        let listen = self.local_addr();
        self.0.close().await.map_err(|cause| AdminError::Close { listen, cause })
    }
}

impl fmt::Debug for AdminServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AdminServer({})", self.local_addr())
    }
}

/// Serves operators until the returned server is closed.
///
/// # Errors
/// Fails if the address cannot be listened on, the certificate cannot be read, or the registry
/// holds these metrics already.
///
/// # Panics
/// Never: the endpoints do not clash.
pub fn serve<O>(
    options: AdminOptions,
    ports: AdministrationPorts,
    overview: O,
    registry: Registry,
) -> Result<AdminServer, AdminError>
where
    O: Fn() -> FleetOverview + Send + Sync + 'static,
{
    let listen = options.listen;
    let tls = options.tls.as_ref().map(server_config).transpose()?.map(ConfigTls::Dynamic);
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        // A change goes on when the operator's connection breaks.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let context = AdminContext::new(&options, ports, overview, registry)
        .map_err(|error| AdminError::Metrics { cause: error.to_string() })?;
    let server = ServerBuilder::new(description(), Arc::new(context), Logger::root(Discard, o!()))
        .config(config)
        .tls(tls)
        .start()
        .map_err(|error| AdminError::Listen { listen, cause: error.to_string() })?;
    Ok(AdminServer(server))
}

/// Returns the OpenAPI document of the administration API.
///
/// # Panics
/// Never: the endpoints do not clash.
pub fn openapi() -> serde_json::Value {
    let api = description();
    let version = semver::Version::new(1, 0, 0);
    let definition = api.openapi("dotterellane administration", version);
    definition.json().expect("an OpenAPI document is plain data")
}

fn description() -> ApiDescription<Arc<AdminContext>> {
    let mut api = ApiDescription::new();
    endpoints::register(&mut api).expect("the endpoints have paths of their own");
    console::register(&mut api).expect("the pages have paths of their own");
    api
}
