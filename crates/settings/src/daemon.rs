//! Settings of one daemon, read from its YAML file: addresses, failure domain, platform, secrets
//! and limits.

use std::net::SocketAddr;
use std::path::PathBuf;

use dotterellane_units::{ByteSize, DomainId, HostId, OperatorId, RegionId};
use miette::Diagnostic;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::keys::is_digest;

/// Settings of one daemon. Unlike the configuration document, they may differ between hosts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the host that the daemon runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionId>,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// File with the secret that all daemons of the fleet share.
    pub fleet_secret_file: PathBuf,
    /// Certificate for callers and operators; without it, both are served over plain HTTP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
    /// Operator who has the role `all` as long as the configuration document lists no operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_operator: Option<FirstOperator>,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Operator who can change the configuration while the document lists no operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FirstOperator {
    /// Id of the operator, the public part of the key.
    pub id: OperatorId,
    /// BLAKE3 digest of the whole key `do_<id>_<secret>`, 64 hex digits.
    pub digest: String,
}

/// Error of reading or validating the settings.
#[derive(Debug)]
#[derive(Diagnostic, Error)]
pub enum SettingsError {
    /// The text is not valid YAML, or a field is unknown, missing or of the wrong type.
    #[error("reading {name}: {message}")]
    #[diagnostic(help("{help}"))]
    Malformed {
        /// Name of the settings file.
        name: String,
        /// Parser error, with its line.
        message: String,
        /// How to correct it.
        help: String,
    },
    /// A setting violates a validation rule.
    #[error("checking {name}: {path}: {message}")]
    #[diagnostic(help("{help}"))]
    Refused {
        /// Name of the settings file.
        name: String,
        /// Path of the setting, such as `listen.admin`.
        path: &'static str,
        /// Why the value is invalid.
        message: String,
        /// How to correct it.
        help: &'static str,
    },
}

/// Parses and validates settings written in YAML. `name` is the file name for error messages.
///
/// # Errors
/// Fails on the first parse error, or on the first violated rule.
pub fn read_settings(name: &str, text: &str) -> Result<DaemonSettings, SettingsError> {
    let settings: DaemonSettings =
        serde_saphyr::from_str(text).map_err(|error| SettingsError::Malformed {
            name: name.to_owned(),
            message: error.without_snippet().to_string(),
            help: "examples/daemon.yaml shows every setting".to_owned(),
        })?;
    match find_violation(&settings) {
        None => Ok(settings),
        Some((path, message, help)) => {
            Err(SettingsError::Refused { name: name.to_owned(), path, message, help })
        }
    }
}

/// Returns the path of the first setting that violates a rule, the violation and a hint, if any.
fn find_violation(settings: &DaemonSettings) -> Option<(&'static str, String, &'static str)> {
    let ListenSettings { entry, admin, peers } = settings.listen;
    if admin == entry && admin.port() != 0 {
        return Some((
            "listen.admin",
            format!("{admin} is also listen.entry"),
            "use an address of its own",
        ));
    }
    if peers.ip().is_unspecified() {
        let message = format!("{peers} is not an address that other daemons can connect to");
        return Some(("listen.peers", message, "use an IP address that other hosts can reach"));
    }
    if settings.limits.connections == 0 {
        return Some((
            "limits.connections",
            "no connection would be accepted".to_owned(),
            "at least 1",
        ));
    }
    let first = settings.first_operator.as_ref()?;
    let help = "64 lower-case hex digits";
    (!is_digest(&first.digest))
        .then(|| ("first_operator.digest", "not a BLAKE3 digest".to_owned(), help))
}

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address of the HTTP server for callers.
    pub entry: SocketAddr,
    /// Address of the HTTP server for operators: administration API and console.
    pub admin: SocketAddr,
    /// Address for datagrams and streams between daemons. Other daemons connect to it, so the IP
    /// address must not be unspecified (such as 0.0.0.0).
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the transactional table.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the service that lists live and leaving hosts.
    pub hosts: SocketAddr,
}

/// TLS certificate and private key; reloaded when the files change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Maximum total size of the headers of a request.
    pub headers: ByteSize,
    /// Maximum number of open connections from callers, all callers together.
    pub connections: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { body: ByteSize::mebibytes(8), headers: ByteSize(32 << 10), connections: 20_000 }
    }
}
