//! Cancels, and copies of submissions, at a given entry.

use std::time::Duration;

use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::{CallerId, Submission};
use smallvec::smallvec;

use super::Simulation;

impl Simulation {
    /// Submits a job of two steps of two tasks each to an entry and returns its submission. The
    /// first step takes `first_run_ms`, the second one 100 ms.
    pub(crate) fn submit_two_steps_to(
        &mut self,
        entry: usize,
        first_run_ms: u64,
        caller_timeout_ms: u64,
    ) -> Submission {
        let mut submission = self.new_submission("/jobs/", 2, caller_timeout_ms);
        self.set_run_ms_of(submission.name, 2, first_run_ms);
        let mut second = submission.steps[0].clone();
        submission.steps[0].estimate = Duration::from_millis(first_run_ms);
        second.after = smallvec![0];
        submission.steps.push(second);
        self.submit_copy(entry, &submission);
        submission
    }

    /// Submits a copy of a submission to an entry.
    pub(crate) fn submit_copy(&mut self, entry: usize, submission: &Submission) {
        self.submit_to_entry(entry, submission.clone());
    }

    /// Cancels a job at an entry that runs, and returns the caller that does so.
    pub(crate) fn cancel(&mut self, entry: usize, job: JobName) -> CallerId {
        self.next_id += 1;
        let caller = self.next_id;
        self.record_event(Some(job), format!("cancelled at entry {entry}"));
        let now = self.process_now(entry);
        let node = &mut self.nodes[entry];
        assert!(
            node.frozen_until_ms <= self.now_ms,
            "entry {entry} is frozen"
        );
        let entry = node.entry.as_mut().expect("the entry runs");
        entry.cancel(caller, job, now);
        caller
    }
}
