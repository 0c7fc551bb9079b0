//! The client and its retries.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use knapweedrill::api::{
    ApiCall, ApplyResponse, ConfigurationResponse, DrainResponse, EventsResponse, ExpectedParent,
    HttpStatus, JobOutcome, JobRequest, JobResponse, OwnerResponse, Reason, ShowResponse,
};
use knapweedrill::contract::OwnerToken;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::de::DeserializeOwned;

use super::transport::{self, Request, Response};
use super::{ClientBuilder, ClientError, JobReport, Submission};

/// The longest wait for a job's outcome that one request asks an entry for.
const POLL_WAIT_MAX: Duration = Duration::from_millis(10_000);

/// The longest mean backoff between two attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(5_000);

/// The status of a response that does not say whether the request took effect.
const OUTCOME_UNKNOWN_STATUS: HttpStatus = 500;

/// A client that retries failed calls through the next of its entries.
#[derive(Debug)]
pub struct Client {
    settings: ClientBuilder,
    next_entry: usize,
    rng: StdRng,
}

/// What a submission does after an attempt.
enum NextStep {
    /// Return the answer.
    Finish(JobResponse),
    /// Retry after at least the given delay. Nothing of this attempt ran, so a new token is safe
    /// unless an earlier attempt may have been accepted.
    RetryAfterRefusal(JobResponse, Duration),
    /// Ask again for the outcome of the running job.
    Poll,
    /// Retry under the same token: the outcome is unknown for the given cause.
    RetrySameToken(String),
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
    /// The report may be of a job that is still running, if [`Submission::wait`] has passed.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] if the job may have run and no entry reports its
    /// outcome, or another error if no owner token can be obtained.
    pub fn submit(&mut self, submission: Submission) -> Result<JobReport, ClientError> {
        self.submit_with_progress(submission, |_| {})
    }

    /// Submits a job like [`Client::submit`] and calls `progress` with each answer that reports the
    /// job as running.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] if the job may have run and no entry reports its
    /// outcome, or another error if no owner token can be obtained.
    pub fn submit_with_progress(
        &mut self,
        submission: Submission,
        mut progress: impl FnMut(&JobResponse),
    ) -> Result<JobReport, ClientError> {
        let wait_end = Instant::now() + submission.wait;
        let mut token = match submission.token {
            Some(token) => token,
            None => self.owner()?,
        };
        let call = ApiCall::Submit {
            key: submission.key.clone(),
        };
        let mut failed_count = 0;
        let mut attempt_count = 0;
        // Whether an attempt under this token got no answer and may have reached the owner.
        let mut may_have_been_accepted = false;
        loop {
            let left = wait_end.saturating_duration_since(Instant::now());
            let wait = left.min(POLL_WAIT_MAX);
            let body = job_body(&submission, wait);
            attempt_count += 1;
            let request = Request {
                call: &call,
                token: Some(token),
                body: &body,
            };
            let response = self.send_once(&request, wait);
            if let Ok(response) = &response {
                report_progress(response, &mut progress);
            }
            let report = |answer| JobReport {
                token,
                answer,
                attempt_count,
            };
            match next_step(response, left.is_zero()) {
                NextStep::Finish(answer) => return Ok(report(answer)),
                NextStep::Poll => {}
                NextStep::RetryAfterRefusal(answer, retry_after) => {
                    failed_count += 1;
                    if failed_count >= self.settings.attempt_count_max || retry_after > left {
                        return Ok(report(answer));
                    }
                    self.back_off(failed_count, retry_after);
                    if !may_have_been_accepted || covers_earlier_attempts(&answer) {
                        token = self.owner()?;
                        may_have_been_accepted = false;
                    }
                }
                NextStep::RetrySameToken(message) => {
                    may_have_been_accepted = true;
                    failed_count += 1;
                    if failed_count >= self.settings.attempt_count_max {
                        return Err(ClientError::OutcomeUnknown {
                            token: token.to_string(),
                            key: submission.key,
                            message,
                        });
                    }
                    self.back_off(failed_count, Duration::ZERO);
                }
            }
        }
    }

    /// Obtains an owner token, under which new jobs can be submitted.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers, or if the response is an error or malformed.
    pub fn owner(&mut self) -> Result<OwnerToken, ClientError> {
        let response = self.send(&ApiCall::Owner, None, &[], Duration::ZERO)?;
        let owner: OwnerResponse = response.decode()?;
        owner.token().map_err(|error| ClientError::Malformed {
            entry: response.entry,
            status: response.status,
            message: error.to_string(),
        })
    }

    /// Queries the outcome of a job and waits up to `wait` for it.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers, or if the response is an error or malformed.
    pub fn status(
        &mut self,
        token: OwnerToken,
        team: impl Into<String>,
        key: impl Into<String>,
        wait: Duration,
    ) -> Result<JobResponse, ClientError> {
        let (team, key) = (team.into(), key.into());
        self.request(&ApiCall::Status { key, team, wait }, Some(token), &[], wait)
    }

    /// Cancels a job. The call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers, or if the response is an error or malformed.
    pub fn cancel(
        &mut self,
        token: OwnerToken,
        team: impl Into<String>,
        key: impl Into<String>,
    ) -> Result<JobResponse, ClientError> {
        let (team, key) = (team.into(), key.into());
        self.request(
            &ApiCall::Cancel { key, team },
            Some(token),
            &[],
            Duration::ZERO,
        )
    }

