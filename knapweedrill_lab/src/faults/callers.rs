//! Callers that submit jobs continuously.

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

use super::{CallerWorkload, Seed};
use crate::checker::{CallerAnswer, RecordingClient, Submission};
use crate::harness::{EntryApi, JobOutcome, JobRequest};
use crate::stand_in::minion::TaskPayload;

const TEAMS: [&str; 2] = ["tin-a", "tin-b"];
/// The kinds of the default configuration and whether each is idempotent.
const KINDS: [(&str, bool); 2] = [("proof", true), ("release", false)];
const JOB_WAIT: Duration = Duration::from_secs(20);
/// How many times a caller submits one job until it gets a response.
const ATTEMPT_COUNT_MAX: u32 = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The delay from the submission of a job to its resubmission or cancellation, in milliseconds.
const SECOND_CALL_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=150;

/// The entries among which callers choose at random, as behind a load balancer.
type SharedEntries = Arc<Mutex<Vec<(ProcessName, EntryApi)>>>;

/// Threads that submit jobs until they are stopped.
///
/// Each caller submits one job at a time. A job without a response is resubmitted with the same
/// token and key through another entry.
#[derive(Debug)]
pub struct Callers {
    threads: Vec<JoinHandle<Vec<Submission>>>,
    entries: SharedEntries,
    is_stopped: Arc<AtomicBool>,
}

