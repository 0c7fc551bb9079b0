//! Sends a single HTTP request to an entry or another process.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{Method as HttpMethod, ProxySettings, RequestBuilder};
use knapweedrill::api::{ApiCall, ErrorResponse, HttpStatus, JSON_TYPE, Method, OWNER_HEADER};
use knapweedrill::contract::OwnerToken;
use serde::de::DeserializeOwned;

use super::ClientError;

/// The call, headers and body of a request.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub(super) call: &'a ApiCall,
    pub(super) token: Option<OwnerToken>,
    pub(super) body: &'a [u8],
}

/// A response whose body was received completely.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) entry: SocketAddr,
    pub(super) status: HttpStatus,
    body: Vec<u8>,
}

impl Response {
    /// Deserializes the body.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Refused`] if the body is an error of the API, or
    /// [`ClientError::Malformed`] if it is neither that nor a `T`.
    pub(super) fn decode<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| self.decode_error(&error))
    }

    fn decode_error(&self, error: &serde_json::Error) -> ClientError {
        let (entry, status) = (self.entry, self.status);
        match serde_json::from_slice::<ErrorResponse>(&self.body) {
            Ok(refusal) => ClientError::Refused {
                entry,
                status,
                message: refusal.message,
            },
            Err(_) => ClientError::Malformed {
                entry,
                status,
                message: error.to_string(),
            },
        }
    }
}

/// Sends a request and receives the complete response.
///
/// `timeout` limits each read and the request as a whole.
pub(super) fn send(
    entry: SocketAddr,
    request: &Request<'_>,
    connect_timeout: Duration,
    timeout: Duration,
) -> Result<Response, attohttpc::Error> {
    let url = format!("http://{entry}{}", request.call.url());
    let mut builder = RequestBuilder::try_new(http_method(request.call.method()), url)?
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(connect_timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .header("Content-Type", JSON_TYPE);
    if let Some(token) = request.token {
        builder = builder.try_header(OWNER_HEADER, token.to_string())?;
    }
    let response = builder.bytes(request.body).send()?;
    Ok(Response {
        entry,
        status: response.status().as_u16(),
        body: response.bytes()?,
    })
}

fn http_method(method: Method) -> HttpMethod {
    match method {
        Method::Get => HttpMethod::GET,
        Method::Post => HttpMethod::POST,
        Method::Delete => HttpMethod::DELETE,
    }
}
