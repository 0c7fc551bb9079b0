use knapweedrill::dispatch::entry::Submission;

/// A job that its caller submits again.
#[derive(Debug)]
pub(super) struct Resubmission {
    pub(super) due_ms: u64,
    pub(super) submission: Submission,
    /// An entry that the caller does not choose.
    pub(super) avoided_entry: Option<usize>,
}
