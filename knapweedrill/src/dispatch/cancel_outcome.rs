use knapweedrill_derive::key;

/// What an entry found when another entry told it that a job is cancelled.
#[key]
pub enum CancelOutcome {
    /// The entry has, or had, no live job of this name.
    Unknown,
    /// The entry has stopped a job of this name, now or earlier.
    Stopped,
}
