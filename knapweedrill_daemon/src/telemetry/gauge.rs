//! The gauges of a process.

/// What a process measures as a level that rises and falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Gauge {
    /// Tasks that wait at this entry.
    QueuedTasks,
    /// Bytes of payload that wait at this entry.
    QueuedBytes,
    /// Jobs that this entry owns and that have not ended.
    JobsInFlight,
    /// Keys of jobs that this entry keeps.
    KeptKeys,
    /// Bytes of answers that this entry keeps.
    KeptAnswerBytes,
    /// Entries that this process knows to be alive.
    KnownEntries,
    /// Minions that this process knows to be serving.
    KnownMinions,
    /// Slots that run nothing.
    FreeSlots,
    /// The version of the configuration in force.
    ConfigurationVersion,
    /// HTTP requests that were received and not yet answered.
    HttpInFlight,
}

impl Gauge {
    /// All gauges.
    pub const ALL: &[Self] = &[
        Self::QueuedTasks,
        Self::QueuedBytes,
        Self::JobsInFlight,
        Self::KeptKeys,
        Self::KeptAnswerBytes,
        Self::KnownEntries,
        Self::KnownMinions,
        Self::FreeSlots,
        Self::ConfigurationVersion,
        Self::HttpInFlight,
    ];

    /// Returns the name under which the gauge is published.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueuedTasks => "queue.tasks",
            Self::QueuedBytes => "queue.bytes",
            Self::JobsInFlight => "jobs.in_flight",
            Self::KeptKeys => "keys.kept",
            Self::KeptAnswerBytes => "keys.answer_bytes",
            Self::KnownEntries => "membership.entries",
            Self::KnownMinions => "membership.minions",
            Self::FreeSlots => "slots.free",
            Self::ConfigurationVersion => "configuration.version",
            Self::HttpInFlight => "http.in_flight",
        }
    }
}
