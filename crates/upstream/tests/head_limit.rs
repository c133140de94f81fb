//! Size limit of response heads.

use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dotterellane_units::RequestId;
use dotterellane_upstream::{CallLimits, CallRequest, UpstreamPool, send_call};
use googletest::prelude::*;
use http::{HeaderMap, Method};

const LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), first_byte: Duration::from_secs(2) };

// An upstream that sends informational heads forever must not keep a call, and the runtime's
// thread, busy past its timeout.
#[gtest]
#[tokio::test]
async fn call_with_endless_heads_ends() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("a bound socket");
    // A separate thread, as the call may block the runtime.
    let writer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let heads = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(100);
        let end = Instant::now() + LIMITS.first_byte * 3;
        while stream.write_all(&heads).is_ok() {
            if Instant::now() > end {
                return false;
            }
        }
        true
    });
    let call = CallRequest {
        address,
        request: RequestId(1),
        method: Method::POST,
        target: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"question"),
        dedicated_connection: false,
        echo_required: false,
        limits: LIMITS,
    };
    let failure = send_call(&UpstreamPool::default(), &call).await;
    expect_that!(failure, err(anything()));
    let closed = writer.join().expect("an end");
    expect_that!(closed, eq(true), "the connection stays open");
}
