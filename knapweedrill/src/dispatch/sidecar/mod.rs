//! The sidecar, the only process that sends orders to its minion.

mod action;
mod connected_entries;
mod core;
mod crash_log;
mod endpoint;
mod evacuation;
mod fence_step;
mod fencing_token;
mod health;
mod hold_schedule;
mod known_minion;
mod minion_state;
mod minion_stats;
mod order_tracker;
mod pace;
mod recent_entries;
mod reported_runs;
mod response_times;
mod retry_delay;
mod run;
mod run_table;
mod settings;
mod start_step;
mod successor;

pub use action::{
    CallNumber, EndKind, EndedRun, HoldAnswer, HoldCall, HoldFailure, MinionHeartbeat, OrderAnswer,
    RunKey, SidecarAction, StartCall, StopCall,
};
pub use core::Sidecar;
pub use endpoint::{Outgoing, SidecarEndpoint};
pub use fencing_token::first_fencing_token;
pub use health::Health;
pub use known_minion::{KnownMinion, StoredRecord};
pub use pace::Pace;
pub use response_times::ResponseTimes;
pub use retry_delay::RetryDelay;
pub use settings::SidecarSettings;
