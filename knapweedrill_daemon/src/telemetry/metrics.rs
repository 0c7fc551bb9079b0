//! The metrics of a process, stored in atomics.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::{Counter, Gauge, MetricValue, MetricsSnapshot, Timer};

/// The counters, gauges and timers of a process, shared between its threads.
///
/// Updates are cheap enough for the hot path of a task: one relaxed atomic operation for a counter
/// or gauge, three for a timer.
#[derive(Debug)]
pub struct Metrics {
    counters: Vec<AtomicU64>,
    gauges: Vec<AtomicU64>,
    timers: Vec<TimerCell>,
}

/// Number, sum and maximum of the durations of one timer.
#[derive(Debug, Default)]
struct TimerCell {
    count: AtomicU64,
    total_us: AtomicU64,
    max_us: AtomicU64,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics whose values are all zero.
    pub fn new() -> Self {
        Self {
            counters: zeroed_cells(Counter::ALL.len()),
            gauges: zeroed_cells(Gauge::ALL.len()),
            timers: zeroed_cells(Timer::ALL.len()),
        }
    }

    /// Adds `n` to a counter.
    pub fn add(&self, counter: Counter, n: u64) {
        self.counters[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Raises a counter to `value`, unless it is higher already.
    ///
    /// Publishes totals that another component accumulates.
    pub fn raise_to(&self, counter: Counter, value: u64) {
        self.counters[counter as usize].fetch_max(value, Ordering::Relaxed);
    }

    /// Returns the current value of a counter.
    pub fn counter(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Sets a gauge to `level`.
    pub fn set(&self, gauge: Gauge, level: u64) {
        self.gauges[gauge as usize].store(level, Ordering::Relaxed);
    }

    /// Returns the current level of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        self.gauges[gauge as usize].load(Ordering::Relaxed)
    }

    /// Records one duration, at a resolution of 1 us.
    pub fn record_duration(&self, timer: Timer, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let cell = &self.timers[timer as usize];
        cell.count.fetch_add(1, Ordering::Relaxed);
        cell.total_us.fetch_add(us, Ordering::Relaxed);
        cell.max_us.fetch_max(us, Ordering::Relaxed);
    }

    /// Returns the current values of all metrics.
    ///
    /// The values are read one by one, so updates on other threads may fall in between.
    pub fn snapshot(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            counters: Counter::ALL
                .iter()
                .map(|counter| metric_value(counter.name(), self.counter(*counter)))
                .collect(),
            gauges: Gauge::ALL
                .iter()
                .map(|gauge| metric_value(gauge.name(), self.gauge(*gauge)))
                .collect(),
            timers: Timer::ALL
                .iter()
                .flat_map(|timer| self.timer_values(*timer))
                .collect(),
        }
    }

    fn timer_values(&self, timer: Timer) -> [MetricValue; 3] {
        let cell = &self.timers[timer as usize];
        let name = timer.name();
        [
            metric_value(&format!("{name}.count"), load(&cell.count)),
            metric_value(&format!("{name}.total_us"), load(&cell.total_us)),
            metric_value(&format!("{name}.max_us"), load(&cell.max_us)),
        ]
    }
}

fn zeroed_cells<T: Default>(count: usize) -> Vec<T> {
    std::iter::repeat_with(T::default).take(count).collect()
}

fn load(cell: &AtomicU64) -> u64 {
    cell.load(Ordering::Relaxed)
}

fn metric_value(name: &str, value: u64) -> MetricValue {
    MetricValue {
        name: name.to_owned(),
        value,
    }
}
