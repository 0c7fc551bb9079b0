//! Requests that are passed to the handler.

use knapweedrill::api::Method;

use super::Responder;

/// A request, including its complete body.
#[derive(Debug)]
pub struct HttpRequest {
    /// The request method.
    pub method: Method,
    /// The path and query, not decoded.
    pub url: String,
    /// The value of the header [`knapweedrill::api::OWNER_HEADER`], if present; not validated.
    pub owner: Option<String>,
    /// The complete body; empty if there is none.
    pub body: Vec<u8>,
    /// Sends the response.
    pub responder: Responder,
}
