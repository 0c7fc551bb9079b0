//! Sends one call to one entry.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{Method as HttpMethod, ProxySettings, RequestBuilder};
use knapweedrill::api::{ApiCall, ErrorAnswer, HttpStatus, JSON_TYPE, Method, OWNER_HEADER};
use knapweedrill::contract::OwnerToken;
use serde::de::DeserializeOwned;

use super::ClientError;

/// A call to send.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub(super) call: &'a ApiCall,
    pub(super) token: Option<OwnerToken>,
    pub(super) body: &'a [u8],
}

/// A whole answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) entry: SocketAddr,
    pub(super) status: HttpStatus,
    body: Vec<u8>,
}

impl Answer {
    /// Reads the body.
    pub(super) fn read<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| self.error(&error))
    }

    fn error(&self, error: &serde_json::Error) -> ClientError {
        let (entry, status) = (self.entry, self.status);
        match serde_json::from_slice::<ErrorAnswer>(&self.body) {
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

/// Sends a call and reads the whole answer.
pub(super) fn send(
    entry: SocketAddr,
    request: &Request<'_>,
    connect_timeout: Duration,
    timeout: Duration,
) -> Result<Answer, attohttpc::Error> {
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
    Ok(Answer {
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
