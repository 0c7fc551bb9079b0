//! The sidecar of a minion: calls the minion and allocates its slots to the entries.

mod action;
mod arbiter;
mod core;
mod counter;
mod ended_tasks;
mod event;
mod minion_monitor;
mod minion_notice;
mod run_result;
mod settings;
mod start_refusal;
mod start_registry;

pub use self::core::Sidecar;
pub use action::SidecarAction;
pub use arbiter::{ArbiterSettings, EntryCredits, OfferDecision, SlotArbiter};
pub use counter::SidecarCounter;
pub use event::SidecarEvent;
pub use minion_monitor::MinionMonitor;
pub use minion_notice::MinionNotice;
pub use run_result::RunResult;
pub use settings::SidecarSettings;
pub use start_refusal::StartRefusal;
pub use start_registry::StartRegistry;
