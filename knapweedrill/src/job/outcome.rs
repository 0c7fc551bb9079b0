//! The outcome of a job.

use std::time::Duration;

use knapweedrill_derive::message;

use super::{Failure, Refusal};

/// The outcome of a job, as its caller gets it.
#[message]
pub enum Outcome {
    /// Every task ran and succeeded.
    Complete {
        /// The result of each task, in the order of submission.
        results: Vec<Vec<u8>>,
    },
    /// The job did not complete; some of its tasks may have run.
    Failed {
        /// Why it did not.
        failure: Failure,
    },
    /// No task of the job ran, and none will.
    NotRun {
        /// Why none did.
        refusal: Refusal,
        /// When another try is worthwhile, if ever.
        retry_after: Option<Duration>,
    },
}
