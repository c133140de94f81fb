//! Settings of one daemon: addresses, failure domain, platform, secrets, limits.

use std::net::SocketAddr;
use std::path::PathBuf;

use dotterellane_units::{ByteSize, DomainId, HostId, RegionId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

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
    /// Bounds on what one caller can take.
    #[serde(default)]
    pub limits: LimitSettings,
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
