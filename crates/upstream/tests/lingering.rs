//! Lingering close of a connection whose client is still sending.

use std::time::Duration;

use dotterellane_upstream::lingering::LingeringStream;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, timeout};

const PIPE_BYTES: usize = 64 * 1024;
const LONG_WAIT: Duration = Duration::from_secs(60);

async fn close_after(caller: impl AsyncFnOnce(DuplexStream)) -> Duration {
    let (near, far) = duplex(PIPE_BYTES);
    let mut stream = LingeringStream::new(near);
    let closing = async {
        let started = Instant::now();
        stream.write_all(b"the last answer").await.expect("written");
        let closed = timeout(LONG_WAIT, stream.shutdown()).await;
        closed.expect("an end").expect("closed");
        drop(stream);
        started.elapsed()
    };
    tokio::join!(closing, caller(far)).0
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn close_peer_reads_late() {
    let took = close_after(async |mut far| {
        for _ in 0..32 {
            expect_that!(far.write_all(&[b'x'; PIPE_BYTES]).await, ok(anything()));
        }
        let mut response = Vec::new();
        expect_that!(far.read_to_end(&mut response).await, ok(anything()));
        expect_that!(response, eq(b"the last answer"));
    });
    expect_that!(took.await, le(Duration::from_millis(10)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn close_peer_is_silent() {
    let took = close_after(async |far| {
        tokio::time::sleep(Duration::from_secs(3)).await;
        drop(far);
    });
    expect_that!(
        took.await,
        all![ge(Duration::from_millis(900)), le(Duration::from_millis(1_100))]
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn close_peer_never_stops_sending() {
    let took = close_after(async |mut far| {
        let mut sent = 0_usize;
        while far.write_all(&[b'x'; PIPE_BYTES]).await.is_ok() {
            sent = sent.saturating_add(PIPE_BYTES);
        }
        expect_that!(sent, le(5 << 20));
    });
    expect_that!(took.await, le(Duration::from_millis(10)));
}
