//! The idempotency keys of an owner's jobs, with the outcomes of ended jobs.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedrill_derive::value;

use crate::common::{Generation, JobId};
use crate::message::{RetainedKey, RetainedOutcome};

/// The idempotency keys of the jobs that were submitted with one entry's tokens.
///
/// A key is retained until its whole generation is dropped, so that a resubmission finds its job.
/// Memory is bounded: generations are dropped by age and by the number of keys, and answers, the
/// results of completed jobs, by their size. A dropped key is reported as expired, and its job
/// never runs again.
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
    /// The outcome; `None` while the job is live.
    outcome: Option<RetainedOutcome>,
}

/// The result of a lookup.
#[value]
pub enum KeyLookup<'a> {
    /// The key's generation has been dropped.
    Expired,
    /// The key was never used.
    New,
    /// The job is live.
    Live {
        /// The hash of the job's content.
        content_hash: u64,
    },
    /// The job has ended.
    Ended {
        /// The hash of the job's content.
        content_hash: u64,
        /// The outcome of the job.
        outcome: &'a RetainedOutcome,
    },
}

impl KeyTable {
    /// Creates an empty table that retains at most `answer_bytes_max` bytes of answers.
    ///
    /// Beyond `key_count_max` keys, [`KeyTable::expire`] drops generations regardless of their age.
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

    /// Looks up a job.
    pub fn lookup(&self, generation: Generation, job: JobId) -> KeyLookup<'_> {
        if self.is_expired(generation) {
            return KeyLookup::Expired;
        }
        let entry = self
            .generations
            .get(&generation)
            .and_then(|keys| keys.keys.get(&job));
        match entry {
            None => KeyLookup::New,
            Some(KeyEntry {
                content_hash,
                outcome: None,
            }) => KeyLookup::Live {
                content_hash: *content_hash,
            },
            Some(KeyEntry {
                content_hash,
                outcome: Some(outcome),
            }) => KeyLookup::Ended {
                content_hash: *content_hash,
                outcome,
            },
        }
    }

    /// Inserts the key of a live job.
    pub fn insert_live(
        &mut self,
        generation: Generation,
        job: JobId,
        content_hash: u64,
        now: Instant,
    ) {
        let keys = self.generation_mut(generation, now);
        keys.live_count += 1;
        keys.keys.insert(
            job,
            KeyEntry {
                content_hash,
                outcome: None,
            },
        );
        self.key_count += 1;
    }

    /// Records the outcome of a live job.
    pub fn record_end(
        &mut self,
        generation: Generation,
        job: JobId,
        outcome: RetainedOutcome,
        now: Instant,
    ) {
        let keys = self.generation_mut(generation, now);
        let Some(entry) = keys.keys.get_mut(&job) else {
            return;
        };
        if entry.outcome.is_some() {
            return;
        }
        let bytes = size_bytes(&outcome);
        entry.outcome = Some(outcome);
        keys.live_count -= 1;
        self.retain_answer(generation, job, bytes);
    }

    /// Inserts the key of a job that has ended, such as a refused one or one of another entry.
    pub fn insert_ended(
        &mut self,
        generation: Generation,
        job: JobId,
        content_hash: u64,
        outcome: RetainedOutcome,
        now: Instant,
    ) {
        self.insert_live(generation, job, content_hash, now);
        self.record_end(generation, job, outcome, now);
    }

    /// Drops the oldest generations that were last used more than `retention` ago.
    ///
    /// While there are too many keys, it drops the oldest generation regardless of its age. It
    /// stops at the first generation with a live job.
    pub fn expire(&mut self, retention: Duration, now: Instant) {
        let mut is_any_dropped = false;
        while let Some(oldest) = self.generations.first_entry() {
            let is_old = now.duration_since(oldest.get().used_at) > retention;
            let is_over = self.key_count > self.key_count_max;
            if oldest.get().live_count > 0 || !(is_old || is_over) {
                break;
            }
            self.expired_up_to = Some(*oldest.key());
            self.key_count -= oldest.remove().keys.len();
            is_any_dropped = true;
        }
        if is_any_dropped {
            self.remove_expired_answers();
        }
    }

    /// Returns whether another key fits into the table.
    pub fn has_capacity(&self) -> bool {
        self.key_count < self.key_count_max
    }

    /// Returns the number of retained keys.
    pub fn key_count(&self) -> usize {
        self.key_count
    }

    /// Returns the size of the retained answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the newest generation that was dropped.
    pub fn expired_up_to(&self) -> Option<Generation> {
        self.expired_up_to
    }

    /// Marks all generations up to `generation` as dropped.
    pub fn set_expired_up_to(&mut self, generation: Option<Generation>) {
        self.expired_up_to = self.expired_up_to.max(generation);
    }

    /// Returns the keys of ended jobs, to hand them over to another entry.
    pub fn retained_keys(&self) -> Vec<RetainedKey> {
        self.generations
            .iter()
            .flat_map(|(generation, keys)| retained_keys_of(*generation, keys))
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

    fn retain_answer(&mut self, generation: Generation, job: JobId, bytes: usize) {
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
        let outcome = self
            .generations
            .get_mut(&generation)
            .and_then(|keys| keys.keys.get_mut(&job))
            .and_then(|entry| entry.outcome.as_mut());
        if let Some(outcome) = outcome {
            self.answer_bytes -= size_bytes(outcome);
            *outcome = RetainedOutcome::CompleteEvicted;
        }
    }

    /// Removes the answers of dropped generations from the eviction queue and from the size.
    fn remove_expired_answers(&mut self) {
        let generations = &self.generations;
        self.answers
            .retain(|(generation, _)| generations.contains_key(generation));
        self.answer_bytes = generations
            .values()
            .flat_map(|keys| keys.keys.values())
            .filter_map(|entry| entry.outcome.as_ref())
            .map(size_bytes)
            .sum();
    }
}

fn retained_keys_of(
    generation: Generation,
    keys: &GenerationKeys,
) -> impl Iterator<Item = RetainedKey> {
    keys.keys.iter().filter_map(move |(job, entry)| {
        entry.outcome.clone().map(|outcome| RetainedKey {
            generation,
            job: *job,
            content_hash: entry.content_hash,
            outcome,
        })
    })
}

fn size_bytes(outcome: &RetainedOutcome) -> usize {
    match outcome {
        RetainedOutcome::Complete { results } => results
            .iter()
            .map(|result| result.len() + size_of::<Vec<u8>>())
            .sum(),
        _ => 0,
    }
}
