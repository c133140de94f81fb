//! Settings of one daemon: addresses, failure domain, platform, secrets, limits.

use std::net::SocketAddr;
use std::path::PathBuf;

use dotterellane_units::{ByteSize, DomainId, HostId, OperatorId, RegionId};
use miette::Diagnostic;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::keys::is_digest;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionId>,
    /// Where the daemon listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// File that holds the secret shared by all daemons of the fleet.
    pub fleet_secret_file: PathBuf,
    /// Certificate for callers and operators; plain HTTP without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
    /// Operator who may do everything while the document lists no operator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_operator: Option<FirstOperator>,
    /// Bounds on what one caller can take.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Operator who writes the first document.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FirstOperator {
    /// Name of the operator.
    pub id: OperatorId,
    /// BLAKE3 digest of the whole key `do_<id>_<secret>`, 64 hex digits.
    pub digest: String,
}

/// Why settings cannot be used.
#[derive(Debug)]
#[derive(Diagnostic, Error)]
pub enum SettingsError {
    /// The text does not have the form of settings.
    #[error("reading {name}: {message}")]
    #[diagnostic(help("{help}"))]
    Malformed {
        /// Name of the file.
        name: String,
        /// What is wrong, with its line.
        message: String,
        /// What would be right.
        help: String,
    },
    /// A setting breaks a rule.
    #[error("checking {name}: {path}: {message}")]
    #[diagnostic(help("{help}"))]
    Refused {
        /// Name of the file.
        name: String,
        /// Which setting.
        path: &'static str,
        /// What is wrong with it.
        message: String,
        /// What would be right.
        help: &'static str,
    },
}

/// Reads and checks settings written in YAML.
///
/// # Errors
/// Fails at the first line that has not the form of settings, or at the first broken rule.
pub fn read_settings(name: &str, text: &str) -> Result<DaemonSettings, SettingsError> {
    let settings: DaemonSettings =
        serde_saphyr::from_str(text).map_err(|error| SettingsError::Malformed {
            name: name.to_owned(),
            message: error.without_snippet().to_string(),
            help: "examples/daemon.yaml shows every setting".to_owned(),
        })?;
    match broken_rule(&settings) {
        None => Ok(settings),
        Some((path, message, help)) => {
            Err(SettingsError::Refused { name: name.to_owned(), path, message, help })
        }
    }
}

/// Returns the setting that breaks a rule, what is wrong and what would be right.
fn broken_rule(settings: &DaemonSettings) -> Option<(&'static str, String, &'static str)> {
    let ListenSettings { entry, admin, peers } = settings.listen;
    if admin == entry && admin.port() != 0 {
        return Some(("listen.admin", format!("{admin} is also listen.entry"), "an own address"));
    }
    if peers.ip().is_unspecified() {
        let message = format!("{peers} cannot be told to the other daemons");
        return Some(("listen.peers", message, "the IP address that other hosts reach"));
    }
    if settings.limits.connections == 0 {
        return Some(("limits.connections", "no caller at all".to_owned(), "at least 1"));
    }
    let first = settings.first_operator.as_ref()?;
    let help = "64 lower-case hex digits";
    (!is_digest(&first.digest)).then(|| ("first_operator.digest", "not a digest".to_owned(), help))
}

/// Where the daemon listens.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' HTTP.
    pub entry: SocketAddr,
    /// Operators' HTTP.
    pub admin: SocketAddr,
    /// Datagrams and streams between daemons.
    pub peers: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Transactional table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// List of live and leaving hosts.
    pub hosts: SocketAddr,
}

/// Certificate and key, read again when the files change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Bounds on what one caller can take.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body.
    pub body: ByteSize,
    /// Largest sum of request headers.
    pub headers: ByteSize,
    /// Open connections of callers.
    pub connections: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { body: ByteSize::mebibytes(8), headers: ByteSize(32 << 10), connections: 20_000 }
    }
}
