//! Evacuation of failure domains: nothing is started on their minions until they are returned to
//! service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::SidecarView;
use super::fleet::Fleet;
use crate::common::Incarnation;
use crate::dispatch::message::{EvacuationRevision, MinionProfile};
use crate::dispatch::session::Sessions;

/// The maximum total length of the names in a gossip message, in bytes, so that it fits into a
/// datagram beside the records of sidecars. A longer set is not gossiped.
const GOSSIP_BYTES_MAX: usize = 4_096;

/// The length that a name takes in a datagram in addition to its text, in bytes.
const NAME_OVERHEAD_BYTES: usize = 2;

/// What the store says about the evacuated failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// The whole set.
    Snapshot {
        /// The revision of the set.
        revision: EvacuationRevision,
        /// The evacuated failure domains.
        domains: Vec<String>,
    },
    /// The records of the log up to a revision. They follow the update before.
    Changes {
        /// The revision after the last record.
        revision: EvacuationRevision,
        /// The records that concern failure domains, by rising offset.
        changes: Vec<DomainChange>,
    },
}

/// A record of the log that evacuates a failure domain or returns it to service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainChange {
    /// The offset of the record.
    pub offset: u64,
    /// The failure domain.
    pub domain: String,
    /// Whether it is evacuated from then on.
    pub is_evacuated: bool,
}

/// The evacuated failure domains, and the revision up to which the set is valid.
///
/// The store and the peers of an entry may report a set that is older than the one known. The
/// revision decides, so that none goes back to an older set.
#[derive(Debug, Default)]
pub struct Evacuations {
    revision: EvacuationRevision,
    /// When this process learnt of each evacuation.
    since: BTreeMap<String, Instant>,
}

impl Evacuations {
    /// Returns the revision up to which the set is valid; 0 if nothing is known.
    pub fn revision(&self) -> EvacuationRevision {
        self.revision
    }

    /// Returns the evacuated failure domains in alphabetical order.
    pub fn domains(&self) -> impl Iterator<Item = &str> {
        self.since.keys().map(String::as_str)
    }

    /// Returns whether a failure domain is evacuated. An unknown one, which has no name, never is.
    pub fn contains(&self, domain: &str) -> bool {
        !domain.is_empty() && self.since.contains_key(domain)
    }

    /// Returns how long ago this process learnt of the oldest evacuation; zero without any.
    pub fn age(&self, now: Instant) -> Duration {
        let oldest = self.since.values().min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    /// Applies what the store says and returns whether the revision rose.
    pub fn apply(&mut self, update: EvacuationUpdate, now: Instant) -> bool {
        match update {
            EvacuationUpdate::Snapshot { revision, domains } => {
                self.replace(revision, domains, "store", now)
            }
            EvacuationUpdate::Changes { revision, changes } => {
                let before = self.revision;
                for change in changes {
                    self.apply_change(change, now);
                }
                self.revision = self.revision.max(revision);
                self.revision > before
            }
        }
    }

    /// Applies the set of a peer and returns whether the revision rose.
    pub(super) fn merge(
        &mut self,
        revision: EvacuationRevision,
        domains: Vec<String>,
        now: Instant,
    ) -> bool {
        self.replace(revision, domains, "peer", now)
    }

    /// Returns the revision and the set to gossip; nothing if the set is too long.
    pub(super) fn to_gossip(&self) -> (EvacuationRevision, Vec<String>) {
        let lengths = self
            .since
            .keys()
            .map(|name| name.len() + NAME_OVERHEAD_BYTES);
        if lengths.sum::<usize>() > GOSSIP_BYTES_MAX {
            return (0, Vec::new());
        }
        (self.revision, self.since.keys().cloned().collect())
    }

    /// Takes over a set if it is newer than the one held.
    fn replace(
        &mut self,
        revision: EvacuationRevision,
        domains: Vec<String>,
        source: &'static str,
        now: Instant,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        let domains: BTreeSet<String> = domains.into_iter().collect();
        let is_over = |domain: &&String| !domains.contains(*domain);
        let over: Vec<String> = self.since.keys().filter(is_over).cloned().collect();
        for domain in over {
            self.set(domain, false, source, now);
        }
        for domain in domains {
            self.set(domain, true, source, now);
        }
        true
    }

    fn apply_change(&mut self, change: DomainChange, now: Instant) {
        let revision = change.offset.saturating_add(1);
        if revision > self.revision {
            self.revision = revision;
            self.set(change.domain, change.is_evacuated, "store", now);
        }
    }

    fn set(&mut self, domain: String, is_evacuated: bool, source: &'static str, now: Instant) {
        let revision = self.revision;
        if !is_evacuated {
            if self.since.remove(&domain).is_some() {
                log::warn!(
                    domain = domain.as_str(), revision, source; "failure domain returned to service"
                );
            }
        } else if !domain.is_empty() && !self.since.contains_key(&domain) {
            log::warn!(domain = domain.as_str(), revision, source; "failure domain evacuated");
            self.since.insert(domain, now);
        }
    }

    /// Updates the views of all sidecars and tells those that have to know.
    pub(super) fn inform_all(&self, fleet: &mut Fleet, sessions: &mut Sessions, now: Instant) {
        let mut sidecars: Vec<Incarnation> = fleet.views().map(SidecarView::incarnation).collect();
        sidecars.sort_unstable();
        for sidecar in sidecars {
            self.inform(sidecar, fleet, sessions, now);
        }
    }

    /// Updates the view of a sidecar, and tells it whether the failure domain of its minion is
    /// evacuated if it has to know.
    pub(super) fn inform(
        &self,
        sidecar: Incarnation,
        fleet: &mut Fleet,
        sessions: &mut Sessions,
        now: Instant,
    ) {
        let Some(view) = fleet.view_mut(sidecar) else {
            return;
        };
        let is_of_domain = |profile: &MinionProfile| self.contains(&profile.failure_domain);
        let is_evacuated = view.profile().is_some_and(is_of_domain);
        view.set_domain_evacuated(is_evacuated);
        let message = view.evacuation_to_tell(self.revision);
        if let Some(message) = message
            && sessions.send(sidecar, message, now).is_some()
        {
            view.record_evacuation_told(self.revision, is_evacuated);
        }
    }
}
