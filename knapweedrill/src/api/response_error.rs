//! Errors of a response about a job that cannot be interpreted.

/// A response lacks a field that its outcome requires, or has one that contradicts it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// A field that the outcome requires is missing.
    #[error("the response lacks the field '{field}', which its outcome requires")]
    Missing {
        /// The name of the field in JSON.
        field: &'static str,
    },
    /// The reason does not belong to the outcome.
    #[error("the reason '{reason:?}' does not belong to the outcome '{outcome:?}'")]
    Reason {
        /// The outcome that the response states.
        outcome: super::JobOutcome,
        /// The reason that the response states.
        reason: super::Reason,
    },
    /// A result is not valid hexadecimal.
    #[error(transparent)]
    Content(#[from] super::ContentError),
}
