//! What a caller asks for.

use std::time::Duration;

use knapweedrill_derive::message;

use super::TaskSpec;
use crate::common::{KindName, TeamName};
use crate::contract::Class;

/// What a caller asks for: the tasks of a job and how they are to be treated.
#[message]
pub struct JobSpec {
    /// The team that the job is for.
    pub team: TeamName,
    /// The kind of work.
    pub kind: KindName,
    /// The class, or that of the kind.
    pub class: Option<Class>,
    /// The time after which the caller has no use for an answer, or that of the kind.
    pub deadline: Option<Duration>,
    /// Whether running a task twice does no harm, or what the kind says.
    pub idempotent: Option<bool>,
    /// The tasks.
    pub tasks: Vec<TaskSpec>,
}
