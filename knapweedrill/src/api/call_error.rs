//! Errors of a call whose method, path or query is not valid.

use super::HttpStatus;

/// The method, path or query of a call is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The path does not exist.
    #[error("the path '{path}' does not exist; allowed: {allowed}")]
    Path {
        /// The path of the request.
        path: String,
        /// The paths that exist.
        allowed: &'static str,
    },
    /// The path does not support the method.
    #[error("the path '{path}' does not support the method {method}; allowed: {allowed}")]
    Method {
        /// The path of the request.
        path: String,
        /// The method of the request.
        method: String,
        /// The methods that the path supports.
        allowed: &'static str,
    },
    /// The key of a job is malformed.
    #[error("the key '{key}' is not valid; allowed: {}", super::KEY_ALLOWED)]
    Key {
        /// The key, truncated to the longest valid length.
        key: String,
    },
    /// A query parameter is malformed, unknown, repeated or missing.
    #[error("'{name}' in the query is not valid; allowed: {allowed}")]
    Query {
        /// The name of the parameter.
        name: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
}

impl CallError {
    /// Returns the HTTP status of the response that rejects the call.
    pub fn http_status(&self) -> HttpStatus {
        match self {
            Self::Path { .. } => 404,
            Self::Method { .. } => 405,
            Self::Key { .. } | Self::Query { .. } => 400,
        }
    }
}
