//! What is measured of one daemon.

use std::time::{Duration, Instant};

use eyre::Result;
use knapweedrill_derive::message;

use super::{Bench, ProcessUsage};

/// The metrics that a daemon tells.
#[message]
pub struct MetricsAnswer {
    counters: Vec<Reading>,
    gauges: Vec<Reading>,
}

/// The value of one metric.
#[message]
pub struct Reading {
    name: String,
    value: u64,
}

impl MetricsAnswer {
    /// Returns the value of a counter or gauge; one that is not told is 0.
    pub fn value(&self, name: &str) -> u64 {
        self.counters
            .iter()
            .chain(&self.gauges)
            .find(|reading| reading.name == name)
            .map_or(0, |reading| reading.value)
    }

    fn sum(&self, names: [&str; 2]) -> u64 {
        names.iter().map(|name| self.value(name)).sum()
    }
}

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Control messages and heartbeats a second, both ways.
    ControlMessages,
    /// Bytes of control messages and heartbeats a second, both ways.
    ControlBytes,
    /// Messages a second that carry tasks or results, both ways.
    TaskMessages,
    /// Bytes a second of those.
    TaskBytes,
    /// Processor time of the control thread, in per cent of a core.
    ControlThread,
    /// Processor time of all other threads, in per cent of a core.
    OtherThreads,
    /// Memory in use, in bytes.
    Memory,
}

impl Quantity {
    /// All quantities.
    pub const ALL: [Self; 7] = [
        Self::ControlMessages,
        Self::ControlBytes,
        Self::TaskMessages,
        Self::TaskBytes,
        Self::ControlThread,
        Self::OtherThreads,
        Self::Memory,
    ];

    /// Returns the name with its unit.
    pub fn name(self) -> &'static str {
        match self {
            Self::ControlMessages => "control messages/s",
            Self::ControlBytes => "control bytes/s",
            Self::TaskMessages => "task messages/s",
            Self::TaskBytes => "task bytes/s",
            Self::ControlThread => "control thread, % of a core",
            Self::OtherThreads => "other threads, % of a core",
            Self::Memory => "memory, bytes",
        }
    }
}

/// What a daemon used and sent during a time.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    values: [f64; Quantity::ALL.len()],
    starts_per_s: f64,
    changes_per_s: f64,
}

impl Observation {
    /// Observes a daemon for a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer.
    pub fn over(bench: &Bench, window: Duration) -> Result<Self> {
        let began = Instant::now();
        let (metrics_before, before) = read(bench)?;
        std::thread::sleep(window);
        let (metrics_after, after) = read(bench)?;
        let seconds = began.elapsed().as_secs_f64();
        let rate = |names: [&str; 2]| {
            let grown = metrics_after
                .sum(names)
                .saturating_sub(metrics_before.sum(names));
            grown as f64 / seconds
        };
        let percent = |duration: Duration| 100.0 * duration.as_secs_f64() / seconds;
        let control = after.control.saturating_sub(before.control);
        let total = after.total.saturating_sub(before.total);
        Ok(Self {
            values: [
                rate(["control.messages_sent", "control.messages_received"]),
                rate(["control.bytes_sent", "control.bytes_received"]),
                rate([
                    "task_traffic.messages_sent",
                    "task_traffic.messages_received",
                ]),
                rate(["task_traffic.bytes_sent", "task_traffic.bytes_received"]),
                percent(control),
                percent(total.saturating_sub(control)),
                after.resident_bytes as f64,
            ],
            starts_per_s: rate(["tasks.handed_out", "tasks.started"]),
            changes_per_s: rate(["configuration.in_force", "configuration.rejected"]),
        })
    }

    /// Returns a value.
    pub fn value(&self, quantity: Quantity) -> f64 {
        self.values[quantity as usize]
    }

    /// Returns how many configurations came into force, or were void, a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_s
    }

    /// Returns how many tasks the daemon started or handed out a second.
    pub fn starts_per_s(&self) -> f64 {
        self.starts_per_s
    }
}

fn read(bench: &Bench) -> Result<(MetricsAnswer, ProcessUsage)> {
    Ok((bench.metrics()?, ProcessUsage::read(bench.process_id())?))
}
