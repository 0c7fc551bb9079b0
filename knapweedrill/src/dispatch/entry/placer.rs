//! Placement of waiting tasks on sidecars.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::confinement::{Confinement, Lane};
use super::fleet::{Fleet, TaskRequirements};
use super::job::{Job, TaskState};
use super::jobs::Jobs;
use super::load_history::LoadHistory;
use super::place_wait::PlaceDecision;
use super::queue_floor::PlacementOrder;
use super::rack_waits::{RackTask, RackWaitCounts, RackWaits};
use super::sidecar_subset::{LABEL_SUBSET_SIZE, RACK_SUBSET_SIZE, SidecarSubset};
use crate::common::Incarnation;
use crate::dispatch::Attempt;
use crate::dispatch::message::{Message, StartOrder};
use crate::dispatch::session::Sessions;
use crate::dispatch::units::millis;

/// The penalty, in multiples of the task's estimate, for a minion where the task has failed or that
/// refused it as unhealthy. Such a minion is used only if no other can take the task.
const AVOIDED_PENALTY_FACTOR: u32 = 2;

/// How often a sidecar may stop a task that makes no progress, so that it is placed elsewhere. Each
/// failed, lost or stopped run counts, and so does a refusal by an unhealthy minion.
const MOVES_MAX: usize = 2;

/// The number of jobs that may be skipped for lack of resources before the search ends. Tasks
/// differ little in size, so a longer search seldom finds one that fits.
const SKIPPED_JOBS_MAX: usize = 8;

/// Sends tasks to sidecars and numbers the placements.
#[derive(Debug, Default)]
pub(super) struct Placer {
    last_attempt: Attempt,
    rack_waits: RackWaits,
}

/// What became of the waiting tasks of a job, or of one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placing {
    Placed,
    /// Some wait for their rack and the others are placed.
    Held,
    /// The first that found no place ended the search.
    NoRoom,
}

/// The sidecars to place tasks on, and what decides which of them a job may use.
#[derive(Debug)]
pub(super) struct Targets<'a> {
    pub(super) fleet: &'a mut Fleet,
    pub(super) subset: &'a mut SidecarSubset,
    pub(super) sessions: &'a mut Sessions,
    pub(super) confinement: &'a Confinement,
    pub(super) load: &'a mut LoadHistory,
    /// Whether a priority below its floor goes first.
    pub(super) has_floors: bool,
}

impl Placer {
    /// Creates a placer. `remote_run_factor_permille` is the factor by which a task takes longer
    /// outside of the rack that holds its data, in thousandths.
    pub(super) fn new(remote_run_factor_permille: Option<u32>) -> Self {
        Self {
            last_attempt: 0,
            rack_waits: RackWaits::new(remote_run_factor_permille),
        }
    }

    /// Returns the number of tasks that have waited for their rack.
    pub(super) fn rack_wait_counts(&self) -> RackWaitCounts {
        self.rack_waits.counts()
    }

    /// Records that a placement has ended.
    pub(super) fn record_end(&mut self, at: Incarnation, job: &Job, position: usize) {
        self.rack_waits.record_end(at, job.tasks[position].attempt);
    }

    /// Places the waiting tasks in the order of their jobs while resources are free and the link has
    /// room.
    pub(super) fn place_waiting(
        &mut self,
        jobs: &mut Jobs,
        targets: &mut Targets<'_>,
        now: Instant,
    ) {
        let mut skipped_count = 0;
        self.rack_waits.begin_pass(now);
        let mut order = PlacementOrder::new(jobs.waiting(), targets.has_floors);
        while targets.sessions.has_link_room(now) {
            let placed = targets.load.placed();
            let Some(queue_position) = order.next(jobs, placed, now) else {
                break;
            };
            let skipped_lane = jobs.change(queue_position.job(), |job| {
                let lane = targets.confinement.lane(job);
                if self.place_job(job, lane, targets, now) != Placing::NoRoom {
                    return None;
                }
                if lane != Lane::Trial {
                    targets.load.record_left_waiting(job);
                }
                Some(lane)
            });
            if let Some(Some(lane)) = skipped_lane {
                order.record_skipped(&queue_position);
                // Jobs that wait for a trial or for their rack say nothing about the resources that
                // are free.
                skipped_count += usize::from(lane != Lane::Trial);
            }
            if skipped_count >= SKIPPED_JOBS_MAX {
                break;
            }
        }
        targets.load.end_round();
        // More sidecars would not help while the link is full.
        if skipped_count > 0 && targets.sessions.has_link_room(now) {
            targets.subset.request_early_round();
        }
    }

    /// Places the waiting tasks of a job until one finds no room.
    fn place_job(
        &mut self,
        job: &mut Job,
        lane: Lane,
        targets: &mut Targets<'_>,
        now: Instant,
    ) -> Placing {
        let waiting: SmallVec<[usize; 16]> = job.waiting_positions().collect();
        let mut placing = Placing::Placed;
        for position in waiting {
            match self.place_task(job, position, lane, targets, now) {
                Placing::Placed => targets.load.record_placed(job, position, now),
                Placing::Held => placing = Placing::Held,
                Placing::NoRoom => return Placing::NoRoom,
            }
        }
        placing
    }

