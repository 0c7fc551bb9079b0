//! A job as a caller submits it.

use std::time::Duration;

use knapweedrill_derive::value;
use smallvec::SmallVec;

use crate::common::TaskIndex;
use crate::dispatch::units::clamp_duration;
use crate::dispatch::{JobName, Resources, StepIndex};

/// A job as a caller submits it; the caller is answered when the job has ended.
#[value]
pub struct Submission {
    /// The name of the job, which the caller chooses; repeated requests have the same name.
    pub name: JobName,
    /// The host of the request.
    pub host: String,
    /// The path of the request; with the host it selects the queue.
    pub path: String,
    /// The specification of the job, passed on to the minions unchanged.
    pub spec: String,
    /// The steps of the job; each depends on earlier ones only.
    pub steps: Vec<StepRequest>,
    /// How long the caller waits for the answer.
    pub caller_timeout: Duration,
    /// Whether all features that the job asks for are supported.
    pub is_supported: bool,
}

impl Submission {
    /// Clamps the durations that the caller has set to the supported range.
    pub(super) fn bounded(mut self) -> Self {
        self.caller_timeout = clamp_duration(self.caller_timeout);
        for step in &mut self.steps {
            step.estimate = clamp_duration(step.estimate);
        }
        self
    }
}

/// A step of a job: a number of tasks of the same kind.
#[value]
pub struct StepRequest {
    /// The number of tasks.
    pub task_count: TaskIndex,
    /// The resources that each task requires.
    pub resources: Resources,
    /// A rough estimate of the run time of each task.
    pub estimate: Duration,
    /// The steps that have to be done before this one starts.
    pub after: SmallVec<[StepIndex; 2]>,
    /// A label that the minion must have.
    pub required_label: Option<String>,
    /// The maximum number of tasks of this step that may run on one minion at the same time.
    pub per_minion_max: Option<u32>,
    /// The label of the rack that holds the input data; minions there are preferred.
    pub data_rack: Option<String>,
}
