//! Plain services: routing, retries of repeatable calls, and what is forwarded.

mod support;

use dotterellane_settings::document::{CallKind, CallerScope};
use dotterellane_standins::{PlainService, ServiceFault};
use googletest::prelude::*;
use http::{Method, StatusCode};
use support::{
    EntryEnvironment, NORTH_KEY, SOUTH_KEY, add_service, keyed_request, service_entry,
    test_document, test_limits,
};

async fn start(callers: CallerScope, instances: usize) -> (EntryEnvironment, Vec<PlainService>) {
    let mut document = test_document();
    let mut services = Vec::new();
    for _ in 0..instances {
        let service = PlainService::start().await.expect("a service");
        let entry = service_entry(CallKind::Repeatable, callers.clone());
        add_service(&mut document, "timetable", entry, service.address());
        services.push(service);
    }
    (EntryEnvironment::start_with(&[], document, test_limits()).await, services)
}

#[gtest]
#[tokio::test]
async fn path_and_method_pass() {
    let (entry, services) = start(CallerScope::AllTeams, 1).await;
    let target = "/services/timetable/lines/4?day=mon&x=%20";
    let response = entry.send(keyed_request(Method::PATCH, target, NORTH_KEY, "late")).await;
    expect_that!(response.status, eq(StatusCode::OK));
    let seen = services[0].seen();
    expect_that!(seen[0].method, eq("PATCH"));
    expect_that!(seen[0].target, eq("/lines/4?day=mon&x=%20"));
    expect_that!(seen[0].body, eq(b"late"));
    expect_that!(entry.fleet.lock().expect("fleet").tokens_used, eq(5));
}

#[gtest]
#[tokio::test]
async fn host_stale_while_call_waits() {
    let (entry, services) = start(CallerScope::AllTeams, 1).await;
    entry.fleet.lock().expect("fleet").stale_with_charge = true;
    let call = keyed_request(Method::POST, "/services/timetable/", NORTH_KEY, "x");
    let refused = entry.send(call).await;
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(services[0].seen().len(), eq(0));
    expect_that!(entry.fleet.lock().expect("fleet").tokens_used, eq(0));
}

#[gtest]
#[tokio::test]
async fn route_open_to_all() {
    let (entry, services) = start(CallerScope::Open, 1).await;
    let mut request = keyed_request(Method::GET, "/services/timetable/", "", "");
    request.headers_mut().remove("authorization");
    let response = entry.send(request).await;
    expect_that!(response.status, eq(StatusCode::OK));
    expect_that!(services[0].seen().len(), eq(1));
    expect_that!(entry.fleet.lock().expect("fleet").tokens_used, eq(0));
}

#[gtest]
#[tokio::test]
async fn route_of_other_team() {
    let callers = CallerScope::Teams(["north".parse().expect("an id")].into());
    let (entry, services) = start(callers, 1).await;
    let call = |key| keyed_request(Method::GET, "/services/timetable/", key, "");
    expect_that!(entry.send(call(SOUTH_KEY)).await.status, eq(StatusCode::FORBIDDEN));
    expect_that!(entry.send(call("")).await.status, eq(StatusCode::UNAUTHORIZED));
    let missing = keyed_request(Method::GET, "/services/nothing/", NORTH_KEY, "");
    expect_that!(entry.send(missing).await.status, eq(StatusCode::NOT_FOUND));
    expect_that!(services[0].seen().len(), eq(0));
    expect_that!(entry.send(call(NORTH_KEY)).await.status, eq(StatusCode::OK));
}

#[gtest]
#[tokio::test]
async fn instance_fails() {
    let faults = [ServiceFault::ResponseLost, ServiceFault::Truncated, ServiceFault::NotRun];
    for fault in faults {
        let (entry, services) = start(CallerScope::AllTeams, 2).await;
        services[0].set_fault(fault);
        for _ in 0..6 {
            let call = keyed_request(Method::POST, "/services/timetable/", NORTH_KEY, "x");
            let response = entry.send(call).await;
            expect_that!(response.status, eq(StatusCode::OK), "{fault:?}");
            expect_that!(response.body, contains_substring("\"run\":"));
        }
    }
}

#[gtest]
#[tokio::test]
async fn every_instance_gone() {
    let (entry, services) = start(CallerScope::AllTeams, 2).await;
    services.iter().for_each(PlainService::crash);
    let call = keyed_request(Method::POST, "/services/timetable/", NORTH_KEY, "x");
    let refused = entry.send(call).await;
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(refused.headers.contains_key("retry-after"), eq(true));
    expect_that!(entry.fleet.lock().expect("fleet").tokens_used, eq(0));
}

#[gtest]
#[tokio::test]
async fn instance_leaving() {
    let (entry, services) = start(CallerScope::AllTeams, 2).await;
    entry.change(|document| {
        let leaving = services[0].address();
        let mut upstreams = document.upstreams.values_mut();
        upstreams.find(|upstream| upstream.address == leaving).expect("listed").leaving = true;
    });
    for _ in 0..8 {
        let call = keyed_request(Method::GET, "/services/timetable/", NORTH_KEY, "");
        expect_that!(entry.send(call).await.status, eq(StatusCode::OK));
    }
    expect_that!(services[0].seen().len(), eq(0));
    expect_that!(services[1].seen().len(), eq(8));
}

#[gtest]
#[tokio::test]
async fn body_over_services_bound() {
    let (entry, services) = start(CallerScope::AllTeams, 1).await;
    let body = "x".repeat(1_025);
    let call = keyed_request(Method::POST, "/services/timetable/", NORTH_KEY, &body);
    expect_that!(entry.send(call).await.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
    expect_that!(services[0].seen().len(), eq(0));
}

// A refusal of an earlier attempt names the same request, so no attempt may follow it on its
// connection.
#[gtest]
#[tokio::test]
async fn refused_attempts_share_no_connection() {
    let (entry, services) = start(CallerScope::AllTeams, 1).await;
    services[0].set_fault(ServiceFault::NotRun);
    let call = keyed_request(Method::POST, "/services/timetable/", NORTH_KEY, "x");
    let refused = entry.send(call).await;
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    let seen = services[0].seen();
    expect_that!(seen.len(), gt(1));
    expect_that!(seen.iter().map(|request| request.index).max(), some(eq(0)));
}
