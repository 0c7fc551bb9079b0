//! The urgency of work.

use knapweedrill_derive::key;

/// The urgency of a job; an earlier variant goes before a later one.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Work that somebody is waiting for.
    Urgent,
    /// Work of ordinary urgency.
    #[default]
    Normal,
    /// Work that may wait.
    Bulk,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];
}
