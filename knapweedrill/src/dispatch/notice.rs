//! Datagrams, and the messages outside of sessions.

use knapweedrill_derive::message;

use super::cancel_outcome::CancelOutcome;
use super::configuration::Version;
use super::message::EvacuationRevision;
use super::names::JobName;
use super::session::Envelope;
use super::sidecar_record::SidecarRecord;

/// The content of a datagram.
#[message]
pub enum Packet {
    /// Part of a session.
    Session(Envelope),
    /// A message outside of sessions.
    Notice(Notice),
}

/// A message outside of sessions.
///
/// Notices are independent of each other and have no delivery guarantee: they may be lost,
/// reordered or duplicated.
#[message]
pub enum Notice {
    /// Sidecar to entry: announces the sidecar for service discovery.
    SidecarAnnouncement(SidecarRecord),
    /// Entry to entry: a round of gossip, or the answer to one.
    Gossip {
        /// The version of the sender's configuration; 0 if it has none.
        version: Version,
        /// Some of the sidecars that the sender knows.
        sidecars: Vec<SidecarRecord>,
        /// Whether this is an answer, which is not answered in turn.
        is_answer: bool,
        /// The revision of the sender's set of evacuated failure domains; 0 if it has none.
        evacuation_revision: EvacuationRevision,
        /// The failure domains that are evacuated at that revision.
        evacuated_domains: Vec<String>,
    },
    /// Entry to entry: requests one part of an encoded configuration.
    ConfigurationPartRequest {
        /// The version of the configuration.
        version: Version,
        /// The position of the part, from 0.
        index: u32,
    },
    /// Entry to entry: one part of an encoded configuration.
    ConfigurationPart {
        /// The version of the configuration.
        version: Version,
        /// The position of the part, from 0.
        index: u32,
        /// The number of parts of the configuration.
        count: u32,
        /// The content of the part.
        bytes: Vec<u8>,
    },
    /// Entry to entry: requests a page of the sidecars that the receiver knows.
    SidecarPageRequest {
        /// The number of sidecars in the pages before.
        offset: u32,
    },
    /// Entry to entry: a page of the sidecars that the sender knows, in a stable order.
    SidecarPage {
        /// The number of sidecars in the pages before.
        offset: u32,
        /// The number of sidecars in all pages.
        count: u32,
        /// The sidecars of this page.
        sidecars: Vec<SidecarRecord>,
    },
    /// Entry to entry: jobs that callers cancelled at the sender; repeated until acknowledged.
    Cancel {
        /// The number of the first cancel, from which the others follow.
        number: u64,
        /// Whether the sender remembers none before the first one, so that all of them are told.
        is_complete: bool,
        /// The names of the jobs; none if the sender has no cancels to tell of.
        names: Vec<JobName>,
    },
    /// Entry to entry: acknowledges cancels.
    CancelAcknowledgement {
        /// The number of the first of these cancels.
        number: u64,
        /// What the sender found for each of them.
        outcomes: Vec<CancelOutcome>,
    },
    /// Entry to entry: requests all cancels that the receiver remembers from its callers.
    CancelsRequest,
}