    fn place_task(
        &mut self,
        job: &mut Job,
        position: usize,
        lane: Lane,
        targets: &mut Targets<'_>,
        now: Instant,
    ) -> Placing {
        let Targets {
            fleet,
            subset,
            sessions,
            confinement,
            ..
        } = targets;
        if !sessions.has_link_room(now) {
            return Placing::NoRoom;
        }
        let task = &job.tasks[position];
        let step = &job.steps[usize::from(task.step)];
        let member_count = if self.rack_waits.is_enabled() {
            RACK_SUBSET_SIZE
        } else {
            LABEL_SUBSET_SIZE
        };
        let labels = [&step.required_label, &step.data_rack];
        for label in labels.into_iter().flatten() {
            if fleet.has_label(&job.service, label) {
                continue;
            }
            subset.request_label(&job.service, label, member_count, fleet, sessions, now);
            if subset.is_label_pending(label, now) {
                return Placing::NoRoom;
            }
        }
        let requirements = TaskRequirements {
            service: &job.service,
            resources: step.resources,
            estimate: step.estimate,
            time_left: match lane {
                Lane::Any | Lane::Rest => job.run_time_left(step.estimate, now),
                Lane::Trial => Duration::MAX,
            },
            required_label: step.required_label.as_deref(),
            preferred_label: step.data_rack.as_deref(),
        };
        let idle: SmallVec<[Incarnation; 8]> = match lane {
            Lane::Trial => fleet.idle(&job.service).collect(),
            Lane::Any | Lane::Rest => SmallVec::new(),
        };
        let trial_at = job.trial_at();
        let penalty = |sidecar| {
            let is_open = match lane {
                Lane::Any | Lane::Rest => true,
                Lane::Trial => match trial_at {
                    Some(trial_at) => sidecar == trial_at,
                    None => idle.contains(&sidecar),
                },
            };
            if !is_open || !confinement.is_in_lane(lane, sidecar) {
                return None;
            }
            let placed_there = job.placed_count(task.step, sidecar);
            if step.per_minion_max.is_some_and(|max| placed_there >= max) {
                return None;
            }
            let factor =
                u32::from(task.avoided_sidecars.contains(&sidecar)) * AVOIDED_PENALTY_FACTOR;
            Some(step.estimate * factor)
        };
        if let Some(rack) = step
            .data_rack
            .as_deref()
            .filter(|_| self.rack_waits.is_enabled())
        {
            let rack_task = RackTask {
                name: job.task_name(position),
                requirements: &requirements,
                step_millicores: job.waiting_step_millicores(position),
                siblings: &job.placed_siblings(position),
                // A task that was refused, failed or was lost has waited enough.
                may_wait: lane != Lane::Trial && task.placement_count == 0,
            };
            let is_open = |sidecar| penalty(sidecar).is_some();
            match self.rack_waits.decide(rack_task, fleet, is_open, now) {
                PlaceDecision::There => {}
                decision => {
                    // Others of its minions may have room.
                    subset.request_label(&job.service, rack, member_count, fleet, sessions, now);
                    if let PlaceDecision::Wait(_) = decision {
                        return Placing::Held;
                    }
                }
            }
        }
        let Some(sidecar) = fleet.choose(&requirements, now, penalty) else {
            if lane != Lane::Trial {
                self.rack_waits.record_unserved(&job.service, job.name, now);
            }
            return Placing::NoRoom;
        };
        let Some((stamp_ms, received_at)) = sessions.newest_stamp(sidecar) else {
            return Placing::NoRoom;
        };
        let attempt = self.last_attempt + 1;
        let (resources, estimate) = (step.resources, step.estimate);
        let order = StartOrder {
            task: job.task_name(position),
            attempt,
            resources,
            estimate,
            is_movable: task.avoided_sidecars.len() < MOVES_MAX,
            queue: job.queue_tag,
            is_trial: lane == Lane::Trial,
            service: job.service.clone(),
            required_label: step.required_label.clone(),
            spec: job.spec.clone(),
            sidecar_stamp_ms: stamp_ms,
            run_number: task.placement_count + 1,
        };
        let Some(number) = sessions.send(sidecar, Message::Start(order), now) else {
            return Placing::NoRoom;
        };
        self.last_attempt = attempt;
        let rack_wait = fleet.view(sidecar).map_or(Duration::ZERO, |view| {
            let name = job.task_name(position);
            self.rack_waits
                .record_placement(name, &requirements, view, attempt, now)
        });
        log::info!(
            job:% = job.name, task = task.index, attempt, sidecar:% = sidecar,
            free_millicores = fleet.view(sidecar).map_or(0, |view| view.free().cpu_millicores),
            stamp_age_ms = millis(now.saturating_duration_since(received_at)),
            estimate_ms = millis(estimate), rack_wait_ms = millis(rack_wait); "task placed"
        );
        fleet.record_placement(sidecar, number, resources, now);
        job.mark_placed(position, sidecar, attempt);
        if lane == Lane::Trial {
            job.begin_trial(sidecar);
        }
        Placing::Placed
    }

    /// Sends stop orders for all placements of a job that has ended and releases their resources.
    pub(super) fn stop_placements(
        &mut self,
        job: &Job,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        for (position, task) in job.tasks.iter().enumerate() {
            let TaskState::Placed(sidecar) = task.state else {
                self.rack_waits.forget(job.task_name(position), now);
                continue;
            };
            let stop = Message::Stop {
                task: job.task_name(position),
                attempt: task.attempt,
            };
            // Without a session the sidecar stops the run by itself.
            let _ = sessions.send(sidecar, stop, now);
            fleet.record_end(sidecar, job.resources(position));
            self.record_end(sidecar, job, position);
        }
    }
}
