//! Straight lines through measured points.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Confidence of the intervals that are given.
pub const CONFIDENCE: f64 = 0.95;

/// A least-squares line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MeasuredLine {
    /// Value at zero.
    pub intercept: f64,
    /// Growth of the value a unit.
    pub slope: f64,
    /// Half width of the slope's interval of [`CONFIDENCE`]; absent with fewer than three points.
    pub slope_error: Option<f64>,
    /// Smallest measured size.
    pub from: f64,
    /// Largest measured size.
    pub to: f64,
}

impl MeasuredLine {
    /// Returns the value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line through `(size, value)` points; `None` unless two sizes differ.
///
/// Ordinary least squares; the interval is Student's t with two degrees fewer than points.
pub fn fit_line(points: &[(f64, f64)]) -> Option<MeasuredLine> {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
    if points.is_empty() || spread == 0.0 {
        return None;
    }
    let shared: f64 =
        points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
    let slope = shared / spread;
    let intercept = mean_value - slope * mean_size;
    let residual: f64 =
        points.iter().map(|(size, value)| (value - intercept - slope * size).powi(2)).sum();
    let sizes = points.iter().map(|(size, _)| *size);
    Some(MeasuredLine {
        intercept,
        slope,
        slope_error: slope_error(count - 2.0, residual, spread),
        from: sizes.clone().fold(f64::INFINITY, f64::min),
        to: sizes.fold(f64::NEG_INFINITY, f64::max),
    })
}

fn slope_error(freedom: f64, residual: f64, spread: f64) -> Option<f64> {
    let student = StudentsT::new(0.0, 1.0, freedom).ok()?;
    let quantile = student.inverse_cdf(0.5 + CONFIDENCE / 2.0);
    Some(quantile * (residual / freedom / spread).sqrt())
}
