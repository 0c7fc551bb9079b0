//! The counters of processes.

use std::collections::BTreeMap;

use knapweedrill_derive::message;

use crate::harness::EntryApi;

const PATH: &str = "/v1/metrics";

/// The value of one metric.
#[message]
struct Reading {
    name: String,
    value: u64,
}

/// The part of the answer to `GET /v1/metrics` that is used.
#[message]
struct MetricsAnswer {
    counters: Vec<Reading>,
}

/// The sums of counters over processes.
#[derive(Debug, Clone, Default)]
pub(super) struct CounterSums {
    values: BTreeMap<String, u64>,
}

impl CounterSums {
    /// Adds the counters of a process, if it answers.
    pub(super) fn add(&mut self, process: EntryApi) {
        let answer = process.get(PATH).and_then(|answer| answer.json());
        let Ok(MetricsAnswer { counters }) = answer else {
            return;
        };
        for Reading { name, value } in counters {
            *self.values.entry(name).or_default() += value;
        }
    }

    /// Returns a counter; 0 if there is none of that name.
    pub(super) fn value(&self, name: &str) -> u64 {
        self.values.get(name).copied().unwrap_or(0)
    }

    /// Returns what was counted since an earlier reading.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        let values = self.values.iter();
        Self {
            values: values
                .map(|(name, value)| (name.clone(), value.saturating_sub(earlier.value(name))))
                .collect(),
        }
    }
}
