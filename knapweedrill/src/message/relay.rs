//! Requests between entries.

use std::time::Duration;

use knapweedrill_derive::message;

use crate::common::{Generation, Incarnation, JobId, RequestId, RosterDigest};
use crate::entry::{CallerRequest, CallerResponse};
use crate::job::{Failure, Refusal};

/// A caller's request on its way to the owner of the job.
#[message]
pub struct RelayRequest {
    /// The number by which the relaying entry knows the request.
    pub request: RequestId,
    /// The request.
    pub body: CallerRequest,
}

/// The owner's answer to a relayed request.
#[message]
pub struct RelayAnswer {
    /// The number of the request.
    pub request: RequestId,
    /// The answer.
    pub body: CallerResponse,
}

/// The sidecars that a roster digest stands for.
#[message]
pub struct RosterNotice {
    /// The entry whose tokens carry the digest.
    pub owner: Incarnation,
    /// The digest.
    pub digest: RosterDigest,
    /// The sidecars.
    pub sidecars: Vec<Incarnation>,
}

/// A part of the keys that a stopping entry hands over.
#[message]
pub struct HandOver {
    /// The entry that is stopping.
    pub from: Incarnation,
    /// The number of the part, from 0.
    pub part: u32,
    /// Whether it is the last part.
    pub is_last: bool,
    /// The newest generation whose keys the stopping entry has dropped.
    pub expired_up_to: Option<Generation>,
    /// The keys.
    pub keys: Vec<KeptKey>,
}

/// A key that an owner keeps, with the answer to its job.
#[message]
pub struct KeptKey {
    /// The token's generation.
    pub generation: Generation,
    /// The identifier of the job.
    pub job: JobId,
    /// The hash of the job's content, which tells a resubmission from a reuse of the key.
    pub content_hash: u64,
    /// How the job ended.
    pub state: KeptState,
}

/// How the job of a kept key ended.
#[message]
pub enum KeptState {
    /// Complete, and the results are kept.
    Complete {
        /// The results, in the order of the tasks.
        results: Vec<Vec<u8>>,
    },
    /// Complete, and the results are no longer kept.
    CompleteEvicted,
    /// Failed.
    Failed {
        /// Why.
        failure: Failure,
    },
    /// Not run.
    NotRun {
        /// Why not.
        refusal: Refusal,
        /// When another try is worthwhile.
        retry_after: Option<Duration>,
    },
}
