//! Process of a cluster's log.

use std::net::SocketAddr;

use eyre::Result;

use super::{ChildProcess, http_call};
use crate::stand_in::Accepted;
use crate::stand_in::log::{AppendResponse, LogControl, LogRetain, ReadResponse};

/// The process of the log, with a client of its HTTP interface.
#[derive(Debug)]
pub struct LogNode {
    process: ChildProcess,
    address: SocketAddr,
}

impl LogNode {
    /// Wraps a process that serves a log at `address`.
    pub fn new(process: ChildProcess, address: SocketAddr) -> Self {
        Self { process, address }
    }

    /// Returns the address of the log.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the process of the log.
    pub fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }

    /// Sets how the log responds to further requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not accept the request.
    pub fn control(&self, control: LogControl) -> Result<()> {
        let response = http_call::post_json(self.address, "/control", &control)?;
        response.success_json::<Accepted>().map(|_| ())
    }

    /// Drops the oldest records until at most `record_count` are left.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not accept the request.
    pub fn retain(&self, record_count: usize) -> Result<()> {
        let retain = LogRetain { record_count };
        let response = http_call::post_json(self.address, "/control/retain", &retain)?;
        response.success_json::<Accepted>().map(|_| ())
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not respond; the record may have been appended.
    pub fn append(&self, body: impl Into<String>) -> Result<AppendResponse> {
        let timeout = http_call::CALL_TIMEOUT;
        let request = http_call::post(self.address, "/append", body.into(), timeout);
        http_call::send(request)?.success_json()
    }

    /// Reads records, starting at the offset `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not respond.
    pub fn read(&self, from: u64) -> Result<ReadResponse> {
        http_call::get(self.address, &format!("/records?from={from}"))?.success_json()
    }
}
