//! The client.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill::api::{
    ApiCall, ApplyAnswer, ConfigurationAnswer, DrainAnswer, EventsAnswer, HttpStatus, JobAnswer,
    JobOutcome, JobRequest, OwnerAnswer, Parent, Reason, ShowAnswer,
};
use knapweedrill::contract::OwnerToken;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::de::DeserializeOwned;

use super::transport::{self, Answer, Request};
use super::{ClientBuilder, ClientError, JobReport, Submission};

/// The longest time that one call asks an entry to wait.
const POLL_MAX: Duration = Duration::from_millis(10_000);

/// The longest pause between two tries.
const BACKOFF_MAX: Duration = Duration::from_millis(5_000);

/// The status of an answer that says nothing of what was asked.
const OUTCOME_UNKNOWN: HttpStatus = 500;

/// A client of several entries.
#[derive(Debug)]
pub struct Client {
    settings: ClientBuilder,
    next_entry: usize,
    rng: StdRng,
}

/// What the last try of a submission calls for.
enum Next {
    Done(JobAnswer),
    /// Nothing ran: another try under a new token does no harm.
    NewToken(JobAnswer, Duration),
    Wait,
    Repeat(String),
}

impl Client {
    pub(super) fn new(settings: ClientBuilder, rng: StdRng) -> Self {
        Self {
            settings,
            next_entry: 0,
            rng,
        }
    }

    /// Submits a job and waits for its outcome.
    ///
    /// The report may be of a job that still runs, if the time to wait is over.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] if the job may have run and no entry tells more.
    pub fn submit(&mut self, submission: Submission) -> Result<JobReport, ClientError> {
        self.submit_with_progress(submission, |_| {})
    }

    /// Submits a job as [`Client::submit`] does, and hands on each answer that the job goes on.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] if the job may have run and no entry tells more.
    pub fn submit_with_progress(
        &mut self,
        submission: Submission,
        mut progress: impl FnMut(&JobAnswer),
    ) -> Result<JobReport, ClientError> {
        let end = Instant::now() + submission.wait;
        let mut token = match submission.token {
            Some(token) => token,
            None => self.owner()?,
        };
        let call = ApiCall::Submit {
            key: submission.key.clone(),
        };
        let mut failed_count = 0;
        let mut attempt_count = 0;
        // Set while a try under this token may have reached the owner without an answer.
        let mut is_in_doubt = false;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let wait = left.min(POLL_MAX);
            let body = job_body(&submission, wait);
            attempt_count += 1;
            let request = Request {
                call: &call,
                token: Some(token),
                body: &body,
            };
            let answer = self.send_once(&request, wait);
            if let Ok(answer) = &answer {
                progress_of(answer, &mut progress);
            }
            let report = |answer| JobReport {
                token,
                answer,
                attempt_count,
            };
            match next_of(answer, left.is_zero()) {
                Next::Done(answer) => return Ok(report(answer)),
                Next::Wait => {}
                Next::NewToken(answer, pause) => {
                    failed_count += 1;
                    if failed_count >= self.settings.attempt_count_max || pause > left {
                        return Ok(report(answer));
                    }
                    self.pause(failed_count, pause);
                    if !is_in_doubt || is_told_by_owner(&answer) {
                        token = self.owner()?;
                        is_in_doubt = false;
                    }
                }
                Next::Repeat(message) => {
                    is_in_doubt = true;
                    failed_count += 1;
                    if failed_count >= self.settings.attempt_count_max {
                        return Err(ClientError::OutcomeUnknown {
                            token: token.to_string(),
                            key: submission.key,
                            message,
                        });
                    }
                    self.pause(failed_count, Duration::ZERO);
                }
            }
        }
    }

    /// Gets an owner token.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub fn owner(&mut self) -> Result<OwnerToken, ClientError> {
        let answer = self.send(&ApiCall::Owner, None, &[], Duration::ZERO)?;
        let owner: OwnerAnswer = answer.read()?;
        owner.token().map_err(|error| ClientError::Malformed {
            entry: answer.entry,
            status: answer.status,
            message: error.to_string(),
        })
    }

    /// Asks for the outcome of a job and waits for it.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub fn status(
        &mut self,
        token: OwnerToken,
        team: impl Into<String>,
        key: impl Into<String>,
        wait: Duration,
    ) -> Result<JobAnswer, ClientError> {
        let (team, key) = (team.into(), key.into());
        self.ask(&ApiCall::Status { key, team, wait }, Some(token), &[], wait)
    }

    /// Cancels a job; repeating it does no harm.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub fn cancel(
        &mut self,
        token: OwnerToken,
        team: impl Into<String>,
        key: impl Into<String>,
    ) -> Result<JobAnswer, ClientError> {
        let (team, key) = (team.into(), key.into());
        self.ask(
            &ApiCall::Cancel { key, team },
            Some(token),
            &[],
            Duration::ZERO,
        )
    }

    /// Applies a configuration file, and waits until it is in force everywhere.
    ///
    /// It is sent once: a repeated file would meet its own first copy as a rival.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer; the file may have been applied.
    pub fn apply(
        &mut self,
        body: impl Into<String>,
        parent: Parent,
        wait: Duration,
    ) -> Result<ApplyAnswer, ClientError> {
        let body = body.into();
        let call = ApiCall::Apply { parent, wait };
        let request = Request {
            call: &call,
            token: None,
            body: body.as_bytes(),
        };
        self.send_once(&request, wait)?.read()
    }

    /// Asks for the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub fn configuration(&mut self) -> Result<ConfigurationAnswer, ClientError> {
        self.ask(&ApiCall::Configuration, None, &[], Duration::ZERO)
    }

    /// Asks for the state of the system.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub fn show(&mut self) -> Result<ShowAnswer, ClientError> {
        self.ask(&ApiCall::Show, None, &[], Duration::ZERO)
    }

    /// Asks one process for its events.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer.
    pub fn events_of(&mut self, process: SocketAddr) -> Result<EventsAnswer, ClientError> {
        self.send_to(process, &bare(&ApiCall::Events), Duration::ZERO)?
            .read()
    }

    /// Begins a planned stop of one process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer.
    pub fn drain(&mut self, process: SocketAddr) -> Result<DrainAnswer, ClientError> {
        self.send_to(process, &bare(&ApiCall::Drain), Duration::ZERO)?
            .read()
    }

    /// Returns the addresses of the entries.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.settings.entries
    }

    fn ask<T: DeserializeOwned>(
        &mut self,
        call: &ApiCall,
        token: Option<OwnerToken>,
        body: &[u8],
        wait: Duration,
    ) -> Result<T, ClientError> {
        self.send(call, token, body, wait)?.read()
    }

    /// Sends a call that may be repeated, until an entry answers.
    fn send(
        &mut self,
        call: &ApiCall,
        token: Option<OwnerToken>,
        body: &[u8],
        wait: Duration,
    ) -> Result<Answer, ClientError> {
        let request = Request { call, token, body };
        let mut failed_count = 0;
        loop {
            match self.send_once(&request, wait).and_then(told) {
                Err(_) if failed_count + 1 < self.settings.attempt_count_max => {
                    failed_count += 1;
                    self.pause(failed_count, Duration::ZERO);
                }
                result => return result,
            }
        }
    }

    fn send_once(&self, request: &Request<'_>, wait: Duration) -> Result<Answer, ClientError> {
        let entries = &self.settings.entries;
        let entry = entries[self.next_entry % entries.len()];
        self.send_to(entry, request, wait)
    }

    fn send_to(
        &self,
        entry: SocketAddr,
        request: &Request<'_>,
        wait: Duration,
    ) -> Result<Answer, ClientError> {
        let timeout = wait + self.settings.answer_margin;
        let connect_timeout = self.settings.connect_timeout;
        transport::send(entry, request, connect_timeout, timeout).map_err(|error| {
            ClientError::Unreachable {
                entry,
                message: error.to_string(),
            }
        })
    }

    /// Turns to the next entry after a pause of at least `pause_min`, which is longer with each
    /// failure and random in part.
    fn pause(&mut self, failed_count: u32, pause_min: Duration) {
        self.next_entry = self.next_entry.wrapping_add(1);
        let doublings = failed_count.saturating_sub(1).min(16);
        let longest = (self.settings.backoff * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        let part: f64 = self.rng.random_range(0.5..1.5);
        thread::sleep(pause_min + longest.mul_f64(part));
    }
}

