//! Tasks of which nobody knows whether they still run, since their sidecar is out of reach.

use std::collections::HashMap;
use std::time::Instant;

use super::EntrySettings;
use super::fleet::Fleet;
use super::job::{Job, TaskState};
use crate::common::Incarnation;
use crate::dispatch::JobName;
use crate::dispatch::session::Sessions;

/// A placement whose run can't go on any more.
#[derive(Debug)]
pub(super) struct LostTask {
    pub(super) job: JobName,
    /// The position of the task in its job.
    pub(super) position: usize,
    pub(super) sidecar: Incarnation,
}

/// The moments from which on nothing can run at the sidecars that are out of reach.
#[derive(Debug)]
pub(super) struct UnreachableSidecars {
    run_end_bounds: HashMap<Incarnation, Instant>,
}

impl UnreachableSidecars {
    /// Works out the moments for the sidecars that are silent or gone now.
    pub(super) fn new(fleet: &Fleet, sessions: &Sessions, settings: &EntrySettings) -> Self {
        let run_end_bounds = fleet.views().filter_map(|view| {
            let sidecar = view.incarnation();
            let since = match view.gone_at() {
                Some(gone_at) => gone_at,
                None if view.is_silent() => sessions.newest_stamp(sidecar)?.1,
                None => return None,
            };
            Some((sidecar, since + settings.orphan_run_max))
        });
        Self {
            run_end_bounds: run_end_bounds.collect(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.run_end_bounds.is_empty()
    }

    /// Returns the tasks of a job that can't run any more where they were placed.
    pub(super) fn lost_tasks<'a>(
        &'a self,
        job: &'a Job,
        now: Instant,
    ) -> impl Iterator<Item = LostTask> + 'a {
        self.placements(job)
            .filter(move |(.., end)| *end <= now)
            .map(|(position, sidecar, _)| LostTask {
                job: job.name,
                position,
                sidecar,
            })
    }

    /// Returns whether a job will miss its use even if its tasks in doubt run elsewhere as soon as
    /// they may, and its caller, told now, can come back once they are over.
    pub(super) fn will_miss_deadline(
        &self,
        job: &Job,
        settings: &EntrySettings,
        now: Instant,
    ) -> bool {
        let useful_until = job.useful_until(settings).min(job.caller_deadline);
        self.placements(job).any(|(position, _, end)| {
            end > now
                && end + job.estimate(position) > useful_until
                && now + settings.resubmission_delay >= end
        })
    }

    fn placements<'a>(
        &'a self,
        job: &'a Job,
    ) -> impl Iterator<Item = (usize, Incarnation, Instant)> + 'a {
        job.tasks.iter().enumerate().filter_map(|(position, task)| {
            let TaskState::Placed(sidecar) = task.state else {
                return None;
            };
            Some((position, sidecar, *self.run_end_bounds.get(&sidecar)?))
        })
    }
}
