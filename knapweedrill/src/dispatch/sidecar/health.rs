//! Whether a minion fails what it is given.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::dispatch::JobName;

/// How many ends are judged by. A full minion runs about ten tasks at a time.
const WINDOW_COUNT: usize = 12;

/// How many jobs in a row have to fail before a minion is suspect. Two could be jobs that fail
/// wherever they run.
const FAILED_IN_A_ROW: usize = 3;

/// How many jobs of a window have to fail before a minion is suspect.
const FAILED_IN_WINDOW: usize = 4;

/// Judges a minion by the last ends of runs, of all entries together.
///
/// Failures count once a job, since a job that can't be done fails wherever it runs.
#[derive(Debug, Default)]
pub struct Health {
    /// The newest last: the job, and whether its task failed.
    ends: VecDeque<(JobName, bool)>,
}

impl Health {
    /// Takes in the end of a run.
    pub fn note(&mut self, job: JobName, has_failed: bool) {
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
        if distinct_count(in_a_row) >= FAILED_IN_A_ROW {
            return true;
        }
        let has_recovered = self
            .ends
            .iter()
            .rev()
            .take(FAILED_IN_A_ROW)
            .all(|end| !end.1);
        let failed = self.ends.iter().filter(|(_, has_failed)| *has_failed);
        !has_recovered && distinct_count(failed) >= FAILED_IN_WINDOW
    }
}

fn distinct_count<'a>(ends: impl Iterator<Item = &'a (JobName, bool)>) -> usize {
    let mut jobs: SmallVec<[JobName; WINDOW_COUNT]> = ends.map(|(job, _)| *job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.len()
}
