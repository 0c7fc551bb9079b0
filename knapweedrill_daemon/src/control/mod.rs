//! The control thread of a process: the state machines and all that happens to them.

mod api_gate;
mod configuration;
mod entry;
mod entry_metrics;
mod entry_peers;
mod event;
mod operator;
mod peers;
mod published;
mod replies;
mod run;
mod show;
mod sidecar;

pub use api_gate::{ApiGate, HttpCall};
pub use configuration::ConfigurationKeeper;
pub use entry::{EntryControl, EntryParts};
pub use event::ControlEvent;
pub use peers::{PeerEvent, Peers};
pub use published::Published;
pub use replies::Replies;
pub use run::{Control, Progress, run};
pub use sidecar::{SidecarControl, SidecarParts};
