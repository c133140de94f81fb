//! Upstreams that stop in the middle of the head of their response and close the connection.

mod support;

use std::time::Duration;

use dotterellane_settings::document::{CallKind, CallerScope};
use dotterellane_standins::raw_http::{ConnectionAction, RawServer};
use futures::FutureExt;
use googletest::prelude::*;
use http::Method;
use support::{
    EntryEnvironment, NORTH_KEY, add_service, chat_request, keyed_request, service_entry,
    test_document, test_limits,
};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

// Guards against a head that ends early being passed on as a whole response, or as one that was not
// run.
#[gtest]
#[tokio::test]
async fn head_that_ends_early_is_no_response() {
    let line = "HTTP/1.1 200 OK\r\n";
    let named = format!("{line}x-request-id: ID\r\n");
    let heads = [
        "HTTP/1.1 200".to_owned(),
        line.to_owned(),
        named.clone(),
        format!("{named}content-length: 1"),
        format!("{named}content-length: 0\r\n\r"),
        format!("{named}transfer-encoding: chun"),
        format!("{named}content-type: text/event-stream\r\n"),
        "HTTP/1.0 200 OK\r\nx-request-id: ID\r\n".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        format!("HTTP/1.1 103 Early Hints\r\n\r\n{named}"),
    ];
    for head in heads {
        let text = head.clone();
        let server = RawServer::start(move |request, stream| {
            let head = text.replace("ID", request.header("x-request-id").unwrap_or(""));
            async move {
                stream.write_all(head.as_bytes()).await?;
                // Gives the bytes time to arrive before the connection ends.
                sleep(Duration::from_millis(20)).await;
                Ok(ConnectionAction::Close)
            }
            .boxed()
        });
        let server = server.await.expect("a port");
        let mut document = test_document();
        for (name, kind) in [("timetable", CallKind::Repeatable), ("once", CallKind::OnceOnly)] {
            let entry = service_entry(kind, CallerScope::AllTeams);
            add_service(&mut document, name, entry, server.address());
        }
        let entry =
            EntryEnvironment::start_with(&[server.address()], document, test_limits()).await;
        let service = |name: &str| {
            let mut call =
                keyed_request(Method::POST, &format!("/services/{name}/x"), NORTH_KEY, "body");
            call.headers_mut().insert("idempotency-key", "k1".parse().expect("a value"));
            call
        };
        let requests = [
            chat_request(false, 5, "hello"),
            chat_request(true, 5, "hello"),
            service("timetable"),
            service("once"),
        ];
        for request in requests {
            let case = format!("{head:?} {}", request.uri());
            let response = entry.send(request).await;
            let is_failure = response.status.is_server_error() || response.error_code() != "";
            expect_that!(is_failure, eq(true), "{case}: {response:?}");
            expect_that!(response.body, not(contains_substring("[DONE]")), "{case}");
            expect_that!(response.says_not_run(), eq(false), "{case}: {response:?}");
        }
    }
}
