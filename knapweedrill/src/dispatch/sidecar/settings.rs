//! Settings of a sidecar.

use std::time::Duration;

use crate::dispatch::RunTiming;

/// Times of a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct SidecarSettings {
    /// How far ahead the lease of the runs reaches. Below the longest that a minion grants, so
    /// that the end is the one that was asked for.
    pub lease: Duration,
    /// The longest lease that the minion grants.
    pub lease_max: Duration,
    /// How long runs of an entry go on after the last sign that it was alive. With the lease, in
    /// case this process stands still just then, and the time to stop them it stays below the
    /// pause after which a caller hands its job in elsewhere.
    pub entry_silence: Duration,
    /// How long the minion may wait for an end before it answers. A quarter of the lease, so
    /// that a lost answer leaves time for another call.
    pub hold_wait: Duration,
    /// The same while nothing runs.
    pub idle_hold_wait: Duration,
    /// The same while the minion's answers get lost at times: an end that a lost answer told is
    /// seen only with the next one. A third of the shortest tasks.
    pub lossy_hold_wait: Duration,
    /// How long after a lost answer the next are feared to be lost too. Some ten calls, so that a
    /// loss of one in ten is noticed throughout.
    pub lossy_for: Duration,
    /// The pause before the minion is asked again, or a stop is ordered again, after it gave no
    /// answer: half of the time that it has to answer an order.
    pub hold_pause: Duration,
    /// How long the minion takes to end a run at the most.
    pub stop_time: Duration,
}

impl SidecarSettings {
    /// Creates settings for a minion that grants leases up to `lease_max`.
    pub fn new(timing: RunTiming, lease_max: Duration) -> Self {
        Self {
            lease: timing.lease(),
            lease_max,
            entry_silence: timing.entry_silence(),
            hold_wait: timing.lease() / 4,
            idle_hold_wait: Duration::from_millis(1_000),
            lossy_hold_wait: Duration::from_millis(20),
            lossy_for: Duration::from_millis(1_500),
            hold_pause: Duration::from_millis(20),
            stop_time: timing.stop_time(),
        }
    }
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self::new(RunTiming::default(), Duration::from_millis(1_000))
    }
}
