//! The send check of a call to an upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dotterellane_gateway::exchange::{Exchange, ExchangeError, exchange, open};
use googletest::prelude::*;
use http::{HeaderMap, Method};
use tokio::io::AsyncReadExt;
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
