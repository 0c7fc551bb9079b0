//! Stand-ins for what surrounds the system: the log, the minions, the network, and the platform
//! of its users.

mod control;
mod http;

pub mod cutting_proxy;
pub mod log;
pub mod minion;
pub mod platform;

pub use control::Accepted;
pub use http::HttpServer;
