//! The answer of a control interface.

use knapweedrill_derive::message;

/// Says that a control request took effect.
#[message]
pub struct Accepted {
    /// Always true; a refused request is answered with an error status.
    pub is_accepted: bool,
}

impl Accepted {
    /// Creates the answer.
    pub fn new() -> Self {
        Self { is_accepted: true }
    }
}

impl Default for Accepted {
    fn default() -> Self {
        Self::new()
    }
}
