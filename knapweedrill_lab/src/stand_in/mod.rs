//! Stand-ins for what surrounds the system: the log, the minions and the network.

mod control;
mod http;

pub mod cutting_proxy;
pub mod log;
pub mod minion;

pub use control::Accepted;
pub use http::HttpServer;
