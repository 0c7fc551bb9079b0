//! HTTP calls of the harness.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{RequestBuilder, Response, body::Text};
use eyre::{Result, WrapErr, bail, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that a call takes without counting what the callee waits for.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl HttpAnswer {
    /// Reads the body as JSON, whatever the status.
    ///
    /// # Errors
    ///
    /// Returns an error that shows the answer if the body has another form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.body)
            .wrap_err_with(|| format!("unexpected answer {}: {}", self.status, self.body))
    }

    /// Reads the body as JSON if the call succeeded.
    ///
    /// # Errors
    ///
    /// Returns an error that shows the answer if the status or form is another.
    pub(super) fn success_json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.is_success() {
            bail!("status {}: {}", self.status, self.body);
        }
        self.json()
    }

    /// Returns whether the status says success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Calls `GET` at a path.
pub(super) fn get(address: SocketAddr, path: &str) -> Result<HttpAnswer> {
    let request = attohttpc::get(format!("http://{address}{path}"));
    send(with_timeouts(request, CALL_TIMEOUT))
}

/// Prepares a `DELETE` of a path.
pub(super) fn delete(address: SocketAddr, path: &str) -> RequestBuilder {
    let request = attohttpc::delete(format!("http://{address}{path}"));
    with_timeouts(request, CALL_TIMEOUT)
}

/// Prepares a `POST` of a text with a total timeout.
pub(super) fn post(
    address: SocketAddr,
    path: &str,
    text: String,
    timeout: Duration,
) -> RequestBuilder<Text<String>> {
    let request = attohttpc::post(format!("http://{address}{path}"));
    with_timeouts(request, timeout).text(text)
}

/// Calls `POST` with JSON.
pub(super) fn post_json(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<HttpAnswer> {
    let text = serde_json::to_string(body)?;
    send(post(address, path, text, CALL_TIMEOUT))
}

/// Sends a request and reads the whole answer.
///
/// attohttpc takes a body that ends early as whole, so the length is compared here.
pub(super) fn send<B: attohttpc::body::Body>(request: RequestBuilder<B>) -> Result<HttpAnswer> {
    let response = request.send()?;
    let status = response.status().as_u16();
    let announced_bytes = content_length(&response);
    let body = response.text_utf8()?;
    if let Some(announced_bytes) = announced_bytes {
        let body_bytes = body.len();
        ensure!(
            body_bytes == announced_bytes,
            "the answer broke off after {body_bytes} of {announced_bytes} bytes"
        );
    }
    Ok(HttpAnswer { status, body })
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
