//! The control thread, which owns the state machines of a process and serialises all their events.

mod api_router;
mod configuration_tracker;
mod entry;
mod entry_metrics;
mod entry_peers;
mod event;
mod job_responder;
mod operator;
mod peers;
mod published_state;
mod run;
mod show;
mod sidecar;

pub use api_router::{ApiRouter, ControlRequest};
pub use configuration_tracker::ConfigurationTracker;
pub use entry::{EntryControl, EntryParts};
pub use event::ControlEvent;
pub use job_responder::JobResponder;
pub use peers::{PeerEvent, Peers};
pub use published_state::PublishedState;
pub use run::{Control, RunState, run};
pub use sidecar::{SidecarControl, SidecarParts};
