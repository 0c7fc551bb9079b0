//! What follows from the refusal of a fencing token.

/// What became of the fencing token after the minion has refused a call because of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FenceStep {
    /// The token has been raised since the call was made.
    AlreadyRaised,
    /// The token was raised now.
    Raised,
    /// There is no higher token.
    Exhausted,
}
