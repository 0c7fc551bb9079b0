//! The parts of the daemon `knapweedrilld`.

pub mod settings;
