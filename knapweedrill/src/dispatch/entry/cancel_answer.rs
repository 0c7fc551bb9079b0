use knapweedrill_derive::key;

/// The answer to a caller that cancels a job.
#[key]
pub enum CancelAnswer {
    /// An entry had the job and has stopped it.
    Stopped,
    /// No known entry has the job.
    NoSuchJob,
    /// This entry does not have the job, and not all others have answered in time. They are told
    /// of the cancel until they answer.
    Unconfirmed,
}
