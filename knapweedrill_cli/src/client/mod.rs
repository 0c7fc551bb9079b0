//! A client that submits jobs and operates the system over HTTP.
//!
//! A job is identified by an owner token and an idempotency key. The client obtains the token and
//! sends both unchanged with every retry, also through other entries, until it gets an answer.
//! A job therefore runs at most once, however many connections fail. The client takes a new token
//! only after an answer that says that no task of the job was started.

mod builder;
mod core;
mod error;
mod submission;
mod transport;

pub use builder::ClientBuilder;
pub use core::Client;
pub use error::ClientError;
pub use submission::{JobReport, Submission};
