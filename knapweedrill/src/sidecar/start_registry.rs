//! Registry of the tasks that a sidecar started, for deduplication and fencing.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use knapweedrill_derive::value;
use smallvec::SmallVec;

use super::StartRefusal;
use crate::common::{Generation, Incarnation, JobId, TaskIndex};
use crate::job::TaskId;

/// Records which tasks were started and which jobs are fenced.
///
/// Whole generations of an owner are evicted some time after their last use, which bounds the size
/// of the registry. Tasks of an evicted generation count as started: the registry may report a task
/// as possibly started that never was, but never the reverse.
#[value]
#[derive(Default)]
pub struct StartRegistry {
    owners: HashMap<Incarnation, OwnerStarts>,
}

#[value]
#[derive(Default)]
struct OwnerStarts {
    generations: BTreeMap<Generation, GenerationStarts>,
    evicted_up_to: Option<Generation>,
}

#[value]
struct GenerationStarts {
    jobs: HashMap<JobId, JobStarts>,
    used_at: Instant,
}

#[value]
#[derive(Default)]
struct JobStarts {
    started: SmallVec<[TaskIndex; 4]>,
    is_fenced: bool,
}

impl StartRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a task is being started.
    ///
    /// # Errors
    ///
    /// Returns the reason if the task must not be started.
    pub fn record_start(
        &mut self,
        task: TaskId,
        generation: Generation,
        now: Instant,
    ) -> Result<(), StartRefusal> {
        let Some(job) = self.job_mut(task.owner, generation, task.job, now) else {
            return Err(StartRefusal::JobFenced);
        };
        if job.started.contains(&task.index) {
            return Err(StartRefusal::StartedBefore);
        }
        if job.is_fenced {
            return Err(StartRefusal::JobFenced);
        }
        job.started.push(task.index);
        Ok(())
    }

    /// Removes the record of a start that never reached the minion.
    pub fn revert_start(&mut self, task: TaskId, generation: Generation, now: Instant) {
        if let Some(job) = self.job_mut(task.owner, generation, task.job, now) {
            job.started.retain(|index| *index != task.index);
        }
    }

    /// Returns whether a task may have been started.
    pub fn may_have_started(&self, task: TaskId, generation: Generation) -> bool {
        let Some(owner) = self.owners.get(&task.owner) else {
            return false;
        };
        if owner.is_evicted(generation) {
            return true;
        }
        owner
            .generations
            .get(&generation)
            .and_then(|generation_starts| generation_starts.jobs.get(&task.job))
            .is_some_and(|job| job.started.contains(&task.index))
    }

    /// Returns whether a job is fenced.
    pub fn is_fenced(&self, owner: Incarnation, generation: Generation, job: JobId) -> bool {
        let Some(owner) = self.owners.get(&owner) else {
            return false;
        };
        owner.is_evicted(generation)
            || owner
                .generations
                .get(&generation)
                .and_then(|generation_starts| generation_starts.jobs.get(&job))
                .is_some_and(|job| job.is_fenced)
    }

    /// Fences a job and returns whether any task of it may have been started.
    pub fn fence(
        &mut self,
        owner: Incarnation,
        generation: Generation,
        job: JobId,
        now: Instant,
    ) -> bool {
        let Some(job) = self.job_mut(owner, generation, job, now) else {
            return true;
        };
        job.is_fenced = true;
        !job.started.is_empty()
    }

    /// Evicts the generations that were last used more than `age` ago.
    pub fn evict_older_than(&mut self, age: Duration, now: Instant) {
        for owner in self.owners.values_mut() {
            owner.evict_older_than(age, now);
        }
    }

    /// Returns how many jobs the registry holds.
    pub fn job_count(&self) -> usize {
        self.owners
            .values()
            .flat_map(|owner| owner.generations.values())
            .map(|generation| generation.jobs.len())
            .sum()
    }

    fn job_mut(
        &mut self,
        owner: Incarnation,
        generation: Generation,
        job: JobId,
        now: Instant,
    ) -> Option<&mut JobStarts> {
        let owner = self.owners.entry(owner).or_default();
        if owner.is_evicted(generation) {
            return None;
        }
        let generation_starts =
            owner
                .generations
                .entry(generation)
                .or_insert_with(|| GenerationStarts {
                    jobs: HashMap::new(),
                    used_at: now,
                });
        generation_starts.used_at = now;
        Some(generation_starts.jobs.entry(job).or_default())
    }
}

impl OwnerStarts {
    fn is_evicted(&self, generation: Generation) -> bool {
        self.evicted_up_to
            .is_some_and(|evicted| generation <= evicted)
    }

    /// Evicts generations in ascending order, so that one number identifies all evicted ones.
    fn evict_older_than(&mut self, age: Duration, now: Instant) {
        while let Some(oldest) = self.generations.first_entry() {
            if now.duration_since(oldest.get().used_at) <= age {
                return;
            }
            self.evicted_up_to = Some(*oldest.key());
            oldest.remove();
        }
    }
}
