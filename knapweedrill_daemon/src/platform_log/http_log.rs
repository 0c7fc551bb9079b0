//! HTTP client of the platform log.

use std::io::ErrorKind as Io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::StatusCode;
use eyre::WrapErr;
use knapweedrill::common::LogOffset;
use serde::Deserialize;

use super::{AppendError, LogPage, PlatformLog};

/// Timeout of the connection setup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call, and of each read of its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of records requested per page.
const PAGE_RECORD_COUNT: u32 = 256;

/// A client that accesses the platform log over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct AppendResponse {
    offset: LogOffset,
}

impl HttpLog {
    /// Creates a client of the log server at `address`, without connecting.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl PlatformLog for HttpLog {
    fn append(&self, body: &str) -> Result<LogOffset, AppendError> {
        let response = attohttpc::post(format!("http://{}/append", self.address))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(CALL_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .bytes(body.as_bytes())
            .send()
            .map_err(|error| append_error(&error))?;
        if !response.is_success() {
            return Err(status_error(response.status()));
        }
        let bytes = response.bytes().map_err(|error| append_error(&error))?;
        let response_body: AppendResponse = serde_json::from_slice(&bytes)
            .map_err(|error| AppendError::Unknown(error.to_string()))?;
        Ok(response_body.offset)
    }

    fn read(&self, from: LogOffset) -> eyre::Result<LogPage> {
        let url = format!(
            "http://{}/records?from={from}&max={PAGE_RECORD_COUNT}",
            self.address
        );
        let response = attohttpc::get(url)
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(CALL_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .send()?
            .error_for_status()?;
        serde_json::from_slice(&response.bytes()?).wrap_err("the response of the log is malformed")
    }
}

/// Maps an error status: the log rejected the record, or the append may have taken effect.
fn status_error(status: StatusCode) -> AppendError {
    let message = format!("status {status}");
    match status {
        StatusCode::REQUEST_TIMEOUT => AppendError::Unknown(message),
        StatusCode::SERVICE_UNAVAILABLE => AppendError::NotAppended(message),
        status if status.is_client_error() => AppendError::NotAppended(message),
        _ => AppendError::Unknown(message),
    }
}

/// Maps a transport error: a refused connection means that the record was not appended; after any
/// other error the append may have taken effect.
fn append_error(error: &attohttpc::Error) -> AppendError {
    match error.kind() {
        attohttpc::ErrorKind::Io(io) if io.kind() == Io::ConnectionRefused => {
            AppendError::NotAppended(error.to_string())
        }
        _ => AppendError::Unknown(error.to_string()),
    }
}
