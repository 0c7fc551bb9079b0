//! The entry: takes callers' requests, owns their jobs and hands out the tasks.

mod caller;

pub use caller::{CallerRequest, CallerResponse};
