//! The answer of `GET /v1/owner`.

use knapweedrill_derive::message;

use crate::contract::{OwnerToken, OwnerTokenError};

/// The answer of `GET /v1/owner`.
#[message]
pub struct OwnerAnswer {
    /// The text of a token under which the entry takes new jobs.
    pub owner: String,
}

impl OwnerAnswer {
    /// Creates the answer that hands out a token.
    pub fn new(token: OwnerToken) -> Self {
        Self {
            owner: token.to_string(),
        }
    }

    /// Returns the token.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an owner token.
    pub fn token(&self) -> Result<OwnerToken, OwnerTokenError> {
        self.owner.parse()
    }
}
