//! Fault cases of the network between processes.

pub(super) mod call_silent;
pub(super) mod datagrams_disturbed;
pub(super) mod link_held;
pub(super) mod link_silent;
pub(super) mod minion_silent;
pub(super) mod partition;
pub(super) mod stranger;
