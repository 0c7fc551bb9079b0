//! The keys of jobs that an owner keeps, with their answers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::{Generation, JobId};
use crate::message::{RetainedKey, RetainedOutcome};

/// The keys of the jobs that came under one entry's tokens.
///
/// A key stays until its whole generation is dropped, so that a resubmission finds the job that
/// it names. Memory is bounded: generations are dropped by age and by the number of keys, answers
/// by their bytes. What was dropped is answered "expired", never run again.
#[value]
pub struct KeyTable {
    generations: BTreeMap<Generation, GenerationKeys>,
    expired_up_to: Option<Generation>,
    answers: VecDeque<(Generation, JobId)>,
    answer_bytes: usize,
    answer_bytes_max: usize,
    key_count: usize,
    key_count_max: usize,
}

#[value]
struct GenerationKeys {
    keys: HashMap<JobId, KeyEntry>,
    used_at: Instant,
    live_count: usize,
}

#[value]
struct KeyEntry {
    content_hash: u64,
    /// How the job ended, or nothing while it is live.
    state: Option<RetainedOutcome>,
}

/// What the table knows of a job.
#[value]
pub enum Lookup<'a> {
    /// The key's generation has been dropped.
    Expired,
    /// The key was never used.
    New,
    /// The job is live.
    Live {
        /// The hash of its content.
        content_hash: u64,
    },
    /// The job has ended.
    Ended {
        /// The hash of its content.
        content_hash: u64,
        /// How it ended.
        state: &'a RetainedOutcome,
    },
}

impl KeyTable {
    /// Creates a table that keeps so many bytes of answers and so many keys.
    pub fn new(answer_bytes_max: usize, key_count_max: usize) -> Self {
        Self {
            generations: BTreeMap::new(),
            expired_up_to: None,
            answers: VecDeque::new(),
            answer_bytes: 0,
            answer_bytes_max,
            key_count: 0,
            key_count_max,
        }
    }

    /// Returns what is known of a job.
    pub fn lookup(&self, generation: Generation, job: JobId) -> Lookup<'_> {
        if self.is_expired(generation) {
            return Lookup::Expired;
        }
        let entry = self
            .generations
            .get(&generation)
            .and_then(|keys| keys.keys.get(&job));
        match entry {
            None => Lookup::New,
            Some(KeyEntry {
                content_hash,
                state: None,
            }) => Lookup::Live {
                content_hash: *content_hash,
            },
            Some(KeyEntry {
                content_hash,
                state: Some(state),
            }) => Lookup::Ended {
                content_hash: *content_hash,
                state,
            },
        }
    }

    /// Notes that a job is live.
    pub fn begin(&mut self, generation: Generation, job: JobId, content_hash: u64, now: Instant) {
        let keys = self.generation_mut(generation, now);
        keys.live_count += 1;
        keys.keys.insert(
            job,
            KeyEntry {
                content_hash,
                state: None,
            },
        );
        self.key_count += 1;
    }

    /// Notes how a job ended that was live.
    pub fn end(
        &mut self,
        generation: Generation,
        job: JobId,
        state: RetainedOutcome,
        now: Instant,
    ) {
        let keys = self.generation_mut(generation, now);
        let Some(entry) = keys.keys.get_mut(&job) else {
            return;
        };
        if entry.state.is_some() {
            return;
        }
        let bytes = size_bytes(&state);
        entry.state = Some(state);
        keys.live_count -= 1;
        self.keep_answer(generation, job, bytes);
    }

    /// Notes how a job ended that was never live here.
    pub fn insert(
        &mut self,
        generation: Generation,
        job: JobId,
        content_hash: u64,
        state: RetainedOutcome,
        now: Instant,
    ) {
        self.begin(generation, job, content_hash, now);
        self.end(generation, job, state, now);
    }

    /// Drops the generations last used more than `time` ago, and more if there are too many keys.
    pub fn expire(&mut self, time: Duration, now: Instant) {
        let mut is_any_dropped = false;
        while let Some(oldest) = self.generations.first_entry() {
            let is_old = now.duration_since(oldest.get().used_at) > time;
            let is_over = self.key_count > self.key_count_max;
            if oldest.get().live_count > 0 || !(is_old || is_over) {
                break;
            }
            self.expired_up_to = Some(*oldest.key());
            self.key_count -= oldest.remove().keys.len();
            is_any_dropped = true;
        }
        if is_any_dropped {
            self.trim_answers();
        }
    }

    /// Returns whether a new key can be kept.
    pub fn has_room(&self) -> bool {
        self.key_count < self.key_count_max
    }

    /// Returns how many keys are kept.
    pub fn key_count(&self) -> usize {
        self.key_count
    }

    /// Returns how many bytes of answers are kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the newest generation whose keys have been dropped.
    pub fn expired_up_to(&self) -> Option<Generation> {
        self.expired_up_to
    }

    /// Counts all generations up to this one as dropped.
    pub fn set_expired_up_to(&mut self, generation: Option<Generation>) {
        self.expired_up_to = self.expired_up_to.max(generation);
    }

    /// Returns the keys of the jobs that have ended, for another entry to keep.
    pub fn kept_keys(&self) -> Vec<RetainedKey> {
        self.generations
            .iter()
            .flat_map(|(generation, keys)| kept_keys_of(*generation, keys))
            .collect()
    }

    fn is_expired(&self, generation: Generation) -> bool {
        self.expired_up_to
            .is_some_and(|expired| generation <= expired)
    }

    fn generation_mut(&mut self, generation: Generation, now: Instant) -> &mut GenerationKeys {
        let keys = self
            .generations
            .entry(generation)
            .or_insert_with(|| GenerationKeys {
                keys: HashMap::new(),
                used_at: now,
                live_count: 0,
            });
        keys.used_at = now;
        keys
    }

    fn keep_answer(&mut self, generation: Generation, job: JobId, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.answer_bytes += bytes;
        self.answers.push_back((generation, job));
        while self.answer_bytes > self.answer_bytes_max {
            self.evict_oldest_answer();
        }
    }

    fn evict_oldest_answer(&mut self) {
        let Some((generation, job)) = self.answers.pop_front() else {
            self.answer_bytes = 0;
            return;
        };
        let state = self
            .generations
            .get_mut(&generation)
            .and_then(|keys| keys.keys.get_mut(&job))
            .and_then(|entry| entry.state.as_mut());
        if let Some(state) = state {
            self.answer_bytes -= size_bytes(state);
            *state = RetainedOutcome::CompleteEvicted;
        }
    }

    /// Takes answers off the books whose generation was dropped.
    fn trim_answers(&mut self) {
        let generations = &self.generations;
        self.answers
            .retain(|(generation, _)| generations.contains_key(generation));
        self.answer_bytes = generations
            .values()
            .flat_map(|keys| keys.keys.values())
            .filter_map(|entry| entry.state.as_ref())
            .map(size_bytes)
            .sum();
    }
}

fn kept_keys_of(
    generation: Generation,
    keys: &GenerationKeys,
) -> impl Iterator<Item = RetainedKey> {
    keys.keys.iter().filter_map(move |(job, entry)| {
        entry.state.clone().map(|state| RetainedKey {
            generation,
            job: *job,
            content_hash: entry.content_hash,
            outcome: state,
        })
    })
}

fn size_bytes(state: &RetainedOutcome) -> usize {
    match state {
        RetainedOutcome::Complete { results } => results
            .iter()
            .map(|result| result.len() + size_of::<Vec<u8>>())
            .sum(),
        _ => 0,
    }
}
