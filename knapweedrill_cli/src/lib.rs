//! An embeddable client library for knapweedrill and the implementation of its command-line tool.

pub mod client;
pub mod command;