    /// Applies a configuration file and waits up to `wait` until all processes use it.
    ///
    /// The file is sent once, without retries: a retry would conflict with the first copy if that
    /// one was applied and only its answer was lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer (the file may have been applied), or if the
    /// response is an error or malformed.
    pub fn apply(
        &mut self,
        body: impl Into<String>,
        parent: ExpectedParent,
        wait: Duration,
    ) -> Result<ApplyResponse, ClientError> {
        let body = body.into();
        let call = ApiCall::Apply { parent, wait };
        let request = Request {
            call: &call,
            token: None,
            body: body.as_bytes(),
        };
        self.send_once(&request, wait)?.decode()
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers, or if the response is an error or malformed.
    pub fn configuration(&mut self) -> Result<ConfigurationResponse, ClientError> {
        self.request(&ApiCall::Configuration, None, &[], Duration::ZERO)
    }

    /// Returns the state of the system as the answering entry sees it.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers, or if the response is an error or malformed.
    pub fn show(&mut self) -> Result<ShowResponse, ClientError> {
        self.request(&ApiCall::Show, None, &[], Duration::ZERO)
    }

    /// Returns the events that one process has recorded. The call is not retried.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer, or if the response is an error or
    /// malformed.
    pub fn events(&mut self, process: SocketAddr) -> Result<EventsResponse, ClientError> {
        self.send_to(process, &without_body(&ApiCall::Events), Duration::ZERO)?
            .decode()
    }

    /// Begins a planned stop of one process. The call is not retried.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer, or if the response is an error or
    /// malformed.
    pub fn drain(&mut self, process: SocketAddr) -> Result<DrainResponse, ClientError> {
        self.send_to(process, &without_body(&ApiCall::Drain), Duration::ZERO)?
            .decode()
    }

    /// Returns the HTTP addresses of the entries.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.settings.entries
    }

    fn request<T: DeserializeOwned>(
        &mut self,
        call: &ApiCall,
        token: Option<OwnerToken>,
        body: &[u8],
        wait: Duration,
    ) -> Result<T, ClientError> {
        self.send(call, token, body, wait)?.decode()
    }

    /// Sends an idempotent call and retries it until an entry answers or the attempts are used up.
    fn send(
        &mut self,
        call: &ApiCall,
        token: Option<OwnerToken>,
        body: &[u8],
        wait: Duration,
    ) -> Result<Response, ClientError> {
        let request = Request { call, token, body };
        let mut failed_count = 0;
        loop {
            match self
                .send_once(&request, wait)
                .and_then(require_known_outcome)
            {
                Err(_) if failed_count + 1 < self.settings.attempt_count_max => {
                    failed_count += 1;
                    self.back_off(failed_count, Duration::ZERO);
                }
                result => return result,
            }
        }
    }

    fn send_once(&self, request: &Request<'_>, wait: Duration) -> Result<Response, ClientError> {
        let entries = &self.settings.entries;
        let entry = entries[self.next_entry % entries.len()];
        self.send_to(entry, request, wait)
    }

    fn send_to(
        &self,
        entry: SocketAddr,
        request: &Request<'_>,
        wait: Duration,
    ) -> Result<Response, ClientError> {
        let timeout = wait + self.settings.response_timeout_margin;
        let connect_timeout = self.settings.connect_timeout;
        transport::send(entry, request, connect_timeout, timeout).map_err(|error| {
            ClientError::Unreachable {
                entry,
                message: error.to_string(),
            }
        })
    }

    /// Selects the next entry and sleeps for `delay_min` plus an exponential backoff with jitter.
    fn back_off(&mut self, failed_count: u32, delay_min: Duration) {
        self.next_entry = self.next_entry.wrapping_add(1);
        let doublings = failed_count.saturating_sub(1).min(16);
        let mean = (self.settings.backoff * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        let jitter: f64 = self.rng.random_range(0.5..1.5);
        thread::sleep(delay_min + mean.mul_f64(jitter));
    }
}

fn without_body(call: &ApiCall) -> Request<'_> {
    Request {
        call,
        token: None,
        body: &[],
    }
}

fn job_body(submission: &Submission, wait: Duration) -> Vec<u8> {
    let request = JobRequest::new(submission.spec.clone(), wait);
    serde_json::to_vec(&request).expect("all map keys of a job request are strings")
}

fn report_progress(response: &Response, progress: &mut impl FnMut(&JobResponse)) {
    if let Ok(answer) = response.decode::<JobResponse>()
        && answer.outcome == JobOutcome::Running
    {
        progress(&answer);
    }
}

/// Returns whether the refusal also holds for earlier attempts under the same token.
fn covers_earlier_attempts(answer: &JobResponse) -> bool {
    matches!(answer.reason, Some(Reason::TokenNeeded | Reason::OwnerLost))
}

/// Returns the response, or an error if its status leaves the outcome of the request unknown.
fn require_known_outcome(response: Response) -> Result<Response, ClientError> {
    if response.status != OUTCOME_UNKNOWN_STATUS {
        return Ok(response);
    }
    Err(ClientError::Unreachable {
        entry: response.entry,
        message: "its response leaves the outcome of the request unknown".to_owned(),
    })
}

fn next_step(response: Result<Response, ClientError>, is_wait_over: bool) -> NextStep {
    // A response that is not a job answer, such as one of a proxy, says nothing about the job.
    let answer = match response
        .and_then(require_known_outcome)
        .and_then(|response| response.decode::<JobResponse>())
    {
        Ok(answer) => answer,
        Err(error) => return NextStep::RetrySameToken(error.to_string()),
    };
    let retry_after = Duration::from_millis(answer.retry_after_ms.unwrap_or(0));
    match (answer.outcome, answer.reason) {
        (JobOutcome::Running, _) if !is_wait_over => NextStep::Poll,
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
        ) => NextStep::RetryAfterRefusal(answer, retry_after),
        _ => NextStep::Finish(answer),
    }
}
