//! What a sidecar process leaves in the store about its minion for the next one.

use knapweedrill_derive::{message, value};

use crate::dispatch::SidecarRecord;
use crate::dispatch::message::MinionProfile;

/// An incarnation of a minion, as recorded for later sidecar processes on the same VM.
///
/// A sidecar process that starts beside a running minion would otherwise know nothing of it until its
/// next heartbeat, which may be a whole heartbeat interval away.
#[value]
pub struct KnownMinion {
    /// Service, capacity and labels of the minion.
    pub profile: MinionProfile,
    /// When the minion started, in Unix milliseconds; 0 if not reported.
    pub started_unix_ms: u64,
}

/// The record of a sidecar in the store: what entries read, and what the next sidecar process on the
/// VM needs in addition.
#[message]
pub struct StoredRecord {
    /// The service discovery record.
    #[serde(flatten)]
    pub sidecar: SidecarRecord,
    /// The name of the minion; empty in records of earlier versions.
    #[serde(default)]
    pub instance: String,
    /// The failure domain of the minion; empty in records of earlier versions.
    #[serde(default)]
    pub failure_domain: String,
    /// When the minion started, in Unix milliseconds; 0 if not reported.
    #[serde(default)]
    pub started_unix_ms: u64,
    /// Whether the minion is shutting down.
    #[serde(default)]
    pub is_draining: bool,
}

impl StoredRecord {
    /// Returns the recorded minion, or `None` if it is shutting down or the record can't tell its
    /// incarnation or its failure domain, which may be evacuated.
    pub fn known_minion(self) -> Option<KnownMinion> {
        let is_incomplete = self.instance.is_empty() || self.failure_domain.is_empty();
        if self.is_draining || is_incomplete || self.started_unix_ms == 0 {
            return None;
        }
        let SidecarRecord {
            service,
            capacity,
            labels,
            ..
        } = self.sidecar;
        Some(KnownMinion {
            profile: MinionProfile {
                instance: self.instance,
                service,
                capacity,
                labels,
                failure_domain: self.failure_domain,
            },
            started_unix_ms: self.started_unix_ms,
        })
    }
}
