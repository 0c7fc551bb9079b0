//! The declaration of a service.

use knapweedrill_derive::message;

use crate::common::ServiceName;

/// A service: a set of minions that run the same kinds of work.
#[message]
pub struct Service {
    /// The name by which kinds and minions refer to the service.
    pub name: ServiceName,
    /// The largest part of the service's minions that outlier detection may eject at once, in per
    /// cent.
    pub ejected_max_percent: u32,
}
