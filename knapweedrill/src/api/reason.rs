//! The reason why a job failed or was not run.

use knapweedrill_derive::key;

use crate::common::TaskIndex;
use crate::job::{Failure, Refusal};

/// The reason why a job failed or was not run, as a response states it.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A task ran and reported a failure.
    TaskFailed,
    /// The deadline passed.
    DeadlineExceeded,
    /// A client cancelled the job.
    Cancelled,
    /// The minion or sidecar that a task was assigned to was lost.
    TaskLost,
    /// The owner of the job was lost.
    OwnerLost,
    /// The key is older than the owner's key retention.
    KeyExpired,
    /// The job has ended, and its answer is no longer retained.
    AnswerExpired,
    /// The key was used before for a job with different content.
    KeyReused,
    /// The process is shutting down.
    ShuttingDown,
    /// The request carried no owner token, or one that accepts no new jobs.
    TokenNeeded,
    /// The request is malformed or refers to a name that the configuration does not define.
    Invalid,
    /// The queues are full, or the wait would outlast the deadline.
    Overloaded,
    /// No minion of the service is able to run the task.
    Impossible,
    /// The service currently has no minion.
    NoMinion,
    /// The process has no configuration yet.
    NotReady,
}

impl From<Failure> for Reason {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::TaskFailed { .. } => Self::TaskFailed,
            Failure::DeadlineExceeded => Self::DeadlineExceeded,
            Failure::Cancelled => Self::Cancelled,
            Failure::TaskLost { .. } => Self::TaskLost,
            Failure::OwnerLost => Self::OwnerLost,
            Failure::KeyExpired => Self::KeyExpired,
            Failure::AnswerExpired => Self::AnswerExpired,
            Failure::KeyReused => Self::KeyReused,
            Failure::ShuttingDown => Self::ShuttingDown,
        }
    }
}

impl From<Refusal> for Reason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::TokenNeeded => Self::TokenNeeded,
            Refusal::Invalid => Self::Invalid,
            Refusal::Overloaded => Self::Overloaded,
            Refusal::Impossible => Self::Impossible,
            Refusal::NoMinion => Self::NoMinion,
            Refusal::DeadlineExceeded => Self::DeadlineExceeded,
            Refusal::Cancelled => Self::Cancelled,
            Refusal::OwnerLost => Self::OwnerLost,
            Refusal::ShuttingDown => Self::ShuttingDown,
            Refusal::NotReady => Self::NotReady,
        }
    }
}

impl Reason {
    /// Returns the failure with this reason, or `None` if it is the reason of a refusal only;
    /// `index` is the task that the failure refers to.
    pub(super) fn failure(self, index: TaskIndex) -> Option<Failure> {
        let failure = match self {
            Self::TaskFailed => Failure::TaskFailed { index },
            Self::DeadlineExceeded => Failure::DeadlineExceeded,
            Self::Cancelled => Failure::Cancelled,
            Self::TaskLost => Failure::TaskLost { index },
            Self::OwnerLost => Failure::OwnerLost,
            Self::KeyExpired => Failure::KeyExpired,
            Self::AnswerExpired => Failure::AnswerExpired,
            Self::KeyReused => Failure::KeyReused,
            Self::ShuttingDown => Failure::ShuttingDown,
            Self::TokenNeeded
            | Self::Invalid
            | Self::Overloaded
            | Self::Impossible
            | Self::NoMinion
            | Self::NotReady => return None,
        };
        Some(failure)
    }

    /// Returns the refusal with this reason, or `None` if it is the reason of a failure only.
    pub(super) fn refusal(self) -> Option<Refusal> {
        let refusal = match self {
            Self::TokenNeeded => Refusal::TokenNeeded,
            Self::Invalid => Refusal::Invalid,
            Self::Overloaded => Refusal::Overloaded,
            Self::Impossible => Refusal::Impossible,
            Self::NoMinion => Refusal::NoMinion,
            Self::DeadlineExceeded => Refusal::DeadlineExceeded,
            Self::Cancelled => Refusal::Cancelled,
            Self::OwnerLost => Refusal::OwnerLost,
            Self::ShuttingDown => Refusal::ShuttingDown,
            Self::NotReady => Refusal::NotReady,
            Self::TaskFailed
            | Self::TaskLost
            | Self::KeyExpired
            | Self::AnswerExpired
            | Self::KeyReused => return None,
        };
        Some(refusal)
    }
}
