//! The entry: it owns the jobs of its callers, from the request to the answer.

mod admission;
mod answer;
mod answered;
mod core;
mod directory;
mod doubts;
mod download;
mod fleet;
mod gossip;
mod job;
mod jobs;
mod placement;
mod queue;
mod reach;
mod settings;
mod sidecar_view;
mod submission;

pub use admission::Admission;
pub use answer::{Answer, CallerId, RefusedBecause};
pub use core::{Entry, EntryAction};
pub use directory::{Directory, Source};
pub use fleet::{Fleet, Wanted};
pub use settings::EntrySettings;
pub use sidecar_view::SidecarView;
pub use submission::{StepRequest, Submission};
