//! Settings of a sidecar.

use std::time::Duration;

use crate::dispatch::RunTiming;
use crate::dispatch::units::clamp_duration;

/// Timeouts and intervals of a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct SidecarSettings {
    /// Duration of the lease that orders and renewals request. Shorter than the longest lease
    /// that a minion grants, so that the minion never shortens it.
    pub lease: Duration,
    /// The longest lease that the minion grants.
    pub lease_max: Duration,
    /// How long runs of an entry continue after the last sign that the entry was alive. Together
    /// with the lease, which covers a sidecar that is frozen at that moment, and the time to stop
    /// the runs, it is shorter than the delay after which a caller resubmits its job elsewhere.
    pub entry_silence_timeout: Duration,
    /// How long the minion may delay its answer to a hold call until a run ends. A quarter of the
    /// lease, so that a lost answer leaves time for another call.
    pub hold_wait: Duration,
    /// Replaces `hold_wait` while nothing runs.
    pub idle_hold_wait: Duration,
    /// Replaces `hold_wait` while answers of the minion get lost: the end of a run in a lost
    /// answer is reported again only in the next one. A third of the duration of the shortest
    /// tasks.
    pub lossy_hold_wait: Duration,
    /// How long after a lost answer `lossy_hold_wait` applies. About ten calls, so that it stays
    /// in force at a loss of one answer in ten.
    pub lossy_window: Duration,
    /// The minimum interval between a hold call that failed at once and the next one.
    pub hold_retry_interval: Duration,
    /// The pause before a stop order without an answer is repeated.
    pub stop_retry_pause: Duration,
    /// The longest time that the minion takes to end a run.
    pub run_stop_time_max: Duration,
}

impl SidecarSettings {
    /// Creates settings for a minion that grants leases up to `lease_max`, which counts as a day at
    /// most.
    pub fn new(timing: RunTiming, lease_max: Duration) -> Self {
        Self {
            lease: timing.lease(),
            lease_max: clamp_duration(lease_max),
            entry_silence_timeout: timing.entry_silence_timeout(),
            hold_wait: timing.lease() / 4,
            idle_hold_wait: Duration::from_millis(1_000),
            lossy_hold_wait: Duration::from_millis(20),
            lossy_window: Duration::from_millis(1_500),
            hold_retry_interval: Duration::from_millis(10),
            stop_retry_pause: Duration::from_millis(20),
            run_stop_time_max: timing.run_stop_time_max(),
        }
    }
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self::new(RunTiming::default(), Duration::from_millis(1_000))
    }
}
