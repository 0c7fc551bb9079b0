//! A service.

use knapweedrill_derive::message;

use crate::common::ServiceName;

/// A service: a set of minions that run the same kinds of work.
#[message]
pub struct Service {
    /// The name that kinds and minions refer to.
    pub name: ServiceName,
    /// The largest part of the service's minions that may be ejected at once, in per cent.
    pub ejected_max_percent: u32,
}
