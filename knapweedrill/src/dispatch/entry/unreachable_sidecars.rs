//! Recovery of tasks whose sidecar is unreachable.

use std::collections::HashMap;
use std::time::Instant;

use super::EntrySettings;
use super::fleet::Fleet;
use super::job::{Job, TaskState};
use crate::common::Incarnation;
use crate::dispatch::JobName;
use crate::dispatch::session::Sessions;

/// A placement whose run has certainly ended.
#[derive(Debug)]
pub(super) struct LostTask {
    pub(super) job: JobName,
    /// The position of the task in its job.
    pub(super) position: usize,
    pub(super) sidecar: Incarnation,
}

/// The unreachable sidecars, each with the time after which none of this entry's tasks can still
/// run there.
#[derive(Debug)]
pub(super) struct UnreachableSidecars {
    run_end_bounds: HashMap<Incarnation, Instant>,
}

impl UnreachableSidecars {
    /// Collects the sidecars that are silent or gone. The bound counts from the arrival of the last
    /// stamp of a silent sidecar that may have been echoed, or from the time when a sidecar was found to be gone.
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

    /// Returns the tasks of a job that can no longer run where they were placed.
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

    /// Returns whether a job will end too late even if its tasks on unreachable sidecars are placed
    /// again as soon as that is safe. Holds only if a caller that is answered now resubmits the job
    /// after the old runs have ended.
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
