//! How long a run may outlive the entry that ordered it.

use std::time::Duration;

use super::units::millis;

/// How long runs of an entry go on after the last sign that it was alive, where the platform leaves
/// the time: four beats of a session with work.
const ENTRY_SILENCE: Duration = Duration::from_millis(600);

/// How far ahead the lease of the runs reaches, where the platform leaves the time: four calls that
/// wait for an end, of which three may be lost.
const LEASE: Duration = Duration::from_millis(550);

/// How much slower than ours a minion's clock may go, in thousandths; a promise of the platform.
pub(crate) const CLOCK_DRIFT_PERMILLE: u32 = 20;

/// What is left for timers that fire late and for orders on the way.
const MARGIN: Duration = Duration::from_millis(89);

/// The least share of these times that beats and calls work with, in thousandths.
const SHARE_MIN_PERMILLE: u128 = 250;

/// The times that add up to how long a run may outlive the entry that ordered it.
///
/// The sum stays below the pause after which a caller hands its job in at another entry. All
/// processes work it out from the same bounds of the platform, so that they agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTiming {
    entry_silence: Duration,
    lease: Duration,
    stop_time: Duration,
}

impl Default for RunTiming {
    /// The times for the bounds that the users' platform has today.
    fn default() -> Self {
        Self::new(
            Duration::from_millis(1_000),
            Duration::from_millis(50),
            Duration::from_millis(1_300),
        )
    }
}

impl RunTiming {
    /// Works out the times from the longest lease that minions grant, the longest time that they
    /// take to stop a run, and the pause before callers hand in a job again.
    pub fn new(lease_max: Duration, stop_time: Duration, resubmission: Duration) -> Self {
        let wanted = ENTRY_SILENCE + with_drift(LEASE);
        let left = resubmission.saturating_sub(stop_time + MARGIN);
        let share_permille = left.as_nanos() * 1_000 / wanted.as_nanos();
        if share_permille < SHARE_MIN_PERMILLE {
            log::error!(
                resubmission_ms = millis(resubmission),
                stop_time_ms = millis(stop_time);
                "callers come back before the runs of a lost entry are sure to have ended"
            );
        }
        let share = u32::try_from(share_permille.clamp(SHARE_MIN_PERMILLE, 1_000)).unwrap_or(1_000);
        Self {
            entry_silence: ENTRY_SILENCE * share / 1_000,
            lease: (LEASE * share / 1_000).min(lease_max),
            stop_time,
        }
    }

    /// Returns how long runs of an entry go on after the last sign that it was alive.
    pub fn entry_silence(&self) -> Duration {
        self.entry_silence
    }

    /// Returns how far ahead the lease of the runs reaches.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Returns how long the minion takes to end a run at the most.
    pub fn stop_time(&self) -> Duration {
        self.stop_time
    }

    /// Returns how long after an entry's last sign of life its runs may go on, even if the sidecar
    /// stands still when it ought to stop them.
    pub fn doubt(&self) -> Duration {
        self.entry_silence + with_drift(self.lease) + self.stop_time + MARGIN
    }
}

fn with_drift(lease: Duration) -> Duration {
    lease + lease * CLOCK_DRIFT_PERMILLE / 1_000
}
