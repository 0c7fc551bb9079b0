//! Checks claims that a placement is over against what the minion runs and may still start.
//!
//! A false claim is a fault even if no second run of the task follows.

#![allow(dead_code, reason = "each world uses a part of the observer")]

mod claim;
mod contradiction;
mod observer;
mod pending_start;
mod placement_id;

pub(crate) use claim::Claim;
pub(crate) use observer::ClaimObserver;
pub(crate) use pending_start::PendingStart;
pub(crate) use placement_id::PlacementId;
