//! The clock of a process.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that also counts the time for which the VM is suspended.
///
/// [`Instant::now`] stands still meanwhile, so that orders, leases and deadlines that are seconds
/// old would look fresh after a suspension.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started_at: Instant,
    started_since_boot: Duration,
    since_boot: fn() -> Duration,
}

impl ProcessClock {
    /// Starts the clock. `since_boot` returns the time since the VM booted, suspensions included.
    pub fn start(since_boot: fn() -> Duration) -> Self {
        Self {
            started_at: Instant::now(),
            started_since_boot: since_boot(),
            since_boot,
        }
    }

    /// Returns when the clock was started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.started_at + (self.since_boot)().saturating_sub(self.started_since_boot)
    }

    /// Returns for how long the VM has been suspended since the clock was started.
    pub fn suspended(&self) -> Duration {
        let running = self.started_at.elapsed();
        self.now()
            .saturating_duration_since(self.started_at)
            .saturating_sub(running)
    }
}

/// Returns the time since the VM booted, including the time for which it was suspended.
pub fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
