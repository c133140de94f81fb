//! Linear regression of measured costs.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Confidence level of [`MeasuredLine::slope_error`].
pub const CONFIDENCE: f64 = 0.95;

/// A least-squares line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MeasuredLine {
    /// Value of the line at size zero.
    pub intercept: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Half width of the slope's confidence interval at level [`CONFIDENCE`]; `None` with fewer
    /// than three points.
    pub slope_error: Option<f64>,
    /// Smallest measured size.
    pub from: f64,
    /// Largest measured size.
    pub to: f64,
}

impl MeasuredLine {
    /// Returns the value of the line at `size`, which may lie outside the measured sizes.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line to `(size, value)` points; `None` unless at least two sizes differ.
///
/// Uses ordinary least squares. The confidence interval uses Student's t distribution with two
/// degrees of freedom fewer than points.
pub fn fit_line(points: &[(f64, f64)]) -> Option<MeasuredLine> {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
    let sum_squares: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
    if points.is_empty() || sum_squares == 0.0 {
        return None;
    }
    let sum_products: f64 =
        points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
    let slope = sum_products / sum_squares;
    let intercept = mean_value - slope * mean_size;
    let residual_squares: f64 =
        points.iter().map(|(size, value)| (value - intercept - slope * size).powi(2)).sum();
    let sizes = points.iter().map(|(size, _)| *size);
    Some(MeasuredLine {
        intercept,
        slope,
        slope_error: slope_error(count - 2.0, residual_squares, sum_squares),
        from: sizes.clone().fold(f64::INFINITY, f64::min),
        to: sizes.fold(f64::NEG_INFINITY, f64::max),
    })
}

fn slope_error(degrees_of_freedom: f64, residual_squares: f64, sum_squares: f64) -> Option<f64> {
    let student = StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?;
    let quantile = student.inverse_cdf(0.5 + CONFIDENCE / 2.0);
    Some(quantile * (residual_squares / degrees_of_freedom / sum_squares).sqrt())
}
