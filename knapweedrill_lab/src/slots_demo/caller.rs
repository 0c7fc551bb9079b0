//! A caller that submits jobs and notes what it sees.

use std::thread;
use std::time::{Duration, Instant};

use knapweedrill::common::{KindName, ProcessName};
use knapweedrill::contract::OwnerToken;

use super::workload::{Job, JobSource, Service, Stream};
use crate::checker::{RecordingClient, Submission};
use crate::harness::{EntryApi, JobOutcome};

/// How often a caller submits a job at most before it gives up.
const ATTEMPT_COUNT_MAX: usize = 20;

/// One job in so many is submitted again after its answer, through any entry.
const JOBS_PER_RESUBMISSION: usize = 10;

const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The reasons of a refusal that speak for earlier tries of the job as well.
const OWNER_REASONS: [&str; 2] = ["token-needed", "owner-lost"];

/// An entry that callers may call.
#[derive(Debug, Clone)]
pub(super) struct EntryChoice {
    pub(super) name: ProcessName,
    pub(super) api: EntryApi,
}

/// What a caller saw of one job.
#[derive(Debug, Clone)]
pub(super) struct JobSample {
    pub(super) kind: KindName,
    pub(super) service: Service,
    pub(super) outcome: Option<JobOutcome>,
    pub(super) response: Duration,
    pub(super) run_times: Vec<Duration>,
}

/// What a caller saw.
#[derive(Debug, Default)]
pub(super) struct CallerRecord {
    pub(super) submissions: Vec<Submission>,
    pub(super) samples: Vec<JobSample>,
}

/// A caller of one stream.
#[derive(Debug)]
pub(super) struct Caller {
    stream: Stream,
    source: JobSource,
    entries: Vec<EntryChoice>,
    record: CallerRecord,
}

impl Caller {
    pub(super) fn new(stream: Stream, source: JobSource, entries: Vec<EntryChoice>) -> Self {
        Self {
            stream,
            source,
            entries,
            record: CallerRecord::default(),
        }
    }

    /// Submits jobs until that time; `on_end` is called after each.
    pub(super) fn run(mut self, until: Instant, on_end: impl Fn()) -> CallerRecord {
        thread::sleep(self.source.next_pause());
        while Instant::now() < until {
            let job = self.source.next_job();
            self.run_job(&job);
            on_end();
            thread::sleep(self.source.next_pause());
        }
        self.record
    }

    fn run_job(&mut self, job: &Job) {
        let Some(token) = self.token() else {
            return;
        };
        let start = Instant::now();
        let (token, outcome) = self.submit_until_answered(token, job);
        self.record.samples.push(JobSample {
            kind: self.stream.kind.into(),
            service: self.stream.service,
            outcome,
            response: start.elapsed(),
            run_times: job.run_times.clone(),
        });
        if self.source.pick(JOBS_PER_RESUBMISSION) == 0 {
            self.submit(token, job);
        }
    }

    /// Submits a job, again if need be, and returns the last token and outcome.
    fn submit_until_answered(
        &mut self,
        mut token: OwnerToken,
        job: &Job,
    ) -> (OwnerToken, Option<JobOutcome>) {
        let mut outcome = None;
        // Set while a try under the token may have reached the owner without an answer.
        let mut is_in_doubt = false;
        for _ in 0..ATTEMPT_COUNT_MAX {
            let submission = self.submit(token, job);
            outcome = submission.answer.outcome();
            match outcome {
                Some(JobOutcome::Complete | JobOutcome::Failed) => break,
                Some(JobOutcome::Running) => continue,
                Some(JobOutcome::NotRun) => {
                    let reason = submission.answer.reason();
                    let is_told_by_owner = reason.is_some_and(|r| OWNER_REASONS.contains(&r));
                    if !is_in_doubt || is_told_by_owner {
                        token = self.token().unwrap_or(token);
                        is_in_doubt = false;
                    }
                }
                Some(JobOutcome::Unknown) | None => is_in_doubt = true,
            }
            thread::sleep(RETRY_PAUSE);
        }
        (token, outcome)
    }

    fn submit(&mut self, token: OwnerToken, job: &Job) -> Submission {
        let entry = &self.entries[self.source.pick(self.entries.len())];
        let call = RecordingClient::new(entry.name.clone(), entry.api)
            .idempotent(self.stream.is_idempotent);
        let submission = call.submit(token, &job.key, &job.request);
        self.record.submissions.push(submission.clone());
        submission
    }

    /// Returns a token of any entry that hands one out.
    fn token(&mut self) -> Option<OwnerToken> {
        for _ in 0..ATTEMPT_COUNT_MAX {
            let entry = &self.entries[self.source.pick(self.entries.len())];
            if let Ok(token) = entry.api.owner() {
                return Some(token);
            }
            thread::sleep(RETRY_PAUSE);
        }
        None
    }
}
