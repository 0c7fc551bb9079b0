//! Failure cases of sidecars and of the minions beside them.

pub(super) mod frozen;
pub(super) mod killed;
pub(super) mod leaving;
pub(super) mod stopped;
