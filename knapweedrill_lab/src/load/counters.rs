//! Reads the counters of processes over HTTP.

use std::collections::BTreeMap;

use knapweedrill_derive::message;

use crate::harness::EntryApi;

const PATH: &str = "/v1/metrics";

/// The name and value of one metric.
#[message]
struct MetricValue {
    name: String,
    value: u64,
}

/// The body of the response to `GET /v1/metrics`, as far as it is used.
#[message]
struct MetricsResponse {
    counters: Vec<MetricValue>,
}

/// The sum of each counter over several processes.
#[derive(Debug, Clone, Default)]
pub(super) struct CounterSums {
    values: BTreeMap<String, u64>,
}

impl CounterSums {
    /// Adds the counters of a process; a process that doesn't answer adds nothing.
    pub(super) fn add(&mut self, process: EntryApi) {
        let response = process.get(PATH).and_then(|response| response.json());
        let Ok(MetricsResponse { counters }) = response else {
            return;
        };
        for MetricValue { name, value } in counters {
            *self.values.entry(name).or_default() += value;
        }
    }

    /// Returns the sum of a counter, or 0 if no process has a counter of that name.
    pub(super) fn value(&self, name: &str) -> u64 {
        self.values.get(name).copied().unwrap_or(0)
    }

    /// Returns the increase of each counter since an earlier reading.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        let values = self.values.iter();
        Self {
            values: values
                .map(|(name, value)| (name.clone(), value.saturating_sub(earlier.value(name))))
                .collect(),
        }
    }
}
