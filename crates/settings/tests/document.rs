//! A document that is serialized and parsed again is unchanged.

use dotterellane_settings::document::{ConfigurationDocument, UpstreamRole};
use googletest::prelude::*;

const UPSTREAMS: &str = "\
upstreams:
  runner-1:
    address: 10.0.0.1:9000
    domain: north
    role:
      runner:
        memory: 80GiB
        honours_fencing: true
  desk-1:
    address: 10.0.0.2:9000
    domain: south
    role:
      service: desk
    leaving: true
";

#[gtest]
fn document_upstream_roles() {
    let document: ConfigurationDocument = serde_saphyr::from_str(UPSTREAMS).unwrap();
    let roles: Vec<_> = document.upstreams.values().map(|upstream| upstream.role.clone()).collect();
    let [UpstreamRole::Service(service), UpstreamRole::Runner(runner)] = &roles[..] else {
        panic!("unexpected roles {roles:?}");
    };
    expect_that!(service.as_str(), eq("desk"));
    expect_that!(runner.honours_fencing, eq(true));
    let written = serde_saphyr::to_string(&document).unwrap();
    let read: ConfigurationDocument = serde_saphyr::from_str(&written).unwrap();
    expect_that!(read, eq(&document));
}

#[gtest]
fn document_unknown_upstream_field() {
    let misspelt = UPSTREAMS.replace("leaving", "leving");
    let error = serde_saphyr::from_str::<ConfigurationDocument>(&misspelt).unwrap_err();
    expect_that!(error.to_string(), contains_substring("leving"));
}
