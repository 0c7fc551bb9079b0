//! The log of the platform with metrics.

use std::sync::Arc;
use std::time::Instant;

use knapweedrill::common::LogOffset;

use super::{AppendError, LogPage, PlatformLog};
use crate::telemetry::{Counter, Metrics, Timer};

/// Counts and times the calls to a log.
pub struct TimedLog<L> {
    log: L,
    metrics: Arc<Metrics>,
}

impl<L> TimedLog<L> {
    /// Wraps a log.
    pub fn new(log: L, metrics: Arc<Metrics>) -> Self {
        Self { log, metrics }
    }

    fn timed<T, E>(&self, call: impl FnOnce(&L) -> Result<T, E>) -> Result<T, E> {
        let began = Instant::now();
        let result = call(&self.log);
        self.metrics
            .record_duration(Timer::LogCall, began.elapsed());
        if result.is_err() {
            self.metrics.add(Counter::LogErrors, 1);
        }
        result
    }
}

impl<L: PlatformLog> PlatformLog for TimedLog<L> {
    fn append(&self, body: &str) -> Result<LogOffset, AppendError> {
        let result = self.timed(|log| log.append(body));
        if result.is_ok() {
            self.metrics.add(Counter::LogAppends, 1);
        }
        result
    }

    fn read(&self, from: LogOffset) -> eyre::Result<LogPage> {
        self.timed(|log| log.read(from))
    }
}