impl Callers {
    /// Starts a thread for each caller of the workload.
    pub fn start(
        workload: &CallerWorkload,
        seed: Seed,
        entries: impl IntoIterator<Item = (ProcessName, EntryApi)>,
    ) -> Self {
        let entries: SharedEntries = Arc::new(Mutex::new(entries.into_iter().collect()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let callers = (0..workload.caller_count).map(|number| Caller {
            number,
            random: StdRng::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(number as u64)),
            workload: workload.clone(),
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

    /// Adds an entry to those that callers choose from.
    pub fn add_entry(&self, name: impl Into<ProcessName>, api: EntryApi) {
        lock(&self.entries).push((name.into(), api));
    }

    /// Stops new requests to an entry; those in flight continue.
    pub fn remove_entry(&self, name: &str) {
        lock(&self.entries).retain(|(other, _)| other != name);
    }

    /// Stops the callers, waits for their current jobs and returns all submissions.
    ///
    /// # Errors
    ///
    /// Returns an error if a caller panicked.
    pub fn stop(self) -> Result<Vec<Submission>> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut submissions = Vec::new();
        for thread in self.threads {
            let recorded = thread.join().map_err(|_| eyre!("a caller panicked"))?;
            submissions.extend(recorded);
        }
        Ok(submissions)
    }
}

/// A job that a caller submits one or more times.
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
    workload: CallerWorkload,
    entries: SharedEntries,
    is_stopped: Arc<AtomicBool>,
}

impl Caller {
    fn run(mut self) -> Vec<Submission> {
        let mut submissions = Vec::new();
        let mut job_number = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            match self.next_job(job_number) {
                Some(job) => self.run_job(&job, &mut submissions),
                None => thread::sleep(RETRY_PAUSE),
            }
            job_number += 1;
        }
        submissions
    }

    /// Creates a job with a new token from one of the entries.
    fn next_job(&mut self, job_number: u32) -> Option<CallerJob> {
        let (_, api) = self.choose_entry(None)?;
        let token = api.owner().ok()?;
        let (kind, is_idempotent) = KINDS[self.random.random_range(0..KINDS.len())];
        let team = TEAMS[self.number % TEAMS.len()];
        let mut request = JobRequest::new(team, kind).wait(JOB_WAIT);
        let key = format!("caller-{}-job-{job_number}", self.number);
        for index in 0..self.random.random_range(self.workload.task_counts.clone()) {
            let run_time =
                Duration::from_millis(self.random.random_range(self.workload.run_times_ms.clone()));
            request = request.task(&TaskPayload::new(run_time, format!("{key}-task-{index}")));
        }
        Some(CallerJob {
            token,
            key,
            is_idempotent,
            request,
        })
    }

    /// Submits a job until it has ended or the attempts are used up.
    ///
    /// A share of the jobs is resubmitted or cancelled while the first submission waits.
    fn run_job(&mut self, job: &CallerJob, submissions: &mut Vec<Submission>) {
        let Some((entry, api)) = self.choose_entry(None) else {
            return;
        };
        let resubmission = self.spawn_resubmission(job, &entry);
        let cancellation = self.spawn_cancellation(job);
        let mut has_ended = self.submit(job, entry, api, submissions);
        submissions.extend(resubmission.and_then(|thread| thread.join().ok()));
        if let Some(thread) = cancellation {
            let _ = thread.join();
        }
        for _ in 1..ATTEMPT_COUNT_MAX {
            if has_ended {
                return;
            }
            thread::sleep(RETRY_PAUSE);
            let last = submissions.last().map(|last| last.entry.clone());
            if let Some((entry, api)) = self.choose_entry(last.as_ref()) {
                has_ended = self.submit(job, entry, api, submissions);
            }
        }
    }

    /// Submits a job and returns whether the response says that it has ended.
    fn submit(
        &self,
        job: &CallerJob,
        entry: ProcessName,
        api: EntryApi,
        submissions: &mut Vec<Submission>,
    ) -> bool {
        let submission = submit_once(job, entry, api);
        let has_ended = match &submission.answer {
            CallerAnswer::Answered(answer) => answer.outcome != JobOutcome::Running,
            CallerAnswer::Unanswered | CallerAnswer::Malformed(_) => false,
        };
        submissions.push(submission);
        has_ended
    }

    /// Resubmits a share of the jobs through another entry while the first submission waits.
    fn spawn_resubmission(
        &mut self,
        job: &CallerJob,
        entry: &ProcessName,
    ) -> Option<JoinHandle<Submission>> {
        if !self.draw(self.workload.resubmitted_percent) {
            return None;
        }
        let (other, api) = self.choose_entry(Some(entry))?;
        let delay = self.second_call_delay();
        let job = job.clone();
        Some(thread::spawn(move || {
            thread::sleep(delay);
            submit_once(&job, other, api)
        }))
    }

    /// Cancels a share of the jobs through any entry while the first submission waits.
    fn spawn_cancellation(&mut self, job: &CallerJob) -> Option<JoinHandle<()>> {
        if !self.draw(self.workload.cancelled_percent) {
            return None;
        }
        let (_, api) = self.choose_entry(None)?;
        let delay = self.second_call_delay();
        let job = job.clone();
        Some(thread::spawn(move || {
            thread::sleep(delay);
            // The submission itself shows whether the job was cancelled.
            let _ = api.cancel(&job.token, job.request.team_name(), &job.key);
        }))
    }

    /// Returns true with the given probability, in per cent.
    fn draw(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn second_call_delay(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(SECOND_CALL_DELAY_MS))
    }

    /// Chooses an entry at random, other than `avoided` if possible.
    fn choose_entry(&mut self, avoided: Option<&ProcessName>) -> Option<(ProcessName, EntryApi)> {
        let entries = lock(&self.entries);
        let candidates: Vec<_> = entries
            .iter()
            .filter(|(name, _)| Some(name) != avoided)
            .collect();
        let candidates = if candidates.is_empty() {
            entries.iter().collect()
        } else {
            candidates
        };
        candidates.choose(&mut self.random).copied().cloned()
    }
}

fn submit_once(job: &CallerJob, entry: ProcessName, api: EntryApi) -> Submission {
    RecordingClient::new(entry, api)
        .idempotent(job.is_idempotent)
        .submit(job.token, &job.key, &job.request)
}

fn lock(
    entries: &Mutex<Vec<(ProcessName, EntryApi)>>,
) -> MutexGuard<'_, Vec<(ProcessName, EntryApi)>> {
    entries
        .lock()
        .expect("no thread panics while it holds the lock")
}
