//! The response of a control interface.

use knapweedrill_derive::message;

/// The response to a control request that took effect.
#[message]
pub struct Accepted {
    /// Always true; a rejected request gets an error status instead.
    pub is_accepted: bool,
}

impl Accepted {
    /// Creates the response.
    pub fn new() -> Self {
        Self { is_accepted: true }
    }
}

impl Default for Accepted {
    fn default() -> Self {
        Self::new()
    }
}
