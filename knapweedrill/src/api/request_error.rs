//! A body that asks for something that is not allowed.

/// A field of a body is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{field}' is not valid; allowed: {allowed}")]
pub struct RequestError {
    /// The field.
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
