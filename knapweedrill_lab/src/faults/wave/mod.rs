//! Fault cases of many concurrent calls.

pub(super) mod cancellations;
pub(super) mod resubmissions;
