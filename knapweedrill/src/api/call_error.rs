//! A call that the interface does not have.

use super::HttpStatus;

/// A call that the interface does not have.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// There is no such path.
    #[error("there is no '{path}'; allowed: {allowed}")]
    Path {
        /// The path.
        path: String,
        /// The paths that there are.
        allowed: &'static str,
    },
    /// The path does not have the method.
    #[error("'{path}' does not have the method {method}; allowed: {allowed}")]
    Method {
        /// The path.
        path: String,
        /// The method.
        method: String,
        /// The methods that it has.
        allowed: &'static str,
    },
    /// The key of a job is malformed.
    #[error("the key '{key}' is not valid; allowed: {}", super::KEY_ALLOWED)]
    Key {
        /// The key.
        key: String,
    },
    /// A part of the query is malformed, unknown, doubled or missing.
    #[error("'{name}' in the query is not valid; allowed: {allowed}")]
    Query {
        /// The part.
        name: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl CallError {
    /// Returns the HTTP status of the refusal.
    pub fn http_status(&self) -> HttpStatus {
        match self {
            Self::Path { .. } => 404,
            Self::Method { .. } => 405,
            Self::Key { .. } | Self::Query { .. } => 400,
        }
    }
}
