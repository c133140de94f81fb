//! Reading and changing the configuration document and its entries through the administration API.

mod support;

use dotterellane_settings::{read_document, write_document};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

use support::{TestBench, bearer};

const RATE_CHANGE: &str = r#"{"rate": "1600/s", "burst": 30000}"#;

/// Replaces the document by the current one with `old` replaced by `new`, made from version
/// `expected`.
async fn put_after(
    bench: &TestBench,
    expected: &str,
    old: &str,
    new: &str,
) -> support::TestResponse {
    let text = write_document(&bench.document());
    assert!(text.contains(old), "{old:?} is not in {text}");
    let bearer = bearer(&bench.all_key);
    let headers = [("authorization", bearer.as_str()), ("if-match", expected)];
    let text = text.replacen(old, new, 1);
    bench.send(Method::PUT, "/v1/configuration", &headers, &text).await
}

#[gtest]
#[tokio::test]
async fn configuration_get_and_put() {
    let bench = TestBench::start();
    let got = bench.send_all(Method::GET, "/v1/configuration", "").await;
    expect_that!(got.headers["etag"].as_bytes(), eq(b"\"1\""));
    expect_that!(read_document("got", &got.text).unwrap(), eq(&bench.document()));
    let put = put_after(&bench, "\"1\"", "1500/s", "1600/s").await;
    expect_that!(put.status, eq(StatusCode::OK));
    expect_that!(put.json()["progress"]["in_force"], eq(&json!(true)));
    let expected = json!([{"path": "teams.freight", "kind": "changed", "fields": ["rate"]}]);
    expect_that!(put.json()["differences"], eq(&expected));
    expect_that!(bench.version(), eq(2));
}

#[gtest]
#[tokio::test]
async fn configuration_put_without_version() {
    let bench = TestBench::start();
    let text = write_document(&bench.document());
    let put = bench.send_all(Method::PUT, "/v1/configuration", &text).await;
    expect_that!(put.status, eq(StatusCode::PRECONDITION_REQUIRED));
    expect_that!(bench.version(), eq(1));
}

#[gtest]
#[tokio::test]
async fn configuration_put_lost_race() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.races = 1);
    let put = put_after(&bench, "1", "1500/s", "1600/s").await;
    expect_that!(put.status, eq(StatusCode::CONFLICT));
    let race = &put.json()["race"];
    expect_that!((&race["expected"], &race["current"]), eq((&json!(1), &json!(2))));
    expect_that!(race["theirs"][0]["path"], eq(&json!("teams.other-1")));
    expect_that!(race["mine"][0]["path"], eq(&json!("teams.freight")));
    // The merged document contains the changes of both sides and is accepted as it is.
    let merged = race["merged"].as_str().unwrap();
    let bearer = bearer(&bench.all_key);
    let headers = [("authorization", bearer.as_str()), ("if-match", "2")];
    let again = bench.send(Method::PUT, "/v1/configuration", &headers, merged).await;
    expect_that!(again.status, eq(StatusCode::OK));
    let teams: Vec<String> = bench.document().teams.keys().map(ToString::to_string).collect();
    expect_that!(teams, elements_are![eq("freight"), eq("other-1"), eq("rail")]);
    expect_that!(bench.document().teams.values().next().unwrap().rate.to_string(), eq("1600/s"));
}

#[gtest]
#[tokio::test]
async fn configuration_put_conflict() {
    let bench = TestBench::start();
    bench.send_all(Method::PUT, "/v1/entries/teams/freight", RATE_CHANGE).await;
    let put = put_after(&bench, "1", "1600/s", "1700/s").await;
    expect_that!(put.status, eq(StatusCode::CONFLICT));
    expect_that!(put.json()["race"]["conflicts"], eq(&json!(["teams.freight"])));
    expect_that!(put.json()["race"]["merged"], eq(&json!(null)));
    expect_that!(bench.version(), eq(2));
}

