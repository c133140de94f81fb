//! TLS configuration of the server for operators.

use std::fmt::Display;
use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::context::AdminTls;
use crate::server::AdminError;

/// Application protocols offered in the TLS handshake (ALPN).
const ALPN_PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// Reads a certificate chain and its private key.
///
/// The crypto provider is passed explicitly: two are linked into the process, so rustls has no
/// default.
pub(crate) fn server_config(tls: &AdminTls) -> Result<ServerConfig, AdminError> {
    let chain = CertificateDer::pem_file_iter(&tls.certificate_file)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| certificate_error(&tls.certificate_file, &error))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key_file)
        .map_err(|error| certificate_error(&tls.key_file, &error))?;
    let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|error| certificate_error(&tls.certificate_file, &error))?;
    config.alpn_protocols = ALPN_PROTOCOLS.map(<[u8]>::to_vec).to_vec();
    Ok(config)
}

fn certificate_error<E>(path: &Path, error: &E) -> AdminError
where
    E: Display,
{
    AdminError::Certificate { path: path.to_owned(), cause: error.to_string() }
}
