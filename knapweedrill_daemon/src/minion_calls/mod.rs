//! The calls of a sidecar to its minion.

mod call;
mod pool;

pub use call::{ATTEMPT_HEADER, CallEnd, MinionCall, TASK_HEADER};
pub use pool::CallPool;
