//! Straight lines through measured points.

use serde::{Deserialize, Serialize};

/// A measured value at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The value.
    pub y: f64,
}

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The growth of the value for each unit of size.
    pub slope: f64,
    /// The value at size 0.
    pub intercept: f64,
    /// The root of the mean squared distance of the points from the line.
    pub residual: f64,
}

impl Fit {
    /// Fits a line; points at fewer than two sizes have none.
    pub fn through(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread_x == 0.0 {
            return None;
        }
        let joint: f64 = points
            .iter()
            .map(|point| (point.x - mean_x) * (point.y - mean_y))
            .sum();
        let slope = joint / spread_x;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points
            .iter()
            .map(|point| (point.y - intercept - slope * point.x).powi(2))
            .sum();
        Some(Self {
            slope,
            intercept,
            residual: (squares / count).sqrt(),
        })
    }
}
