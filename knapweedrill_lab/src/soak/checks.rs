//! What is promised, checked by what callers and minions have seen.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use knapweedrill::dispatch::TaskName;

use super::callers::{Attempt, CalledJob, PATIENCE};

/// The share of the jobs of the calm part that have to be completed, in percent: the load is far
/// below what the minions can do.
const CALM_COMPLETED_PERCENT: usize = 95;

/// A run at a minion: the task, its begin and its end in milliseconds.
pub type SeenRun = (TaskName, u64, u64);

/// Returns what contradicts the answers of all jobs.
pub fn check_answers(jobs: &[CalledJob], runs: &[SeenRun]) -> Vec<String> {
    let mut tasks: HashMap<u64, HashSet<TaskName>> = HashMap::new();
    for (task, ..) in runs {
        tasks.entry(task.job.0).or_default().insert(*task);
    }
    jobs.iter()
        .filter_map(|job| {
            let begun = tasks.get(&job.name).map_or(0, HashSet::len);
            let is_refused = |status| matches!(status, Some(429 | 503));
            let all_refused = job
                .attempts
                .iter()
                .all(|attempt| is_refused(attempt.status));
            if all_refused && begun > 0 {
                return Some(format!("refused, but {begun} tasks began: {job:?}"));
            }
            if job.is_completed() && begun < job.task_count as usize {
                return Some(format!("completed, but only {begun} tasks began: {job:?}"));
            }
            None
        })
        .collect()
}

/// Returns what went wrong with the jobs of the calm part, which only planned stops disturb.
pub fn check_calm(jobs: &[CalledJob], since: Instant) -> Vec<String> {
    let calm: Vec<_> = jobs
        .iter()
        .filter(|job| {
            job.attempts
                .first()
                .is_some_and(|first| first.sent_at >= since)
        })
        .collect();
    let mut violations: Vec<_> = calm
        .iter()
        .filter(|job| job.attempts.iter().any(is_cut))
        .map(|job| format!("no answer although only planned stops went on: {job:?}"))
        .collect();
    let is_completed_at_once =
        |job: &&&CalledJob| job.attempts.first().is_some_and(|first| first.is_completed);
    let completed = calm.iter().filter(is_completed_at_once).count();
    if completed * 100 < calm.len() * CALM_COMPLETED_PERCENT {
        violations.push(format!(
            "only {completed} of {} jobs were completed at the first try after all faults",
            calm.len()
        ));
    }
    violations
}

/// Returns whether a request was cut: it has no answer, and its caller would have waited longer. On a
/// machine that is too busy a job may take longer than its caller waits.
fn is_cut(attempt: &Attempt) -> bool {
    attempt.status.is_none() && attempt.ended_at - attempt.sent_at < PATIENCE
}

/// Returns how long the slowest request took.
pub(super) fn slowest(jobs: &[CalledJob]) -> Duration {
    let attempts = jobs.iter().flat_map(|job| &job.attempts);
    let times = attempts.map(|attempt| attempt.ended_at - attempt.sent_at);
    times.max().unwrap_or_default()
}
