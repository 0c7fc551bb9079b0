//! Fault cases of entries.

pub(super) mod frozen;
pub(super) mod killed;
pub(super) mod killed_before_start;
pub(super) mod replaced;
pub(super) mod stopped;
