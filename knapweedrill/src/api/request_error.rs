//! Errors of a request body whose values are not valid.

/// A field of a request body has a value that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{field}' is not valid; allowed: {allowed}")]
pub struct RequestError {
    /// The path of the field in the body, such as `tasks[1].payload`.
    pub field: String,
    /// The values that are allowed.
    pub allowed: &'static str,
}

impl RequestError {
    pub(super) fn new(field: impl Into<String>, allowed: &'static str) -> Self {
        Self {
            field: field.into(),
            allowed,
        }
    }
}
