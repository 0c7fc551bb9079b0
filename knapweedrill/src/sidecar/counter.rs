//! Counters of a sidecar.

use knapweedrill_derive::key;

/// Counters of a sidecar; each maps to a metric.
#[key]
pub enum SidecarCounter {
    /// Tasks started on the minion.
    Started,
    /// Tasks that ended with a result.
    Done,
    /// Tasks that ended without a result.
    Failed,
    /// Attempts that were refused and fenced.
    NotStarted,
    /// Starts that were refused because the task may have been started before.
    DuplicateStart,
    /// Jobs that were fenced.
    JobFenced,
    /// Messages that were dropped because an entry must not send them to a sidecar.
    UnexpectedMessage,
}
