use knapweedrill::dispatch::JobName;
use knapweedrill::dispatch::entry::Submission;

/// A caller that waits for the answer to a job.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) job: JobName,
    pub(super) entry: usize,
    pub(super) entry_generation: u64,
    pub(super) submission: Submission,
    pub(super) timeout_at_ms: u64,
}
