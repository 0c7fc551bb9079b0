//! Admission control: whether a job can start early enough to meet its objective.

use std::time::Duration;

use super::confinement::Confinement;
use super::fleet::Fleet;
use super::job::Job;
use super::jobs::Jobs;
use crate::dispatch::session::Sessions;

/// The priority of the most urgent queues; lower is more urgent.
const HIGHEST_PRIORITY: u8 = 0;

/// Why a job is admitted or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionReason {
    /// It is admitted: nothing waits ahead of it.
    NothingAhead,
    /// It is admitted: its predicted wait fits into its slack.
    FitsSlack,
    /// It is refused: its predicted wait exceeds its slack.
    ExceedsSlack,
    /// It is admitted: a minion for its trial is free soon.
    TrialCapacity,
    /// It is refused: too many jobs wait for a trial.
    NoTrialCapacity,
}

impl AdmissionReason {
    /// Returns whether the job is admitted.
    pub fn is_admitted(self) -> bool {
        match self {
            Self::NothingAhead | Self::FitsSlack | Self::TrialCapacity => true,
            Self::ExceedsSlack | Self::NoTrialCapacity => false,
        }
    }
}

/// The inputs of the admission decision for one job.
#[derive(Debug, Default, Clone, Copy)]
pub struct Admission {
    /// The estimated work queued ahead of the job, in millicores times milliseconds.
    pub work_ahead_millicore_ms: u64,
    /// The CPU capacity of the minions that this entry can count on, in millicores.
    pub share_millicores: u64,
    /// How long the link of this entry needs for what is queued ahead of the job.
    pub link_delay: Duration,
    /// How long the job can wait and still meet its latency objective.
    pub slack: Duration,
}

impl Admission {
    /// Collects the inputs for a new job. `spare_count` is the number of minions that would join the
    /// subset of the entry under load.
    pub(super) fn new(
        job: &Job,
        jobs: &Jobs,
        fleet: &Fleet,
        confinement: &Confinement,
        sessions: &Sessions,
        spare_count: u64,
    ) -> Self {
        let waiting = jobs.waiting();
        let lane = confinement.lane(job);
        // A job of the most urgent queues only waits for the work ahead of it. For the others all
        // admitted work counts, whatever its position, so that jobs that were admitted before
        // still meet their objectives.
        let work_ahead = if job.policy.priority == HIGHEST_PRIORITY {
            waiting.work_ahead(job)
        } else {
            waiting.total_work()
        };
        // Jobs that wait for a trial take no resources of the others.
        let trial_work = confinement.waiting_trial_work(jobs);
        Self {
            work_ahead_millicore_ms: work_ahead
                .millicore_ms
                .saturating_sub(trial_work.millicore_ms),
            link_delay: sessions.link_delay(
                work_ahead
                    .order_bytes
                    .saturating_sub(trial_work.order_bytes),
            ),
            share_millicores: fleet.share_millicores_of(&job.service, spare_count, |sidecar| {
                confinement.is_in_lane(lane, sidecar)
            }),
            slack: job.objective().saturating_sub(job.critical_path),
        }
    }

    /// Returns the estimated queueing delay of the job: the minions and the link work at the same
    /// time.
    pub fn wait(&self) -> Duration {
        let wait_ms = self.work_ahead_millicore_ms / self.share_millicores.max(1);
        Duration::from_millis(wait_ms).max(self.link_delay)
    }

    /// Returns whether the job is admitted, and why.
    pub fn reason(&self) -> AdmissionReason {
        if self.work_ahead_millicore_ms == 0 {
            AdmissionReason::NothingAhead
        } else if self.wait() <= self.slack {
            AdmissionReason::FitsSlack
        } else {
            AdmissionReason::ExceedsSlack
        }
    }

    /// Returns whether the job is admitted: nothing is queued ahead of it, or its wait fits into
    /// its slack.
    pub fn is_admitted(&self) -> bool {
        self.reason().is_admitted()
    }
}
