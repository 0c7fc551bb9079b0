//! The entry: takes callers' requests, owns their jobs and hands out the tasks.

mod caller;
mod queue;

pub use caller::{CallerRequest, CallerResponse};
pub use queue::{QueueTotals, QueuedJob, QueuedTask, TakenTask, TaskQueue};
