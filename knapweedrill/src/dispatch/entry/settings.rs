//! The settings of an entry.

use std::time::Duration;

use crate::dispatch::RunTiming;
use crate::dispatch::units::clamp_duration;

/// The time-outs and limits of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntrySettings {
    /// The longest time that a task can still run at a sidecar after the last stamp of the sidecar
    /// that this entry may have echoed; see [`RunTiming`].
    pub orphan_run_max: Duration,
    /// The delay after which callers resubmit a job that failed.
    pub resubmission_delay: Duration,
    /// The longest time for which this process may stand still and go on as before. A run that it
    /// orders then still ends before a caller that has left meanwhile is back elsewhere.
    pub pause_max: Duration,
    /// How long it may take after a longer pause until everything that arrived meanwhile is read.
    pub backlog_time: Duration,
    /// How long after the departure of a caller that it has not noticed an entry may prove to
    /// sidecars that it is alive. Part of the margin of [`RunTiming`].
    pub caller_lag_max: Duration,
    /// How long before a caller's deadline the answer has to be sent.
    pub answer_margin: Duration,
    /// The multiple of its latency objective after which the result of a job is of no use.
    pub objective_multiple_max: u32,
    /// How long answers are kept for repeated requests.
    pub answer_retention: Duration,
    /// How long the names of cancelled jobs are remembered, so that a late copy of a submission starts
    /// nothing. As long as the platform expects the end of a job to be known; copies arrive within
    /// seconds.
    pub cancelled_name_retention: Duration,
    /// The longest time until a caller that cancels a job of another entry is answered.
    pub cancel_answer_max: Duration,
    /// The minimum interval between two probes of a suspect minion by this entry.
    pub probe_interval: Duration,
    /// The factor by which a task takes longer outside of the rack that holds its data, in
    /// thousandths. Without it, such a task counts as slower by half of its estimate, and none waits
    /// for its rack.
    pub remote_run_factor_permille: Option<u32>,
    /// Whether a job waits only for the work ahead of it in the queue, at the rate that higher
    /// priorities leave; otherwise all waiting work counts for all but the most urgent jobs.
    pub counts_work_ahead: bool,
    /// Whether each priority with waiting work keeps a minimum share of what is placed. Off by default:
    /// in a shortage more of the urgent jobs fail with it, and more jobs are refused.
    pub keeps_floors: bool,
    /// Whether admission counts on the recent rate of placement while work waited if that exceeds
    /// this entry's share.
    pub counts_drain_rate: bool,
    /// Whether a job is admitted that the free capacity can hold beside all waiting work.
    pub admits_into_free_capacity: bool,
    /// Whether the retry delay of jobs that are refused because of the load follows from the predicted
    /// time until the backlog has drained.
    pub predicts_retry_after: bool,
    /// The seed of all random choices and of the ranking of sidecars.
    pub seed: u64,
}

impl EntrySettings {
    /// Creates the settings for callers that resubmit a failed job after `resubmission_delay`, which
    /// counts as a day at most.
    pub fn new(timing: RunTiming, resubmission_delay: Duration) -> Self {
        Self {
            orphan_run_max: timing.orphan_run_max(),
            resubmission_delay: clamp_duration(resubmission_delay),
            pause_max: timing.entry_silence_timeout(),
            backlog_time: Duration::from_millis(200),
            caller_lag_max: Duration::from_millis(80),
            answer_margin: Duration::from_millis(40),
            objective_multiple_max: 3,
            answer_retention: Duration::from_secs(5),
            cancelled_name_retention: Duration::from_secs(120),
            cancel_answer_max: Duration::from_millis(400),
            probe_interval: Duration::from_millis(500),
            remote_run_factor_permille: None,
            counts_work_ahead: true,
            keeps_floors: false,
            counts_drain_rate: true,
            admits_into_free_capacity: true,
            predicts_retry_after: true,
            seed: 1,
        }
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self::new(RunTiming::default(), Duration::from_millis(1_300))
    }
}
