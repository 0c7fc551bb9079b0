//! The findings of the demo.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::QueueReport;

/// The findings of the demo.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DemoReport {
    /// The results of each queue, the most urgent first.
    pub queues: Vec<QueueReport>,
    /// The number of task runs on all minions.
    pub run_count: usize,
    /// Tasks that ran twice at the same time, which violates a guarantee.
    pub overlapping_runs: Vec<String>,
    /// Refused jobs of which a task ran, which violates a guarantee.
    pub untrue_refusals: Vec<String>,
    /// The number of requests to the store.
    pub store_call_count: u64,
}

impl DemoReport {
    /// Returns whether all guarantees held and more than half of the jobs completed.
    pub fn is_passed(&self) -> bool {
        let completed_count: usize = self.queues.iter().map(|queue| queue.completed_count).sum();
        let asked_count: usize = self.queues.iter().map(|queue| queue.asked_count).sum();
        let are_guarantees_kept =
            self.overlapping_runs.is_empty() && self.untrue_refusals.is_empty();
        are_guarantees_kept && asked_count > 0 && completed_count * 2 > asked_count
    }
}

/// Returns the median and the 99th percentile of response times, in milliseconds.
pub(super) fn percentiles_ms(times: &[Duration]) -> (u64, u64) {
    let mut histogram: Histogram<u64> =
        Histogram::new(3).expect("3 significant digits are supported");
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "queue     asked  completed  refused  failed  median ms  p99 ms"
        )?;
        for queue in &self.queues {
            writeln!(
                f,
                "{:<8} {:>6} {:>10} {:>8} {:>7} {:>10} {:>7}",
                queue.queue,
                queue.asked_count,
                queue.completed_count,
                queue.refused_count,
                queue.failed_count,
                queue.median_ms,
                queue.p99_ms
            )?;
        }
        let verdict = |broken: &[String]| match broken {
            [] => "held".to_owned(),
            broken => format!("BROKEN\n  {}", broken.join("\n  ")),
        };
        writeln!(
            f,
            "\n{} runs, {} calls of the store",
            self.run_count, self.store_call_count
        )?;
        writeln!(
            f,
            "one run of a task at a time: {}",
            verdict(&self.overlapping_runs)
        )?;
        writeln!(
            f,
            "what was refused has not run: {}",
            verdict(&self.untrue_refusals)
        )?;
        writeln!(f, "{}", if self.is_passed() { "PASSED" } else { "FAILED" })
    }
}
