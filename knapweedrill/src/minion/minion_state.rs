//! The state of a minion.

use knapweedrill_derive::key;

/// Whether a minion accepts new work.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum MinionState {
    /// The minion accepts new work.
    Serving,
    /// The minion is leaving and accepts no new work.
    Leaving,
    /// The sidecar is running, but its minion is unannounced, silent or unreachable.
    Absent,
}
