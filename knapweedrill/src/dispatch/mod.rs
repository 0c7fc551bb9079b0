//! Dispatch of jobs whose tasks are packed by processor and memory.
//!
//! An entry owns the jobs that callers hand to it, queues their tasks and places them; a sidecar
//! is the only process that gives orders to its minion. A job lives in its entry and nowhere
//! else: it dies with the entry, and its runs are stopped soon after.

pub mod configuration;
pub mod entry;
pub mod message;
mod names;
mod notice;
mod place;
mod room;
mod run_timing;
pub mod session;
pub mod sidecar;
mod units;

pub use names::{Attempt, JobName, RunNumber, StepIndex, TaskName};
pub use notice::{Notice, Packet};
pub use place::Place;
pub use room::Room;
pub use run_timing::RunTiming;
