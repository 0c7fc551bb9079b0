//! The metrics that a daemon tells.

use knapweedrill_derive::message;

/// The answer to `GET /v1/metrics`, as far as the harness needs it.
#[message]
pub struct MetricsAnswer {
    /// The counters, since the process started.
    pub counters: Vec<MetricReading>,
}

/// The value of one metric.
#[message]
pub struct MetricReading {
    /// The name of the metric.
    pub name: String,
    /// The value.
    pub value: u64,
}

impl MetricsAnswer {
    /// Returns the value of a counter.
    pub fn counter(&self, name: &str) -> Option<u64> {
        let mut counters = self.counters.iter();
        counters
            .find(|reading| reading.name == name)
            .map(|reading| reading.value)
    }
}
