//! HTTP calls from a sidecar to its minion, and the threads that make them.

mod call;
mod pool;

pub use call::{ATTEMPT_HEADER, CompletedCall, MinionCall, TASK_HEADER};
pub use pool::CallPool;
