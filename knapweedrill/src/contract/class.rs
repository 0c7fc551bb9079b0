//! Priority classes of work.

use knapweedrill_derive::key;

/// The priority class of a job; an earlier variant takes precedence over a later one.
#[key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Interactive work, whose result a user is waiting for.
    Urgent,
    /// Work of ordinary priority; the default.
    #[default]
    Normal,
    /// Background work that can be delayed.
    Bulk,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];
}
