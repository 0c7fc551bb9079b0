//! A caller that submits jobs and records the outcomes.

use std::thread;
use std::time::{Duration, Instant};

use knapweedrill::common::{KindName, ProcessName};
use knapweedrill::contract::OwnerToken;

use super::workload::{Job, JobGenerator, JobStream, Service};
use crate::checker::{RecordingClient, Submission};
use crate::harness::{EntryApi, JobOutcome};

/// How many times a caller submits a job, or asks for a token, before it gives up.
const ATTEMPT_COUNT_MAX: usize = 20;

/// One in this many jobs, on average, is resubmitted through any entry after its response.
const JOBS_PER_RESUBMISSION: usize = 10;

const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The refusal reasons that also hold for earlier attempts to submit the job under its token.
const OWNER_REFUSAL_REASONS: [&str; 2] = ["token-needed", "owner-lost"];

/// An entry that callers choose from.
#[derive(Debug, Clone)]
pub(super) struct EntryEndpoint {
    pub(super) name: ProcessName,
    pub(super) api: EntryApi,
}

/// The outcome and the response time of one job, as its caller observed them.
#[derive(Debug, Clone)]
pub(super) struct JobSample {
    pub(super) kind: KindName,
    pub(super) service: Service,
    pub(super) outcome: Option<JobOutcome>,
    /// The time from the first submission to the end of the last one, including retries.
    pub(super) response_time: Duration,
    pub(super) run_times: Vec<Duration>,
}

/// The submissions of a caller, and the outcome of each of its jobs.
#[derive(Debug, Default)]
pub(super) struct CallerObservations {
    pub(super) submissions: Vec<Submission>,
    pub(super) samples: Vec<JobSample>,
}

/// A caller that submits the jobs of one stream.
#[derive(Debug)]
pub(super) struct Caller {
    stream: JobStream,
    generator: JobGenerator,
    entries: Vec<EntryEndpoint>,
    observations: CallerObservations,
}

impl Caller {
    pub(super) fn new(
        stream: JobStream,
        generator: JobGenerator,
        entries: Vec<EntryEndpoint>,
    ) -> Self {
        Self {
            stream,
            generator,
            entries,
            observations: CallerObservations::default(),
        }
    }

    /// Submits jobs until the given time and calls `on_end` after each.
    pub(super) fn run(mut self, until: Instant, on_end: impl Fn()) -> CallerObservations {
        thread::sleep(self.generator.next_pause());
        while Instant::now() < until {
            let job = self.generator.next_job();
            self.run_job(&job);
            on_end();
            thread::sleep(self.generator.next_pause());
        }
        self.observations
    }

    fn run_job(&mut self, job: &Job) {
        let Some(token) = self.token() else {
            return;
        };
        let start = Instant::now();
        let (token, outcome) = self.submit_until_answered(token, job);
        self.observations.samples.push(JobSample {
            kind: self.stream.kind.into(),
            service: self.stream.service,
            outcome,
            response_time: start.elapsed(),
            run_times: job.run_times.clone(),
        });
        if self.generator.random_index(JOBS_PER_RESUBMISSION) == 0 {
            self.submit(token, job);
        }
    }

    /// Submits a job until it has ended or the attempts are used up.
    ///
    /// Returns the last token and outcome.
    fn submit_until_answered(
        &mut self,
        mut token: OwnerToken,
        job: &Job,
    ) -> (OwnerToken, Option<JobOutcome>) {
        let mut outcome = None;
        // An attempt under the token without a known outcome may have been accepted; the job then
        // keeps its token, as a new one would allow it to run twice.
        let mut may_be_accepted = false;
        for _ in 0..ATTEMPT_COUNT_MAX {
            let submission = self.submit(token, job);
            outcome = submission.answer.outcome();
            match outcome {
                Some(JobOutcome::Complete | JobOutcome::Failed) => break,
                Some(JobOutcome::Running) => continue,
                Some(JobOutcome::NotRun) => {
                    let reason = submission.answer.reason();
                    let is_owner_refusal =
                        reason.is_some_and(|r| OWNER_REFUSAL_REASONS.contains(&r));
                    if !may_be_accepted || is_owner_refusal {
                        token = self.token().unwrap_or(token);
                        may_be_accepted = false;
                    }
                }
                Some(JobOutcome::Unknown) | None => may_be_accepted = true,
            }
            thread::sleep(RETRY_PAUSE);
        }
        (token, outcome)
    }

    fn submit(&mut self, token: OwnerToken, job: &Job) -> Submission {
        let entry = &self.entries[self.generator.random_index(self.entries.len())];
        let client = RecordingClient::new(entry.name.clone(), entry.api)
            .idempotent(self.stream.is_idempotent);
        let submission = client.submit(token, &job.key, &job.request);
        self.observations.submissions.push(submission.clone());
        submission
    }

    /// Returns a token from any entry that issues one.
    fn token(&mut self) -> Option<OwnerToken> {
        for _ in 0..ATTEMPT_COUNT_MAX {
            let entry = &self.entries[self.generator.random_index(self.entries.len())];
            if let Ok(token) = entry.api.owner() {
                return Some(token);
            }
            thread::sleep(RETRY_PAUSE);
        }
        None
    }
}
