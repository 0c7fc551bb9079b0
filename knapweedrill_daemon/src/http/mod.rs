//! The HTTP server of a process.
//!
//! `tiny_http` neither limits the number of connections nor sets timeouts. This module isolates
//! clients from each other:
//!
//! - Accepted connections inherit read and write timeouts and keepalive from the listener, so that
//!   an unresponsive connection is closed within seconds.
//! - Operations that may block on a client never run on a shared thread.
//! - Body sizes, concurrent body reads and requests in flight are limited.
//! - A watchdog replaces an accept loop that has ended.

mod admission;
mod concurrency_limit;
mod descriptors;
mod limits;
mod listener;
mod method;
mod rejection;
mod request;
mod responder;
mod response;
mod server;
mod thread_pool;
mod watchdog;

pub use descriptors::raise_descriptor_limit;
pub use limits::{HttpLimits, HttpLimitsBuilder};
pub use request::HttpRequest;
pub use responder::Responder;
pub use response::{ContentType, HttpHeader, HttpResponse};
pub use server::HttpServer;
