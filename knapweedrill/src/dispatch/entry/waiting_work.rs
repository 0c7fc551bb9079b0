//! The work of waiting tasks.

use std::ops::Add;

/// The work of waiting tasks: for the minions that run them, and for the link that carries their
/// start orders.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingWork {
    /// The estimated run time times the CPU, in millicores times milliseconds.
    pub(super) millicore_ms: u64,
    /// The CPU, in millicores.
    pub(super) millicores: u64,
    /// The approximate size of the start orders in bytes.
    pub(super) order_bytes: u64,
}

impl Add for WaitingWork {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            millicore_ms: self.millicore_ms.saturating_add(other.millicore_ms),
            millicores: self.millicores.saturating_add(other.millicores),
            order_bytes: self.order_bytes.saturating_add(other.order_bytes),
        }
    }
}
