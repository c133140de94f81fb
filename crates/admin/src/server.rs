//! HTTP server of the administration API and the console.

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

/// Maximum size of a request body, in bytes, for endpoints that do not set their own.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Error of starting, reconfiguring or closing the server for operators.
#[derive(Debug)]
#[derive(Error)]
pub enum AdminError {
    /// The address cannot be listened on.
    #[error("listening for operators on {listen}: {cause}")]
    Listen {
        /// Address to listen on.
        listen: SocketAddr,
        /// Underlying error, as text.
        cause: String,
    },
    /// The certificate or its private key cannot be read or used.
    #[error("reading the operators' certificate from {}: {cause}", path.display())]
    Certificate {
        /// File with the certificate or the key.
        path: PathBuf,
        /// Underlying error, as text.
        cause: String,
    },
    /// The metrics cannot be registered, for instance because their names are taken.
    #[error("registering the operators' metrics: {cause}")]
    Metrics {
        /// Underlying error, as text.
        cause: String,
    },
    /// The server failed before or while it shut down.
    #[error("closing the operators' server on {listen}: {cause}")]
    Close {
        /// Address that the server listened on.
        listen: SocketAddr,
        /// Underlying error, as text.
        cause: String,
    },
}

/// Running server of the administration API and the console.
pub struct AdminServer(HttpServer<Arc<AdminContext>>);

impl AdminServer {
    /// Returns the address that the server listens on, with the actual port.
    pub fn local_addr(&self) -> SocketAddr {
        self.0.local_addr()
    }

    /// Replaces the certificate for new connections.
    ///
    /// # Errors
    /// Fails if the certificate cannot be used or the server was started without one; the old
    /// certificate stays in use.
    pub async fn replace_certificate(&self, tls: &AdminTls) -> Result<(), AdminError> {
        let config = ConfigTls::Dynamic(server_config(tls)?);
        let path = tls.certificate_file.clone();
        let replaced = self.0.refresh_tls(&config).await;
        replaced.map_err(|cause| AdminError::Certificate { path, cause })
    }

    /// Shuts the server down after answering the requests in progress.
    ///
    /// # Errors
    /// Fails if the server had already failed.
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

/// Starts the server for operators, which runs until it is closed.
///
/// # Errors
/// Fails if the address cannot be listened on, the certificate cannot be read, or the registry
/// already contains these metrics.
///
/// # Panics
/// Never: the paths of the endpoints do not conflict.
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
        // A change is completed even if the operator's connection breaks.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let context = AdminContext::new(&options, ports, overview, registry)
        .map_err(|error| AdminError::Metrics { cause: error.to_string() })?;
    let server =
        ServerBuilder::new(api_description(), Arc::new(context), Logger::root(Discard, o!()))
            .config(config)
            .tls(tls)
            .start()
            .map_err(|error| AdminError::Listen { listen, cause: error.to_string() })?;
    Ok(AdminServer(server))
}

/// Returns the OpenAPI document of the administration API.
///
/// # Panics
/// Never: the paths of the endpoints do not conflict.
pub fn openapi() -> serde_json::Value {
    let api = api_description();
    let version = semver::Version::new(1, 0, 0);
    let definition = api.openapi("dotterellane administration", version);
    definition.json().expect("an OpenAPI document can be serialized")
}

fn api_description() -> ApiDescription<Arc<AdminContext>> {
    let mut api = ApiDescription::new();
    endpoints::register(&mut api).expect("the paths of the endpoints do not conflict");
    console::register(&mut api).expect("the paths of the pages do not conflict");
    api
}
