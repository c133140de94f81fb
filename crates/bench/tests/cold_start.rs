//! No policy beats the lower bounds, and the simulation is deterministic.

use dotterellane_bench::cold_start::{ColdStartOptions, run};
use googletest::prelude::*;

const SHORT: ColdStartOptions = ColdStartOptions { hours: 4.0, seed: 7, seeds: 1 };

#[gtest]
fn run_bounds_not_beaten() -> googletest::Result<()> {
    for row in run(&SHORT).or_fail()? {
        // A ratio below 1 would mean that the lower bound is wrong.
        expect_that!(row.p99_over_bound, ge(0.999), "{} {}", row.fleet, row.policy);
        expect_that!(row.idle_over_optimum, ge(0.999), "{} {}", row.fleet, row.policy);
        expect_that!(row.cold_requests, ge(row.loads));
    }
    Ok(())
}

#[gtest]
fn run_histogram_tail_target() -> googletest::Result<()> {
    for row in run(&SHORT).or_fail()? {
        if row.policy == "histogram" {
            expect_that!(row.p99_over_bound, le(1.25), "{}", row.fleet);
        }
    }
    Ok(())
}

#[gtest]
fn run_same_seed() -> googletest::Result<()> {
    let figures = |rows: Vec<dotterellane_bench::cold_start::ColdStartRow>| {
        rows.iter().map(|row| (row.loads, row.cold_requests)).collect::<Vec<_>>()
    };
    let first = figures(run(&SHORT).or_fail()?);
    expect_that!(figures(run(&SHORT).or_fail()?), eq(&first));
    Ok(())
}

#[gtest]
fn run_length_not_positive() {
    expect_that!(run(&ColdStartOptions { hours: 0.0, ..SHORT }), err(anything()));
}
