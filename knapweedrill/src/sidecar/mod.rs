//! The sidecar of a minion: calls the minion and allocates its slots to the entries.

mod action;
mod arbiter;
mod core;
mod ended_tasks;
mod event;
mod minion_monitor;
mod minion_notice;
mod settings;
mod start_registry;

pub use self::core::Sidecar;
pub use action::{SidecarAction, SidecarCounter};
pub use arbiter::{ArbiterSettings, EntryCredits, OfferDecision, SlotArbiter};
pub use event::{RunResult, SidecarEvent};
pub use minion_monitor::MinionMonitor;
pub use minion_notice::MinionNotice;
pub use settings::SidecarSettings;
pub use start_registry::{StartRefusal, StartRegistry};
