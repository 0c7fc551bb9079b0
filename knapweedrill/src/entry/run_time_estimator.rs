//! Estimation of task run times from completed tasks.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::common::KindName;

/// The estimate for a task without a hint whose kind has no observations.
const DEFAULT_ESTIMATE: Duration = Duration::from_millis(200);

/// The number of tasks after which a mean turns into an exponentially weighted one.
const WINDOW_TASK_COUNT: f64 = 100.0;

/// The number of tasks in one range of hints that weigh as much as the whole kind.
const KIND_WEIGHT_TASK_COUNT: f64 = 5.0;

/// The largest estimate.
const ESTIMATE_MAX: Duration = Duration::from_secs(3600);

/// A moving mean of natural logarithms, that is a geometric mean.
#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    mean: f64,
    observed_count: f64,
}

impl LogMean {
    fn observe(&mut self, value: f64) {
        self.observed_count = (self.observed_count + 1.0).min(WINDOW_TASK_COUNT);
        self.mean += (value - self.mean) / self.observed_count;
    }
}

/// The observations of one kind.
#[derive(Debug, Default)]
struct KindObservations {
    /// Run time in seconds, normalised to a minion of speed 1, of all tasks.
    work: LogMean,
    /// Ratio of normalised run time to hint, of all tasks with a hint.
    ratio: LogMean,
    /// Ratio of normalised run time to hint, by the base-2 logarithm of the hint in milliseconds.
    ratios: BTreeMap<i32, LogMean>,
}

/// Estimates run times by the kind and the hint of a task.
///
/// Hints need not be accurate, only ordered. The estimate is the hint times the mean ratio of run
/// time to hint among tasks of the kind with hints of a similar size, blended with the mean ratio
/// of the whole kind while there are few such tasks.
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    kinds: HashMap<KindName, KindObservations>,
}

impl RunTimeEstimator {
    /// Creates an estimator without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the run time of a task on a minion with `speed_percent` of the reference speed.
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
            self.kinds
                .insert(kind.to_owned(), KindObservations::default());
        }
        let Some(observations) = self.kinds.get_mut(kind) else {
            return;
        };
        observations.work.observe(work_log);
        if let Some(hint) = nonzero(hint) {
            let ratio_log = work_log - log(hint);
            observations.ratio.observe(ratio_log);
            let ratio = observations.ratios.entry(hint_range(hint)).or_default();
            ratio.observe(ratio_log);
        }
    }

    /// Returns the estimated run time of a task on a minion of speed 1.
    pub fn estimate(&self, kind: &str, hint: Option<Duration>) -> Duration {
        let observations = self.kinds.get(kind);
        let Some(hint) = nonzero(hint) else {
            return observations
                .map_or(DEFAULT_ESTIMATE, |observations| exp(observations.work.mean));
        };
        let Some(observations) = observations else {
            return hint.min(ESTIMATE_MAX);
        };
        let range = observations
            .ratios
            .get(&hint_range(hint))
            .copied()
            .unwrap_or_default();
        let range_weight = range.observed_count / (range.observed_count + KIND_WEIGHT_TASK_COUNT);
        let ratio_log = range.mean * range_weight + observations.ratio.mean * (1.0 - range_weight);
        exp(log(hint) + ratio_log)
    }
}

fn nonzero(hint: Option<Duration>) -> Option<Duration> {
    hint.filter(|hint| !hint.is_zero())
}

fn hint_range(hint: Duration) -> i32 {
    (hint.as_secs_f64() * 1_000.0).log2().floor() as i32
}

fn log(duration: Duration) -> f64 {
    duration.as_secs_f64().max(1e-6).ln()
}

fn exp(log_s: f64) -> Duration {
    Duration::from_secs_f64(log_s.exp().min(ESTIMATE_MAX.as_secs_f64()))
}
