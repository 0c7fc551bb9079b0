//! The entry, which owns the jobs of its callers from the request to the answer.

mod admission;
mod answer;
mod answer_cache;
mod confinement;
mod core;
mod directory;
mod download;
mod fleet;
mod gossip;
mod job;
mod jobs;
mod pause;
mod paused_connections;
mod placer;
mod queue;
mod retry_after;
mod settings;
mod sidecar_subset;
mod sidecar_view;
mod submission;
mod task_placement;
mod unreachable_sidecars;
mod waiting_work;

pub use admission::Admission;
pub use answer::{Answer, CallerId, RefusalReason};
pub use core::{Entry, EntryAction};
pub use directory::{Directory, Source};
pub use fleet::{Fleet, TaskRequirements};
pub use pause::Pause;
pub use settings::EntrySettings;
pub use sidecar_view::SidecarView;
pub use submission::{StepRequest, Submission};
pub use task_placement::TaskPlacement;
