//! Fault cases of sidecars and their minions.

pub(super) mod frozen;
pub(super) mod killed;
pub(super) mod leaving;
pub(super) mod stopped;
