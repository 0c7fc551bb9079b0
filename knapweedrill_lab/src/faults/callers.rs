//! Callers that submit jobs all the time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use eyre::{Result, eyre};
use knapweedrill::common::ProcessName;
use knapweedrill::contract::OwnerToken;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::{CallPlan, Seed};
use crate::checker::{CallerAnswer, RecordingClient, Submission};
use crate::harness::{EntryApi, JobOutcome, JobRequest};
use crate::stand_in::minion::TaskPayload;

const TEAMS: [&str; 2] = ["tin-a", "tin-b"];
/// The kinds of the default configuration, and whether each is idempotent.
const KINDS: [(&str, bool); 2] = [("proof", true), ("release", false)];
const WAIT: Duration = Duration::from_secs(20);
/// How often a caller tries to get an answer to one job.
const TRY_COUNT_MAX: u32 = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// When a job is repeated or cancelled after it was submitted, in milliseconds.
const REPEAT_AFTER_MS: std::ops::RangeInclusive<u64> = 0..=150;

/// The entries that callers may call, as a balancer would choose them.
type Balancer = Arc<Mutex<Vec<(ProcessName, EntryApi)>>>;

/// Threads that submit jobs until they are stopped.
///
/// Each caller submits one job at a time. A job that got no answer is submitted again under the
/// same token and key through another entry.
#[derive(Debug)]
pub struct Callers {
    threads: Vec<JoinHandle<Vec<Submission>>>,
    entries: Balancer,
    is_stopped: Arc<AtomicBool>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(
        plan: &CallPlan,
        seed: Seed,
        entries: impl IntoIterator<Item = (ProcessName, EntryApi)>,
    ) -> Self {
        let entries: Balancer = Arc::new(Mutex::new(entries.into_iter().collect()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let callers = (0..plan.caller_count).map(|number| Caller {
            number,
            random: StdRng::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(number as u64)),
            plan: plan.clone(),
            entries: Arc::clone(&entries),
            is_stopped: Arc::clone(&is_stopped),
        });
        let threads = callers
            .map(|caller| thread::spawn(move || caller.run()))
            .collect();
        Self {
            threads,
            entries,
            is_stopped,
        }
    }

    /// Lets the callers call an entry from now on.
    pub fn add_entry(&self, name: impl Into<ProcessName>, api: EntryApi) {
        lock(&self.entries).push((name.into(), api));
    }

    /// Keeps new requests from an entry; those in flight go on.
    pub fn remove_entry(&self, name: &str) {
        lock(&self.entries).retain(|(other, _)| other != name);
    }

    /// Stops the callers and returns what they saw, once their last jobs have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a caller panicked.
    pub fn stop(self) -> Result<Vec<Submission>> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut submissions = Vec::new();
        for thread in self.threads {
            let seen = thread.join().map_err(|_| eyre!("a caller panicked"))?;
            submissions.extend(seen);
        }
        Ok(submissions)
    }
}

/// A job as its caller made it.
#[derive(Debug, Clone)]
struct CallerJob {
    token: OwnerToken,
    key: String,
    is_idempotent: bool,
    request: JobRequest,
}

struct Caller {
    number: usize,
    random: StdRng,
    plan: CallPlan,
    entries: Balancer,
    is_stopped: Arc<AtomicBool>,
}

