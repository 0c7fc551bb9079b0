//! The callers.

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

use super::outcome::ObservedJob;
use super::{FlowPlan, Plan, PlannedJob};
use crate::checker::{CallerAnswer, RecordingClient, Submission};
use crate::harness::{EntryApi, JobRequest};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// How many jobs can wait for their answers at once.
const CALLER_COUNT: usize = 768;
/// The stack of a caller's thread.
const CALLER_STACK_BYTES: usize = 256 << 10;
/// How long a token is used before another is asked for.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);
/// How long a caller waits for an answer.
const CALLER_WAIT: Duration = Duration::from_secs(30);
/// How long after its submission a job is cancelled.
const CANCEL_DELAY: Duration = Duration::from_millis(300);

/// The callers of a run.
pub(super) struct Callers<'a> {
    plan: &'a Plan,
    entries: Vec<EntryApi>,
    tokens: Vec<Mutex<Option<KeptToken>>>,
    key_prefix: String,
    started_at: Instant,
}

#[derive(Clone, Copy)]
struct KeptToken {
    token: OwnerToken,
    until: Instant,
}

/// A job that its caller cancels.
struct Cancellation {
    due_at: Instant,
    entry: SocketAddr,
    token: OwnerToken,
    team: TeamName,
    key: ClientKey,
}

/// Returns the name of the kind of work of a class.
pub(super) fn kind_of(class: Class) -> &'static str {
    match class {
        Class::Urgent => "release",
        Class::Normal => "proof",
        Class::Bulk => "catalogue",
    }
}

impl<'a> Callers<'a> {
    /// Creates callers for a plan that starts now.
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

    /// Submits each job when it is due, and returns what was seen.
    ///
    /// # Errors
    ///
    /// Returns an error if the threads can't be started.
    pub(super) fn run(&self) -> Result<Vec<ObservedJob>> {
        let (due, taken) = channel::unbounded();
        let (seen, observed) = channel::unbounded();
        let (cancels, cancelled) = channel::unbounded();
        thread::scope(|scope| {
            for _ in 0..CALLER_COUNT.min(self.plan.jobs.len()) {
                let (taken, seen, cancels) = (taken.clone(), seen.clone(), cancels.clone());
                thread::Builder::new()
                    .stack_size(CALLER_STACK_BYTES)
                    .spawn_scoped(scope, move || self.call_each(&taken, &seen, &cancels))
                    .wrap_err("can't start a caller")?;
            }
            scope.spawn(move || cancel_each(&cancelled));
            drop((seen, cancels));
            for (number, job) in self.plan.jobs.iter().enumerate() {
                sleep_until(self.started_at + job.at);
                due.send(number).wrap_err("the callers are gone")?;
            }
            drop(due);
            Ok(observed.iter().collect())
        })
    }

    fn call_each(
        &self,
        taken: &Receiver<usize>,
        seen: &Sender<ObservedJob>,
        cancels: &Sender<Cancellation>,
    ) {
        for number in taken {
            // The receiver lives until all callers are done.
            let _ = seen.send(self.call(number, cancels));
        }
    }

    fn call(&self, number: usize, cancels: &Sender<Cancellation>) -> ObservedJob {
        let job = &self.plan.jobs[number];
        let flow = &self.plan.flows[job.flow];
        let due_at = self.started_at + job.at;
        let late = due_at.elapsed();
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
                    // The receiver lives until all callers are done.
                    let _ = cancels.send(cancellation);
                }
                call.submit(token, &key, &request)
            }
            None => unsent(flow, &key, entry),
        };
        ObservedJob {
            number,
            late,
            response: due_at.elapsed(),
            submission,
        }
    }

    /// Returns a token of an entry that is not old.
    fn token(&self, entry: usize) -> Option<OwnerToken> {
        let mut kept = self.tokens[entry]
            .lock()
            .expect("no holder of the lock panics");
        let now = Instant::now();
        if let Some(kept) = *kept
            && kept.until > now
        {
            return Some(kept.token);
        }
        let token = self.entries[entry].owner().ok()?;
        *kept = Some(KeptToken {
            token,
            until: now + TOKEN_LIFETIME,
        });
        Some(token)
    }
}

/// Returns the record of a job that could not be submitted, since its entry gave no token.
fn unsent(flow: &FlowPlan, key: &str, entry: usize) -> Submission {
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
    let request = JobRequest::new(flow.team.as_str(), kind_of(flow.class)).wait(CALLER_WAIT);
    let tasks = job.tasks.iter().enumerate();
    tasks.fold(request, |request, (index, task)| {
        let payload = TaskPayload::new(task.work, format!("part {index}"));
        request.hinted_task(&payload, Some(task.hint))
    })
}

fn cancel_each(cancelled: &Receiver<Cancellation>) {
    // Callers that were cancelled would wait for long if these calls failed; they wait anyway.
    let mut clients = HashMap::new();
    for cancellation in cancelled {
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
