//! Stand-ins for the platform of the users: its store, its operator and its minions, with
//! injectable faults. They implement the platform's HTTP interfaces.

mod minion_model;
mod minion_server;
mod operator;
mod store;

pub use minion_model::{FinishedRun, MinionModel, TaskProfile};
pub use minion_server::{MinionFaults, MinionServer};
pub use operator::{QueueConfiguration, configuration_text};
pub use store::{Store, StoreFault};
