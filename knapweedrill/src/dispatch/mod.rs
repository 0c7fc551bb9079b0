//! Dispatch of jobs whose tasks are packed onto minions by processor and memory.
//!
//! An entry owns the jobs that callers submit to it, queues their tasks and places them on
//! sidecars. A sidecar is the only process that starts and stops tasks on its minion. The state of
//! a job is kept only in the memory of its entry: if the entry fails, the job is lost, and sidecars
//! stop its runs soon after.

mod cancel_outcome;
pub mod configuration;
pub mod entry;
pub mod message;
mod names;
mod notice;
mod resources;
mod run_timing;
pub mod session;
pub mod sidecar;
mod sidecar_record;
mod units;

pub use cancel_outcome::CancelOutcome;
pub use names::{Attempt, JobName, QueueTag, RunNumber, StepIndex, TaskName};
pub use notice::{Notice, Packet};
pub use resources::Resources;
pub use run_timing::RunTiming;
pub use sidecar_record::SidecarRecord;
