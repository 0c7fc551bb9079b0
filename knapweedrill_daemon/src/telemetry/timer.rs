//! The timers that a process publishes.

/// A duration that is recorded for every operation of one sort.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Timer {
    /// Time from the acceptance of a job to its outcome.
    JobResponse,
    /// Time from the acceptance of a task until it is sent to a sidecar.
    TaskWait,
    /// Time for which a task occupied its slot.
    TaskRun,
    /// Duration of a call to the platform's log service.
    LogCall,
    /// Duration of one iteration of the control thread's event loop.
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