#[gtest]
#[tokio::test]
async fn configuration_put_faults() {
    let bench = TestBench::start();
    let put = put_after(&bench, "1", "1500/s", "fast").await;
    expect_that!(put.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    let fault = &put.json()["faults"][0];
    expect_that!(fault["path"], eq(&json!("teams.freight.rate")));
    expect_that!(fault["line"], eq(&json!(3)));
    expect_that!(bench.version(), eq(1));
}

#[gtest]
#[tokio::test]
async fn configuration_dry_run() {
    let bench = TestBench::start();
    let path = "/v1/entries/teams/freight?dry_run=true";
    let response = bench.send_all(Method::PUT, path, RATE_CHANGE).await;
    expect_that!(response.json()["dry_run"], eq(&json!(true)));
    expect_that!(
        response.json()["diff"].as_str().unwrap(),
        contains_substring("+    rate: 1600/s")
    );
    expect_that!(bench.version(), eq(1));
}

#[gtest]
#[tokio::test]
async fn configuration_lost_answer() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.lost_responses = 2);
    let response = bench.send_all(Method::PUT, "/v1/entries/teams/freight", RATE_CHANGE).await;
    expect_that!(response.status, eq(StatusCode::OK));
    // The retry finds the accepted change by its id and does not apply it again.
    expect_that!(bench.version(), eq(2));
}

#[gtest]
#[tokio::test]
async fn configuration_repeated_change() {
    let bench = TestBench::start();
    let bearer = bearer(&bench.all_key);
    let change = "0000000000000000000000000000abcd";
    let headers = [("authorization", bearer.as_str()), ("change-id", change)];
    for _ in 0..2 {
        let path = "/v1/entries/teams/freight";
        let response = bench.send(Method::PUT, path, &headers, RATE_CHANGE).await;
        expect_that!(response.json()["progress"]["version"], eq(&json!(2)));
    }
    expect_that!(bench.version(), eq(2));
}

#[gtest]
#[tokio::test]
async fn configuration_table_down() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.table_down = true);
    let response = bench.send_all(Method::PUT, "/v1/entries/teams/freight", RATE_CHANGE).await;
    expect_that!(response.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(response.json()["code"], eq(&json!("table-down")));
    expect_that!(response.json()["retry_after_seconds"], eq(&json!(5)));
}

#[gtest]
#[tokio::test]
async fn configuration_hosts_outstanding() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.outstanding = ["host-3".parse().unwrap()].into());
    let path = "/v1/entries/teams/freight?wait_seconds=0";
    let response = bench.send_all(Method::PUT, path, RATE_CHANGE).await;
    let expected = json!({"version": 2, "in_force": false, "outstanding": ["host-3"]});
    expect_that!(response.json()["progress"], eq(&expected));
    bench.faults(|faults| faults.outstanding.clear());
    let progress = bench.send_all(Method::GET, "/v1/configuration/2/progress", "").await;
    expect_that!(progress.json()["in_force"], eq(&json!(true)));
}

#[gtest]
#[tokio::test]
async fn entry_put_repeated_after_races() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.races = 2);
    let response = bench.send_all(Method::PUT, "/v1/entries/teams/freight", RATE_CHANGE).await;
    expect_that!(response.status, eq(StatusCode::OK));
    // The change of one entry is repeated on top of the changes that were accepted first.
    expect_that!(bench.version(), eq(4));
    expect_that!(bench.document().teams.len(), eq(4));
}

