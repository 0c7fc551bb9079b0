//! Limits on the memory and the connections that clients of the HTTP listeners of a process use.

mod budget_limits;
mod client_connection;
mod client_gate;
mod memory_budget;
mod port_kind;
mod progress;

pub use budget_limits::BudgetLimits;
pub(super) use client_connection::{ClientConnection, MemoryRefusal};
pub(super) use client_gate::ClientGate;
pub use memory_budget::{
    BudgetCounts, BudgetUsage, CloseCause, ConnectionId, Decision, MemoryBudget,
};
pub use port_kind::PortKind;
