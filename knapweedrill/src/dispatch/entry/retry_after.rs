//! When refused callers may submit their job again.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use super::admission::Admission;
use super::job::Job;
use crate::dispatch::JobName;

/// The range of the retry delay of callers that are refused for other reasons than load, in seconds.
/// The delay is derived from the name of the job, so that they do not all return at once.
const UNRELATED_TO_LOAD_S: (u64, u64) = (1, 3);

/// The minimum retry delay, in seconds: the least that the header can say.
const RETRY_AFTER_MIN_S: u64 = 1;

/// The maximum retry delay, in seconds. Longer predictions are of no use, as most bursts are over by
/// then.
const RETRY_AFTER_MAX_S: u64 = 5;

/// The maximum jitter that is added to a predicted delay, in seconds.
const JITTER_MAX_S: u64 = 1;

/// Returns the retry delay of the callers of a job that was refused for other reasons than load.
pub(super) fn retry_after(name: JobName) -> Duration {
    let (min_s, max_s) = UNRELATED_TO_LOAD_S;
    Duration::from_secs(min_s + name.0 % (max_s - min_s + 1))
}

/// The work that an entry has to place before a refused job.
#[derive(Debug, Default, Clone, Copy)]
pub struct Backlog {
    /// The work of all waiting tasks, in millicores times milliseconds.
    pub waiting_millicore_ms: u64,
    /// The work of the refused job, in millicores times milliseconds.
    pub job_millicore_ms: u64,
    /// The rate at which work is expected to be placed, in millicores.
    pub rate_millicores: u64,
}

impl Backlog {
    /// Collects the work before a refused job from the inputs of its admission.
    pub(super) fn new(job: &Job, admission: &Admission) -> Self {
        Self {
            waiting_millicore_ms: admission.waiting_millicore_ms,
            job_millicore_ms: job.total_millicore_ms(),
            rate_millicores: admission.total_rate_millicores(),
        }
    }

    fn time_for(&self, millicore_ms: u64) -> Duration {
        Duration::from_millis(millicore_ms / self.rate_millicores.max(1))
    }
}

/// The promises that refused callers find capacity when they return.
///
/// Callers are promised capacity in the order of their refusals: each one returns when the backlog has
/// drained and the jobs of the callers refused before could have been placed.
#[derive(Debug, Default)]
pub struct RetryPromises {
    /// Until when the capacity is promised to callers that were refused before.
    promised_until: Option<Instant>,
}

impl RetryPromises {
    /// Returns the retry delay of a caller, in whole seconds, and records the promise.
    pub fn promise(&mut self, backlog: &Backlog, random: &mut SmallRng, now: Instant) -> Duration {
        let drained_in = backlog.time_for(backlog.waiting_millicore_ms);
        let promised_in = self
            .promised_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let free_in = drained_in.max(promised_in);
        let max = Duration::from_secs(RETRY_AFTER_MAX_S);
        let until = free_in.saturating_add(backlog.time_for(backlog.job_millicore_ms));
        self.promised_until = Some(now + until.min(max));
        let (earliest_s, latest_s) = if free_in < max {
            let earliest_s = whole_seconds(free_in);
            (earliest_s, earliest_s + JITTER_MAX_S)
        } else {
            // More callers than can return within the maximum are spread over all of it.
            (whole_seconds(drained_in), RETRY_AFTER_MAX_S)
        };
        Duration::from_secs(random.random_range(earliest_s..=latest_s.min(RETRY_AFTER_MAX_S)))
    }
}

/// Returns a delay in seconds, rounded up and within the limits of retry delays.
fn whole_seconds(delay: Duration) -> u64 {
    let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
    seconds.clamp(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
}
