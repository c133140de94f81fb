//! The certificate shown to callers, read again when its files change.

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

/// Time between two looks at the files.
const RELOAD_PERIOD: Duration = Duration::from_secs(10);

/// Why a certificate cannot be used.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{step} {}: {cause}", path.display())]
pub struct TlsError {
    /// What was being done.
    pub step: &'static str,
    /// File concerned.
    pub path: PathBuf,
    /// What was seen.
    pub cause: String,
}

struct LoadedIdentity {
    certificate: Vec<u8>,
    key: Vec<u8>,
    config: Arc<ServerConfig>,
}

/// A certificate and its key, as last read. Clones share them.
#[derive(Clone)]
pub struct TlsIdentity {
    settings: Arc<TlsSettings>,
    loaded: Arc<Mutex<LoadedIdentity>>,
}

impl TlsIdentity {
    /// Reads the certificate and key.
    ///
    /// # Errors
    /// Fails if a file cannot be read or the two do not belong together.
    pub fn load(settings: TlsSettings) -> Result<Self, TlsError> {
        let loaded = load_identity(&settings)?;
        Ok(Self { settings: Arc::new(settings), loaded: Arc::new(Mutex::new(loaded)) })
    }

    /// Reads the files again; tells whether they had changed.
    ///
    /// # Errors
    /// Fails as [`Self::load`] does; the certificate in use stays.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let fresh = load_identity(&self.settings)?;
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = (&fresh.certificate, &fresh.key) != (&loaded.certificate, &loaded.key);
        if changed {
            *loaded = fresh;
        }
        Ok(changed)
    }

    /// Returns an acceptor with the newest certificate.
    pub fn acceptor(&self) -> TlsAcceptor {
        let loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        TlsAcceptor::from(loaded.config.clone())
    }

    /// Reads the files again from time to time until `ended`.
    pub async fn follow_files(self, ended: CancellationToken) {
        let mut ticks = interval(RELOAD_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        while ended.run_until_cancelled(ticks.tick()).await.is_some() {
            match self.reload() {
                Ok(true) => spdlog::info!("the certificate was read again"),
                Ok(false) => (),
                Err(error) => spdlog::warn!("the certificate in use stays: {}", error),
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
    // Named, since other packages may bring another provider into the same process.
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
