//! The HTTP interface of an entry, as far as the harness needs it.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure, eyre};
use knapweedrill::api::{
    ApiCall, ApplyResponse, ConfigurationResponse, ExpectedParent, OWNER_HEADER,
};
use knapweedrill::contract::OwnerToken;
use knapweedrill_derive::message;

use super::http_call::{self, CALL_TIMEOUT, HttpAnswer};
use super::{JobAnswer, JobRequest, MetricsAnswer};

/// Longer than an entry looks for a record whose answer was lost.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls an entry's HTTP interface; each call opens a connection of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryApi {
    address: SocketAddr,
}

/// The answer to `GET /v1/owner`.
#[message]
pub struct OwnerAnswer {
    /// The text of the owner token.
    pub owner: String,
}

impl EntryApi {
    /// Creates a caller of the interface at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Returns the address of the interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get("/readyz").is_ok_and(|answer| answer.is_success())
    }

    /// Calls `GET` at any path.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn get(&self, path: &str) -> Result<HttpAnswer> {
        http_call::get(self.address, path)
    }

    /// Asks for an owner token.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer or no token in it.
    pub fn owner(&self) -> Result<OwnerToken> {
        let answer: OwnerAnswer = self.get("/v1/owner")?.success_json()?;
        Ok(answer.owner.parse()?)
    }

    /// Submits a job under `key`, or attaches to it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer or it has another form; the job may have run.
    pub fn submit(&self, token: &OwnerToken, key: &str, job: &JobRequest) -> Result<JobAnswer> {
        self.submit_raw(token, key, job)?.json()
    }

    /// Submits a job under `key` and returns the answer, whatever its status and form.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer; the job may have run.
    pub fn submit_raw(
        &self,
        token: &OwnerToken,
        key: &str,
        job: &JobRequest,
    ) -> Result<HttpAnswer> {
        let text = serde_json::to_string(job)?;
        let timeout = job.wait_duration() + CALL_TIMEOUT;
        let path = format!("/v1/jobs/{key}");
        let request = http_call::post(self.address, &path, text, timeout)
            .header("Content-Type", "application/json")
            .header(OWNER_HEADER, token.to_string());
        http_call::send(request)
    }

    /// Cancels a job and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer; the job may be cancelled.
    pub fn cancel(&self, token: &OwnerToken, team: &str, key: &str) -> Result<HttpAnswer> {
        let path = format!("/v1/jobs/{key}?team={team}");
        let request =
            http_call::delete(self.address, &path).header(OWNER_HEADER, token.to_string());
        http_call::send(request)
    }

    /// Applies a configuration whole and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer; the configuration may be in force.
    pub fn apply_configuration(&self, text: &str) -> Result<HttpAnswer> {
        let path = "/v1/configuration";
        let request = http_call::post(self.address, path, text.to_owned(), CALL_TIMEOUT);
        http_call::send(request).wrap_err("the configuration was not answered")
    }

    /// Applies a configuration in place of `parent` and returns what the entry says of it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer or it has another form; the configuration may be in
    /// force.
    pub fn apply_onto(&self, parent: ExpectedParent, text: &str) -> Result<ApplyResponse> {
        let wait = Duration::ZERO;
        let path = ApiCall::Apply { parent, wait }.url();
        let request = http_call::post(self.address, &path, text.to_owned(), APPLY_TIMEOUT);
        http_call::send(request)?.json()
    }

    /// Returns the configuration that the process has in force.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn configuration(&self) -> Result<ConfigurationResponse> {
        self.get("/v1/configuration")?.json()
    }

    /// Returns the value of a counter of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer or no such counter.
    pub fn counter(&self, name: &str) -> Result<u64> {
        let metrics: MetricsAnswer = self.get("/v1/metrics")?.success_json()?;
        let value = metrics.counter(name);
        value.ok_or_else(|| eyre!("there is no counter {name}"))
    }

    /// Applies a configuration whole and expects it to be accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not accepted.
    pub fn expect_configuration(&self, text: &str) -> Result<()> {
        let answer = self.apply_configuration(text)?;
        ensure!(answer.is_success(), "not accepted: {answer:?}");
        Ok(())
    }
}
