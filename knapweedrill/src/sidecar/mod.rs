//! The sidecar: the only process that calls its minion, and the arbiter of its slots.

mod action;
mod core;
mod ended_tasks;
mod event;
mod minion_contact;
mod settings;
mod start_memory;

pub use self::core::Sidecar;
pub use action::{SidecarAction, SidecarCounter};
pub use event::{RunResult, SidecarEvent};
pub use minion_contact::{MinionContact, MinionNotice};
pub use settings::SidecarSettings;
pub use start_memory::{StartMemory, StartRefusal};
mod arbiter;

pub use arbiter::{ArbiterSettings, EntryCredits, Offer, SlotArbiter};