fn bare(call: &ApiCall) -> Request<'_> {
    Request {
        call,
        token: None,
        body: &[],
    }
}

fn job_body(submission: &Submission, wait: Duration) -> Vec<u8> {
    let request = JobRequest::new(submission.spec.clone(), wait);
    serde_json::to_vec(&request).expect("the body has no maps with odd keys")
}

fn progress_of(answer: &Answer, progress: &mut impl FnMut(&JobAnswer)) {
    if let Ok(answer) = answer.read::<JobAnswer>()
        && answer.outcome == JobOutcome::Running
    {
        progress(&answer);
    }
}

/// Returns whether the refusal speaks for earlier tries of the job as well.
fn is_told_by_owner(answer: &JobAnswer) -> bool {
    matches!(answer.reason, Some(Reason::TokenNeeded | Reason::OwnerLost))
}

/// Returns the answer unless the entry says that it cannot tell.
fn told(answer: Answer) -> Result<Answer, ClientError> {
    if answer.status != OUTCOME_UNKNOWN {
        return Ok(answer);
    }
    Err(ClientError::Unreachable {
        entry: answer.entry,
        message: "it could not take the request".to_owned(),
    })
}

fn next_of(answer: Result<Answer, ClientError>, is_time_over: bool) -> Next {
    // An answer that is not the system's own says nothing about the job.
    let answer = match answer
        .and_then(told)
        .and_then(|answer| answer.read::<JobAnswer>())
    {
        Ok(answer) => answer,
        Err(error) => return Next::Repeat(error.to_string()),
    };
    let pause = Duration::from_millis(answer.retry_after_ms.unwrap_or(0));
    match (answer.outcome, answer.reason) {
        (JobOutcome::Running, _) if !is_time_over => Next::Wait,
        (
            JobOutcome::NotRun,
            Some(
                Reason::TokenNeeded
                | Reason::Overloaded
                | Reason::NoMinion
                | Reason::OwnerLost
                | Reason::ShuttingDown
                | Reason::NotReady,
            ),
        ) => Next::NewToken(answer, pause),
        _ => Next::Done(answer),
    }
}
