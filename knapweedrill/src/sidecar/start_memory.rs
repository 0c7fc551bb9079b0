//! What a sidecar remembers of the tasks that it started.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use knapweedrill_derive::{key, value};
use smallvec::SmallVec;

use crate::common::{Generation, Incarnation, JobId, TaskIndex};
use crate::job::TaskId;

/// Remembers which tasks were started, and which jobs are fenced.
///
/// The memory is bounded by dropping whole generations of an owner some time after the last start
/// under them. What was dropped counts as started: the memory may err on the side of "may have
/// started", never on the other.
#[value]
#[derive(Default)]
pub struct StartMemory {
    owners: HashMap<Incarnation, OwnerMemory>,
}

#[value]
#[derive(Default)]
struct OwnerMemory {
    generations: BTreeMap<Generation, GenerationMemory>,
    forgotten_up_to: Option<Generation>,
}

#[value]
struct GenerationMemory {
    jobs: HashMap<JobId, JobMemory>,
    used_at: Instant,
}

#[value]
#[derive(Default)]
struct JobMemory {
    started: SmallVec<[TaskIndex; 4]>,
    is_fenced: bool,
}

/// Why a task must not be started.
#[key]
pub enum StartRefusal {
    /// The task was started before.
    StartedBefore,
    /// The job is fenced, or so old that the sidecar no longer knows what it started of it.
    JobFenced,
}

impl StartMemory {
    /// Creates an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Remembers that a task is being started.
    ///
    /// # Errors
    ///
    /// Returns why the task must not be started.
    pub fn start(
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

    /// Takes back a start of which nothing reached the minion.
    pub fn undo(&mut self, task: TaskId, generation: Generation, now: Instant) {
        if let Some(job) = self.job_mut(task.owner, generation, task.job, now) {
            job.started.retain(|index| *index != task.index);
        }
    }

    /// Returns whether a task may have been started.
    pub fn may_have_started(&self, task: TaskId, generation: Generation) -> bool {
        let Some(owner) = self.owners.get(&task.owner) else {
            return false;
        };
        if owner.has_forgotten(generation) {
            return true;
        }
        owner
            .generations
            .get(&generation)
            .and_then(|memory| memory.jobs.get(&task.job))
            .is_some_and(|job| job.started.contains(&task.index))
    }

    /// Returns whether a job is fenced.
    pub fn is_fenced(&self, owner: Incarnation, generation: Generation, job: JobId) -> bool {
        let Some(owner) = self.owners.get(&owner) else {
            return false;
        };
        owner.has_forgotten(generation)
            || owner
                .generations
                .get(&generation)
                .and_then(|memory| memory.jobs.get(&job))
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

    /// Drops the generations that were last used more than `time` ago.
    pub fn forget(&mut self, time: Duration, now: Instant) {
        for owner in self.owners.values_mut() {
            owner.forget(time, now);
        }
    }

    /// Returns how many jobs are remembered.
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
    ) -> Option<&mut JobMemory> {
        let owner = self.owners.entry(owner).or_default();
        if owner.has_forgotten(generation) {
            return None;
        }
        let memory = owner
            .generations
            .entry(generation)
            .or_insert_with(|| GenerationMemory {
                jobs: HashMap::new(),
                used_at: now,
            });
        memory.used_at = now;
        Some(memory.jobs.entry(job).or_default())
    }
}

impl OwnerMemory {
    fn has_forgotten(&self, generation: Generation) -> bool {
        self.forgotten_up_to
            .is_some_and(|forgotten| generation <= forgotten)
    }

    /// Drops generations from the oldest on, so that one number says what was dropped.
    fn forget(&mut self, time: Duration, now: Instant) {
        while let Some(oldest) = self.generations.first_entry() {
            if now.duration_since(oldest.get().used_at) <= time {
                return;
            }
            self.forgotten_up_to = Some(*oldest.key());
            oldest.remove();
        }
    }
}
