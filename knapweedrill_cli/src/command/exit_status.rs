//! Exit statuses.

use std::process::ExitCode;

use knapweedrill::api::{ApplyOutcome, JobOutcome};

use crate::client::ClientError;

/// The exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// No process answered, a file could not be read, or the command failed otherwise.
    Error = 1,
    /// The command-line arguments are invalid.
    Usage = 2,
    /// The job failed; some of its tasks may have run.
    JobFailed = 3,
    /// No task of the job ran.
    JobNotRun = 4,
    /// The job is still running.
    JobRunning = 5,
    /// The outcome of the job or of the configuration change is unknown.
    OutcomeUnknown = 6,
    /// The configuration in force is not the one that the file was to replace.
    ConfigurationRejected = 7,
    /// The configuration file has errors.
    InvalidConfiguration = 8,
}

impl ExitStatus {
    /// Returns the status for an error of a command.
    pub fn from_error(error: &eyre::Report) -> Self {
        match error.downcast_ref::<ClientError>() {
            Some(ClientError::OutcomeUnknown { .. }) => Self::OutcomeUnknown,
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
            JobOutcome::Unknown => Self::OutcomeUnknown,
        }
    }
}

impl From<ApplyOutcome> for ExitStatus {
    fn from(outcome: ApplyOutcome) -> Self {
        match outcome {
            ApplyOutcome::Accepted => Self::Success,
            ApplyOutcome::Rejected => Self::ConfigurationRejected,
            ApplyOutcome::Invalid => Self::InvalidConfiguration,
            ApplyOutcome::NotApplied => Self::Error,
            ApplyOutcome::Unknown => Self::OutcomeUnknown,
        }
    }
}
