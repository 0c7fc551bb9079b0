//! HTTP client functions of the harness.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{RequestBuilder, Response, body::Text};
use eyre::{Result, WrapErr, bail, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call, to which the caller adds the time that the server is asked to wait.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The response to an HTTP call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The whole body as text.
    pub body: String,
}

impl HttpResponse {
    /// Parses the body as JSON, whatever the status.
    ///
    /// # Errors
    ///
    /// Returns an error that quotes the response if the body can't be parsed as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.body)
            .wrap_err_with(|| format!("unexpected body, status {}: {}", self.status, self.body))
    }

    /// Parses the body as JSON if the status is a success.
    ///
    /// # Errors
    ///
    /// Returns an error that quotes the response if the status is no success or the body can't be
    /// parsed as `T`.
    pub(super) fn success_json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.is_success() {
            bail!("unexpected status {}: {}", self.status, self.body);
        }
        self.json()
    }

    /// Returns whether the status is in the range 200 to 299.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Sends a `GET` request and returns the response.
pub(super) fn get(address: SocketAddr, path: &str) -> Result<HttpResponse> {
    let request = attohttpc::get(format!("http://{address}{path}"));
    send(with_timeouts(request, CALL_TIMEOUT))
}

/// Builds a `DELETE` request.
pub(super) fn delete(address: SocketAddr, path: &str) -> RequestBuilder {
    let request = attohttpc::delete(format!("http://{address}{path}"));
    with_timeouts(request, CALL_TIMEOUT)
}

/// Builds a `POST` request with a text body; `timeout` bounds the whole call.
pub(super) fn post(
    address: SocketAddr,
    path: &str,
    text: String,
    timeout: Duration,
) -> RequestBuilder<Text<String>> {
    let request = attohttpc::post(format!("http://{address}{path}"));
    with_timeouts(request, timeout).text(text)
}

/// Sends a `POST` request with a JSON body and returns the response.
pub(super) fn post_json(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<HttpResponse> {
    let text = serde_json::to_string(body)?;
    send(post(address, path, text, CALL_TIMEOUT))
}

/// Sends a request and reads the whole response.
///
/// attohttpc does not report a truncated body, so this compares its length with `Content-Length`.
pub(super) fn send<B: attohttpc::body::Body>(request: RequestBuilder<B>) -> Result<HttpResponse> {
    let response = request.send()?;
    let status = response.status().as_u16();
    let expected_bytes = content_length(&response);
    let body = response.text_utf8()?;
    if let Some(expected_bytes) = expected_bytes {
        let body_bytes = body.len();
        ensure!(
            body_bytes == expected_bytes,
            "truncated response: {body_bytes} of {expected_bytes} bytes"
        );
    }
    Ok(HttpResponse { status, body })
}

fn content_length(response: &Response) -> Option<usize> {
    let value = response.headers().get("Content-Length")?;
    value.to_str().ok()?.parse().ok()
}

fn with_timeouts(request: RequestBuilder, timeout: Duration) -> RequestBuilder {
    request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout)
}
