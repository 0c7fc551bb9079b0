//! Pauses of a process.

use std::time::Duration;

/// A time for which this process did not run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pause {
    /// The length of the pause.
    pub duration: Duration,
    /// The part of it for which the VM was suspended and received nothing.
    pub suspended: Duration,
}
