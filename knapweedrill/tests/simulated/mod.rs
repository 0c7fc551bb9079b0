//! Entries and sidecars on an in-memory network with a hand-moved clock.

mod caller;
mod network;
mod node;
mod world;

pub(crate) use world::{Faults, World};
