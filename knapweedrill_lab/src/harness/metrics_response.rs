//! Response body with the metrics of a daemon.

use knapweedrill_derive::message;

/// The response body of `GET /v1/metrics`, as far as the harness needs it.
#[message]
pub struct MetricsResponse {
    /// The counters; each counts from the start of the process.
    pub counters: Vec<MetricValue>,
}

/// The value of one metric.
#[message]
pub struct MetricValue {
    /// The name of the metric.
    pub name: String,
    /// The value at the time of the response.
    pub value: u64,
}

impl MetricsResponse {
    /// Returns the value of a counter, or `None` if there is no counter with this name.
    pub fn counter(&self, name: &str) -> Option<u64> {
        let mut counters = self.counters.iter();
        counters
            .find(|metric| metric.name == name)
            .map(|metric| metric.value)
    }
}
