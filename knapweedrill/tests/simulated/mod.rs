//! Entries and sidecars on an in-memory network with a hand-moved clock.

mod caller;
mod calls;
mod faults;
mod network;
mod node;
mod processes;
mod timing;
mod wiring;
mod world;

pub(crate) use faults::Faults;
pub(crate) use timing::Timing;
pub(crate) use world::World;
