//! Jobs, their tasks and their outcomes.

mod failure;
mod outcome;
mod refusal;
mod spec;
mod task_id;
mod task_outcome;
mod task_spec;

pub use failure::Failure;
pub use outcome::Outcome;
pub use refusal::Refusal;
pub use spec::JobSpec;
pub use task_id::TaskId;
pub use task_outcome::{TaskFailure, TaskOutcome};
pub use task_spec::TaskSpec;
