//! The stand-in runner executes orders like a real engine, and concurrent loads slow the weight
//! store down.

use std::time::Duration;

use dotterellane_protocol::placement::ReplicaState;
use dotterellane_standins::runner::{RunnerOptions, StandinRunner};
use dotterellane_standins::weight_store::SharedBandwidth;
use dotterellane_units::{ByteSize, ClockInstant, FenceNumber};
use dotterellane_upstream::orders::{FenceOrder, LoadOrder, OrderError, RunnerOrders, UnloadOrder};
use googletest::prelude::*;

fn load_order(fence: u64) -> LoadOrder {
    LoadOrder {
        fence: FenceNumber(fence),
        model: "draft-7b".parse().unwrap(),
        adapter: None,
        version: "v1".parse().unwrap(),
        memory: ByteSize::mebibytes(64),
    }
}

#[gtest]
#[tokio::test]
async fn load_old_fence() -> googletest::Result<()> {
    let runner = StandinRunner::new(RunnerOptions::default());
    let server = runner.start().await.or_fail()?;
    let orders = RunnerOrders::http(server.address);
    orders.raise_fence(FenceOrder { fence: FenceNumber(5) }).await.or_fail()?;
    let stale = orders.load(load_order(4)).await;
    expect_that!(
        stale,
        err(matches_pattern!(OrderError::Stale { current: eq(&FenceNumber(5)), .. }))
    );
    let again = orders.raise_fence(FenceOrder { fence: FenceNumber(5) }).await;
    expect_that!(again, err(matches_pattern!(OrderError::Stale { .. })));
    expect_that!(orders.list().await.or_fail()?.replicas, is_empty());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn load_then_unload() -> googletest::Result<()> {
    let runner = StandinRunner::new(RunnerOptions::default());
    let server = runner.start().await.or_fail()?;
    let orders = RunnerOrders::http(server.address);
    orders.load(load_order(1)).await.or_fail()?;
    let listing = orders.list().await.or_fail()?;
    expect_that!(listing.replicas, len(eq(1)));
    expect_that!(listing.replicas[0].state, eq(ReplicaState::Loaded));
    expect_that!(runner.state().loaded.contains_key("draft-7b"), eq(true));
    let unload = UnloadOrder { fence: FenceNumber(2), model: load_order(1).model, adapter: None };
    orders.unload(unload).await.or_fail()?;
    expect_that!(orders.list().await.or_fail()?.used, eq(ByteSize(0)));
    // A duplicate of the load order arrives late, with a fencing number that is stale by now.
    let late = orders.load(load_order(1)).await;
    expect_that!(late, err(matches_pattern!(OrderError::Stale { .. })));
    Ok(())
}

#[gtest]
fn shared_bandwidth_beyond_full_speed() {
    let mut bandwidth = SharedBandwidth::new(4);
    for _ in 0..8 {
        bandwidth.begin(ClockInstant(0), Duration::from_secs(1));
    }
    // Eight concurrent loads run at half speed.
    expect_that!(bandwidth.advance(ClockInstant::from_millis(1_990)), is_empty());
    expect_that!(bandwidth.advance(ClockInstant::from_millis(2_010)), len(eq(8)));
}

#[gtest]
fn shared_bandwidth_unequal_loads() {
    let mut bandwidth = SharedBandwidth::new(1);
    let long = bandwidth.begin(ClockInstant(0), Duration::from_secs(3));
    let short = bandwidth.begin(ClockInstant(0), Duration::from_secs(1));
    expect_that!(bandwidth.advance(ClockInstant::from_millis(2_001)), elements_are![eq(&short)]);
    expect_that!(bandwidth.advance(ClockInstant::from_millis(3_990)), is_empty());
    expect_that!(bandwidth.advance(ClockInstant::from_millis(4_001)), elements_are![eq(&long)]);
}

#[gtest]
#[tokio::test]
async fn stream_last_word_has_finish_reason() -> googletest::Result<()> {
    let runner = StandinRunner::new(RunnerOptions::default());
    let server = runner.start().await.or_fail()?;
    let orders = RunnerOrders::http(server.address);
    orders.load(load_order(1)).await.or_fail()?;
    let body = r#"{"model":"draft-7b","prompt":"one two","max_tokens":3,"stream":true}"#;
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http();
    for path in ["/v1/completions", "/v1/chat/completions"] {
        let request = http::Request::post(format!("http://{}{path}", server.address))
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(bytes::Bytes::from(body)))
            .or_fail()?;
        let response = client.request(request).await.or_fail()?.into_body();
        let text = http_body_util::BodyExt::collect(response).await.or_fail()?.to_bytes();
        let text = String::from_utf8_lossy(&text).into_owned();
        let has_finish_reason: Vec<bool> = text
            .lines()
            .filter(|line| line.contains(r#""index":0"#))
            .map(|line| line.contains(r#""finish_reason":"length""#))
            .collect();
        expect_that!(has_finish_reason, eq(&vec![false, false, true]), "{path}");
    }
    Ok(())
}
