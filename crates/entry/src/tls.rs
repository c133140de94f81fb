//! TLS certificate of the entry, reloaded when its files change.

use std::fmt;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dotterellane_settings::daemon::TlsSettings;
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use thiserror::Error;
use tokio::time::{MissedTickBehavior, interval};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

/// Interval at which the files are read again.
const RELOAD_PERIOD: Duration = Duration::from_secs(10);

/// Why a certificate cannot be loaded.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{step} {}: {cause}", path.display())]
pub struct TlsError {
    /// Step that failed, such as `read private key`.
    pub step: &'static str,
    /// File that was read.
    pub path: PathBuf,
    /// Description of the failure.
    pub cause: String,
}

struct LoadedIdentity {
    certificate: Vec<u8>,
    key: Vec<u8>,
    config: Arc<ServerConfig>,
}

/// Certificate and private key, as last loaded. Clones share them.
#[derive(Clone)]
pub struct TlsIdentity {
    settings: Arc<TlsSettings>,
    loaded: Arc<Mutex<LoadedIdentity>>,
}

impl TlsIdentity {
    /// Loads the certificate and the private key.
    ///
    /// # Errors
    /// Fails if a file cannot be read or parsed, or if the key does not match the certificate.
    pub fn load(settings: TlsSettings) -> Result<Self, TlsError> {
        let loaded = load_identity(&settings)?;
        Ok(Self { settings: Arc::new(settings), loaded: Arc::new(Mutex::new(loaded)) })
    }

    /// Loads the files again and returns whether they have changed.
    ///
    /// # Errors
    /// Fails as [`Self::load`] does; the previous certificate stays in use.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let reloaded = load_identity(&self.settings)?;
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = (&reloaded.certificate, &reloaded.key) != (&loaded.certificate, &loaded.key);
        if changed {
            *loaded = reloaded;
        }
        Ok(changed)
    }

    /// Returns an acceptor with the current certificate.
    pub fn acceptor(&self) -> TlsAcceptor {
        let loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        TlsAcceptor::from(loaded.config.clone())
    }

    /// Reloads the files periodically until `ended`.
    pub async fn reload_periodically(self, ended: CancellationToken) {
        let mut ticks = interval(RELOAD_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        while ended.run_until_cancelled(ticks.tick()).await.is_some() {
            match self.reload() {
                Ok(true) => spdlog::info!("TLS certificate reloaded"),
                Ok(false) => (),
                Err(error) => spdlog::warn!("keeping the current TLS certificate: {}", error),
            }
        }
    }
}

fn load_identity(settings: &TlsSettings) -> Result<LoadedIdentity, TlsError> {
    let certificate = read_file(&settings.certificate_file)?;
    let key = read_file(&settings.key_file)?;
    let at_certificate = |cause: String| TlsError {
        step: "read certificate",
        path: settings.certificate_file.clone(),
        cause,
    };
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&certificate).collect();
    let chain = chain.map_err(|error| at_certificate(error.to_string()))?;
    let private_key = PrivateKeyDer::from_pem_slice(&key).map_err(|error| TlsError {
        step: "read private key",
        path: settings.key_file.clone(),
        cause: error.to_string(),
    })?;
    // Explicit, since other packages in the same process may install another default provider.
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| at_certificate(error.to_string()))?
        .with_no_client_auth()
        .with_single_cert(chain, private_key)
        .map_err(|error| at_certificate(error.to_string()))?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(LoadedIdentity { certificate, key, config: Arc::new(config) })
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|error| TlsError {
        step: "read file",
        path: path.clone(),
        cause: error.to_string(),
    })
}

impl fmt::Debug for TlsIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TlsIdentity").field("settings", &self.settings).finish_non_exhaustive()
    }
}
