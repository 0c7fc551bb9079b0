//! Checks of the guarantees against what callers and minions observed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use knapweedrill::dispatch::TaskName;

use super::callers::{Attempt, CALLER_TIMEOUT, SubmittedJob};

/// The minimum share of jobs completed on the first attempt in the fault-free phase, in percent.
/// The load is far below the capacity of the minions.
const FAULT_FREE_COMPLETED_PERCENT_MIN: usize = 95;

/// A run that a minion recorded: the task, and when it started and ended, in milliseconds.
pub type ObservedRun = (TaskName, u64, u64);

/// Returns the responses that contradict the runs: a refused job must not have started any task,
/// and a completed job must have started all of them.
pub fn check_responses(jobs: &[SubmittedJob], runs: &[ObservedRun]) -> Vec<String> {
    let mut tasks: HashMap<u64, HashSet<TaskName>> = HashMap::new();
    for (task, ..) in runs {
        tasks.entry(task.job.0).or_default().insert(*task);
    }
    jobs.iter()
        .filter_map(|job| {
            let started_count = tasks.get(&job.name).map_or(0, HashSet::len);
            let is_refused = |status| matches!(status, Some(429 | 503));
            let all_refused = job
                .attempts
                .iter()
                .all(|attempt| is_refused(attempt.status));
            if all_refused && started_count > 0 {
                return Some(format!(
                    "all requests were refused, but {started_count} tasks started: {job:?}"
                ));
            }
            if job.is_completed() && started_count < job.task_count as usize {
                return Some(format!(
                    "completed, but only {started_count} tasks started: {job:?}"
                ));
            }
            None
        })
        .collect()
}

/// Returns the violations by jobs submitted since the start of the fault-free phase, in which only
/// planned stops take place.
pub fn check_fault_free_phase(jobs: &[SubmittedJob], since: Instant) -> Vec<String> {
    let fault_free_jobs: Vec<_> = jobs
        .iter()
        .filter(|job| {
            job.attempts
                .first()
                .is_some_and(|first| first.sent_at >= since)
        })
        .collect();
    let mut violations: Vec<_> = fault_free_jobs
        .iter()
        .filter(|job| job.attempts.iter().any(was_interrupted))
        .map(|job| {
            format!("a request was interrupted although only planned stops took place: {job:?}")
        })
        .collect();
    let is_completed_on_first_attempt =
        |job: &&&SubmittedJob| job.attempts.first().is_some_and(|first| first.is_completed);
    let completed = fault_free_jobs
        .iter()
        .filter(is_completed_on_first_attempt)
        .count();
    if completed * 100 < fault_free_jobs.len() * FAULT_FREE_COMPLETED_PERCENT_MIN {
        violations.push(format!(
            "only {completed} of {} jobs were completed on the first attempt after the last fault",
            fault_free_jobs.len()
        ));
    }
    violations
}

/// Returns whether a request failed without a response before the caller's timeout. Timeouts don't
/// count, as a job may take longer than that on an overloaded machine.
fn was_interrupted(attempt: &Attempt) -> bool {
    attempt.status.is_none() && attempt.ended_at - attempt.sent_at < CALLER_TIMEOUT
}

/// Returns the duration of the slowest request.
pub(super) fn slowest_request(jobs: &[SubmittedJob]) -> Duration {
    let attempts = jobs.iter().flat_map(|job| &job.attempts);
    let times = attempts.map(|attempt| attempt.ended_at - attempt.sent_at);
    times.max().unwrap_or_default()
}
