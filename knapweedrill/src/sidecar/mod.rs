//! The sidecar: the only process that calls its minion, and the arbiter of its slots.

mod arbiter;

pub use arbiter::{ArbiterSettings, EntryCredits, Offer, SlotArbiter};
