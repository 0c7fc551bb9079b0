//! The entry: takes callers' requests, owns their jobs and hands out the tasks.

mod admission;
mod caller;
mod demand_board;
mod placement;
mod queue;
mod retry_budget;
mod run_time;

pub use admission::{Admission, AdmissionRefusal, JobSize};
pub use caller::{CallerRequest, CallerResponse};
pub use demand_board::{DemandBoard, SidecarDemands};
pub use placement::{Candidate, Placement, PlacementPolicy};
pub use queue::{QueueTotals, QueuedJob, QueuedTask, TakenTask, TaskQueue};
pub use retry_budget::RetryBudget;
pub use run_time::RunTimes;
