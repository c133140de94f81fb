//! The examples are valid and as large as the installations they describe; the committed schemas
//! are up to date.

use dotterellane_settings::daemon::read_settings;
use dotterellane_settings::document::{ConfigurationDocument, UpstreamRole};
use dotterellane_settings::schema::{daemon_schema, document_schema};
use dotterellane_settings::{read_document, write_document};
use googletest::prelude::*;

const CEANGAL: &str = include_str!("../../../examples/ceangal.yaml");
const CELULA: &str = include_str!("../../../examples/celula-atlantica.yaml");
const DAEMON: &str = include_str!("../../../examples/daemon.yaml");
const DOCUMENT_SCHEMA: &str = include_str!("../schema/document.json");
const DAEMON_SCHEMA: &str = include_str!("../schema/daemon.json");

fn read_example(name: &str, text: &str) -> ConfigurationDocument {
    read_document(name, text).unwrap_or_else(|faults| panic!("{:?}", faults.faults))
}

/// Returns the number of runners, service instances and failure domains.
fn upstream_counts(document: &ConfigurationDocument) -> (usize, usize, usize) {
    let upstreams = document.upstreams.values();
    let runners = upstreams.clone().filter(|u| matches!(u.role, UpstreamRole::Runner(_))).count();
    let domains: std::collections::BTreeSet<_> = upstreams.map(|u| u.domain.clone()).collect();
    (runners, document.upstreams.len() - runners, domains.len())
}

#[gtest]
fn example_ceangal() {
    let document = read_example("ceangal.yaml", CEANGAL);
    expect_that!(upstream_counts(&document), eq((9, 4, 4)));
    expect_that!((document.models.len(), document.adapters.len()), eq((50, 55)));
    expect_that!(document.teams.len(), eq(5));
}

#[gtest]
fn example_celula_atlantica() {
    let document = read_example("celula-atlantica.yaml", CELULA);
    expect_that!(upstream_counts(&document), eq((12, 3, 3)));
    expect_that!((document.models.len(), document.adapters.len()), eq((65, 75)));
    expect_that!(document.teams.len(), eq(5));
}

#[gtest]
fn example_round_trip() {
    let document = read_example("ceangal.yaml", CEANGAL);
    let written = read_example("written", &write_document(&document));
    expect_that!(written, eq(&document));
}

#[gtest]
fn example_daemon_every_setting() {
    let settings = read_settings("daemon.yaml", DAEMON).unwrap();
    let written = serde_json::to_value(&settings).unwrap();
    let schema = daemon_schema();
    let properties = schema["properties"].as_object().unwrap();
    for name in properties.keys() {
        expect_that!(written.get(name).is_some(), eq(true), "{name} is missing from the example");
    }
}

#[gtest]
fn daemon_settings_refused() {
    let cases = [
        ("peers: 10.20.1.1:8082", "peers: 0.0.0.0:8082", "listen.peers"),
        ("admin: 0.0.0.0:8081", "admin: 0.0.0.0:8080", "listen.admin"),
        ("connections: 20000", "connections: 0", "limits.connections"),
        ("digest: 0", "digest: x", "first_operator.digest"),
        ("connections: 20000", "conections: 20000", "conections"),
    ];
    for (old, new, path) in cases {
        assert!(DAEMON.contains(old));
        let error = read_settings("daemon.yaml", &DAEMON.replace(old, new)).unwrap_err();
        expect_that!(error.to_string(), contains_substring(path));
    }
}

#[gtest]
fn schemas_committed() {
    let pretty = |schema| serde_json::to_string_pretty(&schema).unwrap() + "\n";
    // `assert_eq` prints both texts in full, so that a failure shows the text to commit.
    assert_eq!(pretty(document_schema()), DOCUMENT_SCHEMA, "schema/document.json");
    assert_eq!(pretty(daemon_schema()), DAEMON_SCHEMA, "schema/daemon.json");
}
