//! A stand-in for a minion, a back end that runs tasks.

mod announcer;
mod control;
mod options;
mod payload;
mod server;
mod starts;
mod state;
mod task_label;

pub use control::{MinionControl, MinionMode};
pub use options::MinionOptions;
pub use payload::{TaskPayload, expected_result};
pub use server::MinionStandIn;
pub use starts::{StartRecord, StartsResponse};
pub use task_label::{TaskLabel, TaskLabelError};
