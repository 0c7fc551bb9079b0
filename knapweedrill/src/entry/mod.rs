//! The entry: takes callers' requests, owns their jobs and hands out the tasks.

mod action;
mod caller;
mod core;
mod dispatch;
mod event;
mod hand_over;
mod key_table;
mod live_job;
mod queue;
mod relay;
mod settings;
mod sidecar_view;
mod submit;
mod tasks;
mod timers;
mod token_mint;

pub use self::core::Entry;
pub use action::{EntryAction, EntryCounter};
pub use caller::{CallerRequest, CallerResponse};
pub use event::{EntryEvent, Requester};
pub use key_table::{KeyTable, Lookup};
pub use queue::{QueuedJob, QueuedTask, TakenTask, TaskQueue};
pub use settings::EntrySettings;
pub use token_mint::TokenMint;