#[gtest]
#[tokio::test]
async fn entry_patch_keeps_other_fields() {
    let bench = TestBench::start();
    let path = "/v1/entries/models/plan-7b";
    let response = bench.send_all(Method::PATCH, path, r#"{"slots": 3, "kv_reserve": null}"#).await;
    expect_that!(response.json()["differences"][0]["fields"], eq(&json!(["kv_reserve", "slots"])));
    let entry = bench.send_all(Method::GET, path, "").await.json();
    expect_that!((&entry["slots"], &entry["kv_reserve"]), eq((&json!(3), &json!("0B"))));
    expect_that!(entry["memory"], eq(&json!("14GiB")));
    let missing = bench.send_all(Method::PATCH, "/v1/entries/models/gone", "{}").await;
    expect_that!(missing.status, eq(StatusCode::NOT_FOUND));
}

#[gtest]
#[tokio::test]
async fn entry_delete_referenced() {
    let bench = TestBench::start();
    let response = bench.send_all(Method::DELETE, "/v1/entries/teams/freight", "").await;
    expect_that!(response.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    expect_that!(response.json()["faults"][0]["path"], eq(&json!("keys.depot.team")));
    let response = bench.send_all(Method::DELETE, "/v1/entries/teams/rail", "").await;
    expect_that!(response.status, eq(StatusCode::OK));
    expect_that!(bench.document().teams.len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn history_and_restore() {
    let bench = TestBench::start();
    let first = bench.document();
    bench.send_all(Method::PUT, "/v1/entries/teams/freight", RATE_CHANGE).await;
    let bearer = bearer(&bench.all_key);
    let headers = [("authorization", bearer.as_str()), ("if-match", "2")];
    let restored = bench.send(Method::POST, "/v1/configuration/1/restore", &headers, "").await;
    expect_that!(restored.status, eq(StatusCode::OK));
    expect_that!((bench.version(), bench.document()), eq(&(3, first)));
    let history = bench.send_all(Method::GET, "/v1/history?limit=2", "").await;
    let summaries: Vec<_> =
        history.json().as_array().unwrap().iter().map(|entry| entry["summary"].clone()).collect();
    expect_that!(summaries, eq(&[json!("restored version 1"), json!("put teams.freight")]));
    let missing = bench.send_all(Method::GET, "/v1/configuration/9", "").await;
    expect_that!(missing.status, eq(StatusCode::NOT_FOUND));
}

#[gtest]
#[tokio::test]
async fn restore_keeps_keys_withdrawn() {
    let bench = TestBench::start();
    bench.send_all(Method::PUT, "/v1/entries/teams/freight", RATE_CHANGE).await;
    bench.send_all(Method::POST, "/v1/keys/depot/withdraw", "").await;
    bench.send_all(Method::POST, "/v1/operators/eve/key", r#"{"role": "read"}"#).await;
    let bearer = bearer(&bench.all_key);
    let headers = [("authorization", bearer.as_str()), ("if-match", "4")];
    let restored = bench.send(Method::POST, "/v1/configuration/1/restore", &headers, "").await;
    expect_that!(restored.status, eq(StatusCode::OK));
    let document = bench.document();
    expect_that!(document.keys.values().next().unwrap().withdrawn, eq(true));
    expect_that!(document.operators.len(), eq(4));
    expect_that!(document.teams.values().next().unwrap().rate.to_string(), eq("1500/s"));
}

#[gtest]
#[tokio::test]
async fn configuration_put_reinstates_key() {
    let bench = TestBench::start();
    bench.send_all(Method::POST, "/v1/keys/depot/withdraw", "").await;
    let put = put_after(&bench, "2", "withdrawn: true", "withdrawn: false").await;
    expect_that!(put.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    expect_that!(put.json()["faults"][0]["path"], eq(&json!("keys.depot.withdrawn")));
    let body = r#"{"withdrawn": false}"#;
    let patch = bench.send_all(Method::PATCH, "/v1/entries/keys/depot", body).await;
    expect_that!(patch.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    expect_that!(bench.version(), eq(2));
}

#[gtest]
#[tokio::test]
async fn metrics_of_changes() {
    let bench = TestBench::start();
    bench.send_all(Method::PUT, "/v1/entries/teams/freight", RATE_CHANGE).await;
    bench.send_all(Method::PUT, "/v1/entries/teams/freight", r#"{"rate": "x"}"#).await;
    let metrics = bench.send_all(Method::GET, "/metrics", "").await.text;
    let counted =
        |outcome| format!("dotterellane_admin_changes_total{{outcome=\"{outcome}\"}} 1\n");
    expect_that!(metrics, contains_substring(counted("accepted")));
    expect_that!(metrics, contains_substring(counted("faulty")));
    expect_that!(metrics, contains_substring("dotterellane_configuration_version 2\n"));
}

#[gtest]
fn openapi_committed() {
    let found = serde_json::to_string_pretty(&dotterellane_admin::openapi()).unwrap() + "\n";
    assert_eq!(found, include_str!("../openapi.json"), "crates/admin/openapi.json");
}
