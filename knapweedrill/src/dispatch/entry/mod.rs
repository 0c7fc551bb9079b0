//! The entry: it owns the jobs of its callers, from the request to the answer.

mod admission;
mod answer;
mod answered;
mod configuration_exchange;
mod core;
mod doubts;
mod fleet;
mod job;
mod jobs;
mod peers;
mod placement;
mod queue;
mod settings;
mod sidecar_view;
mod submission;

pub use admission::Admission;
pub use answer::{Answer, CallerId, RefusedBecause};
pub use core::{Entry, EntryAction};
pub use fleet::{Fleet, Wanted};
pub use settings::EntrySettings;
pub use sidecar_view::SidecarView;
pub use submission::{StepRequest, Submission};
