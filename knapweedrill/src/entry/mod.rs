//! The entry state machine: accepts jobs from callers, owns them and dispatches their tasks to
//! sidecars.

mod action;
mod admission;
mod caller;
mod core;
mod demand_tracker;
mod dispatch;
mod event;
mod fence;
mod hand_over;
mod job_end;
mod key_table;
mod live_job;
mod overview;
mod placer;
mod queue;
mod relay_table;
mod retry_budget;
mod run_time_estimator;
mod settings;
mod sidecar_view;
mod submission;
mod submit;
mod tasks;
mod timers;
mod token_mint;

pub use self::core::Entry;
pub use action::{EntryAction, EntryCounter, EntryTimer};
pub use admission::{Admission, AdmissionRefusal, JobSize};
pub use caller::{CallerRequest, CallerResponse};
pub use demand_tracker::{DemandTracker, SidecarDemands};
pub use event::{EntryEvent, Requester};
pub use key_table::{KeyLookup, KeyTable};
pub use overview::{MinionOverview, TeamOverview};
pub use placer::{Candidate, PlacementPolicy, Placer};
pub use queue::{QueueTotals, QueuedJob, QueuedTask, RelativeSpeed, TakenTask, TaskQueue};
pub use retry_budget::RetryBudget;
pub use run_time_estimator::RunTimeEstimator;
pub use settings::EntrySettings;
pub use token_mint::TokenMint;
