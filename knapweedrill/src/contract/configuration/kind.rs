//! A kind of work.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{KindName, ServiceName};
use crate::contract::Class;

/// A kind of work: the service that runs it and the defaults of its jobs.
#[message]
pub struct Kind {
    /// The name by which jobs refer to the kind.
    pub name: KindName,
    /// The service whose minions run it.
    pub service: ServiceName,
    /// The class of jobs that do not set one.
    pub class: Class,
    /// Whether a task may safely run more than once, for jobs that do not say.
    pub idempotent: bool,
    /// The deadline of jobs that do not set one.
    pub deadline: Duration,
}
