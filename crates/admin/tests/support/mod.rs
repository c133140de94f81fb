//! In-memory fleet behind a real administration API, and a client for it.

#![allow(dead_code, reason = "each test file uses some of the items")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use dotterellane_admin::{AdminOptions, AdminServer, FleetOverview, serve};
use dotterellane_fleet::{
    AdministrationPorts, ChangeProgress, ChangeRecord, ConfigurationFeed, ConfigurationSnapshot,
    ProposalError, ProposedChange,
};
use dotterellane_settings::document::{ConfigurationDocument, OperatorEntry, OperatorRole};
use dotterellane_settings::keys::OperatorKey;
use dotterellane_settings::read_document;
use dotterellane_units::{ConfigVersion, HostId};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use prometheus::Registry;
use serde_json::Value;

const VALID_DOCUMENT: &str = include_str!("../../../settings/tests/documents/sound.yaml");

/// Failures that the fake fleet simulates for the next proposals.
#[derive(Default)]
pub struct FleetFaults {
    /// Number of proposals that are accepted but whose response is lost.
    pub lost_responses: u32,
    /// Number of proposals before which another operator's change is accepted; each adds a team.
    pub races: u32,
    /// Whether the table is down.
    pub table_down: bool,
    /// Whether the daemon stops applying accepted changes.
    pub lagging: bool,
    /// Hosts that have not confirmed the newest version.
    pub outstanding: BTreeSet<HostId>,
}

/// In-memory fleet that stores all versions of the document, starting at version 1.
#[derive(Default)]
pub struct FakeFleet {
    pub faults: FleetFaults,
    versions: Vec<(ChangeRecord, ConfigurationDocument)>,
}

impl FakeFleet {
    /// Starts with `document` as version 1.
    pub fn holding(document: ConfigurationDocument) -> Self {
        let mut fleet = Self::default();
        fleet.accept(&ProposedChange {
            change: dotterellane_units::RequestId(0),
            expected: ConfigVersion(0),
            operator: "ana".parse().unwrap(),
            summary: "first".to_owned(),
            document,
        });
        fleet
    }

    fn accept(&mut self, proposed: &ProposedChange) -> ChangeRecord {
        let version = ConfigVersion(self.versions.len() as u64 + 1);
        let record = ChangeRecord {
            version,
            change: proposed.change,
            operator: proposed.operator.clone(),
            summary: proposed.summary.clone(),
            accepted_at: 1_700_000_000 + version.0,
        };
        self.versions.push((record.clone(), proposed.document.clone()));
        record
    }

    fn current(&self) -> ConfigurationSnapshot {
        let (record, document) = self.versions.last().expect("the fleet starts with a version");
        ConfigurationSnapshot { version: record.version, document: document.clone() }
    }

    fn propose(&mut self, proposed: &ProposedChange) -> Result<ChangeRecord, ProposalError> {
        if self.faults.table_down {
            let cause = "connection refused".to_owned();
            return Err(ProposalError::TableDown { step: "committing", cause });
        }
        let known = self.versions.iter().find(|(record, _)| record.change == proposed.change);
        if let Some((record, _)) = known {
            return Ok(record.clone());
        }
        if self.faults.races > 0 {
            self.faults.races -= 1;
            self.add_other_team();
        }
        let current = self.current();
        if current.version != proposed.expected {
            return Err(ProposalError::Raced { current: Arc::new(current) });
        }
        let record = self.accept(proposed);
        if self.faults.lost_responses > 0 {
            self.faults.lost_responses -= 1;
            let cause = "the response was lost".to_owned();
            return Err(ProposalError::Unknown { step: "committing", cause });
        }
        Ok(record)
    }

    fn add_other_team(&mut self) {
        let ConfigurationSnapshot { version, mut document } = self.current();
        let team = document.teams.values().next().expect("the document has teams").clone();
        document.teams.insert(format!("other-{version}").parse().unwrap(), team);
        let change = dotterellane_units::RequestId(u128::from(version.0));
        self.accept(&ProposedChange {
            change,
            expected: version,
            operator: "bo".parse().unwrap(),
            summary: "another operator's change".to_owned(),
            document,
        });
    }
}

/// Administration API server on a loopback port, backed by an in-memory fleet, with keys for
/// operators of each role.
pub struct TestBench {
    pub fleet: Arc<Mutex<FakeFleet>>,
    pub server: AdminServer,
    pub registry: Registry,
    pub all_key: String,
    pub keys_key: String,
    pub read_key: String,
}

/// Response of the API.
#[derive(Debug)]
pub struct TestResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub text: String,
}

