//! Stand-ins for the system's external dependencies: the log, the minions, the network, and the
//! platform of its users.

mod control;
mod http;

pub mod fault_proxy;
pub mod log;
pub mod minion;
pub mod platform;

pub use control::Accepted;
pub use http::HttpServer;
