//! A snapshot of all metrics of a process.

use serde::Serialize;

use super::MetricValue;

/// The values of all metrics of a process at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct MetricsSnapshot {
    /// The counters, accumulated since the process started.
    pub counters: Vec<MetricValue>,
    /// The current levels of the gauges.
    pub gauges: Vec<MetricValue>,
    /// The count, total and maximum of each timer since the process started.
    pub timers: Vec<MetricValue>,
}

impl MetricsSnapshot {
    /// Returns the value of the metric named `name`, or `None` if there is no such metric.
    pub fn value(&self, name: &str) -> Option<u64> {
        self.counters
            .iter()
            .chain(&self.gauges)
            .chain(&self.timers)
            .find(|metric| metric.name == name)
            .map(|metric| metric.value)
    }
}
