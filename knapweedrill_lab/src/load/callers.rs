//! Submits the jobs of a plan from a pool of caller threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, Sender};
use eyre::{Result, WrapErr};
use knapweedrill::common::{ClientKey, TeamName};
use knapweedrill::contract::{Class, OwnerToken};
use knapweedrill_cli::client::ClientBuilder;

use super::observed_job::ObservedJob;
use super::{FlowPlan, Plan, PlannedJob};
use crate::checker::{CallerAnswer, RecordingClient, Submission};
use crate::harness::{EntryApi, JobRequest};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// The number of caller threads, and so of jobs that can wait for their answers at once.
const CALLER_THREAD_COUNT: usize = 768;
/// The stack size of a caller thread.
const CALLER_STACK_BYTES: usize = 256 << 10;
/// How long a token is reused before a new one is requested.
const TOKEN_REUSE_MAX: Duration = Duration::from_secs(1);
/// The wait time that callers ask for in their requests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// The time from the submission of a job to its cancellation.
const CANCEL_DELAY: Duration = Duration::from_millis(300);

/// The callers of a run, who share a token for each entry.
pub(super) struct Callers<'a> {
    plan: &'a Plan,
    entries: Vec<EntryApi>,
    tokens: Vec<Mutex<Option<CachedToken>>>,
    key_prefix: String,
    started_at: Instant,
}

#[derive(Clone, Copy)]
struct CachedToken {
    token: OwnerToken,
    expires_at: Instant,
}

/// A job to cancel, and when.
struct Cancellation {
    due_at: Instant,
    entry: SocketAddr,
    token: OwnerToken,
    team: TeamName,
    key: ClientKey,
}

/// Returns the name of the kind of job that the run's configuration assigns to a class.
pub(super) fn kind_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "release",
        Class::Normal => "proof",
        Class::Bulk => "catalogue",
    }
}

impl<'a> Callers<'a> {
    /// Creates the callers of a plan whose start is now.
    ///
    /// `key_prefix` keeps the keys of this run apart from those of other runs on the same entries.
    pub(super) fn new(plan: &'a Plan, entries: Vec<EntryApi>, key_prefix: &str) -> Self {
        let tokens = entries.iter().map(|_| Mutex::new(None)).collect();
        Self {
            plan,
            entries,
            tokens,
            key_prefix: key_prefix.to_owned(),
            started_at: Instant::now(),
        }
    }

    /// Submits each job when it is due, and returns what the callers observed.
    ///
    /// # Errors
    ///
    /// Returns an error if the threads can't be started.
    pub(super) fn run(&self) -> Result<Vec<ObservedJob>> {
        let (due_sender, due_jobs) = channel::unbounded();
        let (observed_sender, observed_jobs) = channel::unbounded();
        let (cancel_sender, cancellations) = channel::unbounded();
        thread::scope(|scope| {
            for _ in 0..CALLER_THREAD_COUNT.min(self.plan.jobs.len()) {
                let due_jobs = due_jobs.clone();
                let (observed, cancel) = (observed_sender.clone(), cancel_sender.clone());
                thread::Builder::new()
                    .stack_size(CALLER_STACK_BYTES)
                    .spawn_scoped(scope, move || {
                        self.run_caller(&due_jobs, &observed, &cancel)
                    })
                    .wrap_err("can't start a caller thread")?;
            }
            scope.spawn(move || run_canceller(&cancellations));
            drop((observed_sender, cancel_sender));
            for (number, job) in self.plan.jobs.iter().enumerate() {
                sleep_until(self.started_at + job.due_offset);
                due_sender
                    .send(number)
                    .wrap_err("all caller threads have ended")?;
            }
            drop(due_sender);
            Ok(observed_jobs.iter().collect())
        })
    }

    fn run_caller(
        &self,
        due_jobs: &Receiver<usize>,
        observed: &Sender<ObservedJob>,
        cancel: &Sender<Cancellation>,
    ) {
        for number in due_jobs {
            // Sending can't fail: the receiver outlives all callers.
            let _ = observed.send(self.call(number, cancel));
        }
    }

    fn call(&self, number: usize, cancel: &Sender<Cancellation>) -> ObservedJob {
        let job = &self.plan.jobs[number];
        let flow = &self.plan.flows[job.flow];
        let due_at = self.started_at + job.due_offset;
        let pickup_delay = due_at.elapsed();
        let entry = number % self.entries.len();
        let request = job_request(flow, job);
        let key = format!("{}-{number}", self.key_prefix);
        let call = RecordingClient::new(format!("entry-{entry}"), self.entries[entry])
            .idempotent(flow.class != Class::Urgent);
        let submission = match self.token(entry) {
            Some(token) => {
                if job.is_cancelled {
                    let cancellation = Cancellation {
                        due_at: Instant::now() + CANCEL_DELAY,
                        entry: self.entries[entry].address(),
                        token,
                        team: flow.team.clone(),
                        key: key.clone(),
                    };
                    // Sending can't fail: the receiver outlives all callers.
                    let _ = cancel.send(cancellation);
                }
                call.submit(token, &key, &request)
            }
            None => unsent_submission(flow, &key, entry),
        };
        ObservedJob {
            number,
            pickup_delay,
            response_time: due_at.elapsed(),
            submission,
        }
    }

    /// Returns a token of an entry, cached for up to [`TOKEN_REUSE_MAX`].
    ///
    /// Returns `None` if the entry doesn't give one.
    fn token(&self, entry: usize) -> Option<OwnerToken> {
        let mut cached = self.tokens[entry]
            .lock()
            .expect("no thread panics while it holds the lock");
        let now = Instant::now();
        if let Some(cached) = *cached
            && cached.expires_at > now
        {
            return Some(cached.token);
        }
        let token = self.entries[entry].owner().ok()?;
        *cached = Some(CachedToken {
            token,
            expires_at: now + TOKEN_REUSE_MAX,
        });
        Some(token)
    }
}

/// Returns the record of a job that was not submitted because its entry gave no token.
fn unsent_submission(flow: &FlowPlan, key: &str, entry: usize) -> Submission {
    Submission {
        token: OwnerToken {
            incarnation: 0,
            generation: 0,
            roster: 0,
        },
        team: flow.team.clone(),
        key: key.to_owned(),
        is_idempotent: true,
        echoes: Vec::new(),
        entry: format!("entry-{entry}"),
        submitted_us: wall_us(),
        answered_us: wall_us(),
        answer: CallerAnswer::Unanswered,
    }
}

fn job_request(flow: &FlowPlan, job: &PlannedJob) -> JobRequest {
    let request = JobRequest::new(flow.team.as_str(), kind_name(flow.class)).wait(ANSWER_TIMEOUT);
    let tasks = job.tasks.iter().enumerate();
    tasks.fold(request, |request, (index, task)| {
        let payload = TaskPayload::new(task.work, format!("part {index}"));
        request.hinted_task(&payload, Some(task.hint))
    })
}

fn run_canceller(cancellations: &Receiver<Cancellation>) {
    // A failed cancellation needs no handling: the caller still waits for its answer or timeout.
    let mut clients = HashMap::new();
    for cancellation in cancellations {
        sleep_until(cancellation.due_at);
        let client = clients.entry(cancellation.entry).or_insert_with(|| {
            ClientBuilder::new([cancellation.entry])
                .seed(0)
                .build()
                .expect("the client has an entry")
        });
        let _ = client.cancel(cancellation.token, cancellation.team, cancellation.key);
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
