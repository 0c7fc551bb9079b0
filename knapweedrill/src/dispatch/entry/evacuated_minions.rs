//! What the evacuated minions of an entry mean for admission.

use super::SidecarView;
use super::StepRequest;
use super::directory::Directory;
use super::fleet::Fleet;
use super::job::Job;
use super::jobs::Jobs;
use crate::dispatch::message::MinionProfile;
use crate::dispatch::{JobName, SidecarRecord};

/// The number of evacuated minions from which on all minions of which no failure domain is known
/// count as evacuated, if none is known to be in service. An entry ranks sidecars at random, so if
/// one in three minions were in service, it would know none of them with a chance of 1 %.
const SAMPLE_SIZE: usize = 12;

/// The minions that an entry knows, of which some may be evacuated.
#[derive(Debug, Clone, Copy)]
pub(super) struct EvacuatedMinions<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) directory: &'a Directory,
}

impl EvacuatedMinions<'_> {
    /// Returns how many of `count` sidecars of a service without a session are in service, if their
    /// share is that among the known ones.
    pub(super) fn in_service_count(self, service: &str, count: u64) -> u64 {
        let (mut known_count, mut evacuated_count) = (0, 0);
        for view in self.fleet.views() {
            let profile = view.profile();
            let is_counted = profile.is_some_and(|profile| profile.service == service);
            known_count += u64::from(is_counted);
            evacuated_count += u64::from(is_counted && view.is_evacuated());
        }
        if evacuated_count == 0 {
            return count;
        }
        count * (known_count - evacuated_count) / known_count
    }

    /// Returns whether some step can run nowhere because all minions that could run it are evacuated.
    pub(super) fn prevent_any(self, service: &str, steps: &[StepRequest]) -> bool {
        steps.iter().any(|step| self.prevent(service, step))
    }

    /// Returns the jobs of which nothing was placed and that contain a step that can run nowhere.
    pub(super) fn prevented_jobs(self, jobs: &Jobs) -> Vec<JobName> {
        if !self.fleet.views().any(SidecarView::is_evacuated) {
            return Vec::new();
        }
        let is_prevented =
            |job: &&Job| job.started_count == 0 && self.prevent_any(&job.service, &job.steps);
        let prevented = jobs.iter().filter(is_prevented);
        prevented.map(|job| job.name).collect()
    }

    fn prevent(self, service: &str, step: &StepRequest) -> bool {
        let label = step.required_label.as_deref();
        let could_run = |profile: &MinionProfile| {
            profile.service == service
                && step.resources.fits_into(profile.capacity)
                && profile.has_label(label)
        };
        let mut evacuated_count = 0;
        let views = self.fleet.views().filter(|view| view.gone_at().is_none());
        for view in views.filter(|view| view.profile().is_some_and(could_run)) {
            if !view.is_evacuated() {
                return false;
            }
            evacuated_count += 1;
        }
        if evacuated_count == 0 {
            return false;
        }
        let is_listed = |record: &&SidecarRecord| {
            record.service == service
                && step.resources.fits_into(record.capacity)
                && label.is_none_or(|label| record.has_label(label))
        };
        let listed_count = self.directory.page(0).filter(is_listed).count();
        evacuated_count >= listed_count.min(SAMPLE_SIZE)
    }
}
