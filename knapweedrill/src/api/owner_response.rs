//! The response body of `GET /v1/owner`.

use knapweedrill_derive::message;

use crate::contract::{OwnerToken, OwnerTokenError};

/// The response body of `GET /v1/owner`.
#[message]
pub struct OwnerResponse {
    /// An owner token in text form, under which the entry accepts new jobs.
    pub owner: String,
}

impl OwnerResponse {
    /// Creates the response that carries a token.
    pub fn new(token: OwnerToken) -> Self {
        Self {
            owner: token.to_string(),
        }
    }

    /// Parses the token.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an owner token.
    pub fn token(&self) -> Result<OwnerToken, OwnerTokenError> {
        self.owner.parse()
    }
}
