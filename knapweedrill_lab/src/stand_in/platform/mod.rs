//! Stand-ins for the platform of the users: its store, its operator and its minions, with their
//! faults, on the wire that the platform speaks.

mod minion_model;
mod minion_server;
mod operator;
mod store;

pub use minion_model::{MinionModel, PastRun, Work};
pub use minion_server::{MinionFaults, MinionServer};
pub use operator::{QueuePlan, configuration_text};
pub use store::{Store, StoreFault};
