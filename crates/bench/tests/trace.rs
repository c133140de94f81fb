//! Traces depend only on their seed and have the requested rate and skew.

use std::time::Duration;

use dotterellane_bench::trace::{TraceShape, draw_trace};
use googletest::prelude::*;

fn shape(seed: u64) -> TraceShape {
    TraceShape {
        rate: 50.0,
        length: Duration::from_secs(100),
        skew: 1.1,
        seed,
        entries: 3,
        teams: 2,
        models: 20,
    }
}

#[gtest]
fn draw_trace_same_seed() {
    expect_that!(draw_trace(&shape(7)).unwrap() == draw_trace(&shape(7)).unwrap(), eq(true));
    expect_that!(draw_trace(&shape(7)).unwrap() == draw_trace(&shape(8)).unwrap(), eq(false));
}

#[gtest]
fn draw_trace_rate_and_skew() {
    let arrivals = draw_trace(&shape(7)).unwrap();
    // The expected count is 5,000, and five standard deviations are 354.
    expect_that!(arrivals.len(), all!(gt(4_646), lt(5_354)));
    let count = |model| arrivals.iter().filter(|arrival| arrival.model == model).count();
    expect_that!(count(0), gt(count(19) * 5));
    expect_that!(arrivals.is_sorted_by_key(|arrival| arrival.at), eq(true));
}

#[gtest]
fn draw_trace_no_models() {
    expect_that!(draw_trace(&TraceShape { models: 0, ..shape(7) }), err(anything()));
}
