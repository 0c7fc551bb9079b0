//! Requests as the handler gets them.

use knapweedrill::api::Method;

use super::Responder;

/// A request, read whole.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path with its query, as the request has it.
    pub url: String,
    /// The value of the header [`knapweedrill::api::OWNER_HEADER`].
    pub owner: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Takes the answer.
    pub responder: Responder,
}
