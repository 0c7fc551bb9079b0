//! The outcome of a job.

use std::time::Duration;

use knapweedrill_derive::message;

use super::{Failure, Refusal};

/// The outcome of a job, as returned to its caller.
#[message]
pub enum Outcome {
    /// All tasks succeeded.
    Complete {
        /// The result of each task, in the order of submission.
        results: Vec<Vec<u8>>,
    },
    /// The job did not complete; some of its tasks may have run.
    Failed {
        /// The reason for the failure.
        failure: Failure,
    },
    /// No task of the job ran, and none will.
    NotRun {
        /// The reason why the job was not run.
        refusal: Refusal,
        /// The delay after which a retry may succeed; `None` if a retry is pointless.
        retry_after: Option<Duration>,
    },
}
