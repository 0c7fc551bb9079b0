//! Admission control: whether a job can start early enough to meet its objective.

use std::time::{Duration, Instant};

use super::EntrySettings;
use super::confinement::Confinement;
use super::fleet::{Fleet, TaskRequirements};
use super::job::Job;
use super::jobs::Jobs;
use super::load_history::LoadHistory;
use super::queue_floor::{floor_of, left_by_floors};
use crate::common::Incarnation;
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
    /// It is admitted: the free capacity can hold it beside all waiting work.
    FreeCapacity,
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
            Self::NothingAhead | Self::FitsSlack | Self::FreeCapacity | Self::TrialCapacity => true,
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
    /// The rate at which this entry's work was placed recently while work waited, in millicores.
    pub drain_millicores: u64,
    /// The CPU capacity of all usable minions that this entry has sessions with, in millicores. Bounds
    /// `drain_millicores`; may be 0 if that does not exceed the share.
    pub capacity_millicores: u64,
    /// The rate at which work of higher priorities has been admitted recently, in millicores.
    pub higher_arrival_millicores: u64,
    /// The number of lower priorities with waiting work, each of which keeps its floor.
    pub lower_waiting_count: u64,
    /// The work that the floor of the job's priority has to carry before the job, in millicores times
    /// milliseconds; `None` if priorities have no floors.
    pub floor_work_millicore_ms: Option<u64>,
    /// The CPU that is free for the first tasks of the job where they would end in time, in
    /// millicores.
    pub free_millicores: u64,
    /// The CPU that all waiting tasks require, in millicores.
    pub waiting_millicores: u64,
    /// The work of all waiting tasks, in millicores times milliseconds.
    pub waiting_millicore_ms: u64,
    /// The CPU that the first tasks of the job require, in millicores.
    pub needed_millicores: u64,
    /// How long the link of this entry needs for what is queued ahead of the job.
    pub link_delay: Duration,
    /// How long the job can wait and still meet its latency objective.
    pub slack: Duration,
}

/// The state of an entry that the admission of a job depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdmissionState<'a> {
    pub(super) settings: &'a EntrySettings,
    pub(super) jobs: &'a Jobs,
    pub(super) fleet: &'a Fleet,
    pub(super) confinement: &'a Confinement,
    pub(super) sessions: &'a Sessions,
    pub(super) load: &'a LoadHistory,
    /// The number of minions that would join the subset of the entry under load.
    pub(super) spare_count: u64,
}

impl Admission {
    /// Collects the inputs for a new job.
    pub(super) fn new(job: &Job, state: AdmissionState<'_>, now: Instant) -> Self {
        let waiting = state.jobs.waiting();
        let lane = state.confinement.lane(job);
        let counts_work_ahead = state.settings.counts_work_ahead;
        let total_work = waiting.total_work();
        let work_ahead = if job.policy.priority == HIGHEST_PRIORITY {
            waiting.work_ahead(job)
        } else if counts_work_ahead {
            waiting.work_ahead(job) + waiting.overdue_work(job.policy.priority)
        } else {
            total_work
        };
        // Jobs that wait for a trial take no resources of the others.
        let trial_work = state.confinement.waiting_trial_work(state.jobs);
        let work_ahead_millicore_ms = work_ahead
            .millicore_ms
            .saturating_sub(trial_work.millicore_ms);
        let higher_arrival_millicores = if counts_work_ahead {
            state.load.arrival_rate_above(job, now)
        } else {
            0
        };
        let lower_waiting_count = if state.settings.keeps_floors {
            waiting.lower_priority_count(job.policy.priority)
        } else {
            0
        };
        let is_counted = |sidecar| state.confinement.is_in_lane(lane, sidecar);
        let share_millicores =
            state
                .fleet
                .share_millicores_of(&job.service, state.spare_count, is_counted);
        let drain_millicores = if state.settings.counts_drain_rate {
            let drain_millicores = state.load.drain_rate(&job.service, now);
            let is_reduced = state.settings.keeps_floors;
            counted_drain(job, is_reduced, drain_millicores, share_millicores)
        } else {
            0
        };
        // The bound on a rate beyond the share; the sum over the subset is spared without one.
        let capacity_millicores = if drain_millicores > share_millicores {
            state.fleet.capacity_millicores_of(&job.service, is_counted)
        } else {
            0
        };
        let free_millicores =
            if state.settings.admits_into_free_capacity && work_ahead_millicore_ms > 0 {
                free_millicores_for(job, state.fleet, now, is_counted)
            } else {
                0
            };
        Self {
            work_ahead_millicore_ms,
            share_millicores,
            drain_millicores,
            capacity_millicores,
            higher_arrival_millicores,
            lower_waiting_count,
            floor_work_millicore_ms: state.settings.keeps_floors.then(|| {
                let own_work = waiting.own_work_ahead(job).millicore_ms;
                own_work.saturating_add(state.load.above_floor(job.policy.priority, now))
            }),
            free_millicores,
            waiting_millicores: total_work.millicores,
            waiting_millicore_ms: total_work.millicore_ms,
            needed_millicores: job.waiting_millicores(),
            link_delay: state.sessions.link_delay(
                work_ahead
                    .order_bytes
                    .saturating_sub(trial_work.order_bytes),
            ),
            slack: job.objective().saturating_sub(job.critical_path),
        }
    }

