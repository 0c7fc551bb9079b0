//! A kind of work.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{KindName, ServiceName};
use crate::contract::Class;

/// A kind of work: which service runs it and how it is treated.
#[message]
pub struct Kind {
    /// The name that jobs refer to.
    pub name: KindName,
    /// The service whose minions run it.
    pub service: ServiceName,
    /// The class of a job that names none.
    pub class: Class,
    /// Whether running a task twice does no harm.
    pub idempotent: bool,
    /// The deadline of a job that names none.
    pub deadline: Duration,
}
