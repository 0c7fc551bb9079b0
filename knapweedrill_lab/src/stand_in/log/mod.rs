//! A stand-in for the platform's append-only log.

mod control;
mod record;
mod server;
mod store;

pub use control::{LogControl, LogMode, LogRetain};
pub use record::{AppendResponse, LogRecord, ReadResponse};
pub use server::LogStandIn;
pub use store::LogStore;
