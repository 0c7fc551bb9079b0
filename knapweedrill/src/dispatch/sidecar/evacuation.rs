//! What a sidecar knows about the evacuation of its failure domain.

use crate::common::Incarnation;
use crate::dispatch::message::EvacuationRevision;

/// Whether the failure domain of the minion is evacuated, by the newest revision that an entry has
/// told.
///
/// Entries may know older revisions than the one told, such as after they were frozen. These change
/// nothing.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    revision: EvacuationRevision,
    is_evacuated: bool,
    refused_count: u64,
}

impl Evacuation {
    /// Returns whether nothing may be started.
    pub(super) fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns the number of start orders that were refused for this reason.
    pub(super) fn refused_count(&self) -> u64 {
        self.refused_count
    }

    /// Counts a start order that was refused for this reason.
    pub(super) fn count_refusal(&mut self) {
        self.refused_count += 1;
    }

    /// Applies what an entry knows, unless something newer is known.
    ///
    /// The same revision is applied again: the set of evacuated failure domains is the same then,
    /// but the minion may belong to another one.
    pub(super) fn update(
        &mut self,
        entry: Incarnation,
        revision: EvacuationRevision,
        is_evacuated: bool,
    ) {
        if revision < self.revision {
            log::info!(
                entry:% = entry, revision, newest = self.revision, is_evacuated;
                "outdated message on the evacuation ignored"
            );
            return;
        }
        self.revision = revision;
        if std::mem::replace(&mut self.is_evacuated, is_evacuated) == is_evacuated {
            return;
        }
        if is_evacuated {
            log::warn!(entry:% = entry, revision; "minion evacuated: no more starts");
        } else {
            log::warn!(entry:% = entry, revision; "minion returned to service");
        }
    }
}
