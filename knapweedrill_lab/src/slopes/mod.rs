//! Measures how the cost of a daemon grows with what surrounds it.
//!
//! One real daemon stands among stand-ins in the process of the lab, which speak the system's
//! protocol. It is observed at several sizes, and lines are fitted through what it sent, computed
//! and held.

mod bench;
mod build;
pub mod capacity;
mod entry_sweeps;
mod fake_peer;
mod fit;
mod observation;
mod process_usage;
mod run;
mod scale;
mod sidecar_sweeps;
mod sweep;

pub use bench::Bench;
pub use build::Build;
pub use fake_peer::{FakeMinion, FakePeer};
pub use fit::{Fit, Point};
pub use observation::{MetricsAnswer, Observation, Quantity, Reading};
pub use process_usage::ProcessUsage;
pub use run::{SlopesReport, measure};
pub use scale::Scale;
pub use sweep::{Series, SlopeReport, Subject, SweepReport};
