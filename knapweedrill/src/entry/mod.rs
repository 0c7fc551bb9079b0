//! The entry: takes callers' requests, owns their jobs and hands out the tasks.

mod caller;
mod queue;

pub use caller::{CallerRequest, CallerResponse};
pub use queue::{QueuedJob, QueuedTask, TakenTask, TaskQueue};
