//! Once-only calls: each runs at most once, and a call that ran is never reported as not run.

mod support;

use std::time::Duration;

use dotterellane_platform::memory::{MemoryPlatform, PlatformFault};
use dotterellane_platform::{PlatformTable, TableError};
use dotterellane_settings::document::{CallKind, CallerScope, ConfigurationDocument};
use dotterellane_standins::{PlainService, ServiceFault};
use googletest::prelude::*;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use support::{
    EntryEnvironment, NORTH_KEY, ReceivedResponse, SOUTH_KEY, add_service, keyed_request,
    service_entry, test_document, test_limits,
};

const CALL: &str = "book coach 7";

struct BookingFleet {
    service: PlainService,
    hosts: Vec<EntryEnvironment>,
    platform: MemoryPlatform,
}

impl BookingFleet {
    async fn start() -> Self {
        let service = PlainService::start().await.expect("a service");
        let platform = MemoryPlatform::default();
        let mut hosts = Vec::new();
        for _ in 0..2 {
            let document = booking_document(&service);
            let limits = test_limits();
            let host = EntryEnvironment::start_beside(&[], document, limits, platform.clone());
            hosts.push(host.await);
        }
        Self { service, hosts, platform }
    }

    async fn book(&self, host: usize, key: &str) -> ReceivedResponse {
        self.hosts[host].send(booking(NORTH_KEY, key, CALL)).await
    }
}

fn booking_document(service: &PlainService) -> ConfigurationDocument {
    let mut document = test_document();
    let entry = service_entry(CallKind::OnceOnly, CallerScope::AllTeams);
    add_service(&mut document, "bookings", entry, service.address());
    document
}

fn booking(caller: &str, key: &str, body: &str) -> Request<Full<bytes::Bytes>> {
    let mut request = keyed_request(Method::POST, "/services/bookings/coaches", caller, body);
    request.headers_mut().insert("idempotency-key", key.parse().expect("a value"));
    request
}

#[gtest]
#[tokio::test]
async fn same_key_at_two_hosts() {
    let fleet = BookingFleet::start().await;
    fleet.service.set_fault(ServiceFault::Slow(Duration::from_millis(100)));
    let (first, second) = tokio::join!(fleet.book(0, "a"), fleet.book(1, "a"));
    expect_that!(fleet.service.runs(CALL), eq(1));
    let mut statuses = [first.status, second.status];
    statuses.sort();
    expect_that!(statuses, eq([StatusCode::OK, StatusCode::CONFLICT]));
    expect_that!(first.says_not_run() || second.says_not_run(), eq(false));
    let replayed = fleet.book(1, "a").await;
    expect_that!(replayed.status, eq(StatusCode::OK));
    expect_that!(replayed.headers.contains_key("idempotent-replayed"), eq(true));
    expect_that!(replayed.body, contains_substring("\"run\":1"));
    expect_that!(fleet.service.runs(CALL), eq(1));
}

#[gtest]
#[tokio::test]
async fn keys_of_teams_apart() {
    let fleet = BookingFleet::start().await;
    let north = fleet.hosts[0].send(booking(NORTH_KEY, "a", "north's")).await;
    let south = fleet.hosts[0].send(booking(SOUTH_KEY, "a", "south's")).await;
    expect_that!(north.body, contains_substring("north's"));
    expect_that!(south.body, contains_substring("south's"));
    let other = fleet.hosts[0].send(booking(NORTH_KEY, "a", "another call")).await;
    expect_that!(other.status, eq(StatusCode::UNPROCESSABLE_ENTITY));
    let seen = fleet.service.seen();
    let names: Vec<_> = seen.iter().map(|request| request.header("idempotency-key")).collect();
    expect_that!(names.len(), eq(2));
    expect_that!(names[0], not(eq(names[1])));
}

#[gtest]
#[tokio::test]
async fn answer_lost_after_run() {
    for fault in [ServiceFault::ResponseLost, ServiceFault::Truncated, ServiceFault::Silent] {
        let fleet = BookingFleet::start().await;
        fleet.service.set_fault(fault);
        let first = fleet.book(0, "a").await;
        expect_that!(first.status.is_server_error(), eq(true));
        expect_that!(first.says_not_run(), eq(false), "{fault:?}");
        fleet.service.set_fault(ServiceFault::None);
        for host in [0, 1] {
            let again = fleet.book(host, "a").await;
            expect_that!(again.status, eq(StatusCode::CONFLICT));
            expect_that!(again.says_not_run(), eq(false));
        }
        expect_that!(fleet.service.runs(CALL), eq(1), "{fault:?}");
    }
}

#[gtest]
#[tokio::test]
async fn table_down() {
    let fleet = BookingFleet::start().await;
    fleet.platform.set_fault(PlatformFault::Down);
    let refused = fleet.book(0, "a").await;
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(fleet.service.runs(CALL), eq(0));
    fleet.platform.set_fault(PlatformFault::None);
    let response = fleet.book(1, "a").await;
    expect_that!(response.status, eq(StatusCode::OK));
}

