//! The timers of a process.

/// What a process times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Timer {
    /// From the acceptance of a job to its outcome.
    JobResponse,
    /// From the acceptance of a task to its hand-out.
    TaskWait,
    /// How long a task held its slot.
    TaskRun,
    /// A call to the log of the platform.
    LogCall,
    /// One round of the control thread.
    ControlRound,
}

impl Timer {
    /// All timers.
    pub const ALL: &[Self] = &[
        Self::JobResponse,
        Self::TaskWait,
        Self::TaskRun,
        Self::LogCall,
        Self::ControlRound,
    ];

    /// Returns the name under which the timer is published.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobResponse => "jobs.response",
            Self::TaskWait => "tasks.wait",
            Self::TaskRun => "tasks.run",
            Self::LogCall => "log.call",
            Self::ControlRound => "control.round",
        }
    }
}
