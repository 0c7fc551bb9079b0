//! How long tasks are expected to run, learned from what ran.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::common::KindName;

/// What is expected of a task of which neither hint nor kind tells anything.
const EXPECTED_UNKNOWN: Duration = Duration::from_millis(200);

/// The number of tasks that a mean looks back over.
const MEMORY_COUNT: f64 = 100.0;

/// How many tasks of one range of hints weigh as much as all that is known of the kind.
const KIND_WEIGHT_COUNT: f64 = 5.0;

/// The longest run time that is expected of any task.
const EXPECTED_MAX: Duration = Duration::from_secs(3600);

/// A mean over the last tasks, of a logarithm.
#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    mean: f64,
    observed_count: f64,
}

impl LogMean {
    fn observe(&mut self, value: f64) {
        self.observed_count = (self.observed_count + 1.0).min(MEMORY_COUNT);
        self.mean += (value - self.mean) / self.observed_count;
    }
}

/// What is known of one kind of work.
#[derive(Debug, Default)]
struct KindRunTime {
    /// The work of any task of the kind, in seconds.
    work: LogMean,
    /// The work over the hint, of all tasks with a hint.
    ratio: LogMean,
    /// The work over the hint, by the power of two that the hint in milliseconds lies at.
    ratios: BTreeMap<i32, LogMean>,
}

/// Expects run times by kind of work and hint.
///
/// Hints only need to rank tasks. A hint is corrected by how far tasks of the kind with hints
/// of that size were off, and by how far the whole kind was off as long as those are few.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: HashMap<KindName, KindRunTime>,
}

impl RunTimes {
    /// Creates a table that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns from a task that held a slot of a minion of `speed_percent` for `run_time`.
    pub fn observe(
        &mut self,
        kind: &str,
        hint: Option<Duration>,
        run_time: Duration,
        speed_percent: u32,
    ) {
        let speed = f64::from(speed_percent.max(1)) / 100.0;
        let work_log = log(run_time) + speed.ln();
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_owned(), KindRunTime::default());
        }
        let Some(known) = self.kinds.get_mut(kind) else {
            return;
        };
        known.work.observe(work_log);
        if let Some(hint) = usable(hint) {
            let ratio_log = work_log - log(hint);
            known.ratio.observe(ratio_log);
            let ratio = known.ratios.entry(hint_range(hint)).or_default();
            ratio.observe(ratio_log);
        }
    }

    /// Returns how long a task is expected to run on a minion of speed 1.
    pub fn expected(&self, kind: &str, hint: Option<Duration>) -> Duration {
        let known = self.kinds.get(kind);
        let Some(hint) = usable(hint) else {
            return known.map_or(EXPECTED_UNKNOWN, |known| exp(known.work.mean));
        };
        let Some(known) = known else {
            return hint.min(EXPECTED_MAX);
        };
        let range = known
            .ratios
            .get(&hint_range(hint))
            .copied()
            .unwrap_or_default();
        let range_weight = range.observed_count / (range.observed_count + KIND_WEIGHT_COUNT);
        let ratio_log = range.mean * range_weight + known.ratio.mean * (1.0 - range_weight);
        exp(log(hint) + ratio_log)
    }
}

fn usable(hint: Option<Duration>) -> Option<Duration> {
    hint.filter(|hint| !hint.is_zero())
}

fn hint_range(hint: Duration) -> i32 {
    (hint.as_secs_f64() * 1_000.0).log2().floor() as i32
}

fn log(time: Duration) -> f64 {
    time.as_secs_f64().max(1e-6).ln()
}

fn exp(log: f64) -> Duration {
    Duration::from_secs_f64(log.exp().min(EXPECTED_MAX.as_secs_f64()))
}
