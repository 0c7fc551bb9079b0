//! The timing that bounds how long a run may outlive the entry that ordered it.

use std::time::Duration;

use super::units::{clamp_duration, millis};

/// How long runs continue after the last proof that their entry was alive, unless the platform's
/// bounds require less. Four heartbeats of a session with work.
const ENTRY_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// The duration of the lease of runs, unless the platform's bounds require less. Four hold calls;
/// after a lost one, the next answer is needed before another call renews the lease.
const LEASE: Duration = Duration::from_millis(550);

/// How much slower a minion's clock may run than the sidecar's, in thousandths. The platform
/// guarantees this bound.
const CLOCK_DRIFT_PERMILLE: u32 = 20;

/// The margin for departures of callers that an entry has not noticed, for timers that fire late and
/// for orders in transit.
const MARGIN: Duration = Duration::from_millis(89);

/// The smallest factor on these times with which heartbeats and calls still work, in thousandths.
const SCALE_MIN_PERMILLE: u128 = 250;

/// The times that add up to how long a run may outlive the entry that ordered it.
///
/// The sum stays below the delay after which a caller resubmits its job to another entry. All
/// processes derive it from the same bounds of the platform, so that they agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTiming {
    entry_silence_timeout: Duration,
    lease: Duration,
    run_stop_time_max: Duration,
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
    /// to stop a run, and the delay before callers resubmit a job. Each counts as a day at most.
    ///
    /// Logs an error if these bounds leave too little time, so that a job may be resubmitted while
    /// its runs for a lost entry continue.
    pub fn new(
        lease_max: Duration,
        run_stop_time_max: Duration,
        resubmission_delay: Duration,
    ) -> Self {
        let [lease_max, run_stop_time_max, resubmission_delay] =
            [lease_max, run_stop_time_max, resubmission_delay].map(clamp_duration);
        let required = ENTRY_SILENCE_TIMEOUT + with_drift(LEASE);
        let available = resubmission_delay.saturating_sub(run_stop_time_max + MARGIN);
        let scale_permille = available.as_nanos() * 1_000 / required.as_nanos();
        if scale_permille < SCALE_MIN_PERMILLE {
            log::error!(
                resubmission_ms = millis(resubmission_delay),
                stop_time_ms = millis(run_stop_time_max);
                "resubmission delay too short: runs of a lost entry may still run on resubmission"
            );
        }
        let scale = u32::try_from(scale_permille.clamp(SCALE_MIN_PERMILLE, 1_000)).unwrap_or(1_000);
        Self {
            entry_silence_timeout: ENTRY_SILENCE_TIMEOUT * scale / 1_000,
            lease: (LEASE * scale / 1_000).min(lease_max),
            run_stop_time_max,
        }
    }

    /// Returns how long runs continue after the last proof that their entry still wanted them.
    pub fn entry_silence_timeout(&self) -> Duration {
        self.entry_silence_timeout
    }

    /// Returns the duration of the lease of runs.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Returns the longest time that a minion takes to stop a run.
    pub fn run_stop_time_max(&self) -> Duration {
        self.run_stop_time_max
    }

    /// Returns how long runs may continue after the last proof that their entry still wanted them,
    /// even if the sidecar is frozen when it has to stop them.
    pub fn orphan_run_max(&self) -> Duration {
        self.entry_silence_timeout + with_drift(self.lease) + self.run_stop_time_max + MARGIN
    }
}

fn with_drift(lease: Duration) -> Duration {
    lease + clock_drift(lease)
}

/// Returns how much longer than `duration` it may take until it has passed on a minion's clock.
pub(crate) fn clock_drift(duration: Duration) -> Duration {
    duration * CLOCK_DRIFT_PERMILLE / 1_000
}
