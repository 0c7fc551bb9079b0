//! A metric's name and value.

use serde::Serialize;

/// A metric's name and its value when the snapshot was taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MetricValue {
    /// The published name of the metric.
    pub name: String,
    /// The value, in the unit that the name ends in, or a plain count.
    pub value: u64,
}
