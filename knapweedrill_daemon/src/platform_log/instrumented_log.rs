//! Metrics of the calls to the platform log.

use std::sync::Arc;
use std::time::Instant;

use knapweedrill::common::LogOffset;

use super::{AppendError, LogPage, PlatformLog};
use crate::telemetry::{Counter, Metrics, Timer};

/// Wraps a log and records the count, errors and durations of its calls.
pub struct InstrumentedLog<L> {
    log: L,
    metrics: Arc<Metrics>,
}

impl<L> InstrumentedLog<L> {
    /// Wraps `log` and records to `metrics`.
    pub fn new(log: L, metrics: Arc<Metrics>) -> Self {
        Self { log, metrics }
    }

    fn measure<T, E>(&self, call: impl FnOnce(&L) -> Result<T, E>) -> Result<T, E> {
        let started_at = Instant::now();
        let result = call(&self.log);
        self.metrics
            .record_duration(Timer::LogCall, started_at.elapsed());
        if result.is_err() {
            self.metrics.add(Counter::LogErrors, 1);
        }
        result
    }
}

impl<L: PlatformLog> PlatformLog for InstrumentedLog<L> {
    fn append(&self, body: &str) -> Result<LogOffset, AppendError> {
        let result = self.measure(|log| log.append(body));
        if result.is_ok() {
            self.metrics.add(Counter::LogAppends, 1);
        }
        result
    }

    fn read(&self, from: LogOffset) -> eyre::Result<LogPage> {
        self.measure(|log| log.read(from))
    }
}