#[gtest]
#[tokio::test]
async fn table_answers_lost() {
    let fleet = BookingFleet::start().await;
    fleet.platform.set_fault(PlatformFault::CommitAnswersLost);
    let response = fleet.book(0, "a").await;
    expect_that!(response.status, eq(StatusCode::OK));
    fleet.platform.set_fault(PlatformFault::None);
    let again = fleet.book(1, "a").await;
    expect_that!(again.status, any![eq(StatusCode::OK), eq(StatusCode::CONFLICT)]);
    expect_that!(fleet.service.runs(CALL), eq(1));
}

#[gtest]
#[tokio::test]
async fn table_down_after_run() {
    let fleet = BookingFleet::start().await;
    fleet.service.set_fault(ServiceFault::Slow(Duration::from_millis(100)));
    let failing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.platform.set_fault(PlatformFault::Down);
    };
    let (response, ()) = tokio::join!(fleet.book(0, "a"), failing);
    expect_that!(response.status, eq(StatusCode::OK));
    fleet.platform.set_fault(PlatformFault::None);
    let again = fleet.book(1, "a").await;
    expect_that!(again.status, any![eq(StatusCode::OK), eq(StatusCode::CONFLICT)]);
    expect_that!(fleet.service.runs(CALL), eq(1));
}

#[gtest]
#[tokio::test]
async fn host_dies_between_record_and_send() {
    let fleet = BookingFleet::start().await;
    // The table commits the record but never answers, as if the host crashed at that point.
    let table = fleet.platform.table();
    let (reading, committing) = (table.clone(), table.clone());
    let dying = PlatformTable::new(
        move |keys| {
            let table = reading.clone();
            async move { table.read(keys).await }
        },
        |_| std::future::ready(Ok(Vec::new())),
        move |transaction| {
            let table = committing.clone();
            async move {
                let _ = table.commit(transaction).await;
                std::future::pending::<std::result::Result<_, TableError>>().await
            }
        },
    );
    let document = booking_document(&fleet.service);
    let host = EntryEnvironment::start_on_table(&[], document, test_limits(), dying).await;
    let sending = host.send(booking(NORTH_KEY, "a", CALL));
    let died = tokio::time::timeout(Duration::from_millis(200), sending).await;
    expect_that!(died.is_err(), eq(true));
    host.server.abort();
    let again = fleet.book(1, "a").await;
    expect_that!(again.status, eq(StatusCode::CONFLICT));
    expect_that!(again.says_not_run(), eq(false));
    expect_that!(fleet.service.runs(CALL), le(1));
}

#[gtest]
#[tokio::test]
async fn service_not_reached() {
    let fleet = BookingFleet::start().await;
    fleet.service.set_fault(ServiceFault::NotRun);
    let refused = fleet.book(0, "a").await;
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(fleet.hosts[0].fleet.lock().expect("fleet").tokens_used, eq(0));
    // A call that was not run may be sent again with the same idempotency key.
    fleet.service.set_fault(ServiceFault::None);
    let response = fleet.book(1, "a").await;
    expect_that!(response.status, eq(StatusCode::OK));
    expect_that!(fleet.service.runs(CALL), eq(1));
}

#[gtest]
#[tokio::test]
async fn connection_always_fresh() {
    let fleet = BookingFleet::start().await;
    for key in ["a", "b", "c"] {
        fleet.book(0, key).await;
    }
    let seen = fleet.service.seen();
    expect_that!(seen.len(), eq(3));
    expect_that!(seen.iter().all(|request| request.index == 0), eq(true));
}

#[gtest]
#[tokio::test]
async fn key_missing() {
    let fleet = BookingFleet::start().await;
    let request = keyed_request(Method::POST, "/services/bookings/coaches", NORTH_KEY, CALL);
    let refused = fleet.hosts[0].send(request).await;
    expect_that!(refused.status, eq(StatusCode::BAD_REQUEST));
    expect_that!(refused.says_not_run(), eq(true));
    expect_that!(fleet.service.runs(CALL), eq(0));
}

#[gtest]
#[tokio::test]
async fn caller_leaves_while_call_runs() {
    let fleet = BookingFleet::start().await;
    fleet.service.set_fault(ServiceFault::Slow(Duration::from_millis(150)));
    let left = tokio::time::timeout(Duration::from_millis(50), fleet.book(0, "a")).await;
    expect_that!(left.is_err(), eq(true));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let again = fleet.book(1, "a").await;
    expect_that!(again.status, eq(StatusCode::OK));
    expect_that!(again.headers.contains_key("idempotent-replayed"), eq(true));
    expect_that!(fleet.service.runs(CALL), eq(1));
}
