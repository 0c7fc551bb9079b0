//! The caller's client.
//!
//! A job is named by an owner token and a key. The client gets the token and repeats both
//! unchanged, through another entry if need be, until it has an answer; so a job runs at most once
//! however often connections fail. It takes a new token only after an answer that nothing ran.

mod builder;
mod core;
mod error;
mod submission;
mod transport;

pub use builder::ClientBuilder;
pub use core::Client;
pub use error::ClientError;
pub use submission::{JobReport, Submission};
