//! The timing that bounds how long a run may outlive the entry that ordered it.

use std::time::Duration;

use super::units::millis;

/// How long runs continue after the last proof that their entry was alive, unless the platform's
/// bounds require less. Four heartbeats of a session with work.
const ENTRY_SILENCE: Duration = Duration::from_millis(600);

/// The duration of the lease of runs, unless the platform's bounds require less. Four hold calls,
/// of which three may be lost.
const LEASE: Duration = Duration::from_millis(550);

/// How much slower a minion's clock may run than the sidecar's, in thousandths. The platform
/// guarantees this bound.
pub(crate) const CLOCK_DRIFT_PERMILLE: u32 = 20;

/// The margin for timers that fire late and for orders in transit.
const MARGIN: Duration = Duration::from_millis(89);

/// The smallest factor on these times with which heartbeats and calls still work, in thousandths.
const SCALE_MIN_PERMILLE: u128 = 250;

/// The times that add up to how long a run may outlive the entry that ordered it.
///
/// The sum stays below the delay after which a caller resubmits its job to another entry. All
/// processes derive it from the same bounds of the platform, so that they agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTiming {
    entry_silence: Duration,
    lease: Duration,
    stop_time: Duration,
}

impl Default for RunTiming {
    /// Returns the times for the current bounds of the platform.
    fn default() -> Self {
        Self::new(
            Duration::from_millis(1_000),
            Duration::from_millis(50),
            Duration::from_millis(1_300),
        )
    }
}

impl RunTiming {
    /// Derives the times from the longest lease that minions grant, the longest time that they take
    /// to stop a run, and the delay before callers resubmit a job.
    ///
    /// Logs an error if these bounds leave too little time, so that a job may be resubmitted while
    /// its runs for a lost entry continue.
    pub fn new(lease_max: Duration, stop_time: Duration, resubmission_delay: Duration) -> Self {
        let wanted = ENTRY_SILENCE + with_drift(LEASE);
        let available = resubmission_delay.saturating_sub(stop_time + MARGIN);
        let scale_permille = available.as_nanos() * 1_000 / wanted.as_nanos();
        if scale_permille < SCALE_MIN_PERMILLE {
            log::error!(
                resubmission_ms = millis(resubmission_delay),
                stop_time_ms = millis(stop_time);
                "resubmission delay too short: runs of a lost entry may still run on resubmission"
            );
        }
        let scale = u32::try_from(scale_permille.clamp(SCALE_MIN_PERMILLE, 1_000)).unwrap_or(1_000);
        Self {
            entry_silence: ENTRY_SILENCE * scale / 1_000,
            lease: (LEASE * scale / 1_000).min(lease_max),
            stop_time,
        }
    }

    /// Returns how long runs continue after the last proof that their entry was alive.
    pub fn entry_silence(&self) -> Duration {
        self.entry_silence
    }

    /// Returns the duration of the lease of runs.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Returns the longest time that a minion takes to stop a run.
    pub fn stop_time(&self) -> Duration {
        self.stop_time
    }

    /// Returns how long runs may continue after the last proof that their entry was alive, even if
    /// the sidecar is frozen when it has to stop them.
    pub fn orphan_run_max(&self) -> Duration {
        self.entry_silence + with_drift(self.lease) + self.stop_time + MARGIN
    }
}

fn with_drift(lease: Duration) -> Duration {
    lease + lease * CLOCK_DRIFT_PERMILLE / 1_000
}
