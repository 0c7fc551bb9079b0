//! An answer that makes no sense.

/// An answer lacks a part that its outcome needs, or has one that does not fit it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// A part is missing.
    #[error("the answer lacks '{field}', which its outcome needs")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// The reason does not belong to the outcome.
    #[error("the reason '{reason:?}' does not belong to the outcome '{outcome:?}'")]
    Reason {
        /// The outcome.
        outcome: super::JobOutcome,
        /// The reason.
        reason: super::Reason,
    },
    /// A result is malformed.
    #[error(transparent)]
    Content(#[from] super::ContentError),
}
