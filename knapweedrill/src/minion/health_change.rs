//! Changes of the ejection state of minions.

/// A change of the ejection state of a minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The minion was ejected and gets no work until its trial.
    Ejected,
    /// The trial failed; the next one follows after a longer backoff.
    TrialFailed,
    /// The trial succeeded; the minion gets work again.
    Readmitted,
}
