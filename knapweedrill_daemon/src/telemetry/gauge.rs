//! The gauges that a process publishes.

/// A metric whose value can rise and fall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Gauge {
    /// Tasks queued at this entry.
    QueuedTasks,
    /// Payload bytes of the tasks queued at this entry.
    QueuedBytes,
    /// Jobs that this entry owns and that have not reached an outcome.
    JobsInFlight,
    /// Idempotency keys that this entry retains.
    KeptKeys,
    /// Bytes of answers that this entry retains for resubmissions.
    KeptAnswerBytes,
    /// Entries that membership considers alive.
    KnownEntries,
    /// Minions that membership considers to be serving.
    KnownMinions,
    /// Slots of the minion that run no task.
    FreeSlots,
    /// The version of the configuration in force.
    ConfigurationVersion,
    /// HTTP requests received and not yet answered.
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
