//! A series of measurements at growing sizes.

use std::collections::BTreeMap;

use knapweedrill::message::Role;
use serde::{Deserialize, Serialize};

use super::{Fit, Observation, Point, Quantity};

/// What grows, and of which process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject {
    /// The role of the measured process.
    pub role: Role,
    /// What grows.
    pub grows_with: &'static str,
}

/// Measured sizes and what was observed at each.
pub type Series = Vec<(f64, Observation)>;

/// The slopes of one subject.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SweepReport {
    /// The role of the measured process.
    pub role: Role,
    /// What grows.
    pub grows_with: String,
    /// The sizes that were measured, in the first repetition.
    pub sizes: Vec<f64>,
    /// The slope of each quantity.
    pub slopes: BTreeMap<String, SlopeReport>,
}

/// The slope of one quantity.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlopeReport {
    /// The fit over the points of all repetitions.
    pub fit: Fit,
    /// The least slope of a repetition.
    pub slope_min: f64,
    /// The greatest slope of a repetition.
    pub slope_max: f64,
    /// The measured values, repetition by repetition.
    pub values: Vec<Vec<f64>>,
}

impl SweepReport {
    /// Fits lines through the repetitions of a sweep.
    pub fn new(subject: Subject, repetitions: &[Series]) -> Self {
        let slopes = Quantity::ALL
            .iter()
            .filter_map(|quantity| {
                Some((quantity.name().to_owned(), slope(*quantity, repetitions)?))
            })
            .collect();
        let first = repetitions.first().map(Vec::as_slice).unwrap_or_default();
        Self {
            role: subject.role,
            grows_with: subject.grows_with.to_owned(),
            sizes: first.iter().map(|(size, _)| *size).collect(),
            slopes,
        }
    }
}

fn slope(quantity: Quantity, repetitions: &[Series]) -> Option<SlopeReport> {
    let points: Vec<Vec<Point>> = repetitions
        .iter()
        .map(|series| {
            let point = |(x, observed): &(f64, Observation)| Point {
                x: *x,
                y: observed.value(quantity),
            };
            series.iter().map(point).collect()
        })
        .collect();
    let slopes: Vec<f64> = points
        .iter()
        .filter_map(|points| Fit::through(points))
        .map(|fit| fit.slope)
        .collect();
    Some(SlopeReport {
        fit: Fit::through(&points.concat())?,
        slope_min: slopes.iter().copied().reduce(f64::min)?,
        slope_max: slopes.iter().copied().reduce(f64::max)?,
        values: points
            .iter()
            .map(|points| points.iter().map(|point| point.y).collect())
            .collect(),
    })
}
