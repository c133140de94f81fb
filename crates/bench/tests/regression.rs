//! Fits lines to points with a known slope.

use dotterellane_bench::regression::fit_line;
use googletest::prelude::*;

#[gtest]
fn fit_line_exact() {
    let line = fit_line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    expect_that!(line.slope, near(2.0, 1e-9));
    expect_that!(line.at(400.0), near(803.0, 1e-6));
    expect_that!(line.slope_error, some(near(0.0, 1e-6)));
}

#[gtest]
fn fit_line_scattered() {
    // Calculated by hand: slope 0.8, standard error 0.3266; t(0.975, 2) is 4.303.
    let points = [(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)];
    let line = fit_line(&points).unwrap();
    expect_that!(line.slope, near(0.8, 1e-9));
    expect_that!(line.slope_error, some(near(4.303 * 0.424_264, 2e-3)));
}

#[gtest]
fn fit_line_one_size() {
    expect_that!(fit_line(&[(3.0, 1.0), (3.0, 2.0)]), none());
    expect_that!(fit_line(&[]), none());
}