impl Caller {
    fn run(mut self) -> Vec<Submission> {
        let mut submissions = Vec::new();
        let mut job_number = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            match self.next_job(job_number) {
                Some(job) => self.see_through(&job, &mut submissions),
                None => thread::sleep(RETRY_PAUSE),
            }
            job_number += 1;
        }
        submissions
    }

    /// Makes a job under a token that an entry hands out now.
    fn next_job(&mut self, job_number: u32) -> Option<CallerJob> {
        let (_, api) = self.choose_entry(None)?;
        let token = api.owner().ok()?;
        let (kind, is_idempotent) = KINDS[self.random.random_range(0..KINDS.len())];
        let team = TEAMS[self.number % TEAMS.len()];
        let mut request = JobRequest::new(team, kind).wait(WAIT);
        let key = format!("caller-{}-job-{job_number}", self.number);
        for index in 0..self.random.random_range(self.plan.task_counts.clone()) {
            let run = Duration::from_millis(self.random.random_range(self.plan.task_ms.clone()));
            request = request.task(&TaskPayload::new(run, format!("{key}-task-{index}")));
        }
        Some(CallerJob {
            token,
            key,
            is_idempotent,
            request,
        })
    }

    /// Submits a job until it is answered, and sometimes a second time at once.
    fn see_through(&mut self, job: &CallerJob, submissions: &mut Vec<Submission>) {
        let Some((entry, api)) = self.choose_entry(None) else {
            return;
        };
        let repeated = self.repeat_meanwhile(job, &entry);
        let cancelled = self.cancel_meanwhile(job);
        let mut is_answered = self.submit(job, entry, api, submissions);
        submissions.extend(repeated.and_then(|thread| thread.join().ok()));
        if let Some(thread) = cancelled {
            let _ = thread.join();
        }
        for _ in 1..TRY_COUNT_MAX {
            if is_answered {
                return;
            }
            thread::sleep(RETRY_PAUSE);
            let last = submissions.last().map(|last| last.entry.clone());
            if let Some((entry, api)) = self.choose_entry(last.as_ref()) {
                is_answered = self.submit(job, entry, api, submissions);
            }
        }
    }

    /// Submits a job and returns whether there is an answer that ends it.
    fn submit(
        &self,
        job: &CallerJob,
        entry: ProcessName,
        api: EntryApi,
        submissions: &mut Vec<Submission>,
    ) -> bool {
        let submission = observe(job, entry, api);
        let is_answered = match &submission.answer {
            CallerAnswer::Answered(answer) => answer.outcome != JobOutcome::Running,
            CallerAnswer::Unanswered | CallerAnswer::Malformed(_) => false,
        };
        submissions.push(submission);
        is_answered
    }

    /// Submits the job once more through another entry while the first submission waits.
    fn repeat_meanwhile(
        &mut self,
        job: &CallerJob,
        entry: &ProcessName,
    ) -> Option<JoinHandle<Submission>> {
        if !self.is_chosen(self.plan.repeated_percent) {
            return None;
        }
        let (other, api) = self.choose_entry(Some(entry))?;
        let pause = self.pause();
        let job = job.clone();
        Some(thread::spawn(move || {
            thread::sleep(pause);
            observe(&job, other, api)
        }))
    }

    /// Cancels the job through any entry while its submission waits.
    fn cancel_meanwhile(&mut self, job: &CallerJob) -> Option<JoinHandle<()>> {
        if !self.is_chosen(self.plan.cancelled_percent) {
            return None;
        }
        let (_, api) = self.choose_entry(None)?;
        let pause = self.pause();
        let job = job.clone();
        Some(thread::spawn(move || {
            thread::sleep(pause);
            // Whatever the answer, the submission shows what became of the job.
            let _ = api.cancel(&job.token, job.request.team_name(), &job.key);
        }))
    }

    fn is_chosen(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn pause(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(REPEAT_AFTER_MS))
    }

    /// Chooses an entry, another one than `avoided` if there is any.
    fn choose_entry(&mut self, avoided: Option<&ProcessName>) -> Option<(ProcessName, EntryApi)> {
        let entries = lock(&self.entries);
        let others: Vec<_> = entries
            .iter()
            .filter(|(name, _)| Some(name) != avoided)
            .collect();
        let others = if others.is_empty() {
            entries.iter().collect()
        } else {
            others
        };
        others.choose(&mut self.random).copied().cloned()
    }
}

fn observe(job: &CallerJob, entry: ProcessName, api: EntryApi) -> Submission {
    RecordingClient::new(entry, api)
        .idempotent(job.is_idempotent)
        .submit(job.token, &job.key, &job.request)
}

fn lock(
    entries: &Mutex<Vec<(ProcessName, EntryApi)>>,
) -> MutexGuard<'_, Vec<(ProcessName, EntryApi)>> {
    entries.lock().expect("no holder of the lock panics")
}
