//! Client of a daemon's HTTP interface, as far as the harness needs it.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure, eyre};
use knapweedrill::api::{
    ApiCall, ApplyResponse, ConfigurationResponse, ExpectedParent, OWNER_HEADER,
};
use knapweedrill::contract::OwnerToken;
use knapweedrill_derive::message;

use super::http_call::{self, CALL_TIMEOUT, HttpResponse};
use super::{JobRequest, JobResponse, MetricsResponse};

/// Timeout of an apply; exceeds the time an entry searches the log for a record whose append got no
/// response.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Client of the HTTP interface of an entry, or of the part of it that a sidecar has too.
///
/// Each call opens a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryApi {
    address: SocketAddr,
}

/// The response body of `GET /v1/owner`.
#[message]
pub struct OwnerResponse {
    /// The owner token in text form.
    pub owner: String,
}

impl EntryApi {
    /// Creates a client of the interface at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Returns the address of the interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get("/readyz")
            .is_ok_and(|response| response.is_success())
    }

    /// Sends a `GET` request for `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub fn get(&self, path: &str) -> Result<HttpResponse> {
        http_call::get(self.address, path)
    }

    /// Requests an owner token.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or it contains no token.
    pub fn owner(&self) -> Result<OwnerToken> {
        let response: OwnerResponse = self.get("/v1/owner")?.success_json()?;
        Ok(response.owner.parse()?)
    }

    /// Submits a job under an idempotency key, or attaches to the job that has it already.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its body is malformed; the job may have run.
    pub fn submit(&self, token: &OwnerToken, key: &str, job: &JobRequest) -> Result<JobResponse> {
        self.submit_raw(token, key, job)?.json()
    }

    /// Submits a job under an idempotency key and returns the response, whatever its status and
    /// body.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; the job may have run.
    pub fn submit_raw(
        &self,
        token: &OwnerToken,
        key: &str,
        job: &JobRequest,
    ) -> Result<HttpResponse> {
        let body = serde_json::to_string(job)?;
        let timeout = job.wait_duration() + CALL_TIMEOUT;
        let path = format!("/v1/jobs/{key}");
        let request = http_call::post(self.address, &path, body, timeout)
            .header("Content-Type", "application/json")
            .header(OWNER_HEADER, token.to_string());
        http_call::send(request)
    }

    /// Cancels a job and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; the job may have been cancelled.
    pub fn cancel(&self, token: &OwnerToken, team: &str, key: &str) -> Result<HttpResponse> {
        let path = format!("/v1/jobs/{key}?team={team}");
        let request =
            http_call::delete(self.address, &path).header(OWNER_HEADER, token.to_string());
        http_call::send(request)
    }

    /// Replaces the configuration that is in force at the entry and returns the response, whatever
    /// its status.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; the configuration may be in force.
    pub fn apply_configuration(&self, text: &str) -> Result<HttpResponse> {
        let path = "/v1/configuration";
        let request = http_call::post(self.address, path, text.to_owned(), CALL_TIMEOUT);
        http_call::send(request).wrap_err("no response to the configuration")
    }

    /// Replaces the configuration on condition that `parent` is in force and returns the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its body is malformed; the configuration may be
    /// in force.
    pub fn apply_with_parent(&self, parent: ExpectedParent, text: &str) -> Result<ApplyResponse> {
        let wait = Duration::ZERO;
        let path = ApiCall::Apply { parent, wait }.url();
        let request = http_call::post(self.address, &path, text.to_owned(), APPLY_TIMEOUT);
        http_call::send(request)?.json()
    }

    /// Returns the configuration that the process has in force.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its body is malformed.
    pub fn configuration(&self) -> Result<ConfigurationResponse> {
        self.get("/v1/configuration")?.json()
    }

    /// Returns the value of a counter of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or no counter with this name.
    pub fn counter(&self, name: &str) -> Result<u64> {
        let metrics: MetricsResponse = self.get("/v1/metrics")?.success_json()?;
        let value = metrics.counter(name);
        value.ok_or_else(|| eyre!("the process has no counter named {name:?}"))
    }

    /// Replaces the configuration that is in force at the entry and checks that it was accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its status is not a success.
    pub fn expect_configuration(&self, text: &str) -> Result<()> {
        let response = self.apply_configuration(text)?;
        ensure!(
            response.is_success(),
            "the configuration was not accepted: {response:?}"
        );
        Ok(())
    }
}
