//! The entry: takes callers' requests, owns their jobs and hands out the tasks.

mod action;
mod admission;
mod caller;
mod core;
mod demand_board;
mod dispatch;
mod event;
mod hand_over;
mod key_table;
mod live_job;
mod overview;
mod placement;
mod queue;
mod relay;
mod retry_budget;
mod run_time;
mod settings;
mod sidecar_view;
mod submit;
mod tasks;
mod timers;
mod token_mint;

pub use self::core::Entry;
pub use action::{EntryAction, EntryCounter, EntryTimer};
pub use admission::{Admission, AdmissionRefusal, JobSize};
pub use caller::{CallerRequest, CallerResponse};
pub use demand_board::{DemandBoard, SidecarDemands};
pub use event::{EntryEvent, Requester};
pub use key_table::{KeyTable, Lookup};
pub use overview::{MinionOverview, TeamOverview};
pub use placement::{Candidate, Placement, PlacementPolicy};
pub use queue::{MinionPace, QueueTotals, QueuedJob, QueuedTask, TakenTask, TaskQueue};
pub use retry_budget::RetryBudget;
pub use run_time::RunTimes;
pub use settings::EntrySettings;
pub use token_mint::TokenMint;
