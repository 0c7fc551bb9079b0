//! The HTTP interface of a process.
//!
//! `tiny_http` accepts connections without a bound and sets no timeouts. This module keeps one
//! client from harming the others:
//!
//! - Accepted connections inherit read and write timeouts and keepalive from the listener, so
//!   that one which goes silent is closed within seconds.
//! - Nothing that may block on a client runs on a shared thread.
//! - Bodies, concurrent body reads and requests in flight are bounded.
//! - A watchdog replaces the accept loop if it has ended.

mod descriptors;
mod in_flight;
mod intake;
mod limits;
mod listener;
mod method;
mod refused;
mod reply;
mod request;
mod responder;
mod server;
mod thread_pool;
mod watchdog;

pub use descriptors::raise_descriptor_limit;
pub use limits::{HttpLimits, HttpLimitsBuilder};
pub use reply::{ContentType, HttpHeader, HttpReply};
pub use request::HttpRequest;
pub use responder::Responder;
pub use server::HttpServer;
