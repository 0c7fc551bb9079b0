//! The other entries.

use std::collections::HashMap;

use crate::common::Incarnation;

/// The other entries.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Whether each of them is within reach.
    are_heard: HashMap<Incarnation, bool>,
}

impl Peers {
    pub(super) fn met(&mut self, peer: Incarnation) {
        self.are_heard.insert(peer, true);
    }

    pub(super) fn gone(&mut self, peer: Incarnation) {
        self.are_heard.remove(&peer);
    }

    pub(super) fn set_heard(&mut self, peer: Incarnation, is_heard: bool) {
        if let Some(known) = self.are_heard.get_mut(&peer) {
            *known = is_heard;
        }
    }

    /// Returns how many entries are within reach.
    pub(super) fn heard_count(&self) -> usize {
        self.are_heard
            .values()
            .filter(|is_heard| **is_heard)
            .count()
    }

    /// Returns all of them.
    pub(super) fn iter(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.are_heard.keys().copied()
    }
}
