//! The caller's client of knapweedrill, for others to embed, and the parts of the tool.

pub mod client;
pub mod command;
