//! Failure cases of entries.

pub(super) mod killed;
pub(super) mod killed_before_start;
