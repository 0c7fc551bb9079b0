//! The values of all metrics at one time.

use serde::Serialize;

/// The value of one metric.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Reading {
    /// The name of the metric.
    pub name: String,
    /// The value; the name ends in the unit unless it is a count.
    pub value: u64,
}

/// The values of all metrics of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct MetricsSnapshot {
    /// The counters, since the process started.
    pub counters: Vec<Reading>,
    /// The gauges.
    pub gauges: Vec<Reading>,
    /// Count, total and maximum of each timer, since the process started.
    pub timers: Vec<Reading>,
}

impl MetricsSnapshot {
    /// Returns the value of the metric of that name.
    pub fn value(&self, name: &str) -> Option<u64> {
        self.counters
            .iter()
            .chain(&self.gauges)
            .chain(&self.timers)
            .find(|reading| reading.name == name)
            .map(|reading| reading.value)
    }
}
