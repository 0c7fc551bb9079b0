//! The metrics of a process, held in atomics.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::{Counter, Gauge, MetricsSnapshot, Reading, Timer};

/// The metrics of a process.
///
/// Every method is cheap enough for the path of a task: one relaxed atomic operation a counter
/// or gauge, three a timer.
#[derive(Debug)]
pub struct Metrics {
    counters: Vec<AtomicU64>,
    gauges: Vec<AtomicU64>,
    timers: Vec<TimerCell>,
}

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
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        Self {
            counters: cells(Counter::ALL.len()),
            gauges: cells(Gauge::ALL.len()),
            timers: cells(Timer::ALL.len()),
        }
    }

    /// Adds `n` to a counter.
    pub fn count(&self, counter: Counter, n: u64) {
        self.counters[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Raises a counter to a total that is counted elsewhere; it never falls.
    pub fn raise_to(&self, counter: Counter, total: u64) {
        self.counters[counter as usize].fetch_max(total, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn counter(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, level: u64) {
        self.gauges[gauge as usize].store(level, Ordering::Relaxed);
    }

    /// Returns the value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        self.gauges[gauge as usize].load(Ordering::Relaxed)
    }

    /// Adds one duration to a timer.
    pub fn time(&self, timer: Timer, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let cell = &self.timers[timer as usize];
        cell.count.fetch_add(1, Ordering::Relaxed);
        cell.total_us.fetch_add(us, Ordering::Relaxed);
        cell.max_us.fetch_max(us, Ordering::Relaxed);
    }

    /// Returns the values of all metrics.
    pub fn snapshot(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            counters: Counter::ALL
                .iter()
                .map(|counter| reading(counter.name(), self.counter(*counter)))
                .collect(),
            gauges: Gauge::ALL
                .iter()
                .map(|gauge| reading(gauge.name(), self.gauge(*gauge)))
                .collect(),
            timers: Timer::ALL
                .iter()
                .flat_map(|timer| self.timer_readings(*timer))
                .collect(),
        }
    }

    fn timer_readings(&self, timer: Timer) -> [Reading; 3] {
        let cell = &self.timers[timer as usize];
        let name = timer.name();
        [
            reading(&format!("{name}.count"), load(&cell.count)),
            reading(&format!("{name}.total_us"), load(&cell.total_us)),
            reading(&format!("{name}.max_us"), load(&cell.max_us)),
        ]
    }
}

fn cells<T: Default>(count: usize) -> Vec<T> {
    std::iter::repeat_with(T::default).take(count).collect()
}

fn load(cell: &AtomicU64) -> u64 {
    cell.load(Ordering::Relaxed)
}

fn reading(name: &str, value: u64) -> Reading {
    Reading {
        name: name.to_owned(),
        value,
    }
}
