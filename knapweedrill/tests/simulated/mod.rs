//! Simulation of entries and sidecars on an in-memory network with a simulated clock.

mod caller;
mod calls;
mod driver;
mod faults;
mod network;
mod node;
mod processes;
mod timing;
mod world;

pub(crate) use faults::Faults;
pub(crate) use timing::Timing;
pub(crate) use world::World;
