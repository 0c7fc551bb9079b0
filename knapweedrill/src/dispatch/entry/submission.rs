//! What a caller hands in.

use std::time::Duration;

use knapweedrill_derive::value;
use smallvec::SmallVec;

use crate::common::TaskIndex;
use crate::dispatch::units::bounded;
use crate::dispatch::{JobName, Room, StepIndex};

/// A job that is answered when it has ended.
#[value]
pub struct Submission {
    /// The caller's name for it.
    pub name: JobName,
    /// The host that the request named.
    pub host: String,
    /// Its path.
    pub path: String,
    /// What the caller wants to be run.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<StepRequest>,
    /// How long the caller waits for the answer.
    pub caller_timeout: Duration,
    /// Whether it asks for something that is not offered.
    pub is_supported: bool,
}

impl Submission {
    /// Cuts the times that the caller has told to what can be worked with.
    pub(super) fn bounded(mut self) -> Self {
        self.caller_timeout = bounded(self.caller_timeout);
        for step in &mut self.steps {
            step.estimate = bounded(step.estimate);
        }
        self
    }
}

/// A number of tasks of the same kind.
#[value]
pub struct StepRequest {
    /// How many.
    pub task_count: TaskIndex,
    /// What each takes up.
    pub room: Room,
    /// A rough estimate of the run time of each.
    pub estimate: Duration,
    /// The steps that must be done first.
    pub after: SmallVec<[StepIndex; 2]>,
    /// The label that the minion must have.
    pub required_label: Option<String>,
    /// How many of the tasks may run on one minion.
    pub per_minion_max: Option<u32>,
    /// The label of the rack where the data is.
    pub data_rack: Option<String>,
}
