//! Detection of minions that fail their tasks.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::dispatch::JobName;

/// Number of ended runs in the window. A full minion runs about ten tasks at a time.
const WINDOW_COUNT: usize = 12;

/// Number of jobs that have to fail in a row before a minion is suspect. Two could be jobs that
/// fail on every minion.
const FAILED_IN_A_ROW_COUNT: usize = 3;

/// Number of jobs that have to fail within the window before a minion is suspect.
const FAILED_IN_WINDOW_COUNT: usize = 4;

/// Detects a failing minion from its last ended runs, of all entries together.
///
/// Failures are counted once per job, since an impossible job fails on every minion.
#[derive(Debug, Default)]
pub struct Health {
    /// The job of each ended run and whether the run failed, oldest first.
    ends: VecDeque<(JobName, bool)>,
}

impl Health {
    /// Records the end of a run.
    pub fn record(&mut self, job: JobName, has_failed: bool) {
        if self.ends.len() == WINDOW_COUNT {
            self.ends.pop_front();
        }
        self.ends.push_back((job, has_failed));
    }

    /// Returns whether the minion fails tasks of several jobs.
    pub fn is_suspect(&self) -> bool {
        let in_a_row = self
            .ends
            .iter()
            .rev()
            .take_while(|(_, has_failed)| *has_failed);
        if distinct_job_count(in_a_row) >= FAILED_IN_A_ROW_COUNT {
            return true;
        }
        let has_recovered = self
            .ends
            .iter()
            .rev()
            .take(FAILED_IN_A_ROW_COUNT)
            .all(|end| !end.1);
        let failed = self.ends.iter().filter(|(_, has_failed)| *has_failed);
        !has_recovered && distinct_job_count(failed) >= FAILED_IN_WINDOW_COUNT
    }
}

fn distinct_job_count<'a>(ends: impl Iterator<Item = &'a (JobName, bool)>) -> usize {
    let mut jobs: SmallVec<[JobName; WINDOW_COUNT]> = ends.map(|(job, _)| *job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.len()
}
