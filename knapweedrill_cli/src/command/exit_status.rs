//! The exit status of the tool.

use std::process::ExitCode;

use knapweedrill::api::{ApplyOutcome, JobOutcome};

use crate::client::ClientError;

/// The exit status of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked for.
    Success = 0,
    /// No process answered, or a file could not be read.
    Error = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// The job failed; some of its tasks may have run.
    JobFailed = 3,
    /// Nothing of the job ran.
    JobNotRun = 4,
    /// The job still runs.
    JobRunning = 5,
    /// The outcome is unknown.
    Unknown = 6,
    /// Another configuration came in between.
    Rejected = 7,
    /// The configuration file has errors.
    InvalidFile = 8,
}

impl ExitStatus {
    /// Returns the status that tells why a command ended with an error.
    pub fn of_error(error: &eyre::Report) -> Self {
        match error.downcast_ref::<ClientError>() {
            Some(ClientError::OutcomeUnknown { .. }) => Self::Unknown,
            _ => Self::Error,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

impl From<JobOutcome> for ExitStatus {
    fn from(outcome: JobOutcome) -> Self {
        match outcome {
            JobOutcome::Complete => Self::Success,
            JobOutcome::Failed => Self::JobFailed,
            JobOutcome::NotRun => Self::JobNotRun,
            JobOutcome::Running => Self::JobRunning,
            JobOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<ApplyOutcome> for ExitStatus {
    fn from(outcome: ApplyOutcome) -> Self {
        match outcome {
            ApplyOutcome::Accepted => Self::Success,
            ApplyOutcome::Rejected => Self::Rejected,
            ApplyOutcome::Invalid => Self::InvalidFile,
            ApplyOutcome::NotApplied => Self::Error,
            ApplyOutcome::Unknown => Self::Unknown,
        }
    }
}