impl TestResponse {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

/// Returns the valid document that the fleet starts with, before operators are added.
pub fn valid_document() -> ConfigurationDocument {
    read_document("sound.yaml", VALID_DOCUMENT).unwrap()
}

fn add_operator(document: &mut ConfigurationDocument, id: &str, role: OperatorRole) -> String {
    let key = OperatorKey::issue(id.parse().unwrap(), test_secret(id));
    let entry = OperatorEntry { role, digest: key.digest() };
    document.operators.insert(key.id().clone(), entry);
    key.expose().to_owned()
}

/// Returns a secret that is different for each id.
fn test_secret(id: &str) -> [u8; 32] {
    let mut secret = [0x5a; 32];
    secret[..id.len()].copy_from_slice(id.as_bytes());
    secret
}

impl TestBench {
    /// Serves a fleet with the valid document and three operators, one of each role.
    pub fn start() -> Self {
        Self::start_with(valid_document(), FleetOverview::default)
    }

    /// Serves a fleet with `document` and three operators added, one of each role.
    pub fn start_with<O>(mut document: ConfigurationDocument, overview: O) -> Self
    where
        O: Fn() -> FleetOverview + Send + Sync + 'static,
    {
        let all_key = add_operator(&mut document, "ana", OperatorRole::All);
        let keys_key = add_operator(&mut document, "kim", OperatorRole::Keys);
        let read_key = add_operator(&mut document, "rod", OperatorRole::Read);
        let fleet = FakeFleet::holding(document);
        let options = loopback_options();
        Self::serve_fleet(fleet, options, overview, [all_key, keys_key, read_key])
    }

    /// Serves `fleet` with these options; `keys` are the operator keys for the roles all, keys and
    /// read.
    pub fn serve_fleet<O>(
        fleet: FakeFleet,
        options: AdminOptions,
        overview: O,
        keys: [String; 3],
    ) -> Self
    where
        O: Fn() -> FleetOverview + Send + Sync + 'static,
    {
        let [all_key, keys_key, read_key] = keys;
        let fleet = Arc::new(Mutex::new(fleet));
        let ports = fleet_ports(&fleet);
        let registry = Registry::new();
        let server = serve(options, ports, overview, registry.clone()).unwrap();
        Self { fleet, server, registry, all_key, keys_key, read_key }
    }

    /// Changes the failures that the fleet simulates.
    pub fn faults<F>(&self, change: F)
    where
        F: FnOnce(&mut FleetFaults),
    {
        change(&mut self.fleet.lock().unwrap().faults);
    }

    /// Returns the newest document.
    pub fn document(&self) -> ConfigurationDocument {
        self.fleet.lock().unwrap().current().document
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.fleet.lock().unwrap().current().version.0
    }

    /// Sends a request with these headers.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> TestResponse {
        send(self.server.local_addr(), method, path, headers, body).await
    }

    /// Sends a request as the operator with the role `all`.
    pub async fn send_all(&self, method: Method, path: &str, body: &str) -> TestResponse {
        let bearer = bearer(&self.all_key);
        self.send(method, path, &[("authorization", &bearer)], body).await
    }
}

/// Returns options for a loopback port chosen by the operating system.
pub fn loopback_options() -> AdminOptions {
    AdminOptions { listen: "127.0.0.1:0".parse().unwrap(), tls: None, first_operator: None }
}

/// Returns the value of an `Authorization` header.
pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Sends one request on a new connection.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> TestResponse {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    let response = client.request(request).await.unwrap();
    let (parts, body) = response.into_parts();
    let bytes = body.collect().await.unwrap().to_bytes();
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    TestResponse { status: parts.status, headers: parts.headers, text }
}

/// Returns administration ports that are backed by `fleet`.
pub fn fleet_ports(fleet: &Arc<Mutex<FakeFleet>>) -> AdministrationPorts {
    let feed = ConfigurationFeed::new(fleet.lock().unwrap().current());
    let (propose_fleet, progress_fleet) = (fleet.clone(), fleet.clone());
    let (history_fleet, content_fleet) = (fleet.clone(), fleet.clone());
    let propose_feed = feed.clone();
    AdministrationPorts::new(
        feed,
        move |proposed| {
            let mut fleet = propose_fleet.lock().unwrap();
            let outcome = fleet.propose(&proposed);
            if !fleet.faults.lagging {
                propose_feed.publish_if_newer(fleet.current());
            }
            std::future::ready(outcome)
        },
        move |version| {
            let fleet = progress_fleet.lock().unwrap();
            let outstanding: Vec<HostId> = fleet.faults.outstanding.iter().cloned().collect();
            ChangeProgress { version, in_force: outstanding.is_empty(), outstanding }
        },
        move |limit| {
            let fleet = history_fleet.lock().unwrap();
            let records = fleet.versions.iter().rev().take(limit);
            std::future::ready(Ok(records.map(|(record, _)| record.clone()).collect()))
        },
        move |version: ConfigVersion| {
            let fleet = content_fleet.lock().unwrap();
            let index = usize::try_from(version.0).unwrap().wrapping_sub(1);
            let found = fleet.versions.get(index).map(|(record, document)| ConfigurationSnapshot {
                version: record.version,
                document: document.clone(),
            });
            std::future::ready(Ok(found))
        },
    )
}
