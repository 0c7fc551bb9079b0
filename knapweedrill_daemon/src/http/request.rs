//! Requests as the handler gets them.

use super::{Method, Query, Responder, query};

/// The header that carries the owner token.
pub const OWNER_HEADER: &str = "Knapweedrill-Owner";

/// A request, read whole.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, as the URL has it, without the query.
    pub path: String,
    /// The query.
    pub query: Query,
    /// The value of the header [`OWNER_HEADER`].
    pub owner: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Takes the answer.
    pub responder: Responder,
}

impl HttpRequest {
    /// Returns the path with its query.
    pub fn url(&self) -> String {
        let mut url = self.path.clone();
        for (index, parameter) in self.query.iter().enumerate() {
            url.push(if index == 0 { '?' } else { '&' });
            url.push_str(&parameter.name);
            url.push('=');
            url.push_str(&parameter.value);
        }
        url
    }

    /// Returns the segments of the path, decoded, or nothing if one is not encoded as URLs are.
    pub fn path_segments(&self) -> Option<Vec<String>> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .map(query::decode)
            .collect()
    }
}
