//! Roles, sign-in, protection against cross-site requests, and keys.

mod support;

use dotterellane_admin::{AdminOptions, FleetOverview};
use dotterellane_settings::daemon::FirstOperator;
use dotterellane_settings::keys::{CallerKey, OperatorKey};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

use support::{FakeFleet, TestBench, bearer, loopback_options, valid_document};

const ISSUE: &str = r#"{"id": "yard", "team": "freight"}"#;

#[gtest]
#[tokio::test]
async fn access_without_key() {
    let bench = TestBench::start();
    let forged = format!("{}0", &bench.all_key[..bench.all_key.len() - 1]);
    for headers in [
        vec![],
        vec![("authorization", bearer(&forged))],
        vec![("authorization", "Bearer x".to_owned())],
    ] {
        let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        for path in ["/v1/configuration", "/v1/keys", "/v1/overview", "/v1/history", "/metrics"] {
            let response = bench.send(Method::GET, path, &headers, "").await;
            expect_that!(response.status, eq(StatusCode::UNAUTHORIZED), "{path}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn access_by_role() {
    let bench = TestBench::start();
    let entry = r#"{"rate": "1/s", "burst": 30000}"#;
    let cases = [
        (Method::GET, "/v1/configuration", "", [200, 200, 200]),
        (Method::POST, "/v1/keys?dry_run=true", ISSUE, [403, 200, 200]),
        (Method::PUT, "/v1/entries/teams/new?dry_run=true", entry, [403, 403, 200]),
        (Method::POST, "/v1/operators/eve/key?dry_run=true", r#"{"role": "all"}"#, [403, 403, 200]),
        (Method::PUT, "/v1/configuration", "", [403, 403, 428]),
        (Method::POST, "/v1/configuration/1/restore", "", [403, 403, 428]),
    ];
    for (method, path, body, expected) in cases {
        let keys = [&bench.read_key, &bench.keys_key, &bench.all_key];
        for (key, status) in keys.iter().zip(expected) {
            let bearer = bearer(key);
            let headers = [("authorization", bearer.as_str())];
            let response = bench.send(method.clone(), path, &headers, body).await;
            expect_that!(response.status.as_u16(), eq(status), "{method} {path}");
        }
    }
    expect_that!(bench.version(), eq(1));
}

/// Signs in as the operator with the role `all` and returns the session cookie.
async fn sign_in(bench: &TestBench) -> String {
    let body = json!({"key": bench.all_key}).to_string();
    let response = bench.send(Method::POST, "/v1/session", &same_origin(bench), &body).await;
    expect_that!(response.status, eq(StatusCode::OK));
    let cookie = response.headers["set-cookie"].to_str().unwrap();
    expect_that!(cookie, contains_substring("HttpOnly"));
    expect_that!(cookie, contains_substring("SameSite=Strict"));
    cookie.split(';').next().unwrap().to_owned()
}

fn same_origin(bench: &TestBench) -> Vec<(&'static str, &'static str)> {
    let origin = format!("http://{}", bench.server.local_addr());
    vec![("origin", origin.leak()), ("sec-fetch-site", "same-origin")]
}

#[gtest]
#[tokio::test]
async fn session_same_origin() {
    let bench = TestBench::start();
    let cookie = sign_in(&bench).await;
    let mut headers = same_origin(&bench);
    headers.push(("cookie", &cookie));
    let session = bench.send(Method::GET, "/v1/session", &headers, "").await;
    expect_that!(session.json(), eq(&json!({"operator": "ana", "role": "all"})));
    let issued = bench.send(Method::POST, "/v1/keys", &headers, ISSUE).await;
    expect_that!(issued.status, eq(StatusCode::OK));
}

#[gtest]
#[tokio::test]
async fn session_other_site() {
    let bench = TestBench::start();
    let cookie = sign_in(&bench).await;
    let cookie = ("cookie", cookie.as_str());
    let cases: [&[(&str, &str)]; 4] = [
        &[cookie],
        &[cookie, ("origin", "http://evil.example")],
        &[cookie, ("origin", "null")],
        &[cookie, same_origin(&bench)[0], ("sec-fetch-site", "cross-site")],
    ];
    for headers in cases {
        let response = bench.send(Method::POST, "/v1/keys", headers, ISSUE).await;
        expect_that!(response.status, eq(StatusCode::FORBIDDEN), "{headers:?}");
    }
    expect_that!(bench.version(), eq(1));
}

#[gtest]
#[tokio::test]
async fn session_ends_with_operator() {
    let bench = TestBench::start();
    let cookie = sign_in(&bench).await;
    // Removing the operator invalidates the session at once.
    bench.send_all(Method::POST, "/v1/operators/eve/key", r#"{"role": "all"}"#).await;
    bench.send_all(Method::DELETE, "/v1/entries/operators/ana", "").await;
    let response = bench.send(Method::GET, "/v1/session", &[("cookie", &cookie)], "").await;
    expect_that!(response.status, eq(StatusCode::UNAUTHORIZED));
}

#[gtest]
#[tokio::test]
async fn access_first_operator() {
    let mut document = valid_document();
    document.operators.clear();
    let key = OperatorKey::issue("first".parse().unwrap(), [7; 32]);
    let first_operator = FirstOperator { id: key.id().clone(), digest: key.digest() };
    let options = AdminOptions { first_operator: Some(first_operator), ..loopback_options() };
    let keys = [key.expose().to_owned(), String::new(), String::new()];
    let fleet = FakeFleet::holding(document);
    let bench = TestBench::serve_fleet(fleet, options, FleetOverview::default, keys);
    let order = r#"{"role": "all"}"#;
    let issued = bench.send_all(Method::POST, "/v1/operators/eve/key", order).await;
    expect_that!(issued.status, eq(StatusCode::OK));
    // Once the document lists an operator, the first operator from the settings is refused.
    let late = bench.send_all(Method::GET, "/v1/configuration", "").await;
    expect_that!(late.status, eq(StatusCode::UNAUTHORIZED));
}

#[gtest]
#[tokio::test]
async fn access_operator_removed_on_other_host() {
    let bench = TestBench::start();
    let eve = bench.send_all(Method::POST, "/v1/operators/eve/key", r#"{"role": "all"}"#).await;
    let eve = bearer(eve.json()["key"].as_str().unwrap());
    bench.faults(|faults| faults.lagging = true);
    let eve = [("authorization", eve.as_str())];
    let removed = bench.send(Method::DELETE, "/v1/entries/operators/ana", &eve, "").await;
    expect_that!(removed.status, eq(StatusCode::OK));
    // This daemon has not applied the removal yet, but changes by the removed operator are refused,
    // both without If-Match and with the newer version.
    let entry = r#"{"rate": "1/s", "burst": 30000}"#;
    let small = bench.send_all(Method::PUT, "/v1/entries/teams/new", entry).await;
    expect_that!(small.status, eq(StatusCode::UNAUTHORIZED));
    let ana = bearer(&bench.all_key);
    let headers = [("authorization", ana.as_str()), ("if-match", "3")];
    let path = "/v1/entries/teams/new";
    let seen = bench.send(Method::PUT, path, &headers, entry).await;
    expect_that!(seen.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(bench.version(), eq(3));
}

#[gtest]
#[tokio::test]
async fn key_issue_and_withdraw() {
    let bench = TestBench::start();
    let issued = bench.send_all(Method::POST, "/v1/keys", ISSUE).await;
    let key: CallerKey = issued.json()["key"].as_str().unwrap().parse().unwrap();
    let entry = bench.document().keys[key.id()].clone();
    expect_that!(key.matches(&entry.digest), eq(true));
    expect_that!(entry.team.as_str(), eq("freight"));
    let again = bench.send_all(Method::POST, "/v1/keys", ISSUE).await;
    expect_that!(again.status, eq(StatusCode::CONFLICT));
    bench.send_all(Method::POST, "/v1/keys/yard/withdraw", "").await;
    expect_that!(bench.document().keys[key.id()].withdrawn, eq(true));
}

#[gtest]
#[tokio::test]
async fn key_issue_lost_answer() {
    let bench = TestBench::start();
    bench.faults(|faults| faults.lost_responses = 1);
    let issued = bench.send_all(Method::POST, "/v1/keys", ISSUE).await;
    let key: CallerKey = issued.json()["key"].as_str().unwrap().parse().unwrap();
    // The proposal was retried: the secret in the response must match the digest in the document.
    expect_that!(key.matches(&bench.document().keys[key.id()].digest), eq(true));
    let bearer = bearer(&bench.all_key);
    let headers =
        [("authorization", bearer.as_str()), ("change-id", "0000000000000000000000000000abcd")];
    let named = bench.send(Method::POST, "/v1/keys", &headers, ISSUE).await;
    expect_that!(named.status, eq(StatusCode::BAD_REQUEST));
}

#[gtest]
#[tokio::test]
async fn key_rotate_with_overlap() {
    let bench = TestBench::start();
    let body = r#"{"new_id": "depot-2", "overlap_seconds": 600}"#;
    let rotated = bench.send_all(Method::POST, "/v1/keys/depot/rotate", body).await;
    expect_that!(rotated.status, eq(StatusCode::OK));
    let document = bench.document();
    let old = &document.keys[&"depot".parse().unwrap()];
    let new = &document.keys[&"depot-2".parse().unwrap()];
    // The overlap does not extend the old key beyond its own expiry.
    expect_that!(old.expires_at.unwrap(), le(1_798_761_600));
    expect_that!(new.expires_at, none());
    expect_that!((old.withdrawn, new.withdrawn), eq((false, false)));
    expect_that!(new.team, eq(&old.team));
    expect_that!(new.digest, not(eq(&old.digest)));
}

#[gtest]
#[tokio::test]
async fn key_list_without_digests() {
    let bench = TestBench::start();
    let list = bench.send_all(Method::GET, "/v1/keys", "").await;
    expect_that!(list.json()[0]["id"], eq(&json!("depot")));
    expect_that!(list.text, not(contains_substring("aaaaaaaa")));
}

#[gtest]
#[tokio::test]
async fn console_page_policy() {
    let bench = TestBench::start();
    for path in ["/", "/console.css", "/console.js", "/forms.js", "/overview.js"] {
        let page = bench.send(Method::GET, path, &[], "").await;
        let policy = page.headers["content-security-policy"].to_str().unwrap();
        expect_that!(policy, starts_with("default-src 'none'"), "{path}");
        expect_that!(policy, not(contains_substring("unsafe")));
        // The pages load nothing from other sites.
        expect_that!(page.text.replace("http://www.w3.org/", ""), not(contains_regex("https?://")));
    }
}
