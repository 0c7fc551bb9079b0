//! Messages between entries: relayed requests, rosters and handover of retained keys.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{Generation, Incarnation, JobId, RequestId, RosterDigest};
use crate::entry::{CallerRequest, CallerResponse};
use crate::job::{Failure, Refusal};

/// A caller's request, relayed to the owner of the job.
#[message]
pub struct RelayRequest {
    /// The identifier that the relaying entry assigned to the request.
    pub request: RequestId,
    /// The caller's request.
    pub body: CallerRequest,
}

/// The owner's response to a relayed request.
#[message]
pub struct RelayResponse {
    /// The identifier of the request.
    pub request: RequestId,
    /// The response for the caller.
    pub body: CallerResponse,
}

/// The set of sidecars that a roster digest denotes.
#[message]
pub struct RosterNotice {
    /// The entry whose owner tokens contain the digest.
    pub owner: Incarnation,
    /// The digest of the set.
    pub digest: RosterDigest,
    /// The incarnations of the sidecars.
    pub sidecars: Vec<Incarnation>,
}

/// A part of the retained keys that an entry hands over at its shutdown.
#[message]
pub struct HandOver {
    /// The entry that is shutting down.
    pub from: Incarnation,
    /// The number of the part, starting at 0.
    pub part: u32,
    /// Whether it is the last part.
    pub is_last: bool,
    /// The newest token generation whose keys that entry has dropped.
    pub expired_up_to: Option<Generation>,
    /// The keys of this part.
    pub keys: Vec<RetainedKey>,
}

/// The key of an ended job that its owner retains to answer resubmissions.
#[message]
pub struct RetainedKey {
    /// The generation of the job's owner token.
    pub generation: Generation,
    /// The identifier of the job.
    pub job: JobId,
    /// The hash of the job's content, which distinguishes a resubmission from reuse of the key.
    pub content_hash: u64,
    /// How the job ended.
    pub outcome: RetainedOutcome,
}

/// The outcome of the job of a retained key.
#[message]
pub enum RetainedOutcome {
    /// The job is complete, and its results are retained.
    Complete {
        /// The results in the order of the tasks.
        results: Vec<Vec<u8>>,
    },
    /// The job is complete, and its results are no longer retained.
    CompleteEvicted,
    /// The job failed.
    Failed {
        /// The reason of the failure.
        failure: Failure,
    },
    /// No task of the job ran.
    NotRun {
        /// The reason why nothing ran.
        refusal: Refusal,
        /// The delay after which a retry may succeed.
        retry_after: Option<Duration>,
    },
}