    /// Returns the rate at which all work of this entry is expected to be placed, in millicores: its
    /// share, or more if it was recently given more.
    ///
    /// Sidecars give to the entries that ask for it what others leave, which no share accounts for.
    pub fn total_rate_millicores(&self) -> u64 {
        // Many long tasks placed at once exceed what can be placed in the long run.
        let drain_millicores = self.drain_millicores.min(self.capacity_millicores);
        self.share_millicores.max(drain_millicores)
    }

    /// Returns the rate at which the work ahead of the job is expected to be placed, in millicores:
    /// what higher priorities and the floors of lower ones leave, and at least the floor of the job's
    /// priority.
    pub fn rate_millicores(&self) -> u64 {
        let total = self.total_rate_millicores();
        left_by_floors(total, self.lower_waiting_count)
            .saturating_sub(self.higher_arrival_millicores)
            .max(floor_of(total))
    }

    /// Returns the estimated queueing delay of the job: the minions and the link work at the same
    /// time.
    ///
    /// The minions place it after all work ahead of it, or after that of its own priority at the rate
    /// of the floor, whichever is sooner.
    pub fn wait(&self) -> Duration {
        let wait_ms = self.work_ahead_millicore_ms / self.rate_millicores().max(1);
        let floor_millicores = floor_of(self.total_rate_millicores()).max(1);
        let floor_wait_ms = self
            .floor_work_millicore_ms
            .map_or(wait_ms, |work| work / floor_millicores);
        Duration::from_millis(wait_ms.min(floor_wait_ms)).max(self.link_delay)
    }

    /// Returns whether the free capacity can hold the first tasks of the job beside all waiting ones,
    /// and the link does not delay it for too long.
    fn has_free_capacity(&self) -> bool {
        let taken = self
            .waiting_millicores
            .saturating_add(self.needed_millicores);
        let has_room = self.free_millicores > 0 && taken <= self.free_millicores;
        has_room && self.link_delay <= self.slack
    }

    /// Returns whether the job is admitted, and why.
    pub fn reason(&self) -> AdmissionReason {
        if self.work_ahead_millicore_ms == 0 {
            AdmissionReason::NothingAhead
        } else if self.wait() <= self.slack {
            AdmissionReason::FitsSlack
        } else if self.has_free_capacity() {
            AdmissionReason::FreeCapacity
        } else {
            AdmissionReason::ExceedsSlack
        }
    }

    /// Returns whether the job is admitted: nothing is queued ahead of it, its wait fits into its
    /// slack, or the free capacity can hold it.
    pub fn is_admitted(&self) -> bool {
        self.reason().is_admitted()
    }
}

/// Returns how much of the rate of placement a job can count on. The most urgent jobs come first in
/// whatever the entry is given; of the rest, other entries may claim their shares at any moment, unless
/// it `is_reduced` by what the floors of other priorities take.
fn counted_drain(job: &Job, is_reduced: bool, drain_millicores: u64, share_millicores: u64) -> u64 {
    if is_reduced || job.policy.priority == HIGHEST_PRIORITY {
        return drain_millicores;
    }
    let surplus = drain_millicores.saturating_sub(share_millicores);
    share_millicores + surplus / 2
}

/// Returns the CPU that is free for each of the first steps of a job where its tasks would end in
/// time, in millicores.
fn free_millicores_for(
    job: &Job,
    fleet: &Fleet,
    now: Instant,
    is_counted: impl Fn(Incarnation) -> bool,
) -> u64 {
    let first_steps = job.steps.iter().filter(|step| step.after.is_empty());
    let free = first_steps.map(|step| {
        let requirements = TaskRequirements {
            service: &job.service,
            resources: step.resources,
            estimate: step.estimate,
            time_left: job.run_time_left(step.estimate, now),
            required_label: step.required_label.as_deref(),
            preferred_label: None,
        };
        let per_minion_max = step.per_minion_max.unwrap_or(u32::MAX);
        fleet.free_millicores_for(&requirements, per_minion_max, &is_counted)
    });
    free.min().unwrap_or(0)
}
