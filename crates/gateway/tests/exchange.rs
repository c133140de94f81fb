//! The send check of a call to an upstream, and responses that come before it is sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dotterellane_gateway::exchange::{Exchange, ExchangeError, exchange, open, read_whole};
use dotterellane_gateway::response_memory::ResponseMemory;
use googletest::prelude::*;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const SPAN: Duration = Duration::from_secs(2);

/// Calls an upstream whose send check passes while connecting and returns `allowed` when the
/// request is written. Returns the error of the call and what the upstream received.
async fn call(allowed: bool) -> (ExchangeError, Vec<u8>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("a bound socket");
    let may_send = Arc::new(AtomicBool::new(true));
    let checked = may_send.clone();
    let check = Box::new(move || checked.load(Ordering::Relaxed));
    let connection = open(address, SPAN, check).await.expect("a connection");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    may_send.store(allowed, Ordering::Relaxed);
    let sending = Exchange {
        method: &Method::POST,
        target: "/order",
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"question"),
        head_timeout: SPAN,
    };
    let upstream = async move {
        let mut seen = vec![0; 1 << 10];
        let length = stream.read(&mut seen).await.unwrap_or(0);
        seen.truncate(length);
        seen
    };
    let (ended, seen) = tokio::join!(exchange(connection, sending), upstream);
    (ended.expect_err("no response"), seen)
}

// An order or a request that is queued while its host is suspended must not be sent later.
#[gtest]
#[tokio::test]
async fn call_that_is_no_longer_allowed_when_written_is_not_sent() {
    let (error, seen) = call(false).await;
    expect_that!(error, pat!(ExchangeError::Withheld { .. }));
    expect_that!(seen, is_empty());
}

#[gtest]
#[tokio::test]
async fn call_that_is_allowed_when_written_is_sent() {
    let (error, seen) = call(true).await;
    expect_that!(error, pat!(ExchangeError::Broken { .. }));
    expect_that!(seen.starts_with(b"POST /order HTTP/1.1"), eq(true));
}

// A refusal may arrive while the body is still being sent, with more bytes behind it. The rest of
// the body must not go on, and what is behind the refusal must not be read.
#[gtest]
#[tokio::test]
async fn refusal_of_a_body_that_is_still_being_sent_ends_the_call() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("a bound socket");
    let connection = open(address, SPAN, Box::new(|| true)).await.expect("a connection");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let body = Bytes::from(vec![b'q'; 64 << 20]);
    let length = body.len();
    let sending = Exchange {
        method: &Method::POST,
        target: "/",
        headers: HeaderMap::new(),
        body,
        head_timeout: SPAN,
    };
    let upstream = async move {
        let mut seen = vec![0; 1 << 10];
        let mut received = stream.read(&mut seen).await.unwrap_or(0);
        let refusal = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull";
        stream.write_all(refusal.repeat(2).as_bytes()).await.expect("sent");
        // Reads on slowly enough for the response to arrive first.
        tokio::time::sleep(Duration::from_millis(100)).await;
        while let Ok(more @ 1..) = stream.read(&mut seen).await {
            received += more;
        }
        received
    };
    let call = async {
        let response = exchange(connection, sending).await.expect("a response");
        let memory = ResponseMemory::default();
        read_whole(address, response, SPAN, &memory).await.expect("a complete response")
    };
    let ((status, headers, content), received) = tokio::join!(call, upstream);
    expect_that!(status.as_u16(), eq(503));
    expect_that!(headers.contains_key("x-not-run"), eq(true));
    expect_that!(content.as_ref(), eq(b"full"));
    expect_that!(received, lt(length));
}
