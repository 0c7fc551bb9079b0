//! Failure cases in which callers act all at once.

pub(super) mod cancellations;
pub(super) mod resubmissions;
